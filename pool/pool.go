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
	// limitRaiseInterval is the interval at which a limit that was lowered because
	// the server refused a connection is raised again by one.
	limitRaiseInterval = time.Second
	// initialDialBackoff and maxDialBackoff bound the backoff after a server
	// refused a connection. The server stops counting a connection at once if the
	// client closes it, and after some seconds if the client is disconnected.
	initialDialBackoff = 40 * time.Millisecond
	maxDialBackoff     = 500 * time.Millisecond
	// reusePreferencePeriod is how long the first waiting request can be passed
	// over in favour of requests of the workspace for which the released connection
	// was opened. They can reuse it; another workspace needs a new connection.
	reusePreferencePeriod = 60 * time.Millisecond
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
}

// Dialer opens connections to servers. The error has session.KindBusy if the
// server accepts no further connection.
type Dialer interface {
	Dial(deadline time.Time, server Server, workspace fleet.WorkspaceID) (Conn, *session.RunError)
}

// PooledConn is a connection that belongs to a pool, in use or idle.
type PooledConn struct {
	Conn
	State *session.ConnState

	broken     bool
	owner      *serverState
	releasedAt time.Time
	workspace  fleet.WorkspaceID
}

// MarkBroken makes Release close the connection instead of reusing it.
func (c *PooledConn) MarkBroken() {
	c.broken = true
}

// Counts are the numbers of connections and waiting requests of one server.
type Counts struct {
	Idle int
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

// serverState holds the connections to one server and the requests that wait for
// one.
type serverState struct {
	// refusedUntil is when the server may be dialed again after it refused a
	// connection, and dialBackoff is the backoff that led to it.
	refusedUntil time.Time
	dialBackoff  time.Duration

	limitChangedAt time.Time
	idle           []*PooledConn
	// limit is the current limit, which is lowered after the server refused a
	// connection.
	limit int
	// open counts all connections, including idle ones and those that waiters
	// are about to open.
	open    int
	server  Server
	waiting []*waiter
}

// waiter is a request that waits for a connection to a server.
type waiter struct {
	// anyWorkspace means that the connection of any workspace will do.
	anyWorkspace bool
	// retryAt is when to try again if nothing was granted by then, or zero.
	retryAt time.Time
	// granted receives a connection, or nil if the waiter may open one itself.
	granted    chan *PooledConn
	priority   int
	enqueuedAt time.Time
	workspace  fleet.WorkspaceID
}

// New returns a pool without servers.
func New(dialer Dialer, clock session.Clock) *Pool {
	return &Pool{clock: clock, dialer: dialer, servers: map[fleet.ServerID]*serverState{}}
}

// SetServers replaces the set of servers. Connections to servers that were removed
// or whose address changed are closed: idle ones at once, others when they are
// released.
func (p *Pool) SetServers(now time.Time, servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[fleet.ServerID]bool, len(servers))
	for _, server := range servers {
		known[server.ID] = true
		s := p.servers[server.ID]
		if s == nil || s.server.Address != server.Address {
			replaced := s
			s = &serverState{limitChangedAt: now, limit: server.Limit}
			p.servers[server.ID] = s
			if replaced != nil {
				replaced.closeIdle()
				replaced.moveWaiters(s)
			}
		}
		if server.Limit != s.server.Limit {
			s.limit = server.Limit
		}
		s.server = server
		s.trimIdle()
	}
	for id, s := range p.servers {
		if !known[id] {
			s.closeIdle()
			delete(p.servers, id)
			s.moveWaiters(nil)
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
	return Counts{Idle: len(s.idle), Open: s.open, Waiting: len(s.waiting)}
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
	// Variables are the session variables. A connection on which exactly these
	// are set is preferred.
	Variables map[string]string
	Workspace fleet.WorkspaceID
}

// Acquire returns a connection to a server for the request's workspace. It waits
// for one until the deadline. An error means that no command was sent.
func (p *Pool) Acquire(server fleet.ServerID, request Request) (*PooledConn, *session.RunError) {
	for {
		now := p.clock()
		if !now.Before(request.Deadline) {
			return nil, &session.RunError{Kind: session.KindBusy, Text: "all connections to the server are in use"}
		}
		conn, w, failure := p.reserve(now, server, request)
		if failure != nil {
			return nil, failure
		}
		if conn != nil {
			return conn, nil
		}
		if w != nil {
			granted := false
			if conn, granted = p.wait(now, request.Deadline, server, w); conn != nil {
				return conn, nil
			}
			if !granted {
				continue
			}
		}
		conn, failure, retry := p.open(request.Deadline, server, request.Workspace)
		if !retry {
			return conn, failure
		}
	}
}

// controlPriority is before the priorities of all requests of callers.
const controlPriority = -1

// controlWorkspace is the workspace of connections that AcquireAny opens.
const controlWorkspace fleet.WorkspaceID = "nutmegpier"

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
	var w *waiter
	if len(s.idle) > 0 {
		conn := s.idle[0]
		s.idle = s.idle[1:]
		p.mu.Unlock()
		return conn, nil
	}
	if s.open < s.limit || s.open == 0 {
		s.open++
	} else {
		w = &waiter{anyWorkspace: true, granted: make(chan *PooledConn, 1), priority: controlPriority, enqueuedAt: now}
		s.enqueue(w)
	}
	p.mu.Unlock()
	if w != nil {
		conn, granted := p.wait(now, deadline, server, w)
		if conn != nil {
			return conn, nil
		}
		if !granted {
			return nil, busy
		}
	}
	conn, failure, _ := p.open(deadline, server, controlWorkspace)
	return conn, failure
}

// reserve returns an idle connection, or a waiter that was added to the queue. If
// both are nil, it has reserved a place for a new connection that the caller must
// open.
func (p *Pool) reserve(now time.Time, server fleet.ServerID, request Request) (*PooledConn, *waiter, *session.RunError) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	if s == nil {
		return nil, nil, &session.RunError{Kind: session.KindBusy, Text: "the server is not known"}
	}
	s.raiseLimit(now)
	if conn := s.takeIdle(request.Workspace, request.Variables); conn != nil {
		return conn, nil, nil
	}
	refused := now.Before(s.refusedUntil)
	if s.open < s.limit && !refused {
		s.open++
		return nil, nil, nil
	}
	if len(s.idle) > 0 {
		// All idle connections are of other workspaces. Replace one of them.
		s.closeOldest()
		return nil, nil, nil
	}
	w := &waiter{granted: make(chan *PooledConn, 1), priority: request.Priority, enqueuedAt: now, workspace: request.Workspace}
	if refused && s.open < s.limit {
		w.retryAt = s.refusedUntil
	}
	s.enqueue(w)
	return nil, w, nil
}

