// Package pool shares connections to backend servers between sessions. A server
// accepts only a limited number of connections from all instances together, and
// opening one is expensive, so connections are kept and reused. Each connection is
// opened for one workspace.
package pool

import (
	"slices"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/session"
)

const (
	// maxIdleTime is how long a connection may be idle before it is closed, so
	// that other instances can open connections.
	maxIdleTime = 20 * time.Second
	// limitRaiseInterval is the interval at which a limit that was lowered because the
	// server refused a connection is raised again while no connection is opened.
	limitRaiseInterval = time.Second
	// minDialTime is the time that a dial must have had to count as a failure of the server
	// if it ended at the request's deadline. A handshake takes 12 ms, and several times as
	// long behind statements.
	minDialTime = 100 * time.Millisecond
	// initialDialBackoff and maxDialBackoff bound the backoff after a server
	// refused a connection. The server stops counting a connection at once if the
	// client closes it, and after some seconds if the client is disconnected.
	initialDialBackoff = 40 * time.Millisecond
	maxDialBackoff     = 500 * time.Millisecond
)

// Conn is an open connection to a backend server.
type Conn interface {
	// Alive reports whether the connection is still open, as far as can be
	// determined without sending anything.
	Alive() bool
	Close()
	// Reusable reports whether another session may use the connection: its stream is
	// intact, and no transaction is open on it.
	Reusable() bool
	// Run sends the commands in one batch and returns the reply to the last one.
	Run(deadline time.Time, commands []session.Command) (session.Reply, *session.RunError)
}

// Server is a backend server.
type Server struct {
	Address string
	Group   fleet.GroupID
	ID      fleet.ServerID
	// Idle is the maximum number of idle connections that this instance may keep.
	Idle int
	// Limit is the maximum number of connections that this instance may open.
	Limit int
	// Slots is the number of statements that the server runs concurrently, or zero if
	// unknown. Statements above inServicePerSlot times this number wait in the pool.
	Slots int
	// Speed is what was learned about the speed of the server, or nil.
	Speed Speed
}

// Speed tells how much load a server handles well. The pool calls it with its mutex held,
// so it must not call the pool.
type Speed interface {
	// Concurrency returns how many statements and handshakes should be in service at the
	// server, or zero if that isn't known.
	Concurrency(now time.Time) int
	// ServiceTime returns the time of a statement, or zero if that isn't known.
	ServiceTime(now time.Time) time.Duration
}

// Dialer opens connections to servers. The error has session.KindBusy if the
// server accepts no further connection.
type Dialer interface {
	Dial(deadline time.Time, server Server, workspace fleet.WorkspaceID) (Conn, *session.RunError)
}

// Counts are the numbers of connections and waiting requests of one server.
type Counts struct {
	Idle int
	// InTransactions is the number of connections that transactions hold.
	InTransactions int
	// Open includes idle connections and those that are being opened.
	Open    int
	Waiting int
}

// Pool manages the backend connections of one instance. It is safe for
// concurrent use.
type Pool struct {
	clock  session.Clock
	dialer Dialer

	mu      sync.Mutex
	servers map[fleet.ServerID]*serverState
}

// New returns a pool without servers.
func New(dialer Dialer, clock session.Clock) *Pool {
	return &Pool{clock: clock, dialer: dialer, servers: map[fleet.ServerID]*serverState{}}
}

// SetServers replaces the set of servers. Connections to servers that were removed
// or whose address changed are closed: idle ones at once, others when they are
// released. Requests that wait for a server whose address changed wait for the new one.
func (p *Pool) SetServers(now time.Time, servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[fleet.ServerID]bool, len(servers))
	for _, server := range servers {
		known[server.ID] = true
		s := p.servers[server.ID]
		if s == nil || s.server.Address != server.Address {
			replaced := s
			s = newServerState(now, server)
			p.servers[server.ID] = s
			if replaced != nil {
				replaced.closeIdle()
				for _, w := range replaced.queue.takeAll() {
					s.queue.add(w)
				}
				s.control, replaced.control = replaced.control, nil
			}
		}
		if server.Limit != s.server.Limit {
			s.limit = server.Limit
		}
		s.server = server
		s.trimIdle()
		s.dispatch(now)
	}
	for id, s := range p.servers {
		if !known[id] {
			s.closeIdle()
			delete(p.servers, id)
			s.failWaiters("the server is gone")
		}
	}
}

