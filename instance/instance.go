// Package instance composes one instance of nutmegpier: it builds the
// blackboard and all controllers, and stops them gracefully.
package instance

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/operator"
	"github.com/nutmegpier/nutmegpier/peer"
	"github.com/nutmegpier/nutmegpier/platform"
	"github.com/nutmegpier/nutmegpier/settings"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// mockSecretBytes is the length of the secret behind the mock salts of unknown
// workspaces.
const mockSecretBytes = 32

// neverIdle is longer than any session lasts.
const neverIdle = 10 * 365 * 24 * time.Hour

// leaveBound bounds the hand-over of shares at a planned stop.
const leaveBound = 3 * time.Second

// Listeners are the open listeners of an instance.
type Listeners struct {
	Admin   net.Listener
	Callers net.Listener
	Peers   net.Listener
}

// Platform is what an instance needs of the platform.
type Platform interface {
	platform.InstanceList
	platform.Objects
	platform.Table
}

// Config holds what an instance depends on. All fields but BackendPassword,
// CallerTLS and PeerTLS must be set.
type Config struct {
	// BackendPassword is the proxy's own password for backend servers.
	BackendPassword string
	// CallerTLS returns the TLS configuration for callers. Nil means no TLS.
	CallerTLS func() *tls.Config
	// Dial opens connections to backend servers.
	Dial backend.Dial
	// Epoch tells the runs of the instance apart.
	Epoch     fleet.Epoch
	Events    *event.Recorder
	Listeners Listeners
	Now       func() time.Time
	// PeerHTTP is the HTTP client for calls to other instances.
	PeerHTTP connect.HTTPClient
	// PeerTLS is the TLS configuration of the peer listener. Nil means no TLS.
	PeerTLS  *tls.Config
	Platform Platform
	// Random seeds the random sources of the controllers.
	Random   *rand.Rand
	Settings settings.Settings
}

// Instance is one running instance.
type Instance struct {
	archive  *archive
	board    *Board
	callers  *caller.Server
	config   Config
	groups   []*groupController
	kill     chan struct{}
	killOnce sync.Once
	limits   limits
	metrics  *metrics
	peers    *peer.Controller
	pool     *backend.Pool
	recorder *recorder
	router   *router
	service  *service
	starved  chan struct{}

	// settings holds the settings in force, which a reload replaces.
	settings atomic.Pointer[settings.Settings]

	randomMu sync.Mutex
	// adoptMu makes the section of the sheet grow only.
	adoptMu sync.Mutex
}

// clock is the clock of group controllers.
type clock func() time.Time

// Now returns the time.
func (c clock) Now() time.Time {
	return c()
}

// New builds an instance. Nothing runs before Run.
func New(config Config) (*Instance, error) {
	i := &Instance{
		config:   config,
		kill:     make(chan struct{}),
		metrics:  newMetrics(),
		recorder: &recorder{events: config.Events},
		service:  &service{},
		starved:  make(chan struct{}, 1),
	}
	i.settings.Store(&config.Settings)
	i.board = newBoard(groupIDs(config.Settings))
	i.pool = backend.NewPool(backend.PoolConfig{
		Connect:    i.connect,
		MaxOpening: config.Settings.Backend.MaxOpenings,
		Now:        config.Now,
		Starved:    i.noteStarved,
	})
	i.archive = &archive{
		epoch:    config.Epoch,
		events:   config.Events,
		instance: config.Settings.Instance,
		platform: config.Platform,
		timeout:  config.Settings.Platform.Timeout,
	}
	i.peers = i.newPeers()
	i.limits = &shares{peers: i.peers}
	for number, configured := range config.Settings.Groups {
		controller, err := i.newGroupController(configured, i.board.Groups[number], config.Random.Uint64())
		if err != nil {
			return nil, err
		}
		i.groups = append(i.groups, controller)
	}
	i.router = i.newRouter()
	i.callers = caller.New(i.callerConfig())
	i.publishMetrics()
	return i, nil
}

// Board returns the blackboard.
func (i *Instance) Board() *Board {
	return i.board
}