// wait waits until the waiter is granted a connection or, if the returned one is nil,
// the right to open one. It gives up at the deadline or at the waiter's retryAt.
func (p *Pool) wait(now, deadline time.Time, server fleet.ServerID, w *waiter) (conn *PooledConn, granted bool) {
	waitUntil := deadline
	if !w.retryAt.IsZero() && w.retryAt.Before(deadline) {
		waitUntil = w.retryAt
	}
	timer := time.NewTimer(waitUntil.Sub(now))
	defer timer.Stop()
	select {
	case conn := <-w.granted:
		return conn, true
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; s != nil {
		if i := slices.Index(s.waiting, w); i >= 0 {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			return nil, false
		}
	}
	select {
	case conn := <-w.granted:
		return conn, true
	default:
		return nil, false
	}
}

// open opens a connection for which a place is already counted. Retry is true if
// the server refused it because it accepts no further connection for now.
func (p *Pool) open(deadline time.Time, server fleet.ServerID, workspace fleet.WorkspaceID) (pooledConn *PooledConn, failure *session.RunError, retry bool) {
	p.mu.Lock()
	s := p.servers[server]
	var target Server
	if s != nil {
		target = s.server
	}
	p.mu.Unlock()
	if s == nil {
		return nil, &session.RunError{Kind: session.KindBusy, Text: "the server is gone"}, false
	}
	conn, failure := p.dialer.Dial(deadline, target, workspace)
	if failure == nil {
		p.mu.Lock()
		s.dialBackoff = 0
		p.mu.Unlock()
		return &PooledConn{Conn: conn, State: session.NewConnState(), owner: s, workspace: workspace}, nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.open--
	refused := failure.Kind == session.KindBusy
	if refused {
		s.limit = max(1, s.open)
		s.limitChangedAt = p.clock()
		s.dialBackoff = min(maxDialBackoff, max(initialDialBackoff, 2*s.dialBackoff))
		s.refusedUntil = s.limitChangedAt.Add(s.dialBackoff)
	}
	s.wakeWaiters(p.clock())
	return nil, failure, refused
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
	if conn.broken || !conn.Reusable() || conn.State.Uncertain() || s.open > s.limit {
		conn.Close()
		s.open--
		s.wakeWaiters(now)
		return
	}
	conn.releasedAt = now
	if w := s.nextWaiter(now, conn.workspace); w != nil {
		if w.anyWorkspace || w.workspace == conn.workspace {
			w.granted <- conn
			return
		}
		conn.Close()
		w.granted <- nil
		return
	}
	if len(s.idle) >= s.server.Idle {
		// Close it, so that other instances can open a connection.
		conn.Close()
		s.open--
		return
	}
	s.idle = append(s.idle, conn)
}

// Sweep closes connections that were idle for longer than maxIdleTime.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		for len(s.idle) > 0 && now.Sub(s.idle[0].releasedAt) > maxIdleTime {
			s.closeOldest()
			s.open--
		}
	}
}