// Counts returns the counts of a server, which are zero if it isn't known.
func (p *Pool) Counts(server fleet.ServerID) Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	if s == nil {
		return Counts{}
	}
	return Counts{Idle: len(s.idle), InTransactions: s.transactions, Open: s.open, Waiting: s.waiting()}
}

// HasIdle reports whether there is an idle connection of the workspace.
func (p *Pool) HasIdle(server fleet.ServerID, workspace fleet.WorkspaceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	return s != nil && slices.ContainsFunc(s.idle, func(conn *PooledConn) bool { return conn.workspace == workspace })
}

// Request describes a request for a connection.
type Request struct {
	// Deadline is when the request stops waiting.
	Deadline time.Time
	// Priority orders waiting requests; lower values go first.
	Priority int
	// Transaction means that the connection is kept for a transaction.
	Transaction bool
	// Variables are the session variables. A connection on which exactly these
	// are set is preferred.
	Variables map[string]string
	// Weight is the relative share of the workspace while requests of several ones
	// wait. Values below 1 count as 1.
	Weight    int
	Workspace fleet.WorkspaceID
}

// Acquire returns a connection to a server for the request's workspace. It waits
// for one until the deadline. An error means that no command was sent.
func (p *Pool) Acquire(server fleet.ServerID, request Request) (*PooledConn, *session.RunError) {
	arrivedAt := p.clock()
	for now, again := arrivedAt, false; ; now, again = p.clock(), true {
		if !now.Before(request.Deadline) {
			failure := errAllInUse()
			failure.Saturated = again
			return nil, failure
		}
		w, failure := p.enqueue(now, arrivedAt, again, server, request)
		if failure != nil {
			return nil, failure
		}
		granted, found := p.wait(now, request.Deadline, server, w)
		if !found {
			return nil, errAllInUse()
		}
		if granted.failure != nil {
			return nil, granted.failure
		}
		if granted.conn != nil {
			return granted.conn, nil
		}
		conn, failure, retry := p.open(request.Deadline, granted, request)
		if !retry {
			return conn, failure
		}
	}
}

func errAllInUse() *session.RunError {
	return &session.RunError{Kind: session.KindBusy, Text: refusalTexts[RefusedAtDeadline]}
}

// enqueue adds a request to the queue of a server and serves it at once if possible. If
// again is true, the request was granted the right to open a connection that the server
// refused, and is no new arrival.
func (p *Pool) enqueue(now, arrivedAt time.Time, again bool, server fleet.ServerID, request Request) (*waiter, *session.RunError) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	if s == nil {
		return nil, &session.RunError{Kind: session.KindBusy, Text: "the server is not known"}
	}
	w := &waiter{
		deadline: request.Deadline, enqueuedAt: arrivedAt, granted: make(chan grant, 1), priority: request.Priority, transaction: request.Transaction,
		variables: request.Variables, weight: max(1, request.Weight), workspace: request.Workspace,
	}
	s.queue.add(w)
	if again {
		s.dispatch(now)
		return w, nil
	}
	s.recordArrival(now)
	s.dispatch(now)
	return w, s.refuseArrival(now, w)
}

// ControlWorkspace is the workspace of connections on which an instance sends queries of
// its own.
const ControlWorkspace fleet.WorkspaceID = "nutmegpier"

// AcquireAny returns a connection of any workspace, for queries that the instance
// itself sends. It goes before all waiting requests, so that the status of a server
// can be queried although all its connections are in use.
func (p *Pool) AcquireAny(deadline time.Time, server fleet.ServerID) (*PooledConn, *session.RunError) {
	busy := &session.RunError{Kind: session.KindBusy, Text: "no connection to the server is free"}
	now := p.clock()
	p.mu.Lock()
	s := p.servers[server]
	if s == nil {
		p.mu.Unlock()
		return nil, busy
	}
	w := &waiter{enqueuedAt: now, granted: make(chan grant, 1)}
	s.control = append(s.control, w)
	s.dispatch(now)
	p.mu.Unlock()
	granted, found := p.wait(now, deadline, server, w)
	if !found || granted.failure != nil {
		return nil, busy
	}
	if granted.conn != nil {
		return granted.conn, nil
	}
	conn, failure, _ := p.open(deadline, granted, Request{Workspace: ControlWorkspace})
	return conn, failure
}

