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

// retryInterval is the delay between attempts to get a connection, such as during a
// change of primary.
const retryInterval = 5 * time.Millisecond

// groupControl is the part of a group controller that the router uses.
type groupControl interface {
	// AwaitCommit waits until the outcome of a commit at the position is known.
	AwaitCommit(ctx context.Context, p fleet.Position) (group.CommitDecision, error)
	// AwaitFresh waits until a replica may serve the read or the timeout has
	// passed, and returns the candidates in the order in which to try them. If no
	// replica qualifies in time, the primary is the only candidate.
	AwaitFresh(ctx context.Context, requirement group.ReadRequirement, selection group.ReplicaSelection, timeout time.Duration) ([]fleet.ServerID, error)
	// AwaitPrimary waits until a reachable primary is known.
	AwaitPrimary(ctx context.Context) (fleet.ServerID, fleet.Term, error)
	// Barrier returns a position that covers all writes that were acknowledged
	// before arrivedAt.
	Barrier(ctx context.Context, arrivedAt time.Time) (fleet.Position, error)
	// ReportFailure reports that a connection to a server failed.
	ReportFailure(server fleet.ServerID)
	// ReportRefusal reports that the server believed to be primary refused a write.
	ReportRefusal()
}

// pool is the part of the backend connection pool that the router uses.
type pool interface {
	// Acquire waits for a connection to a server.
	Acquire(ctx context.Context, now time.Time, request backend.PoolRequest) (*backend.PoolLease, error)
	// Counts returns the numbers of connections to and waiting requests for a
	// server.
	Counts(server fleet.ServerID) backend.Counts
}

// routedGroup holds a group's controller, servers and view for routing.
type routedGroup struct {
	control groupControl
	id      fleet.GroupID
	servers []fleet.ServerID
	view    *blackboard.Section[group.View]
}

// router chooses a backend server for each request and acquires a connection to it
// from the pool.
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

