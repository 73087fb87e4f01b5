// Package gateway implements a proxy instance that routes requests to backend
// servers. It keeps local copies of the sheet, the registered backend servers,
// the primary records and the rows of all instances from the platform's store,
// and provides sessions with server connections.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/owner"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/sheet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// Partition names a partition of a table. The store runs the transactions of a
// partition serially, so frequently written rows are spread over several.
type Partition string

// Table names a table in the store.
type Table string

// Write is a conditional write of one row in a transaction. It applies only if
// the row still has the given revision; zero means that the row must not exist.
// All rows of a transaction are in one partition.
type Write struct {
	Key       string
	Partition Partition
	// Remove deletes the row instead of writing Value.
	Remove bool
	// Revision is the expected current revision.
	Revision feed.Revision
	Table    Table
	Value    []byte
}

// WriteResult is the result of a transaction.
type WriteResult struct {
	// Applied is false if a condition did not hold; nothing was written then.
	Applied bool
	// Current holds the current version of each row that had a condition. It is
	// set only if the transaction was not applied.
	Current []CurrentRow
	// Revision is the new revision of the written rows.
	Revision feed.Revision
}

// CurrentRow is the current version of a row in the store.
type CurrentRow struct {
	feed.Row
	Table Table
}

// Store is the platform's store. A write that fails without a response may
// already have been applied, or may be applied later if its conditions still
// hold.
type Store interface {
	// Changes long-polls for the rows changed after a revision and returns after
	// wait at the latest. A KindHistory error means that the store no longer has
	// these changes, so the table must be read in full.
	Changes(ctx context.Context, table Table, after feed.Revision, wait time.Duration) (feed.Snapshot, error)
	// Read returns all rows of the given partitions.
	Read(ctx context.Context, table Table, partitions []Partition) (feed.Snapshot, error)
	// Write writes all rows if all conditions hold, and none of them otherwise.
	Write(ctx context.Context, writes []Write) (WriteResult, error)
}

// SheetUpdate is a version of the sheet published by operators.
type SheetUpdate struct {
	Sheet   sheet.Sheet
	Version fleet.SheetVersion
}

// BackendServer is the registration entry that a backend server writes to the
// store.
type BackendServer struct {
	Address string
	// Born is the start time in Unix milliseconds. It distinguishes restarts of
	// the same server.
	Born int64
	// ColdRemaining is how much longer the server is slow after its start.
	ColdRemaining time.Duration
	DataCentre    fleet.DataCentre
	Group         fleet.GroupID
	ID            fleet.ServerID
	// Draining means that the server is about to shut down.
	Draining bool
	// Primary is true if the server registers itself as the primary of its group.
	Primary bool
	// Slots is the number of statements that the server runs concurrently, or
	// zero if unknown.
	Slots int
}

// Source names the tables that operators and backend servers write, and decodes
// their rows.
type Source interface {
	// Server decodes the registration entry of a backend server.
	Server(row feed.Row) (BackendServer, error)
	// ServerTable is the table in which backend servers register.
	ServerTable() Table
	// Sheet decodes the latest published sheet. It reports false if none has been
	// published yet.
	Sheet(rows map[string]feed.Row) (SheetUpdate, bool, error)
	// SheetTable is the table to which operators publish the sheet.
	SheetTable() Table
}

// Promoter requests promotions from the platform.
type Promoter interface {
	// Promote orders that a server become the primary of its group. The leader is
	// the instance that sends the order, and the token its fencing token.
	Promote(ctx context.Context, group fleet.GroupID, server fleet.ServerID, leader fleet.InstanceID, token primacy.Token) error
}

// ServerStatus is the status that a backend server reports about itself.
type ServerStatus struct {
	// Position is the end of the received replication log.
	Position fleet.Position
	Role     primacy.Role
	Term     fleet.Term
}

// Control sends health checks and control commands to backend servers, separately
// from the statements of sessions.
type Control interface {
	// Healthy reports whether the server responds.
	Healthy(ctx context.Context, server pool.Server) bool
	// Status requests the status of the server on the connection.
	Status(deadline time.Time, conn pool.Conn) (ServerStatus, error)
	// StepDown tells a primary with a term lower than the given one to become a
	// replica.
	StepDown(deadline time.Time, conn pool.Conn, term fleet.Term) error
}

