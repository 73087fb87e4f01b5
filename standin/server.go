package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

// Server is one stand-in database server.
type Server struct {
	engine   *engine
	group    *Group
	id       fleet.ServerID
	listener net.Listener
	slots    chan struct{}

	// The group's lock guards the fields from here to sessionsMu.

	// applied is the number of applied entries.
	applied  int
	applyLag time.Duration
	// changed is closed and replaced at each change of the server's state.
	changed chan struct{}
	// lastContact is when the server last heard from its primary. Restart and the
	// fencing of a primary also set it.
	lastContact time.Time
	// draining is true while a fence request waits for open transactions to end.
	// New write transactions are refused meanwhile.
	draining bool
	log      []storedEntry
	// logLost is true after a restart without the log, until the server has caught
	// up with a primary. Until then it grants no promise: it may have been part of
	// the majority that acknowledged a write whose entry it lost.
	logLost bool
	// openTransactions holds the open transaction blocks that may write.
	openTransactions map[*transaction]struct{}
	paused           bool
	promise          Promise
	// rebuild is true if the data no longer matches the log and must be rebuilt.
	rebuild bool
	role    group.Role
	running bool
	term    fleet.Term
	// writer is the open write transaction, or nil. There is at most one.
	writer *transaction

	// sessionsMu guards the fields below.
	sessionsMu   sync.Mutex
	connections  int
	blocksClient func(applicationName string) bool
	// delay is added to the execution time of each statement.
	delay                 time.Duration
	commitResponsesToDrop int
	nextPID               uint32
	sessions              map[uint32]*session
}

// Addr returns the address of the server's listener.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// ID returns the id of the server.
func (s *Server) ID() fleet.ServerID {
	return s.id
}

// acceptConnections serves connections until the listener is closed. A crashed
// server resets them.
func (s *Server) acceptConnections() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.isRunning() {
			resetConn(conn)
			continue
		}
		s.group.wg.Go(func() { s.serve(conn) })
	}
}

// resetConn closes a connection with a TCP reset, so that the peer sees an error
// and not an orderly close.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// If this fails, the peer sees an orderly close, which is acceptable.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

func (s *Server) isRunning() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.running
}

// broadcast wakes all goroutines that wait for a change of the server's state. The
// caller holds the group's lock.
func (s *Server) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// waitFor waits until the condition holds. The condition is evaluated under the
// group's lock, at first and after each change of this server's state.
func (s *Server) waitFor(ctx context.Context, condition func() bool) error {
	for {
		s.group.mu.Lock()
		holds, changed := condition(), s.changed
		s.group.mu.Unlock()
		if holds {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-s.group.ctx.Done():
			return &Error{Kind: KindClosed, Op: "wait"}
		}
	}
}

// waitResumed waits while the server is paused.
func (s *Server) waitResumed(ctx context.Context) error {
	return s.waitFor(ctx, func() bool { return !s.paused })
}

// Status returns the server's status.
func (s *Server) Status() group.ServerStatus {
	s.sessionsMu.Lock()
	connections := s.connections
	s.sessionsMu.Unlock()
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	status := group.ServerStatus{
		Applied:         positionAt(s.log, s.applied),
		ConnectionLimit: s.group.options.ConnectionLimit,
		Connections:     connections,
		History:         termHistory(s.log),
		Log:             s.logEnd(),
		PromisedTerm:    s.promise.Term,
		PromisedTo:      s.promise.Holder,
		Role:            s.role,
		Server:          s.id,
		Term:            s.term,
	}
	if s.role != group.RolePrimary {
		status.PrimaryContact = time.Since(s.lastContact).Truncate(time.Millisecond)
	}
	return status
}

// Wait waits until the received log contains the position, the server has promised
// a higher term than the position's, or the context ends.
func (s *Server) Wait(ctx context.Context, p fleet.Position) group.ServerStatus {
	// The error is ignored: the status is returned in each case.
	_ = s.waitFor(ctx, func() bool {
		end := s.logEnd()
		covered := end.Log >= p.Log && termHistory(s.log).Contains(p)
		return covered || s.promise.Term > p.Term
	})
	return s.Status()
}

// Fence promises the term to the holder. Open transaction blocks may continue to
// write and commit until the drain timeout; then they are aborted. It reports
// whether the promise was granted.
func (s *Server) Fence(ctx context.Context, term fleet.Term, holder fleet.InstanceID, drainTimeout time.Duration) (bool, group.ServerStatus) {
	if s.startDrain(term) {
		drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
		// The error is ignored: the promise is granted also after the drain timeout.
		_ = s.waitFor(drainCtx, func() bool { return s.isDrained() || s.promise.Term >= term })
		cancel()
	}
	if s.waitResumed(ctx) != nil {
		return false, s.Status()
	}
	granted := s.grantPromise(term, holder)
	return granted, s.Status()
}

// startDrain starts to refuse new write transactions if a promise of the term
// would end the server's role as primary. It reports whether it did.
func (s *Server) startDrain(term fleet.Term) bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.role != group.RolePrimary || term <= s.promise.Term {
		return false
	}
	s.draining = true
	for tx := range s.openTransactions {
		tx.awaitedByFence = true
	}
	s.broadcast()
	return true
}

func (s *Server) grantPromise(term fleet.Term, holder fleet.InstanceID) bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.logLost || !s.running {
		return false
	}
	previousTerm := s.promise.Term
	promise, granted := s.promise.Grant(term, holder)
	s.promise = promise
	if promise.Term > previousTerm && s.role == group.RolePrimary {
		s.role = group.RoleFenced
		s.lastContact = time.Now()
	}
	if granted {
		s.draining = false
	}
	if s.role != group.RolePrimary {
		s.writer = nil
		s.draining = false
	}
	s.broadcast()
	return granted
}

// Promote makes the server the primary of a term that is promised to the holder.
func (s *Server) Promote(term fleet.Term, holder fleet.InstanceID) (group.ServerStatus, error) {
	s.applyAll()
	if !s.becomePrimary(term, holder) {
		return group.ServerStatus{}, &Error{Kind: KindNotPromised, Op: "promote"}
	}
	s.applyAll()
	return s.Status(), nil
}

// becomePrimary makes the server the primary and appends the start of the term to
// its log. It reports whether the server is the primary of the term. A repeated
// request has no effect.
func (s *Server) becomePrimary(term fleet.Term, holder fleet.InstanceID) bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if !s.promise.Allows(term, holder) || s.logLost || !s.running {
		return false
	}
	if s.role == group.RolePrimary && s.term == term {
		return true
	}
	if s.term == term {
		// Another server is already the primary of the term.
		return false
	}
	s.log = append(s.log, storedEntry{entry: &entry{term: term}, storedAt: time.Now()})
	s.role = group.RolePrimary
	s.term = term
	s.writer = nil
	s.broadcast()
	return true
}
