package backend

import (
	"time"

	"github.com/nutmegpier/nutmegpier/workspace"
)

// Bounds of the exponential backoff after failed attempts to connect.
const (
	firstOpenBackoff = 50 * time.Millisecond
	maxOpenBackoff   = time.Second
)

// Limits are the limits on the connections to one server.
type Limits struct {
	// Permits is the maximum number of connections: in use, idle and being opened.
	Permits int
	// Slots is the maximum number of connections in use.
	Slots int
}

// WaiterID identifies a waiting request within one PoolState.
type WaiterID uint64

// ActionKind is the kind of an Action.
type ActionKind string

// Kinds of actions.
const (
	// ActionCloseIdle closes the longest unused idle connection.
	ActionCloseIdle ActionKind = "CloseIdle"
	// ActionExpire refuses a waiter whose deadline has passed.
	ActionExpire ActionKind = "Expire"
	// ActionGrant leases an idle connection to a waiter.
	ActionGrant ActionKind = "Grant"
	// ActionOpen starts to open one connection. The result is passed to Opened.
	ActionOpen ActionKind = "Open"
	// ActionRefuse refuses a waiter, because the server can't be reached or is
	// draining.
	ActionRefuse ActionKind = "Refuse"
	// ActionStarved reports that more permits are needed.
	ActionStarved ActionKind = "Starved"
)

// Action is an operation that the pool has to perform.
type Action struct {
	Kind ActionKind
	// Waiter is set for ActionExpire, ActionGrant and ActionRefuse.
	Waiter WaiterID
}

// Counts are the numbers of connections and waiting requests of one server.
type Counts struct {
	Idle    int
	InUse   int
	Opening int
	Waiting int
}

// usedPermits returns the number of connections, each of which uses a permit.
func (c Counts) usedPermits() int {
	return c.Idle + c.InUse + c.Opening
}

// PoolState is the state machine of the connections to one server. It does no I/O:
// its methods return the actions that the pool has to perform. It isn't safe for
// concurrent use.
type PoolState struct {
	// backoff is the current backoff after failed attempts to connect, or zero.
	backoff    time.Duration
	counts     Counts
	draining   bool
	limits     Limits
	maxOpening int
	queue      *workspace.Queue[WaiterID]
	// retryAt is the end of the backoff, or zero.
	retryAt time.Time
	// minConnections is the number of connections to keep open.
	minConnections int
}

// NewPoolState returns the state of a server without connections. At most
// maxOpening connections are opened concurrently, and at most queueLimit requests
// of each workspace wait.
func NewPoolState(limits Limits, maxOpening, queueLimit int) *PoolState {
	return &PoolState{limits: limits, maxOpening: max(1, maxOpening), queue: workspace.NewQueue[WaiterID](queueLimit)}
}

// Abandon removes a waiter that has stopped waiting. It reports false if the waiter
// has already been granted a connection or refused.
func (p *PoolState) Abandon(waiter WaiterID) bool {
	removed := p.queue.Remove(func(value WaiterID) bool { return value == waiter })
	p.counts.Waiting = p.queue.Len()
	return removed > 0
}

// Counts returns the numbers of connections and waiting requests.
func (p *PoolState) Counts() Counts {
	return p.counts
}

// Drain refuses all waiters and closes the idle connections. Connections in use are
// closed when they are released. SetLimits ends the drain.
func (p *PoolState) Drain() []Action {
	p.draining = true
	p.minConnections = 0
	var actions []Action
	for {
		entry, found, expired := p.queue.Pop(time.Time{})
		actions = appendExpired(actions, expired)
		if !found {
			break
		}
		actions = append(actions, Action{Kind: ActionRefuse, Waiter: entry.Value})
	}
	p.counts.Waiting = 0
	for ; p.counts.Idle > 0; p.counts.Idle-- {
		actions = append(actions, Action{Kind: ActionCloseIdle})
	}
	return actions
}

// Draining reports whether the server is draining.
func (p *PoolState) Draining() bool {
	return p.draining
}

// Enqueue adds a waiter. It reports false if the workspace already has the maximum
// number of waiters.
func (p *PoolState) Enqueue(now time.Time, entry workspace.Entry[WaiterID]) ([]Action, bool) {
	if !p.queue.Push(entry) {
		return nil, false
	}
	return p.advance(now), true
}

// ReleasePermit gives up one permit, and reports false if all of them belong to
// connections that are in use or being opened. It gives up a permit without a
// connection if there is one, and otherwise closes an idle connection.
func (p *PoolState) ReleasePermit(now time.Time) (actions []Action, released bool) {
	busy := p.counts.InUse + p.counts.Opening
	if p.limits.Permits == 0 || busy >= p.limits.Permits {
		return nil, false
	}
	p.limits.Permits--
	return p.advance(now), true
}