// Config holds the dependencies of a Gateway.
type Config struct {
	Clock    session.Clock
	Control  Control
	Dialer   pool.Dialer
	Epoch    fleet.Epoch
	Instance fleet.InstanceID
	Log      *Log
	// OwnerClient runs statements at the instances that own the groups' servers. If it
	// is nil, this instance uses all servers itself.
	OwnerClient OwnerClient
	// PeerTransport sends requests to the other instances. If it is nil, the
	// instance takes no tokens from rate limit pools on other instances.
	PeerTransport PeerTransport
	Promoter      Promoter
	// RelayClient fetches table changes that another instance has read from the
	// store. If it is nil, the instance always reads the store itself.
	RelayClient RelayClient
	Settings    Settings
	Source      Source
	Store       Store
	// UsageReporter reports usage to the platform. It may be nil if Settings.Usage says
	// that nothing is reported.
	UsageReporter UsageReporter
	// WallClock returns the calendar time. If it is nil, time.Now is used.
	WallClock session.Clock
}

// Gateway is one proxy instance. Its controllers run concurrently and share the
// fields below mu; a comment names the controller that writes a field.
type Gateway struct {
	config     Config
	rateLimits *workspace.DistributedLimiter
	tokens     *tokenExchange
	pool       *pool.Pool
	// usage counts what is reported. It is nil if nothing is.
	usage *usageState

	// mu guards the fields below, except for the channels discovered, joined,
	// memberPollRequests, memberReadRequests and heartbeatRequests.
	mu sync.Mutex
	// stateChanged is closed and replaced by notifyStateChange.
	stateChanged chan struct{}
	// startComplete is true once requests could be run. Requests that are refused
	// after that, for example because a primary is replaced, need no other instance.
	startComplete bool
	// routing is the sheet in force, or nil. It is written by followSheet.
	routing *sheet.Routing
	// sheetVerifiedAt is a time at which routing was verified to be the latest
	// published version. It is written by followSheet.
	sheetVerifiedAt time.Time
	// servers holds the registered backend servers. It is written by
	// followServers.
	servers map[fleet.ServerID]*backendServer
	// serversReadAt is when the entries of the servers were first read.
	serversReadAt time.Time
	// unregisteredSince is since when servers that this instance has known have had no
	// valid entry.
	unregisteredSince map[fleet.ServerID]time.Time
	// speeds compare the servers of each group.
	speeds map[fleet.GroupID]*pool.GroupSpeed
	// outOfServiceSince is when this instance learned that a data centre is out of
	// service, for those that are.
	outOfServiceSince map[fleet.DataCentre]time.Time
	// followers holds the table copies that other instances may request.
	followers map[Table]*tableFollower
	// relayBackoffUntil is the time until which an instance is not used as relay
	// after it failed.
	relayBackoffUntil map[fleet.InstanceID]time.Time
	// recordFollower follows the primary records. It is nil until it starts.
	recordFollower *tableFollower
	// groups holds the state of each group's primary. The primary records in it
	// are written by followRecords and by the promotion controller.
	groups map[fleet.GroupID]*groupState
	// presence tracks when this instance last wrote its row in memberTable. It is
	// written by maintainMembership.
	presence primacy.Presence
	// joined is closed when this instance's row is first written. Primary records
	// read before that must not be relied on, because a change of primary does not
	// yet wait for this instance.
	joined chan struct{}
	// discovered is closed when the instances in this data centre are known, one of
	// which may relay the tables.
	discovered chan struct{}
	joinOnce   sync.Once
	members    memberView
	// health holds the servers that have been probed. It is written by everything
	// that communicates with a server.
	health map[fleet.ServerID]*serverHealth
	random *rand.Rand
	// storeClock relates the store's clock to the local one. It is written by all
	// followers.
	storeClock feed.Calibration

	// memberPollRequests tells the promotion controller of the leader to read the
	// rows of the instances now.
	memberPollRequests chan struct{}
	// heartbeatRequests tells the membership controller to write this instance's
	// row and to read those of all instances now.
	heartbeatRequests chan struct{}
	// memberReadRequests tells the membership controller that other instances wait for a
	// read of the instances' rows.
	memberReadRequests chan struct{}
	draining           bool
	// drainingSince is when Drain was called.
	drainingSince time.Time
	// owners says which instances own the servers of each group. It is written by
	// everything that changes the members or the sheet.
	owners *owner.Directory
	// witnesses are the instances that decide whether the primary of an owned group
	// has failed. They are written together with owners.
	witnesses map[fleet.GroupID][]fleet.InstanceID
	// peerLeases are the leases of other instances on connections of this one.
	peerLeases *peerLeases
	// poolServersUpdatedAt is when the membership controller last started
	// updatePoolServers.
	poolServersUpdatedAt time.Time
	// rowBatcher writes the rows of the instances for which this one is the relay.
	rowBatcher *rowBatcher
	// remoteLeaseCount counts the leases of this instance at others.
	remoteLeaseCount uint64
}

