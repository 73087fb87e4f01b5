package pool

import (
	"slices"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/session"
)

const (
	// initialHandshake and initialService are the times of a handshake and of a
	// statement that are assumed until some were measured.
	initialHandshake = 12 * time.Millisecond
	initialService   = 8 * time.Millisecond
	// batchHandshakes is how many times the handshake's duration a connection serves its
	// workspace before another one may take it over while requests of its workspace
	// wait. Handshakes then take at most a fifth of the server's time.
	batchHandshakes = 4
	// inServicePerSlot bounds the statements and handshakes in service at a server by its
	// slots. More than one for each slot keeps the slots busy while answers and next
	// statements are on the way; more than needed would queue at the server in order of
	// arrival instead of here. With 2, statements of 2 ms that take 4 ms more on the way
	// kept the server at 74% of what it can run.
	inServicePerSlot = 3
)

// serverState holds the connections to one server and the requests that wait for
// one.
type serverState struct {
	// control are the waiting queries of the instance itself. They go before the queue,
	// and any connection will do for them.
	control []*waiter
	queue   *queue

	// refusedUntil is when the server may be dialed again after it refused a
	// connection, and dialBackoff is the backoff that led to it.
	refusedUntil time.Time
	dialBackoff  time.Duration

	// bound is how many statements and handshakes may be in service, or zero for any
	// number, and serviceTime is the time of a statement.
	bound       int
	serviceTime time.Duration
	// inService is the number of statements and handshakes that occupy the server.
	inService int
	// handshake and service are the times of a handshake and of a statement.
	handshake average
	service   average
	// interval is the time between two grants while requests wait, last measured at
	// intervalAt, and backlogTime is the sum of these times up to minBacklogTime. The last
	// grant was at lastGrant, and backlogged is true if requests that may be served have
	// waited since.
	interval    average
	intervalAt  time.Time
	lastGrant   time.Time
	backlogTime time.Duration
	backlogged  bool
	// arrivalRate is the number of requests that arrive in a second, as of lastArrival.
	arrivalRate float64
	lastArrival time.Time
	// hold is how long transactions hold their connections.
	hold average
	// transactions is the number of connections that transactions hold.
	transactions int
	// lastServiceEnd is when the last statement or handshake ended.
	lastServiceEnd time.Time
	// busySince is when the first of the statements and handshakes in service began after
	// there were none.
	busySince time.Time
	// nextReturn is when the next request that is refused may return.
	nextReturn time.Time
	refusals   map[RefusalReason]int64
	shedAt     time.Time

	limitChangedAt time.Time
	// idle are the connections that are not in use, in the order of their last use.
	idle []*PooledConn
	// limit is the current limit, which is lowered after the server refused a
	// connection, and limitStep is by how much it is raised next.
	limit     int
	limitStep int
	// limitTried is true if the limit was raised after the last refusal, so that the server
	// is tried.
	limitTried bool
	// open counts all connections, including idle ones and those that waiters
	// are about to open.
	open   int
	server Server
}

func newServerState(now time.Time, server Server) *serverState {
	s := &serverState{
		handshake: average{initial: initialHandshake}, limit: server.Limit, limitChangedAt: now, limitStep: 1, queue: newQueue(), refusals: map[RefusalReason]int64{},
		server: server, service: average{initial: initialService},
	}
	s.updateSpeed(now)
	return s
}

// dispatch grants connections, and the right to open connections, to waiters while that
// is possible.
func (s *serverState) dispatch(now time.Time) {
	s.probeLimit(now)
	s.updateSpeed(now)
	for len(s.control) > 0 && s.grantControl() {
	}
	for s.queue.size > 0 && s.mayServe() {
		// Whether a connection can be replaced is the same for all waiters.
		replaceable := sync.OnceValue(func() bool { return s.replaceable() >= 0 })
		w := s.queue.next(s.mayBegin, func(w *waiter, f *flow) (time.Duration, bool) { return s.handshakeFor(now, w, f, replaceable) })
		if w == nil {
			break
		}
		s.grantTo(now, w)
	}
	s.shed(now)
	s.backlogged = s.queue.singles > 0
}

// updateSpeed sets the bound of what is in service and the time of a statement: those that
// were learned by comparison with the other servers, or else those of the slots and the
// own measurements.
func (s *serverState) updateSpeed(now time.Time) {
	s.bound, s.serviceTime = inServicePerSlot*s.server.Slots, s.service.get()
	if s.server.Speed == nil {
		return
	}
	if concurrency := s.server.Speed.Concurrency(now); concurrency > 0 {
		s.bound = concurrency
	}
	if service := s.server.Speed.ServiceTime(now); service > 0 {
		s.serviceTime = service
	}
}