// HeldPermits returns the number of permits in effect. It is above the limit while
// connections that exceed a lowered limit are still in use.
func (p *PoolState) HeldPermits() int {
	return max(p.limits.Permits, p.counts.usedPermits())
}

// Opened records the result of an ActionOpen. If opening failed, the next waiter in
// the queue is refused, so that its request can be routed to another server.
func (p *PoolState) Opened(now time.Time, ok bool) []Action {
	p.counts.Opening--
	if ok {
		p.counts.Idle++
		p.backoff = 0
		p.retryAt = time.Time{}
		return p.advance(now)
	}
	p.backoff = min(maxOpenBackoff, max(firstOpenBackoff, 2*p.backoff))
	p.retryAt = now.Add(p.backoff)
	var actions []Action
	entry, found, expired := p.queue.Pop(now)
	actions = appendExpired(actions, expired)
	if found {
		actions = append(actions, Action{Kind: ActionRefuse, Waiter: entry.Value})
	}
	return append(actions, p.advance(now)...)
}

// Release records that a connection in use was released. If it isn't healthy, the
// pool has already closed it.
func (p *PoolState) Release(now time.Time, healthy bool) []Action {
	p.counts.InUse--
	if healthy {
		p.counts.Idle++
	}
	return p.advance(now)
}

// RetryAt returns the end of the backoff after a failed attempt to connect, or
// zero.
func (p *PoolState) RetryAt() time.Time {
	return p.retryAt
}

// SetLimits changes the limits and ends a drain. Idle connections that exceed a
// lowered limit are closed at once, and connections in use when they are released.
func (p *PoolState) SetLimits(now time.Time, limits Limits) []Action {
	p.limits = limits
	p.draining = false
	return p.advance(now)
}

// Tick refuses waiters whose deadline has passed, and opens connections that were
// delayed by a backoff.
func (p *PoolState) Tick(now time.Time) []Action {
	actions := appendExpired(nil, p.queue.Expire(now))
	return append(actions, p.advance(now)...)
}

// TryGrant marks an idle connection as in use for a new request. It reports false
// if none is available or other requests are waiting.
func (p *PoolState) TryGrant() bool {
	if p.draining || p.counts.Idle == 0 || p.queue.Len() > 0 || p.counts.InUse >= p.limits.Slots {
		return false
	}
	p.counts.Idle--
	p.counts.InUse++
	return true
}

// SetMinConnections keeps at least n connections open, as far as the permits allow.
func (p *PoolState) SetMinConnections(now time.Time, n int) []Action {
	p.minConnections = n
	return p.advance(now)
}

// advance closes idle connections that exceed the limits, grants idle connections
// to waiters, and opens connections that are needed.
func (p *PoolState) advance(now time.Time) []Action {
	var actions []Action
	for p.counts.Idle > 0 && (p.draining || p.counts.usedPermits() > p.limits.Permits) {
		p.counts.Idle--
		actions = append(actions, Action{Kind: ActionCloseIdle})
	}
	for p.counts.Idle > 0 && p.counts.InUse < p.limits.Slots {
		entry, found, expired := p.queue.Pop(now)
		actions = appendExpired(actions, expired)
		if !found {
			break
		}
		p.counts.Idle--
		p.counts.InUse++
		actions = append(actions, Action{Kind: ActionGrant, Waiter: entry.Value})
	}
	p.counts.Waiting = p.queue.Len()
	return p.scheduleOpens(now, actions)
}

// scheduleOpens appends actions that open connections for the waiters that the
// slots allow to run, and to reach the minimum number of connections.
func (p *PoolState) scheduleOpens(now time.Time, actions []Action) []Action {
	if p.draining || now.Before(p.retryAt) {
		return actions
	}
	wanted := min(p.counts.Waiting, p.limits.Slots-p.counts.InUse) - p.counts.Idle - p.counts.Opening
	wanted = max(wanted, min(p.minConnections, p.limits.Permits)-p.counts.usedPermits())
	for ; wanted > 0; wanted-- {
		if p.counts.usedPermits() >= p.limits.Permits {
			return append(actions, Action{Kind: ActionStarved})
		}
		if p.counts.Opening >= p.maxOpening {
			return actions
		}
		p.counts.Opening++
		actions = append(actions, Action{Kind: ActionOpen})
	}
	return actions
}

// appendExpired appends an ActionExpire for each entry.
func appendExpired(actions []Action, expired []workspace.Entry[WaiterID]) []Action {
	for _, entry := range expired {
		actions = append(actions, Action{Kind: ActionExpire, Waiter: entry.Value})
	}
	return actions
}