// backendServer is a registered server and this instance's measurements of it.
type backendServer struct {
	BackendServer
	// coldUntil is when the server is no longer slow after its start, and
	// coldLimiter limits its reads until then. It is nil without a limit.
	coldUntil   time.Time
	coldLimiter *coldRateLimiter
	// inFlight is the number of leases on the server.
	inFlight int
	// drainingSince is a time before the server began to drain: when it was last known
	// not to, or zero if this instance has never seen it otherwise.
	drainingSince time.Time
	// lagBackoff is how long a replica gets no reads because it lacked a required
	// log position, and lagBackoffUntil is when that ends.
	lagBackoff      time.Duration
	lagBackoffUntil time.Time
	latency         pool.LatencyEstimator
	// speed compares the server with the others of its group. A restarted server has a new
	// one.
	speed *pool.ServerSpeed
	// entryMissingSince is when the server's entry disappeared from the store, or
	// zero.
	entryMissingSince time.Time
}

// groupState is the state of one group's primary as this instance knows it.
type groupState struct {
	// positionSamples are recent log positions of the primary.
	positionSamples primacy.PositionSamples
	// primaryKnownAt is when a record first named the primary.
	primaryKnownAt time.Time
	// primaryLease holds the primary record and whether this instance may use the
	// primary.
	primaryLease primacy.PrimaryLease
}

// New returns an instance that has not read anything from the store yet.
func New(config Config) *Gateway {
	if config.PeerTransport != nil {
		config.PeerTransport = &countingTransport{PeerTransport: config.PeerTransport}
	}
	g := &Gateway{
		stateChanged:       make(chan struct{}),
		config:             config,
		followers:          map[Table]*tableFollower{},
		groups:             map[fleet.GroupID]*groupState{},
		health:             map[fleet.ServerID]*serverHealth{},
		discovered:         make(chan struct{}),
		joined:             make(chan struct{}),
		rateLimits:         workspace.NewDistributedLimiter(config.Instance),
		members:            newMemberView(config.Instance, config.Epoch),
		memberPollRequests: make(chan struct{}, 1),
		memberReadRequests: make(chan struct{}, 1),
		heartbeatRequests:  make(chan struct{}, 1),
		owners:             owner.NewDirectory(),
		peerLeases:         newPeerLeases(),
		random:             rand.New(rand.NewPCG(uint64(config.Epoch), 1)),
		rowBatcher:         newRowBatcher(config.Store.Write),
		relayBackoffUntil:  map[fleet.InstanceID]time.Time{},
		servers:            map[fleet.ServerID]*backendServer{},
		speeds:             map[fleet.GroupID]*pool.GroupSpeed{},
		unregisteredSince:  map[fleet.ServerID]time.Time{},
	}
	g.members.linkMegabits = config.Settings.LinkMegabits
	g.members.processorShare = config.Settings.ProcessorShare
	g.tokens = newTokenExchange(config.Clock, config.Instance, g.rateLimits, g.takeTokens)
	g.pool = pool.New(config.Dialer, config.Clock)
	g.usage = newUsageState(config)
	return g
}