// Promotions returns the promotions that this instance ordered, oldest first.
func (i *Instance) Promotions() []group.PromotionRecord {
	return i.recorder.Promotions()
}

// AwaitReady waits until the instance takes callers and holds a share of each
// workspace's limit.
func (i *Instance) AwaitReady(ctx context.Context) error {
	for !i.ready(i.config.Now()) || !i.holdsShares() {
		if err := pause(ctx, keepInterval); err != nil {
			return err
		}
	}
	return nil
}

// holdsShares reports whether the instance holds a share of each limit. A new
// workspace or instance gets one after a change of the roster is complete.
func (i *Instance) holdsShares() bool {
	for _, entry := range i.board.Sheet.Load().Sheet.Workspaces {
		if entry.Rate > 0 && i.limits.Share(entry.Workspace).Rate == 0 {
			return false
		}
	}
	return true
}

// Kill makes Run return without a drain, as if the process had died.
func (i *Instance) Kill() {
	i.killOnce.Do(func() { close(i.kill) })
}

// Run serves until the context ends, and then drains for at most the stop
// bound. It returns an error if sessions had to be cut off.
func (i *Instance) Run(ctx context.Context) error {
	i.config.Events.Record(event.InstanceStarted, event.Fields{Text: string(i.config.Settings.Instance)})
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks := i.start(running)
	i.board.Lifecycle.Store(LifecycleServing)
	i.config.Events.Record(event.InstanceServing, event.Fields{})

	var err error
	killed := false
	select {
	case <-ctx.Done():
		err = i.drain(running)
	case <-i.kill:
		killed = true
		expired, cancel := context.WithCancel(running)
		cancel()
		_ = i.callers.Drain(expired)
	}
	stop()
	i.pool.Close()
	err = errors.Join(err, tasks.Wait())
	i.board.Lifecycle.Store(LifecycleStopped)
	i.config.Events.Record(event.InstanceStopped, event.Fields{})
	if !killed {
		// Without the store the last events are lost with the process.
		_ = i.archive.save(context.WithoutCancel(ctx))
	}
	return err
}

// start starts all controllers and servers. They run until the context ends.
func (i *Instance) start(ctx context.Context) *errgroup.Group {
	tasks := &errgroup.Group{}
	for _, controller := range i.groups {
		tasks.Go(func() error {
			controller.Run(ctx)
			controller.close()
			return nil
		})
	}
	tasks.Go(func() error { return serveHTTP(ctx, i.peerServer(), i.peerListener()) })
	tasks.Go(func() error { return serveHTTP(ctx, i.adminServer(i.newOperator()), i.config.Listeners.Admin) })
	tasks.Go(func() error {
		_ = i.peers.Run(ctx)
		return nil
	})
	tasks.Go(func() error { return i.archive.run(ctx) })
	tasks.Go(func() error { return i.keepPool(ctx) })
	tasks.Go(func() error { return i.watchService(ctx) })
	tasks.Go(func() error { return i.callers.Serve(i.config.Listeners.Callers) })
	return tasks
}

// drain lets running transactions finish, closes idle sessions, and hands the
// shares of the instance to its peers.
func (i *Instance) drain(running context.Context) error {
	i.board.Lifecycle.Store(LifecycleDraining)
	i.config.Events.Record(event.InstanceDraining, event.Fields{})
	ctx, cancel := context.WithTimeout(running, i.settings.Load().Timeouts.StopBound)
	defer cancel()
	if err := i.callers.Drain(ctx); err != nil {
		return &Error{Op: "drain", Kind: KindStop, Err: err}
	}
	leaving, cancelLeave := context.WithTimeout(running, leaveBound)
	defer cancelLeave()
	// Without an answer in time, the peers take the shares back by eviction.
	_ = i.peers.Leave(leaving)
	return nil
}

// serveHTTP serves until the context ends.
func serveHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// newOperator returns the administration API.
func (i *Instance) newOperator() *operator.Server {
	published := &publisher{
		holders: i.peers,
		now:     i.config.Now,
		table:   i.config.Platform,
		usage:   i.usage,
	}
	return operator.New(operator.Parts{
		Archive:   i.archive,
		Publisher: published,
		Recorder:  i.config.Events,
		Sheets:    published,
		Status:    i,
		Timeline:  i.config.Events,
		Tokens:    func() []settings.Token { return i.settings.Load().Admin.Tokens },
	})
}

