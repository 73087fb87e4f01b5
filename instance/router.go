package instance

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/blackboard"
	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/settings"
)

// retryPause is the time between attempts while a group changes its primary.
const retryPause = 5 * time.Millisecond

// groupControl is what the router needs of the controller of a group.
type groupControl interface {
	// AwaitCommit waits until the outcome of a write is known.
	AwaitCommit(ctx context.Context, p fleet.Position) (group.CommitDecision, error)
	// AwaitFresh waits until a replica may serve the read, and returns the candidates.
	AwaitFresh(ctx context.Context, need group.ReadRequirement, choice group.ReplicaSelection, bound time.Duration) ([]fleet.ServerID, error)
	// AwaitPrimary waits until a primary is known that answers.
	AwaitPrimary(ctx context.Context) (fleet.ServerID, fleet.Term, error)
	// Barrier returns a position that contains all writes acknowledged before the arrival.
	Barrier(ctx context.Context, arrived time.Time) (fleet.Position, error)
	// ReportFailure notes that a connection to a server failed.
	ReportFailure(server fleet.ServerID)
	// ReportRefusal notes that the server taken for the primary refused a write.
	ReportRefusal()
}

// pool is what the router needs of the pool of backend connections.
type pool interface {
	// Acquire waits for a connection to a server.
	Acquire(ctx context.Context, now time.Time, request backend.PoolRequest) (*backend.PoolLease, error)
	// Counts returns the state of the pool of a server.
	Counts(server fleet.ServerID) backend.Counts
}

// routedGroup is a group with what routing needs of it.
type routedGroup struct {
	control groupControl
	id      fleet.GroupID
	servers []fleet.ServerID
	view    *blackboard.Section[group.View]
}

// router chooses servers by the view of their group and takes connections from
// the pool.
type router struct {
	groups   []routedGroup
	now      func() time.Time
	pool     pool
	sheet    *blackboard.Section[SheetInForce]
	strategy group.Strategy
	timeouts func() settings.Timeouts

	randomMu sync.Mutex
	random   *rand.Rand
}

var (
	_ caller.Barrier      = &router{}
	_ caller.CommitWaiter = &router{}
	_ caller.Router       = &router{}
)

// Acquire returns a connection to a server that may serve the request.
func (r *router) Acquire(ctx context.Context, request caller.Request) (caller.Lease, error) {
	request.Database = cmp.Or(request.Database, request.Group)
	routed, err := r.find(request.Group)
	if err != nil {
		return nil, err
	}
	if err := r.authorize(request); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	if request.Access == caller.AccessRead {
		return r.acquireRead(ctx, routed, request)
	}
	return r.acquirePrimary(ctx, routed, request)
}

// AwaitCommit waits at most for the commit bound until the outcome is known.
func (r *router) AwaitCommit(ctx context.Context, id fleet.GroupID, position fleet.Position) (caller.Outcome, error) {
	routed, err := r.find(id)
	if err != nil {
		return caller.OutcomeUnknown, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeouts().CommitBound)
	defer cancel()
	decision, err := routed.control.AwaitCommit(ctx, position)
	switch decision {
	case group.Committed:
		return caller.OutcomeCommitted, nil
	case group.NotRun:
		return caller.OutcomeNotRun, nil
	}
	return caller.OutcomeUnknown, err
}

// Barrier returns a position that covers all writes acknowledged before arrivedAt.
func (r *router) Barrier(ctx context.Context, id fleet.GroupID, arrivedAt time.Time) (fleet.Position, error) {
	routed, err := r.find(id)
	if err != nil {
		return fleet.Position{}, err
	}
	position, err := routed.control.Barrier(ctx, arrivedAt)
	if err != nil {
		return fleet.Position{}, routeError("barrier", err)
	}
	return position, nil
}

// acquireRead tries the candidates in order. A candidate whose connection
// fails is reported, and the next one is tried.
func (r *router) acquireRead(ctx context.Context, routed routedGroup, request caller.Request) (caller.Lease, error) {
	need := group.ReadRequirement{
		MaxAge:  request.MaxAge,
		Seen:    request.Token.Seen,
		Written: request.Token.Written,
	}
	for {
		before := routed.view.Load().Primary
		candidates, err := routed.control.AwaitFresh(ctx, need, r.choice(routed), r.timeouts().FreshWait)
		if err != nil {
			return nil, routeError("choose replica", err)
		}
		after := routed.view.Load().Primary
		isPrimary := func(server fleet.ServerID) bool { return server == before || server == after }
		lease, err := r.tryServers(ctx, routed, request, candidates, isPrimary)
		if lease != nil || isFinal(ctx, err) {
			return lease, err
		}
		if err := pause(ctx, retryPause); err != nil {
			return nil, routeError("choose replica", err)
		}
	}
}

