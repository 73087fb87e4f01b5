// Package gateway composes an instance that places requests by route: it
// follows the sheet, the backend servers and the records of primaries in the
// platform's store, and gives sessions their connections.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/sheet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// Partition names a part of a table. The store performs the transactions of a
// partition one after the other, so rows that are written often are spread.
type Partition string

// Table names a table of the store.
type Table string

// Write is one row of a transaction. The condition is that the row still has
// the revision; zero means that it is absent. All rows of a transaction are in
// one partition.
type Write struct {
	Key       string
	Partition Partition
	// Remove drops the row.
	Remove   bool
	Revision feed.Revision
	Table    Table
	Value    []byte
}

// WriteResult is the answer to a transaction.
type WriteResult struct {
	// Applied is false if a condition did not hold.
	Applied bool
	// Current are the present rows of the conditions, if it was not applied.
	Current []CurrentRow
	// Revision is the revision of the written rows.
	Revision feed.Revision
}

// CurrentRow is a row as it is now.
type CurrentRow struct {
	feed.Row
	Table Table
}

// Store is the platform's store. A call that ends without an answer may have
// been performed, or may be performed later if its conditions still hold.
type Store interface {
	// Changes waits for changes after a revision. A KindHistory error means
	// that the store has forgotten them.
	Changes(ctx context.Context, table Table, after feed.Revision, wait time.Duration) (feed.Snapshot, error)
	// Read returns all rows of some partitions of a table.
	Read(ctx context.Context, table Table, partitions []Partition) (feed.Snapshot, error)
	// Write writes all rows if all conditions hold, and none otherwise.
	Write(ctx context.Context, writes []Write) (WriteResult, error)
}

// SheetUpdate is the sheet as operators have published it.
type SheetUpdate struct {
	Sheet   sheet.Sheet
	Version fleet.SheetVersion
}

// BackendServer is a backend server as it registers itself.
type BackendServer struct {
	Address string
	// Born tells the runs of one server apart.
	Born int64
	// ColdRemaining is how much longer the server stays slow after its start.
	ColdRemaining time.Duration
	DataCentre    fleet.DataCentre
	Group         fleet.GroupID
	ID            fleet.ServerID
	Draining      bool
	Primary       bool
	Slots         int
}

// Source decodes what operators and backend servers write to the store.
type Source interface {
	// Server decodes the entry of a backend server.
	Server(row feed.Row) (BackendServer, error)
	// ServerTable is where backend servers register.
	ServerTable() Table
	// Sheet decodes the newest sheet. It reports false if there is none yet.
	Sheet(rows map[string]feed.Row) (SheetUpdate, bool, error)
	// SheetTable is where operators publish.
	SheetTable() Table
}

// Promoter gives promotion orders to the platform.
type Promoter interface {
	Promote(ctx context.Context, group fleet.GroupID, server fleet.ServerID, holder fleet.InstanceID, token primacy.Token) error
}

// ServerStatus is a backend server's own report.
type ServerStatus struct {
	Position fleet.Position
	Role     primacy.Role
	Term     fleet.Term
}

// Control speaks to backend servers besides the sessions' connections.
type Control interface {
	// Healthy reports whether the server answers.
	Healthy(ctx context.Context, server pool.Server) bool
	// Status asks for the report of the server at the far end.
	Status(deadline time.Time, conn pool.Conn) (ServerStatus, error)
	// StepDown tells a primary of a lower term to become a replica.
	StepDown(deadline time.Time, conn pool.Conn, term fleet.Term) error
}

// Config is what a gateway depends on.
type Config struct {
	Clock    session.Clock
	Control  Control
	Dialer   pool.Dialer
	Epoch    fleet.Epoch
	Instance fleet.InstanceID
	Log      *Log
	// PeerTransport reaches the other instances. Without it, the pools of the limits
	// that lie on other instances are not used.
	PeerTransport PeerTransport
	Promoter      Promoter
	// RelayClient reaches the other instances for what they have read from the
	// store. Without it, each instance reads for itself.
	RelayClient RelayClient
	Settings    Settings
	Source      Source
	Store       Store
}