// Run runs the controllers until the context is cancelled, and then closes the idle
// connections.
func (g *Gateway) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return g.followSheet(ctx) })
	tasks.Go(func() error { return g.followServers(ctx) })
	tasks.Go(func() error { return g.followRecords(ctx) })
	tasks.Go(func() error { return g.maintainMembership(ctx) })
	tasks.Go(func() error { return g.runPromotions(ctx) })
	tasks.Go(func() error { return g.runHealthChecks(ctx) })
	tasks.Go(func() error { return g.runCleanup(ctx) })
	tasks.Go(func() error { return g.servePeers(ctx) })
	if g.usage != nil {
		tasks.Go(func() error { return g.maintainUsageRow(ctx) })
		tasks.Go(func() error { return g.runUsageReports(ctx) })
	}
	err := tasks.Wait()
	g.pool.Close()
	return err
}

// Drain makes the instance report that it is not ready.
func (g *Gateway) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining, g.drainingSince = true, g.config.Clock()
	// The other instances choose other owners for this instance's groups.
	g.requestHeartbeat()
}

// Ready reports whether the instance should get new callers: it is not draining,
// its key lease is valid, it knows a sheet and a backend server, and it has been able
// to run requests since its start.
func (g *Gateway) Ready(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining || g.routing == nil || !g.keyLeaseValid(now) || len(g.servers) == 0 {
		return false
	}
	g.startComplete = g.startComplete || (g.knowsPrimary() && g.limitsInForce(now))
	return g.startComplete
}

// knowsPrimary reports whether a primary record has been read. The caller holds g.mu.
func (g *Gateway) knowsPrimary() bool {
	for _, state := range g.groups {
		if state.primaryLease.Record().Generation != 0 {
			return true
		}
	}
	return false
}

// limitsInForce reports whether operations of workspaces can be admitted. All limits come
// into force together, so that one is checked. The caller holds g.mu.
func (g *Gateway) limitsInForce(now time.Time) bool {
	for id := range g.routing.Limits() {
		return g.rateLimits.InForce(now, id)
	}
	return true
}

// TransactionIdle returns the idle timeout of transactions: the one in the sheet,
// or the one in the settings if the sheet has none.
func (g *Gateway) TransactionIdle() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.routing == nil || g.routing.TransactionIdle() == 0 {
		return g.config.Settings.TransactionIdle
	}
	return g.routing.TransactionIdle()
}

// keyLeaseValid reports whether the sheet was verified as the latest version
// recently enough to accept keys. The caller holds g.mu.
func (g *Gateway) keyLeaseValid(now time.Time) bool {
	return now.Before(g.sheetVerifiedAt.Add(g.config.Settings.KeyLease))
}

// requestHeartbeat tells the membership controller to write this instance's row now.
func (g *Gateway) requestHeartbeat() {
	select {
	case g.heartbeatRequests <- struct{}{}:
	default:
	}
}

// requestOverdueHeartbeat requests a write of this instance's row if the last
// successful one is older than heartbeatInterval because writes failed.
func (g *Gateway) requestOverdueHeartbeat() {
	g.mu.Lock()
	overdue := g.config.Clock().Sub(g.presence.LastWrite()) > heartbeatInterval
	g.mu.Unlock()
	if overdue {
		g.requestHeartbeat()
	}
}

// notifyStateChange wakes the requests that wait for a change of the sheet, the
// servers, their health or the primary records. The caller holds g.mu.
func (g *Gateway) notifyStateChange() {
	close(g.stateChanged)
	g.stateChanged = make(chan struct{})
}

// group returns the state of a group and creates it if needed. The caller holds
// g.mu.
func (g *Gateway) group(id fleet.GroupID) *groupState {
	state := g.groups[id]
	if state == nil {
		state = &groupState{}
		g.groups[id] = state
	}
	return state
}

// runCleanup periodically removes servers whose entry has disappeared from the
// store, and closes connections that have been idle for too long.
func (g *Gateway) runCleanup(ctx context.Context) error {
	const interval = 500 * time.Millisecond
	previous := g.config.Clock()
	for sleep(ctx, interval) {
		now := g.config.Clock()
		g.removeMissingServers(now)
		g.reportGonePrimaries(previous, now)
		g.pool.Sweep(now)
		previous = now
	}
	return nil
}

// sleep waits for a duration. It reports false if the context was cancelled
// first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
