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

	// The fields below are guarded by the group's lock.

	// applied is the number of applied entries.
	applied  int
	applyLag time.Duration
	// changed is closed and replaced at each change of the state.
	changed chan struct{}
	// contact is when the server last heard from its primary.
	contact time.Time
	// draining is true while a fence request waits for running transactions.
	draining bool
	log      []logged
	// lost is true after a restart without the log, until the server caught
	// up. It gives no promise meanwhile: the majority that acknowledged a
	// write may have counted on the lost entries.
	lost bool
	// open holds the transaction blocks that may write.
	open    map[*transaction]struct{}
	paused  bool
	promise Promise
	// rebuild is true when the data no longer matches the log.
	rebuild bool
	role    group.Role
	running bool
	term    fleet.Term
	// writer is the open write transaction. There is at most one.
	writer *transaction

	// sessionsMu guards the fields below.
	sessionsMu  sync.Mutex
	connections int
	cutClients  func(applicationName string) bool
	delay       time.Duration
	loseCommits int
	nextPID     uint32
	sessions    map[uint32]*session
}

// Addr returns the address of the server's listener.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// ID returns the id of the server.
func (s *Server) ID() fleet.ServerID {
	return s.id
}

// accept serves connections until the listener is closed.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.isRunning() {
			reset(conn)
			continue
		}
		s.group.wg.Go(func() { s.serve(conn) })
	}
}

// reset closes a connection so that the peer sees an error, not an end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// A failure only means that the peer sees an ordinary end.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

func (s *Server) isRunning() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.running
}

// broadcast wakes all that wait for a change. The caller holds the group's lock.
func (s *Server) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// waitFor waits until the condition holds. It is evaluated under the group's
// lock, at each change of this server.
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
		History:         historyOf(s.log),
		Log:             s.logEnd(),
		PromisedTerm:    s.promise.Term,
		PromisedTo:      s.promise.Holder,
		Role:            s.role,
		Server:          s.id,
		Term:            s.term,
	}
	if s.role != group.RolePrimary {
		status.PrimaryContact = time.Since(s.contact).Truncate(time.Millisecond)
	}
	return status
}

// Wait waits until the received log covers the position in its term, the
// promised term has passed the position's term, or the context ended.
func (s *Server) Wait(ctx context.Context, p fleet.Position) group.ServerStatus {
	// The status is returned in each case, so the reason does not matter.
	_ = s.waitFor(ctx, func() bool {
		end := s.logEnd()
		covered := end.Log >= p.Log && historyOf(s.log).Contains(p)
		return covered || s.promise.Term > p.Term
	})
	return s.Status()
}

// Fence promises the term to the holder. Transaction blocks that began before
// may write and finish for the drain time; then they are aborted. It reports
// whether the promise was given.
func (s *Server) Fence(ctx context.Context, term fleet.Term, holder fleet.InstanceID, drain time.Duration) (bool, group.ServerStatus) {
	if s.startDrain(term) {
		drainCtx, cancel := context.WithTimeout(ctx, drain)
		// The promise is given also when the drain time ended.
		_ = s.waitFor(drainCtx, func() bool { return s.isDrained() || s.promise.Term >= term })
		cancel()
	}
	if s.waitResumed(ctx) != nil {
		return false, s.Status()
	}
	granted := s.grant(term, holder)
	return granted, s.Status()
}

// startDrain refuses new write transactions if the promise would end the
// server's time as primary. It reports whether there is anything to wait for.
func (s *Server) startDrain(term fleet.Term) bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.role != group.RolePrimary || term <= s.promise.Term {
		return false
	}
	s.draining = true
	for tx := range s.open {
		tx.drains = true
	}
	s.broadcast()
	return true
}

func (s *Server) grant(term fleet.Term, holder fleet.InstanceID) bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.lost || !s.running {
		return false
	}
	before := s.promise.Term
	promise, granted := s.promise.Grant(term, holder)
	s.promise = promise
	if promise.Term > before && s.role == group.RolePrimary {
		s.role = group.RoleFenced
		s.contact = time.Now()
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
	if !s.takeOver(term, holder) {
		return group.ServerStatus{}, &Error{Kind: KindNotPromised, Op: "promote"}
	}
	s.applyAll()
	return s.Status(), nil
}

// takeOver starts the term. A repeated request changes nothing.
func (s *Server) takeOver(term fleet.Term, holder fleet.InstanceID) bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if !s.promise.Allows(term, holder) || s.lost || !s.running {
		return false
	}
	if s.role == group.RolePrimary && s.term == term {
		return true
	}
	if s.term == term {
		// Another server already leads the term.
		return false
	}
	s.log = append(s.log, logged{entry: &entry{term: term}, at: time.Now()})
	s.role = group.RolePrimary
	s.term = term
	s.writer = nil
	s.broadcast()
	return true
}
