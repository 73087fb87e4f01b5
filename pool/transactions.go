package pool

import "time"

const (
	// transactionReserveFraction is the fraction of the connections that transactions leave
	// to single statements, at most as many as can be in service.
	transactionReserveFraction = 0.25
	// minSharedLimit is the connection limit from which on one workspace may hold at most
	// half of the connections for transactions, and the lower priorities leave some of
	// them to the higher ones. A share of a smaller limit would be a single connection.
	minSharedLimit = 8
	// lowerPriorityFraction is the fraction of the connections for transactions that all
	// priorities but the highest may use.
	lowerPriorityFraction = 0.85
	// transactionConfidence is as arrivalConfidence, for the wait until transactions end.
	// How long a transaction stays open depends on its caller.
	transactionConfidence = 0.5
)

// transactionCapacity returns how many connections transactions of a priority may hold.
func (s *serverState) transactionCapacity(priority int) int {
	reserve := int(transactionReserveFraction * float64(s.limit))
	if s.bound > 0 {
		reserve = min(reserve, s.bound)
	}
	capacity := s.limit - reserve
	if s.limit >= minSharedLimit && priority > 0 {
		capacity = int(lowerPriorityFraction * float64(capacity))
	}
	return max(1, capacity)
}

// workspaceCapacity returns how many connections transactions of one workspace may hold.
func (s *serverState) workspaceCapacity() int {
	if s.limit < minSharedLimit {
		return s.limit
	}
	return (s.transactionCapacity(0) + 1) / 2
}

// mayBegin reports whether a transaction that waits may begin now: transactions leave
// connections to single statements, to higher priorities and to other workspaces. Below
// minSharedLimit they leave one connection, and only while single statements wait.
func (s *serverState) mayBegin(w *waiter, f *flow) bool {
	switch {
	case !w.transaction:
		return true
	case s.transactions >= s.transactionCapacity(w.priority), f.transactions >= s.workspaceCapacity():
		return false
	case s.limit < minSharedLimit && s.transactions > 0 && s.transactions >= s.limit-1:
		return s.queue.singles == 0
	}
	return true
}

// transactionWait estimates how long a queued transaction still waits for others to end.
func (s *serverState) transactionWait(w *waiter) time.Duration {
	f := s.queue.flows[w.workspace]
	if s.mayBegin(w, f) || s.hold.samples < minEstimateSamples {
		return 0
	}
	capacity, ahead := s.transactionCapacity(w.priority), 0
	if f.transactions >= s.workspaceCapacity() {
		capacity = s.workspaceCapacity()
		ahead = f.transactionsBefore(w)
	} else {
		for _, other := range s.queue.flows {
			ahead += other.transactionsBefore(w)
		}
	}
	return time.Duration(ahead+1) * s.hold.get() / time.Duration(capacity)
}

// transactionsBefore returns the number of transactions of the flow that wait with a
// higher priority than a waiter, or with the same one and an earlier arrival.
func (f *flow) transactionsBefore(w *waiter) int {
	n := 0
	for _, queued := range f.waiters {
		if queued.priority > w.priority {
			break
		}
		if queued.transaction && queued != w && (queued.priority < w.priority || !queued.enqueuedAt.After(w.enqueuedAt)) {
			n++
		}
	}
	return n
}

// beginTransaction counts a connection that is granted to a transaction.
func (s *serverState) beginTransaction(f *flow) {
	f.transactions++
	s.transactions++
}

// endTransaction counts that a transaction has released its place.
func (s *serverState) endTransaction(now time.Time, conn *PooledConn) {
	conn.transaction = false
	s.transactions--
	s.queue.flow(conn.workspace).transactions--
	s.hold.add(now.Sub(conn.grantedAt))
}