// wait waits until the waiter is granted something. It reports false at the deadline.
func (p *Pool) wait(now, deadline time.Time, server fleet.ServerID, w *waiter) (granted grant, found bool) {
	select {
	case granted := <-w.granted:
		return granted, true
	default:
	}
	timer := time.NewTimer(deadline.Sub(now))
	defer timer.Stop()
	select {
	case granted := <-w.granted:
		return granted, true
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; s != nil {
		if s.leave(w) {
			return grant{failure: s.saturated(p.clock(), 0, s.reason(w, RefusedAtDeadline))}, true
		}
		if i := slices.Index(s.control, w); i >= 0 {
			s.control = slices.Delete(s.control, i, i+1)
			return grant{}, false
		}
	}
	select {
	case granted := <-w.granted:
		return granted, true
	default:
		return grant{}, false
	}
}

// open opens a connection for which a place is already counted. Retry is true if
// the server refused it because it accepts no further connection for now, or if its
// address has changed.
func (p *Pool) open(deadline time.Time, granted grant, request Request) (pooledConn *PooledConn, failure *session.RunError, retry bool) {
	p.mu.Lock()
	s := granted.server
	target := s.server
	if p.servers[target.ID] != s {
		p.mu.Unlock()
		return nil, &session.RunError{Kind: session.KindBusy, Text: "the server is gone"}, true
	}
	p.mu.Unlock()
	began := p.clock()
	conn, failure := p.dialer.Dial(deadline, target, request.Workspace)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	if failure == nil {
		s.dialBackoff = 0
		s.raiseLimit(now)
		s.dispatch(now)
		s.handshake.add(now.Sub(began))
		return &PooledConn{
			Conn: conn, State: session.NewConnState(), inService: request.Workspace != ControlWorkspace, owner: s, pool: p,
			grantedAt: began, transaction: request.Transaction, weight: request.Weight, workspace: request.Workspace,
		}, nil, false
	}
	s.open--
	refused := failure.Kind == session.KindBusy
	if request.Workspace != ControlWorkspace {
		if refused {
			// The request is charged again when it is granted again.
			s.queue.refund(request.Workspace, granted.charge)
		}
		s.endService(now, request.Workspace)
		if request.Transaction {
			s.transactions--
			s.queue.flow(request.Workspace).transactions--
		}
	}
	if refused {
		s.refuse(now)
		time.AfterFunc(s.refusedUntil.Sub(now), func() { p.dispatch(s) })
	}
	s.dispatch(now)
	if !refused && !now.Before(deadline) && deadline.Sub(began) < minDialTime {
		failure = errAllInUse()
	}
	return nil, failure, refused
}

// dispatch serves the waiters of a server after its backoff has ended.
func (p *Pool) dispatch(s *serverState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.dispatch(p.clock())
}

// Release returns a connection to the pool.
func (p *Pool) Release(server fleet.ServerID, conn *PooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	s := p.servers[server]
	if s == nil || s != conn.owner {
		conn.Close()
		return
	}
	if conn.transaction {
		s.endTransaction(now, conn)
	}
	if conn.inService {
		conn.inService = false
		s.endService(now, conn.workspace)
	}
	if conn.broken || !conn.Reusable() || conn.State.Uncertain() || s.open > s.limit {
		conn.Close()
		s.open--
		s.dispatch(now)
		return
	}
	conn.releasedAt = now
	s.idle = append(s.idle, conn)
	s.dispatch(now)
	// Close connections above the limit, so that other instances can open some.
	if s.trimIdle() {
		s.dispatch(now)
	}
}

// Sweep closes connections that were idle for longer than maxIdleTime.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		open := s.open
		for len(s.idle) > 0 && now.Sub(s.idle[0].releasedAt) > maxIdleTime {
			s.closeOldest()
		}
		if s.open < open {
			s.dispatch(now)
		}
	}
}

// Abandon closes the idle connections to a server that doesn't answer, and makes the
// requests that wait for it fail, so that they can go to another one.
func (p *Pool) Abandon(server fleet.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; s != nil {
		s.closeIdle()
		s.failWaiters("the server does not answer")
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.closeIdle()
	}
}