// mayServe reports whether another statement may be sent to the server.
func (s *serverState) mayServe() bool {
	return s.bound <= 0 || s.inService < s.bound
}

// isSaturated reports whether all slots of the server are in use, so that a handshake
// delays statements.
func (s *serverState) isSaturated() bool {
	return s.server.Slots > 0 && s.inService >= s.server.Slots
}

// grantControl serves the first query of the instance itself. It reports false if no
// connection is free.
func (s *serverState) grantControl() bool {
	w := s.control[0]
	switch {
	case len(s.idle) > 0:
		conn := s.idle[0]
		s.idle = s.idle[1:]
		w.granted <- grant{conn: conn, server: s}
	case s.open < s.limit || s.open == 0:
		s.open++
		w.granted <- grant{server: s}
	default:
		return false
	}
	s.control = s.control[1:]
	return true
}

// handshakeFor returns the handshake time that serving a waiter takes now. It reports
// false if the waiter needs a connection and none can be opened. The function replaceable
// reports whether an idle connection may be replaced.
func (s *serverState) handshakeFor(now time.Time, w *waiter, f *flow, replaceable func() bool) (time.Duration, bool) {
	if slices.ContainsFunc(s.idle, func(conn *PooledConn) bool { return conn.workspace == w.workspace }) {
		return 0, true
	}
	if s.mayOpen(now) {
		return s.handshake.get(), true
	}
	if s.isSaturated() && f.inService > 0 && now.Sub(w.enqueuedAt) < s.handshake.get() {
		// A connection of the workspace will be free sooner.
		return 0, false
	}
	return s.handshake.get(), replaceable()
}

// mayOpen reports whether a connection may be opened in addition to the open ones.
func (s *serverState) mayOpen(now time.Time) bool {
	return s.open < s.limit && !now.Before(s.refusedUntil)
}

// replaceable returns the index of the idle connection that a connection of another
// workspace may replace: the least recently used one of a workspace without a request that
// may begin, or else the one of the workspace with the most service whose batch is
// complete. It returns -1 if there is none.
func (s *serverState) replaceable() int {
	chosen, mostCharged := -1, time.Duration(0)
	batch := batchHandshakes * s.handshake.get()
	for i, conn := range s.idle {
		if !s.queue.waits(conn.workspace, s.mayBegin) {
			return i
		}
		if charged := s.queue.chargedTo(conn.workspace); conn.served >= batch && (chosen < 0 || charged > mostCharged) {
			chosen, mostCharged = i, charged
		}
	}
	return chosen
}

// grantTo removes a waiter that can be served from the queue and serves it.
func (s *serverState) grantTo(now time.Time, w *waiter) {
	cost := s.serviceTime
	conn := s.takeIdle(now, w.workspace, w.variables)
	if conn == nil {
		cost += s.handshake.get()
		if s.mayOpen(now) {
			s.open++
		} else {
			// The connection stays counted in open, for the one in its place.
			i := s.replaceable()
			if i < 0 {
				// The idle connection of the workspace was dead, and none may be opened.
				return
			}
			s.idle[i].Close()
			s.idle = slices.Delete(s.idle, i, i+1)
		}
	}
	// The waiter leaves the queue only now, because other requests may begin by that, and
	// keep the connection that is replaced.
	s.queue.remove(w)
	f := s.queue.flow(w.workspace)
	s.recordGrant(now)
	s.beginOccupation(now, f)
	served := f.charged
	s.queue.charge(w.workspace, w.weight, cost)
	s.queue.advance(served, w.priority, s.mayBegin)
	if w.transaction {
		s.beginTransaction(f)
	}
	if conn != nil {
		conn.inService, conn.grantedAt, conn.transaction, conn.weight = true, now, w.transaction, w.weight
	}
	w.granted <- grant{charge: cost / time.Duration(w.weight), conn: conn, server: s}
}

// beginService counts a statement on a connection that is not in service: one of a
// transaction, which doesn't wait in the queue.
func (s *serverState) beginService(now time.Time, conn *PooledConn) {
	if conn.inService || conn.workspace == ControlWorkspace {
		return
	}
	conn.inService = true
	s.queue.charge(conn.workspace, max(1, conn.weight), s.serviceTime)
	s.beginOccupation(now, s.queue.flow(conn.workspace))
}

