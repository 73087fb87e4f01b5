// Package instance composes one instance of nutmegpier: it builds the
// blackboard and all controllers, and stops them gracefully.
package instance

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/settings"
)

// mockSecretBytes is the length of the secret behind the mock salts of unknown
// workspaces.
const mockSecretBytes = 32

// Listeners are the open listeners of an instance.
type Listeners struct {
	Admin   net.Listener
	Callers net.Listener
	Peers   net.Listener
}

// Config holds what an instance depends on. All fields must be set.
type Config struct {
	// BackendPassword is the proxy's own password for backend servers.
	BackendPassword string
	// Dial opens connections to backend servers.
	Dial backend.Dial
	// Epoch tells the runs of the instance apart.
	Epoch  fleet.Epoch
	Events *event.Recorder
	// GroupPeers is what group controllers learn from other instances.
	GroupPeers group.Peers
	Listeners  Listeners
	// Limits holds the shares of this instance.
	Limits limits
	Now    func() time.Time
	// Random seeds the random sources of the controllers.
	Random   *rand.Rand
	Settings settings.Settings
}

// Instance is one running instance.
type Instance struct {
	board    *Board
	callers  *caller.Server
	config   Config
	metrics  *metrics
	groups   []*groupController
	pool     *backend.Pool
	recorder *recorder
	router   *router
}

// clock is the clock of group controllers.
type clock func() time.Time

// Now returns the time.
func (c clock) Now() time.Time {
	return c()
}

// New builds an instance. Nothing runs before Run.
func New(config Config) (*Instance, error) {
	i := &Instance{config: config, metrics: newMetrics(), recorder: &recorder{events: config.Events}}
	i.board = newBoard(groupIDs(config.Settings))
	i.pool = backend.NewPool(backend.PoolConfig{
		Connect:    i.connect,
		MaxOpening: config.Settings.Backend.MaxOpenings,
		Now:        config.Now,
	})
	for number, configured := range config.Settings.Groups {
		controller, err := i.newGroupController(configured, i.board.Groups[number], config.Random.Uint64())
		if err != nil {
			return nil, err
		}
		i.groups = append(i.groups, controller)
	}
	i.router = i.newRouter()
	i.callers = caller.New(i.callerConfig())
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

// Run serves until the context ends, and then drains for at most the stop
// bound. It returns an error if sessions had to be cut off.
func (i *Instance) Run(ctx context.Context) error {
	i.config.Events.Record(event.InstanceStarted, event.Fields{Text: string(i.config.Settings.Instance)})
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks errgroup.Group
	for _, controller := range i.groups {
		tasks.Go(func() error {
			controller.Run(running)
			controller.close()
			return nil
		})
	}
	tasks.Go(func() error { return i.keepPool(running) })
	tasks.Go(func() error { return i.callers.Serve(i.config.Listeners.Callers) })
	i.board.Lifecycle.Store(LifecycleServing)
	i.config.Events.Record(event.InstanceServing, event.Fields{})

	<-ctx.Done()
	err := i.drain()
	stop()
	i.pool.Close()
	err = errors.Join(err, tasks.Wait())
	i.board.Lifecycle.Store(LifecycleStopped)
	i.config.Events.Record(event.InstanceStopped, event.Fields{})
	return err
}

// drain lets running transactions finish and closes idle sessions.
func (i *Instance) drain() error {
	i.board.Lifecycle.Store(LifecycleDraining)
	i.config.Events.Record(event.InstanceDraining, event.Fields{})
	ctx, cancel := context.WithTimeout(context.Background(), i.config.Settings.Timeouts.StopBound)
	defer cancel()
	if err := i.callers.Drain(ctx); err != nil {
		return &Error{Op: "drain", Kind: KindStop, Err: err}
	}
	return nil
}

func (i *Instance) connect(ctx context.Context, server fleet.ServerID, address string) (*backend.Conn, error) {
	configured := i.config.Settings.Backend
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
		commitBound: i.config.Settings.Timeouts.CommitBound,
		freshWait:   i.config.Settings.Timeouts.FreshWait,
		local:       i.config.Settings.DataCentre,
		now:         i.config.Now,
		pool:        i.pool,
		random:      rand.New(rand.NewPCG(i.config.Random.Uint64(), 0)),
		sheet:       i.board.Sheet,
		strategy:    group.FreshnessDistance,
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
		AllowCleartext: configured.TLS.AllowCleartextKeys,
		Barrier:        i.router,
		Committer:      i.router,
		Credentials:    &credentials{now: i.config.Now, sheet: i.board.Sheet},
		Events:         i.recorder,
		Gate:           &gate{lifecycle: i.board.Lifecycle, limits: i.config.Limits, metrics: i.metrics},
		IdleTimeout:    configured.Timeouts.Idle,
		MaxMessage:     configured.Limits.MaxMessageBytes,
		MockSecret:     secret,
		Now:            i.config.Now,
		RequestTimeout: configured.Limits.QueueTimeout,
		Router:         i.router,
		StartupTimeout: configured.Timeouts.Startup,
		StopBound:      configured.Timeouts.StopBound,
	}
}

func groupIDs(configured settings.Settings) []fleet.GroupID {
	var ids []fleet.GroupID
	for _, group := range configured.Groups {
		ids = append(ids, group.Group)
	}
	return ids
}