// CloseIdle closes the idle connections to one server.
func (p *Pool) CloseIdle(server fleet.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; s != nil {
		s.closeIdle()
		s.wakeWaiters(p.clock())
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

// trimIdle closes idle connections until their number is within the limit, the
// least recently used ones first.
func (s *serverState) trimIdle() {
	for len(s.idle) > s.server.Idle {
		s.closeOldest()
		s.open--
	}
}

// closeOldest closes the least recently used idle connection. It stays counted in
// open, so that the caller can open another one in its place.
func (s *serverState) closeOldest() {
	s.idle[0].Close()
	s.idle = s.idle[1:]
}

// closeIdle closes all idle connections.
func (s *serverState) closeIdle() {
	for _, conn := range s.idle {
		conn.Close()
	}
	s.open -= len(s.idle)
	s.idle = nil
}

// raiseLimit raises a limit that was lowered after a refusal, by one each
// limitRaiseInterval.
func (s *serverState) raiseLimit(now time.Time) {
	if s.limit < s.server.Limit && now.Sub(s.limitChangedAt) >= limitRaiseInterval {
		s.limit++
		s.limitChangedAt = now
	}
}

// takeIdle removes and returns an idle connection of the workspace, or nil. It
// prefers one on which exactly the session variables are set, and then the most
// recently used one.
func (s *serverState) takeIdle(workspace fleet.WorkspaceID, variables map[string]string) *PooledConn {
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
	if !conn.Alive() {
		conn.Close()
		s.open--
		return s.takeIdle(workspace, variables)
	}
	return conn
}

// enqueue adds a waiter behind the others of its priority.
func (s *serverState) enqueue(w *waiter) {
	index := len(s.waiting)
	for index > 0 && s.waiting[index-1].priority > w.priority {
		index--
	}
	s.waiting = slices.Insert(s.waiting, index, w)
}

// nextWaiter removes and returns the next waiter, or nil. This is the first one of
// the given workspace with the priority of the queue's head, unless there is none
// or the head has waited for reusePreferencePeriod or accepts any workspace.
func (s *serverState) nextWaiter(now time.Time, workspace fleet.WorkspaceID) *waiter {
	if len(s.waiting) == 0 {
		return nil
	}
	chosen := 0
	if first := s.waiting[0]; !first.anyWorkspace && now.Sub(first.enqueuedAt) < reusePreferencePeriod {
		chosen = max(0, slices.IndexFunc(s.waiting, func(w *waiter) bool { return w.priority == first.priority && w.workspace == workspace }))
	}
	w := s.waiting[chosen]
	s.waiting = slices.Delete(s.waiting, chosen, chosen+1)
	return w
}

// moveWaiters lets all waiters go on with the state that replaced this one, or fail if
// the server was removed.
func (s *serverState) moveWaiters(replacement *serverState) {
	for _, w := range s.waiting {
		if replacement != nil {
			replacement.open++
		}
		w.granted <- nil
	}
	s.waiting = nil
}

// wakeWaiters lets waiters open connections while the limit allows it.
func (s *serverState) wakeWaiters(now time.Time) {
	for len(s.waiting) > 0 && s.open < s.limit && !now.Before(s.refusedUntil) {
		s.open++
		s.nextWaiter(now, "").granted <- nil
	}
}