// beginOccupation counts a statement or handshake that begins.
func (s *serverState) beginOccupation(now time.Time, f *flow) {
	if s.inService == 0 {
		s.busySince = now
	}
	f.inService++
	s.inService++
}

// endService counts that a connection of a workspace is no longer in service.
func (s *serverState) endService(now time.Time, workspace fleet.WorkspaceID) {
	s.lastServiceEnd = now
	if f := s.queue.flows[workspace]; f != nil && f.inService > 0 {
		f.inService--
		s.inService--
		s.queue.prune(workspace)
	}
}

// takeIdle removes and returns an idle connection of the workspace, or nil. It
// prefers one on which exactly the session variables are set, and then the most
// recently used one.
func (s *serverState) takeIdle(now time.Time, workspace fleet.WorkspaceID, variables map[string]string) *PooledConn {
	chosen := -1
	for i := len(s.idle) - 1; i >= 0; i-- {
		if s.idle[i].workspace != workspace {
			continue
		}
		if s.idle[i].State.HasVariables(variables) {
			chosen = i
			break
		}
		if chosen < 0 {
			chosen = i
		}
	}
	if chosen < 0 {
		return nil
	}
	conn := s.idle[chosen]
	s.idle = slices.Delete(s.idle, chosen, chosen+1)
	// A connection that was released just now has answered just now.
	if !conn.releasedAt.Equal(now) && !conn.Alive() {
		conn.Close()
		s.open--
		return s.takeIdle(now, workspace, variables)
	}
	return conn
}

// refuse lowers the limit after the server refused a connection, and sets the time until
// which it isn't dialed. Several connections may be refused at the same time.
func (s *serverState) refuse(now time.Time) {
	s.limit = max(1, s.open)
	s.limitChangedAt, s.limitStep, s.limitTried = now, 1, false
	if now.Before(s.refusedUntil) {
		return
	}
	s.dialBackoff = min(maxDialBackoff, max(initialDialBackoff, 2*s.dialBackoff))
	s.refusedUntil = now.Add(s.dialBackoff)
}

// probeLimit raises a limit that was lowered after a refusal: to one more connection than
// are open once the backoff has ended, so that the server is tried, and further each
// limitRaiseInterval.
func (s *serverState) probeLimit(now time.Time) {
	if s.limit >= s.server.Limit || now.Before(s.refusedUntil) {
		return
	}
	if !s.limitTried {
		s.limit, s.limitTried = max(s.limit, s.open+1), true
	}
	if now.Sub(s.limitChangedAt) >= limitRaiseInterval {
		s.raiseLimit(now)
	}
}

// raiseLimit raises a lowered limit after the server accepted a connection: by one first,
// and by twice as much each time, so that the limit recovers within a few connections.
func (s *serverState) raiseLimit(now time.Time) {
	if s.limit < s.server.Limit {
		s.limit = min(s.server.Limit, s.limit+s.limitStep)
		s.limitStep *= 2
		s.limitChangedAt = now
	}
}

// trimIdle closes idle connections until their number is within the limit, the
// least recently used ones first. It reports whether it closed any, so that others may
// be opened.
func (s *serverState) trimIdle() bool {
	open := s.open
	for len(s.idle) > s.server.Idle {
		s.closeOldest()
	}
	return s.open < open
}

// closeOldest closes the least recently used idle connection.
func (s *serverState) closeOldest() {
	s.idle[0].Close()
	s.idle = s.idle[1:]
	s.open--
}

// closeIdle closes all idle connections.
func (s *serverState) closeIdle() {
	for _, conn := range s.idle {
		conn.Close()
	}
	s.open -= len(s.idle)
	s.idle = nil
}

// leave removes a waiter that is not served. It reports false if the waiter is not queued.
func (s *serverState) leave(w *waiter) bool {
	if !s.queue.remove(w) {
		return false
	}
	s.backlogged = s.backlogged && s.queue.singles > 0
	return true
}

// failWaiters makes all waiters fail.
func (s *serverState) failWaiters(text string) {
	for _, w := range append(s.queue.takeAll(), s.control...) {
		w.granted <- grant{failure: &session.RunError{Kind: session.KindBusy, Text: text}}
	}
	s.control, s.backlogged = nil, false
}

// waiting returns the number of waiters.
func (s *serverState) waiting() int {
	return s.queue.size + len(s.control)
}