// Gateway is one instance. Its controllers share the fields below; each says
// who writes it.
type Gateway struct {
	config Config
	limits *workspace.DistributedLimiter
	pool   *pool.Pool

	// routing is written by the sheet's follower.
	mu      sync.Mutex
	changed chan struct{}
	routing *sheet.Routing
	sheetAt time.Time
	// servers is written by the servers' follower.
	servers map[fleet.ServerID]*backendServer
	// followers hold the copies of tables that other instances may ask for.
	followers map[Table]*follower
	// relaySkipUntil is until when an instance is not asked for its copies.
	relaySkipUntil map[fleet.InstanceID]time.Time
	// records is the follower of the records of primaries, once it runs.
	records *follower
	// groups is written by the records' follower.
	groups map[fleet.GroupID]*groupState
	// presence is written by the membership controller.
	presence primacy.Presence
	// joined is closed when the own row is first written. A look at the
	// records of primaries from before proves nothing.
	joined   chan struct{}
	joinOnce sync.Once
	members  memberView
	// health is written by whoever talks to a server.
	health map[fleet.ServerID]*serverHealth
	random *rand.Rand
	// storeClock is written by all followers.
	storeClock feed.Calibration

	// lookNow has the leader look at the rows of instances.
	lookNow chan struct{}
	// news wakes the membership controller and the promoter.
	news     chan struct{}
	draining bool
}

// backendServer is a registered server with what the instance measured of it.
type backendServer struct {
	BackendServer
	coldUntil time.Time
	coldSpent *coldBucket
	inFlight  int
	// leavingSince is when the server was first seen to leave.
	leavingSince time.Time
	// lagUntil keeps reads from a replica that lacked a position.
	lagBackoff time.Duration
	lagUntil   time.Time
	latency    pool.LatencyEstimator
	// missingSince is when the server's entry was dropped, or zero.
	missingSince time.Time
}

// groupState is what the instance knows of one group's primary.
type groupState struct {
	revision feed.Revision
	samples  primacy.PositionSamples
	watch    primacy.PrimaryLease
}

// New returns an instance that has read nothing yet.
func New(config Config) *Gateway {
	g := &Gateway{
		changed:        make(chan struct{}),
		config:         config,
		followers:      map[Table]*follower{},
		groups:         map[fleet.GroupID]*groupState{},
		health:         map[fleet.ServerID]*serverHealth{},
		joined:         make(chan struct{}),
		limits:         workspace.NewDistributedLimiter(config.Instance),
		members:        newMemberView(config.Instance, config.Epoch),
		lookNow:        make(chan struct{}, 1),
		news:           make(chan struct{}, 1),
		random:         rand.New(rand.NewPCG(uint64(config.Epoch), 1)),
		relaySkipUntil: map[fleet.InstanceID]time.Time{},
		servers:        map[fleet.ServerID]*backendServer{},
	}
	g.pool = pool.New(config.Dialer, config.Clock)
	return g
}

// Run runs the controllers until the context ends.
func (g *Gateway) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return g.followSheet(ctx) })
	tasks.Go(func() error { return g.followServers(ctx) })
	tasks.Go(func() error { return g.followRecords(ctx) })
	tasks.Go(func() error { return g.keepMembership(ctx) })
	tasks.Go(func() error { return g.promote(ctx) })
	tasks.Go(func() error { return g.probe(ctx) })
	tasks.Go(func() error { return g.sweep(ctx) })
	tasks.Go(func() error { return g.servePeers(ctx) })
	err := tasks.Wait()
	g.pool.Close()
	return err
}

// Drain makes the instance not ready.
func (g *Gateway) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Ready reports whether the instance should get new callers.
func (g *Gateway) Ready(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.draining && g.routing != nil && g.keysLeased(now) && len(g.servers) > 0 && len(g.groups) > 0
}

// TransactionIdle is the time after which an idle transaction is ended.
func (g *Gateway) TransactionIdle() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.routing == nil || g.routing.TransactionIdle() == 0 {
		return g.config.Settings.TransactionIdle
	}
	return g.routing.TransactionIdle()
}

// keysLeased reports whether the sheet was proved to be the newest recently
// enough to accept keys. The caller holds the lock.
func (g *Gateway) keysLeased(now time.Time) bool {
	return now.Before(g.sheetAt.Add(g.config.Settings.KeyLease))
}

// wake tells the membership controller that its row must be written now.
func (g *Gateway) wake() {
	select {
	case g.news <- struct{}{}:
	default:
	}
}

// wakeIfDue has the own row written now if that is due for long, because writes
// failed.
func (g *Gateway) wakeIfDue() {
	g.mu.Lock()
	due := g.config.Clock().Sub(g.presence.LastWrite()) > beatInterval
	g.mu.Unlock()
	if due {
		g.wake()
	}
}

// announce wakes requests that wait for a change of servers or records. The
// caller holds the lock.
func (g *Gateway) announce() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Gateway) group(id fleet.GroupID) *groupState {
	state := g.groups[id]
	if state == nil {
		state = &groupState{}
		g.groups[id] = state
	}
	return state
}

// sweep closes connections that are idle for long.
func (g *Gateway) sweep(ctx context.Context) error {
	const interval = 500 * time.Millisecond
	for pause(ctx, interval) {
		now := g.config.Clock()
		g.dropMissing(now)
		g.pool.Sweep(now)
	}
	return nil
}

// pause waits, and reports false if the context ended.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
