package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/session"
)

// grant is what a waiter receives: a connection, a failure, or if both are nil the right
// to open a connection to the server.
type grant struct {
	// charge is what the workspace was charged for the grant.
	charge  time.Duration
	conn    *PooledConn
	failure *session.RunError
	server  *serverState
}

// waiter is a request that waits for a connection to a server.
type waiter struct {
	deadline   time.Time
	enqueuedAt time.Time
	granted    chan grant
	priority   int
	// transaction means that the request keeps the connection for a transaction.
	transaction bool
	// variables are the session variables of the request.
	variables map[string]string
	weight    int
	workspace fleet.WorkspaceID
}

// flow is the queue of one workspace.
type flow struct {
	// charged is the service that the workspace has received, divided by its weight.
	charged time.Duration
	// inService is the number of connections that the workspace uses or opens.
	inService int
	// transactions is the number of connections that transactions of the workspace hold.
	transactions int
	// waiters are in order of priority, and of deadline within a priority.
	waiters []*waiter
}

// queue holds the requests that wait for a connection to one server. The workspaces share
// the server by start-time fair queueing: the one that has received the least service goes
// first, and a handshake counts as service to the workspace for which it is made, so that
// a workspace with many requests waits behind itself. It isn't safe for concurrent use.
type queue struct {
	flows map[fleet.WorkspaceID]*flow
	// size is the number of waiters in the flows.
	size int
	// singles is the number of waiters that are not transactions.
	singles int
	// virtual is the charge with which a workspace starts that had no requests.
	virtual time.Duration
}

func newQueue() *queue {
	return &queue{flows: map[fleet.WorkspaceID]*flow{}}
}

// flow returns the flow of a workspace and creates it if needed.
func (q *queue) flow(workspace fleet.WorkspaceID) *flow {
	f := q.flows[workspace]
	if f == nil {
		f = &flow{charged: q.virtual}
		q.flows[workspace] = f
	}
	return f
}

// add adds a waiter behind those of its workspace with a higher priority, or with the
// same priority and an earlier deadline.
func (q *queue) add(w *waiter) {
	f := q.flow(w.workspace)
	if len(f.waiters) == 0 {
		f.charged = max(f.charged, q.virtual)
	}
	index, _ := slices.BinarySearchFunc(f.waiters, w, func(queued, added *waiter) int {
		if order := cmp.Or(cmp.Compare(queued.priority, added.priority), queued.deadline.Compare(added.deadline)); order != 0 {
			return order
		}
		return -1
	})
	f.waiters = slices.Insert(f.waiters, index, w)
	q.size++
	if !w.transaction {
		q.singles++
	}
}

// remove removes a waiter. It reports false if the waiter is not queued.
func (q *queue) remove(w *waiter) bool {
	f := q.flows[w.workspace]
	if f == nil {
		return false
	}
	index := slices.Index(f.waiters, w)
	if index < 0 {
		return false
	}
	f.waiters = slices.Delete(f.waiters, index, index+1)
	q.size--
	if !w.transaction {
		q.singles--
	}
	q.prune(w.workspace)
	return true
}

// prune forgets a workspace that neither waits nor is in service and whose charge no
// longer delays it.
func (q *queue) prune(workspace fleet.WorkspaceID) {
	if f := q.flows[workspace]; f != nil && len(f.waiters) == 0 && f.inService == 0 && f.transactions == 0 && f.charged <= q.virtual {
		delete(q.flows, workspace)
	}
}

// waits reports whether a request of the workspace is queued that may begin now.
func (q *queue) waits(workspace fleet.WorkspaceID, mayBegin func(*waiter, *flow) bool) bool {
	f := q.flows[workspace]
	return f != nil && slices.ContainsFunc(f.waiters, func(w *waiter) bool { return mayBegin(w, f) })
}

// chargedTo returns the charge of a workspace.
func (q *queue) chargedTo(workspace fleet.WorkspaceID) time.Duration {
	if f := q.flows[workspace]; f != nil {
		return max(f.charged, q.virtual)
	}
	return q.virtual
}

// next returns the waiter to serve next, or nil. The function mayBegin reports whether a
// waiter may be served now, and cost returns the handshake time that this takes, or false
// if there is no connection for it.
func (q *queue) next(mayBegin func(*waiter, *flow) bool, cost func(*waiter, *flow) (handshake time.Duration, ok bool)) *waiter {
	var best *waiter
	var bestTag time.Duration
	for _, f := range q.flows {
		first := slices.IndexFunc(f.waiters, func(w *waiter) bool { return mayBegin(w, f) })
		if first < 0 {
			continue
		}
		w := f.waiters[first]
		if best != nil && (w.priority > best.priority || (w.priority == best.priority && f.charged > bestTag)) {
			continue
		}
		handshake, ok := cost(w, f)
		if !ok {
			continue
		}
		tag := f.charged + handshake/time.Duration(w.weight)
		if best == nil || w.priority < best.priority || tag < bestTag ||
			(tag == bestTag && cmp.Or(w.deadline.Compare(best.deadline), cmp.Compare(w.workspace, best.workspace)) < 0) {
			best, bestTag = w, tag
		}
	}
	return best
}

// charge counts service that a workspace of the given weight receives.
func (q *queue) charge(workspace fleet.WorkspaceID, weight int, service time.Duration) {
	f := q.flow(workspace)
	f.charged = max(f.charged, q.virtual) + service/time.Duration(weight)
}

// refund takes back a charge for service that the workspace did not receive.
func (q *queue) refund(workspace fleet.WorkspaceID, charge time.Duration) {
	q.flow(workspace).charged -= charge
}

// advance raises the charge with which a workspace starts, after one with the given charge
// was served at a priority: to the least charge of those that wait with this priority or a
// higher one. A workspace that waits with a lower priority, or for transactions to end,
// doesn't hold it back, because new ones would get ahead of the others for long.
func (q *queue) advance(served time.Duration, priority int, mayBegin func(*waiter, *flow) bool) {
	least := served
	for _, f := range q.flows {
		if f.charged < least && slices.ContainsFunc(f.waiters, func(w *waiter) bool { return w.priority <= priority && mayBegin(w, f) }) {
			least = f.charged
		}
	}
	q.virtual = max(q.virtual, least)
	if q.size > 0 {
		return
	}
	for workspace := range q.flows {
		q.prune(workspace)
	}
}

// oldest returns when the waiter that has waited longest was added.
func (q *queue) oldest() time.Time {
	var oldest time.Time
	for _, f := range q.flows {
		for _, w := range f.waiters {
			if oldest.IsZero() || w.enqueuedAt.Before(oldest) {
				oldest = w.enqueuedAt
			}
		}
	}
	return oldest
}

// takeAll removes and returns all waiters.
func (q *queue) takeAll() []*waiter {
	var all []*waiter
	for workspace, f := range q.flows {
		all = append(all, f.waiters...)
		f.waiters = nil
		q.prune(workspace)
	}
	q.size, q.singles = 0, 0
	return all
}