// acquirePrimary waits through a change of primary until the deadline.
func (r *router) acquirePrimary(ctx context.Context, routed routedGroup, request caller.Request) (caller.Lease, error) {
	for {
		server, _, err := routed.control.AwaitPrimary(ctx)
		if err != nil {
			return nil, routeError("find primary", err)
		}
		if server == request.Exclude {
			routed.control.ReportRefusal()
		}
		chosen := func(fleet.ServerID) bool { return true }
		lease, err := r.tryServers(ctx, routed, request, []fleet.ServerID{server}, chosen)
		if lease != nil || isFinal(ctx, err) {
			return lease, err
		}
		if err := pause(ctx, retryPause); err != nil {
			return nil, routeError("find primary", err)
		}
	}
}

// tryServers returns a lease of the first server that gives a connection. The
// error is that of the last one that was tried. IsPrimary tells what a server
// was chosen as: only commits on a primary's lease wait for their evidence, so
// a change of the view after the choice must not turn it into a replica's.
func (r *router) tryServers(ctx context.Context, routed routedGroup, request caller.Request, servers []fleet.ServerID, isPrimary func(fleet.ServerID) bool) (caller.Lease, error) {
	var last error = &caller.Error{
		Op:      "acquire",
		Kind:    caller.KindBackendLost,
		Err:     fmt.Errorf("database %q: no backend server can serve the request", routed.id),
		Outcome: caller.OutcomeNotRun,
	}
	for _, server := range servers {
		if server == request.Exclude && len(servers) > 1 {
			continue
		}
		poolRequest := r.poolRequest(server, request)
		poolRequest.Primary = isPrimary(server)
		lease, err := r.pool.Acquire(ctx, r.now(), poolRequest)
		if err == nil {
			return lease, nil
		}
		last = routeError("acquire", err)
		if isConnectionFailure(err) {
			routed.control.ReportFailure(server)
		}
	}
	return nil, last
}

func (r *router) poolRequest(server fleet.ServerID, request caller.Request) backend.PoolRequest {
	weight := 1
	if limits, found := r.sheet.Load().Index.Limits(request.Workspace); found {
		weight = limits.Weight
	}
	return backend.PoolRequest{
		ArrivedAt: request.ArrivedAt,
		Deadline:  request.Deadline,
		Priority:  request.Priority,
		Server:    server,
		Weight:    weight,
		Workspace: request.Workspace,
	}
}

func (r *router) choice(routed routedGroup) group.ReplicaSelection {
	choice := group.ReplicaSelection{
		Placement: r.sheet.Load().Placement,
		Random:    r.newRandom(),
		Strategy:  r.strategy,
	}
	for _, server := range routed.servers {
		counts := r.pool.Counts(server)
		choice.Loads = append(choice.Loads, group.Load{Outstanding: counts.InUse + counts.Waiting, Server: server})
	}
	return choice
}

// newRandom returns a source for one decision, because sources are not safe
// for concurrent use.
func (r *router) newRandom() *rand.Rand {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64()))
}

func (r *router) authorize(request caller.Request) error {
	current := r.sheet.Load().Index
	if current.MayUse(request.Workspace, request.Database) {
		return nil
	}
	if request.Access == caller.AccessRead && current.IsOpenToAll(request.Database) {
		return nil
	}
	return &caller.Error{
		Op:      "authorize",
		Kind:    caller.KindForbidden,
		Err:     fmt.Errorf("workspace %q has no such access to database %q", request.Workspace, request.Database),
		Outcome: caller.OutcomeNotRun,
	}
}

func (r *router) find(id fleet.GroupID) (routedGroup, error) {
	for _, routed := range r.groups {
		if routed.id == id {
			return routed, nil
		}
	}
	return routedGroup{}, &caller.Error{
		Op:      "find database",
		Kind:    caller.KindUnknownDatabase,
		Err:     fmt.Errorf("database %q does not exist", id),
		Outcome: caller.OutcomeNotRun,
	}
}

// routeError gives an error of the group or the pool the kind that callers see.
func routeError(op string, err error) error {
	var already *caller.Error
	if errors.As(err, &already) {
		return already
	}
	return &caller.Error{Op: op, Kind: routeKind(err), Err: err, Outcome: caller.OutcomeNotRun}
}

func routeKind(err error) caller.Kind {
	var groupErr *group.Error
	if errors.As(err, &groupErr) && groupErr.Kind == group.KindWriteLost {
		return caller.KindPositionLost
	}
	var backendErr *backend.Error
	if errors.As(err, &backendErr) {
		switch backendErr.Kind {
		case backend.KindDeadline, backend.KindQueueFull:
			return caller.KindCapacity
		}
	}
	return caller.KindBackendLost
}

// isFinal reports whether another attempt is of no use.
func isFinal(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return true
	}
	var callerErr *caller.Error
	return errors.As(err, &callerErr) && callerErr.Kind != caller.KindBackendLost
}

// pause waits for a while or until the context ends.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func isConnectionFailure(err error) bool {
	var backendErr *backend.Error
	return errors.As(err, &backendErr) && backendErr.Kind == backend.KindConnection
}