// Acquire returns a lease of a connection to a server that may serve the request.
func (r *router) Acquire(ctx context.Context, request caller.Request) (caller.Lease, error) {
	request.Database = cmp.Or(request.Database, request.Group)
	routed, err := r.findGroup(request.Group)
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

// AwaitCommit waits until the outcome of a commit is known, for at most
// Timeouts.CommitBound.
func (r *router) AwaitCommit(ctx context.Context, id fleet.GroupID, position fleet.Position) (caller.Outcome, error) {
	routed, err := r.findGroup(id)
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

// Barrier returns a position that covers all writes of the group that were
// acknowledged before arrivedAt.
func (r *router) Barrier(ctx context.Context, id fleet.GroupID, arrivedAt time.Time) (fleet.Position, error) {
	routed, err := r.findGroup(id)
	if err != nil {
		return fleet.Position{}, err
	}
	position, err := routed.control.Barrier(ctx, arrivedAt)
	if err != nil {
		return fleet.Position{}, toCallerError("barrier", err)
	}
	return position, nil
}

// acquireRead returns a lease for a read. It tries the candidates in order until the
// deadline of the request.
func (r *router) acquireRead(ctx context.Context, routed routedGroup, request caller.Request) (caller.Lease, error) {
	requirement := group.ReadRequirement{
		MaxAge:  request.MaxAge,
		Seen:    request.Token.Seen,
		Written: request.Token.Written,
	}
	for {
		// The primary may change while AwaitFresh waits. A candidate that was
		// primary before or after the wait is leased as primary.
		before := routed.view.Load().Primary
		candidates, err := routed.control.AwaitFresh(ctx, requirement, r.selection(routed), r.timeouts().FreshWait)
		if err != nil {
			return nil, toCallerError("choose replica", err)
		}
		after := routed.view.Load().Primary
		isPrimary := func(server fleet.ServerID) bool { return server == before || server == after }
		lease, err := r.tryServers(ctx, routed, request, candidates, isPrimary)
		if lease != nil || isFinal(ctx, err) {
			return lease, err
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return nil, toCallerError("choose replica", err)
		}
	}
}

// acquirePrimary returns a lease on the primary. During a change of primary it
// retries until the deadline of the request.
func (r *router) acquirePrimary(ctx context.Context, routed routedGroup, request caller.Request) (caller.Lease, error) {
	for {
		server, _, err := routed.control.AwaitPrimary(ctx)
		if err != nil {
			return nil, toCallerError("find primary", err)
		}
		if server == request.Exclude {
			routed.control.ReportRefusal()
		}
		isPrimary := func(fleet.ServerID) bool { return true }
		lease, err := r.tryServers(ctx, routed, request, []fleet.ServerID{server}, isPrimary)
		if lease != nil || isFinal(ctx, err) {
			return lease, err
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return nil, toCallerError("find primary", err)
		}
	}
}

// tryServers returns a lease on the first server to which the pool has a connection,
// or the error of the last server that it tried. Failed connections are reported to
// the group controller.
//
// isPrimary reports whether a server was chosen as primary. Only commits on a
// primary's lease wait for proof that a majority has them, so a change of the view
// after the choice must not turn the lease into a replica's.
func (r *router) tryServers(ctx context.Context, routed routedGroup, request caller.Request, servers []fleet.ServerID, isPrimary func(fleet.ServerID) bool) (caller.Lease, error) {
	var lastErr error = &caller.Error{
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
		lastErr = toCallerError("acquire", err)
		if isConnectionFailure(err) {
			routed.control.ReportFailure(server)
		}
	}
	return nil, lastErr
}

// poolRequest returns the request to the pool for a connection to a server.
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

// selection returns how a replica of the group is to be selected now.
func (r *router) selection(routed routedGroup) group.ReplicaSelection {
	selection := group.ReplicaSelection{
		Placement: r.sheet.Load().Placement,
		Random:    r.newRandom(),
		Strategy:  r.strategy,
	}
	for _, server := range routed.servers {
		counts := r.pool.Counts(server)
		selection.Loads = append(selection.Loads, group.Load{Outstanding: counts.InUse + counts.Waiting, Server: server})
	}
	return selection
}

// newRandom returns a random source for one decision, because sources are not safe
// for concurrent use.
func (r *router) newRandom() *rand.Rand {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64()))
}

// authorize checks that the workspace of a request may access its database.
func (r *router) authorize(request caller.Request) error {
	index := r.sheet.Load().Index
	if index.MayUse(request.Workspace, request.Database) {
		return nil
	}
	if request.Access == caller.AccessRead && index.IsOpenToAll(request.Database) {
		return nil
	}
	return &caller.Error{
		Op:      "authorize",
		Kind:    caller.KindForbidden,
		Err:     fmt.Errorf("workspace %q has no such access to database %q", request.Workspace, request.Database),
		Outcome: caller.OutcomeNotRun,
	}
}

// findGroup returns the group with an identifier.
func (r *router) findGroup(id fleet.GroupID) (routedGroup, error) {
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

// toCallerError converts an error of the group controller or the pool to an error
// for the caller.
func toCallerError(op string, err error) error {
	var callerErr *caller.Error
	if errors.As(err, &callerErr) {
		return callerErr
	}
	return &caller.Error{Op: op, Kind: toCallerKind(err), Err: err, Outcome: caller.OutcomeNotRun}
}

// toCallerKind returns the kind of the error for the caller.
func toCallerKind(err error) caller.Kind {
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

// isFinal reports whether another attempt cannot succeed.
func isFinal(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return true
	}
	var callerErr *caller.Error
	return errors.As(err, &callerErr) && callerErr.Kind != caller.KindBackendLost
}

// sleep waits for a duration, or returns the context's error when it ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// isConnectionFailure reports whether a connection to a backend server failed.
func isConnectionFailure(err error) bool {
	var backendErr *backend.Error
	return errors.As(err, &backendErr) && backendErr.Kind == backend.KindConnection
}
