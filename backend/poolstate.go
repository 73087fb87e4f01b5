package backend

import (
	"time"

	"github.com/nutmegpier/nutmegpier/workspace"
)

// Backoff after failed openings: doubled from the first to the bound.
const (
	firstOpenBackoff = 50 * time.Millisecond
	maxOpenBackoff   = time.Second
)

// Limits bound the connections to one server.
type Limits struct {
	// Permits is the largest number of connections, idle ones included.
	Permits int
	// Slots is the largest number of connections in use.
	Slots int
}

// WaiterID names a waiting request inside one PoolState.
type WaiterID uint64

// ActionKind says what the pool has to do.
type ActionKind string

// Kinds of actions.
const (
	// ActionCloseIdle closes one idle connection.
	ActionCloseIdle ActionKind = "CloseIdle"
	// ActionExpire refuses a waiter whose deadline has come.
	ActionExpire ActionKind = "Expire"
	// ActionGrant gives an idle connection to a waiter.
	ActionGrant ActionKind = "Grant"
	// ActionOpen opens one connection and reports with Opened.
	ActionOpen ActionKind = "Open"
	// ActionRefuse refuses a waiter because the server can't be reached or
	// takes no new work.
	ActionRefuse ActionKind = "Refuse"
	// ActionStarved tells that more permits are needed.
	ActionStarved ActionKind = "Starved"
)

// Action is one thing that the pool has to do.
type Action struct {
	Kind   ActionKind
	Waiter WaiterID
}

// Counts are the numbers of connections of one server.
type Counts struct {
	Idle    int
	InUse   int
	Opening int
	Waiting int
}

// total returns the connections that use a permit.
func (c Counts) total() int {
	return c.Idle + c.InUse + c.Opening
}

// PoolState decides on the connections to one server. It does no I/O: each
// method returns what has to be done. It isn't safe for concurrent use.
type PoolState struct {
	backoff    time.Duration
	counts     Counts
	draining   bool
	limits     Limits
	maxOpening int
	queue      *workspace.Queue[WaiterID]
	retryAt    time.Time
	warm       int
}

// NewPoolState returns the state of a server without connections. At most
// maxOpening connections are opened at a time, and queueLimit requests of each
// workspace wait.
func NewPoolState(limits Limits, maxOpening, queueLimit int) *PoolState {
	return &PoolState{limits: limits, maxOpening: max(1, maxOpening), queue: workspace.NewQueue[WaiterID](queueLimit)}
}

// Abandon removes a waiter that gave up. It reports false if the waiter was
// granted a connection or refused before.
func (p *PoolState) Abandon(waiter WaiterID) bool {
	removed := p.queue.Remove(func(value WaiterID) bool { return value == waiter })
	p.counts.Waiting = p.queue.Len()
	return removed > 0
}

// Counts returns the numbers of connections.
func (p *PoolState) Counts() Counts {
	return p.counts
}

// Drain stops new work: waiters are refused, idle connections are closed, and
// those in use are closed when they are released.
func (p *PoolState) Drain() []Action {
	p.draining = true
	p.warm = 0
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

// Draining reports whether the server takes no new work.
func (p *PoolState) Draining() bool {
	return p.draining
}

// Enqueue adds a waiter. It reports false if the workspace has too many waiting.
func (p *PoolState) Enqueue(now time.Time, entry workspace.Entry[WaiterID]) ([]Action, bool) {
	if !p.queue.Push(entry) {
		return nil, false
	}
	return p.advance(now), true
}

// ReleasePermit gives up one permit if that interrupts no work. A permit without
// connection is given before one of an idle connection, which is then closed.
func (p *PoolState) ReleasePermit(now time.Time) (actions []Action, given bool) {
	busy := p.counts.InUse + p.counts.Opening
	if p.limits.Permits == 0 || busy >= p.limits.Permits {
		return nil, false
	}
	p.limits.Permits--
	return p.advance(now), true
}

// Held returns the number of permits that are in effect. It is above the limit
// while connections over a lowered limit are still in use.
func (p *PoolState) HeldPermits() int {
	return max(p.limits.Permits, p.counts.total())
}

// Opened takes the result of an ActionOpen. A failed one refuses the waiter
// whose turn it is, so that it can try another server.
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

// Release takes a connection back that was in use. One that isn't healthy is
// closed by the pool itself.
func (p *PoolState) Release(now time.Time, healthy bool) []Action {
	p.counts.InUse--
	if healthy {
		p.counts.Idle++
	}
	return p.advance(now)
}

// RetryAt returns when openings may be tried again, or zero.
func (p *PoolState) RetryAt() time.Time {
	return p.retryAt
}

// SetLimits changes the limits. Idle connections over a lowered limit are
// closed at once, those in use when they are released.
func (p *PoolState) SetLimits(now time.Time, limits Limits) []Action {
	p.limits = limits
	p.draining = false
	return p.advance(now)
}

// Tick refuses waiters whose deadline has come and tries openings again after
// a backoff.
func (p *PoolState) Tick(now time.Time) []Action {
	actions := appendExpired(nil, p.queue.Expire(now))
	return append(actions, p.advance(now)...)
}

// TryGrant takes an idle connection for a new request, if one is free and
// nobody waits.
func (p *PoolState) TryGrant() bool {
	if p.draining || p.counts.Idle == 0 || p.queue.Len() > 0 || p.counts.InUse >= p.limits.Slots {
		return false
	}
	p.counts.Idle--
	p.counts.InUse++
	return true
}

// Warm keeps at least n connections open, within the permits.
func (p *PoolState) SetMinConnections(now time.Time, n int) []Action {
	p.warm = n
	return p.advance(now)
}

// advance does what the current numbers allow and ask for.
func (p *PoolState) advance(now time.Time) []Action {
	var actions []Action
	for p.counts.Idle > 0 && (p.draining || p.counts.total() > p.limits.Permits) {
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
	return p.open(now, actions)
}

// open adds openings for the waiters that slots allow to run, and for warm-up.
func (p *PoolState) open(now time.Time, actions []Action) []Action {
	if p.draining || now.Before(p.retryAt) {
		return actions
	}
	wanted := min(p.counts.Waiting, p.limits.Slots-p.counts.InUse) - p.counts.Idle - p.counts.Opening
	wanted = max(wanted, min(p.warm, p.limits.Permits)-p.counts.total())
	for ; wanted > 0; wanted-- {
		if p.counts.total() >= p.limits.Permits {
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

func appendExpired(actions []Action, expired []workspace.Entry[WaiterID]) []Action {
	for _, entry := range expired {
		actions = append(actions, Action{Kind: ActionExpire, Waiter: entry.Value})
	}
	return actions
}