// randomNumber returns a random number. It is safe for concurrent use.
func (i *Instance) randomNumber() uint64 {
	i.randomMu.Lock()
	defer i.randomMu.Unlock()
	return i.config.Random.Uint64()
}

// usage returns what this instance knows of the deployment.
func (i *Instance) usage() sheet.Usage {
	usage := sheet.Usage{
		Busy:        i.metrics.busy(),
		DataCentres: []fleet.DataCentre{i.config.Settings.DataCentre},
	}
	for _, configured := range i.config.Settings.Groups {
		for _, server := range configured.Servers {
			usage.Servers = append(usage.Servers, sheet.ServerPlace{
				DataCentre: server.DataCentre,
				Group:      configured.Group,
				Server:     server.Server,
			})
		}
	}
	return usage
}

func (i *Instance) connect(ctx context.Context, server fleet.ServerID, address string) (*backend.Conn, error) {
	configured := i.settings.Load().Backend
	return backend.Connect(ctx, backend.ConnConfig{
		Address:        address,
		AnswerTimeout:  configured.AnswerTimeout,
		ConnectTimeout: configured.ConnectTimeout,
		Database:       string(i.groupOf(server)),
		Dial:           i.config.Dial,
		Password:       i.config.BackendPassword,
		Server:         server,
		User:           configured.User,
	})
}

func (i *Instance) groupOf(server fleet.ServerID) fleet.GroupID {
	for _, configured := range i.config.Settings.Groups {
		for _, candidate := range configured.Servers {
			if candidate.Server == server {
				return configured.Group
			}
		}
	}
	return ""
}

func (i *Instance) newRouter() *router {
	r := &router{
		now:      i.config.Now,
		pool:     i.pool,
		random:   rand.New(rand.NewPCG(i.config.Random.Uint64(), 0)),
		sheet:    i.board.Sheet,
		strategy: group.FreshnessDistance,
		timeouts: func() settings.Timeouts { return i.settings.Load().Timeouts },
	}
	for number, controller := range i.groups {
		routed := routedGroup{
			control: controller,
			id:      controller.settings.Group,
			view:    i.board.Groups[number].Section,
		}
		for _, server := range controller.settings.Servers {
			routed.servers = append(routed.servers, server.Server)
		}
		r.groups = append(r.groups, routed)
	}
	return r
}

func (i *Instance) callerConfig() caller.Config {
	configured := i.config.Settings
	secret := make([]byte, 0, mockSecretBytes)
	for len(secret) < mockSecretBytes {
		secret = append(secret, byte(i.config.Random.Uint32()))
	}
	return caller.Config{
		AllowCleartext:  configured.TLS.AllowCleartextKeys,
		Barrier:         i.router,
		CancelForwarder: i,
		Committer:       i.router,
		Credentials:     &credentials{now: i.config.Now, sheet: i.board.Sheet},
		Events:          i.recorder,
		Gate:            &gate{lifecycle: i.board.Lifecycle, limits: i.limits, metrics: i.metrics, service: i.service},
		IdleTimeout:     idleTimeout(configured.Timeouts.Idle),
		MaxMessage:      configured.Limits.MaxMessageBytes,
		MockSecret:      secret,
		Now:             i.config.Now,
		RequestTimeout:  configured.Limits.QueueTimeout,
		Router:          i.router,
		StartupTimeout:  configured.Timeouts.Startup,
		StopBound:       configured.Timeouts.StopBound,
	}
}

// idleTimeout returns the timeout of the caller server for the setting, in
// which zero means never.
func idleTimeout(configured time.Duration) time.Duration {
	if configured == 0 {
		return neverIdle
	}
	return configured
}

func groupIDs(configured settings.Settings) []fleet.GroupID {
	var ids []fleet.GroupID
	for _, group := range configured.Groups {
		ids = append(ids, group.Group)
	}
	return ids
}
