// Package instance assembles and runs one proxy instance. It creates the
// blackboard, the controllers and the servers, connects them, and stops them
// gracefully.
package instance

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/metastore"
	"github.com/nutmegpier/nutmegpier/peer"
	"github.com/nutmegpier/nutmegpier/settings"
)

// Listeners holds the open listeners of an instance: for the administration API,
// for callers (PostgreSQL clients) and for the other instances.
type Listeners struct {
	Admin   net.Listener
	Callers net.Listener
	Peers   net.Listener
}

// Platform provides the services of the platform that an instance uses.
type Platform interface {
	metastore.InstanceList
	metastore.ObjectStore
	metastore.Table
}

// Config holds the dependencies of an instance. All fields except
// BackendPassword, CallerTLS, Descriptors and PeerTLS are required.
type Config struct {
	// BackendPassword is the password with which the proxy logs in to backend
	// servers.
	BackendPassword string
	// CallerTLS returns the TLS configuration of the listener for callers. Nil
	// means no TLS.
	CallerTLS func() *tls.Config
	// Descriptors is the descriptor limit of the process, of which half are for
	// connections of callers and a sixteenth for those to the administration listener.
	// Zero means that these, and the bytes of callers, aren't limited.
	Descriptors int
	// Dial opens connections to backend servers.
	Dial backend.Dial
	// Epoch identifies this run of the instance.
	Epoch     fleet.Epoch
	Events    *event.Recorder
	Listeners Listeners
	Now       func() time.Time
	// PeerHTTP is the HTTP client for calls to other instances.
	PeerHTTP connect.HTTPClient
	// PeerTLS is the TLS configuration of the peer listener. Nil means no TLS.
	PeerTLS  *tls.Config
	Platform Platform
	// Random seeds the random number generators of the controllers.
	Random   *rand.Rand
	Settings settings.Settings
}

// Instance is one proxy instance.
type Instance struct {
	archive         *archive
	board           *Board
	callers         *caller.Server
	config          Config
	groups          []*groupController
	kill            chan struct{}
	killOnce        sync.Once
	limiter         limiter
	metrics         *metrics
	peers           *peer.Controller
	pool            *backend.Pool
	recorder        *recorder
	router          *router
	dataCentreState *dataCentreState
	permitsNeeded   chan struct{}

	// settings holds the settings in force, which a reload replaces.
	settings atomic.Pointer[settings.Settings]

	// randomMu guards config.Random.
	randomMu sync.Mutex
	// sheetMu is held to replace the sheet in force, so that an older version cannot
	// replace a newer one.
	sheetMu sync.Mutex
}

// clock adapts a function to the clock interfaces of the controllers.
type clock func() time.Time

// Now returns the current time.
func (c clock) Now() time.Time {
	return c()
}

// New builds an instance. It starts nothing; Run does.
func New(config Config) (*Instance, error) {
	i := &Instance{
		config:          config,
		kill:            make(chan struct{}),
		metrics:         newMetrics(),
		recorder:        &recorder{events: config.Events},
		dataCentreState: &dataCentreState{},
		permitsNeeded:   make(chan struct{}, 1),
	}
	i.settings.Store(&config.Settings)
	i.board = newBoard(groupIDs(config.Settings))
	i.pool = backend.NewPool(backend.PoolConfig{
		Connect:    i.connect,
		MaxOpening: config.Settings.Backend.MaxOpenings,
		Now:        config.Now,
		OnStarved:  i.signalPermitsNeeded,
	})
	i.archive = &archive{
		epoch:    config.Epoch,
		events:   config.Events,
		instance: config.Settings.Instance,
		platform: config.Platform,
		timeout:  config.Settings.Platform.Timeout,
	}
	i.peers = i.newPeers()
	i.limiter = &peerLimiter{peers: i.peers}
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

// Board returns the blackboard of the instance.
func (i *Instance) Board() *Board {
	return i.board
}

// Promotions returns the latest promotions that this instance carried out, oldest
// first.
func (i *Instance) Promotions() []group.PromotionRecord {
	return i.recorder.Promotions()
}

// randomNumber returns a random number. It is safe for concurrent use.
func (i *Instance) randomNumber() uint64 {
	i.randomMu.Lock()
	defer i.randomMu.Unlock()
	return i.config.Random.Uint64()
}

// connect opens a connection to a backend server for the pool.
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

// groupOf returns the group of a backend server, or "" if the settings have no such
// server.
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

func groupIDs(configured settings.Settings) []fleet.GroupID {
	var ids []fleet.GroupID
	for _, group := range configured.Groups {
		ids = append(ids, group.Group)
	}
	return ids
}
