// Package pool keeps connections to backend servers for many sessions.
// Connections are scarce over all instances together and new ones are dear, so
// each belongs to one workspace and is kept and reused.
package pool

import (
	"slices"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/session"
)

const (
	// idleBound closes connections that were not used for so long, so that
	// other instances can open theirs.
	idleBound = 20 * time.Second
	// growInterval is the time after which a limit that the server lowered by
	// refusing a connection is raised by one again.
	growInterval = time.Second
	// firstRefusedPause and maxRefusedPause bound the time after which an
	// opening that the server refused is tried again. A connection that its
	// owner closes leaves the server's count at once, that of an owner which
	// is cut off after some seconds.
	firstRefusedPause = 40 * time.Millisecond
	maxRefusedPause   = 500 * time.Millisecond
	// strangerPatience is how long a waiting request of another workspace
	// lets requests go first that can use a connection as it is.
	strangerPatience = 60 * time.Millisecond
)

// Conn is an open connection to a backend server.
type Conn interface {
	// Alive reports whether the connection is still open at both ends, as far
	// as can be told without sending.
	Alive() bool
	Close()
	// Run sends commands in one batch and returns the answer to the last.
	Run(deadline time.Time, commands []session.Command) (session.Reply, *session.RunError)
}

// Server is a backend server.
type Server struct {
	Address string
	Group   fleet.GroupID
	ID      fleet.ServerID
	// Idle is the number of connections that this instance may keep without
	// using them.
	Idle int
	// Limit is the number of connections that this instance may hold.
	Limit int
}

// Dialer opens connections. It returns an error with session.KindBusy if the
// server takes no further connection.
type Dialer interface {
	Dial(deadline time.Time, server Server, workspace fleet.WorkspaceID) (Conn, *session.RunError)
}

// PooledConn is a connection in use.
type PooledConn struct {
	Conn
	State *session.ConnState

	broken    bool
	owner     *serverState
	released  time.Time
	workspace fleet.WorkspaceID
}

// Break keeps the connection from being used again.
func (h *PooledConn) MarkBroken() {
	h.broken = true
}

// Counts are the numbers of one server.
type Counts struct {
	Idle    int
	Open    int
	Waiting int
}

// Pool holds the connections of one instance. It is safe for concurrent use.
type Pool struct {
	clock  session.Clock
	dialer Dialer

	mu      sync.Mutex
	servers map[fleet.ServerID]*serverState
}

type serverState struct {
	// fullUntil is when the server may be asked again that refused a further
	// connection, and pause the time before that.
	fullUntil time.Time
	pause     time.Duration

	grown   time.Time
	idle    []*PooledConn
	limit   int
	open    int
	server  Server
	waiting []*waiter
}

type waiter struct {
	// any accepts a connection of each workspace.
	any bool
	// again is when to ask anew although nothing was granted, or zero.
	again time.Time
	// granted gets a connection, or nil if the waiter may open one itself.
	granted   chan *PooledConn
	priority  int
	since     time.Time
	workspace fleet.WorkspaceID
}

// New returns a pool without servers.
func New(dialer Dialer, clock session.Clock) *Pool {
	return &Pool{clock: clock, dialer: dialer, servers: map[fleet.ServerID]*serverState{}}
}

// SetServers replaces the known servers. Idle connections to servers that are
// gone, or whose address changed, are closed; those in use when they are
// released.
func (p *Pool) SetServers(now time.Time, servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[fleet.ServerID]bool, len(servers))
	for _, server := range servers {
		known[server.ID] = true
		s := p.servers[server.ID]
		if s != nil && s.server.Address != server.Address {
			s.closeIdle()
			s = nil
		}
		if s == nil {
			s = &serverState{grown: now, limit: server.Limit}
			p.servers[server.ID] = s
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
		}
	}
}

// Counts returns the numbers of a server.
func (p *Pool) Counts(server fleet.ServerID) Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	if s == nil {
		return Counts{}
	}
	return Counts{Idle: len(s.idle), Open: s.open, Waiting: len(s.waiting)}
}

// HasIdle reports whether a workspace could use a connection at once.
func (p *Pool) HasIdle(server fleet.ServerID, workspace fleet.WorkspaceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	return s != nil && slices.ContainsFunc(s.idle, func(h *PooledConn) bool { return h.workspace == workspace })
}

// Request asks for a connection.
type Request struct {
	// Deadline is until when the request may wait.
	Deadline time.Time
	// Priority orders waiting requests; zero goes first.
	Priority int
	// Values are those of the session: a connection that holds them already
	// is preferred.
	Variables map[string]string
	Workspace fleet.WorkspaceID
}

// Acquire returns a connection of a workspace to a server. The error means
// that nothing was sent.
func (p *Pool) Acquire(server fleet.ServerID, request Request) (*PooledConn, *session.RunError) {
	for {
		now := p.clock()
		if !now.Before(request.Deadline) {
			return nil, &session.RunError{Kind: session.KindBusy, Text: "all connections to the server are in use"}
		}
		held, w, failure := p.reserve(now, server, request)
		if failure != nil {
			return nil, failure
		}
		if held != nil {
			return held, nil
		}
		if w != nil {
			granted := false
			if held, granted = p.wait(now, request.Deadline, server, w); held != nil {
				return held, nil
			}
			if !granted {
				continue
			}
		}
		held, failure, again := p.open(request.Deadline, server, request.Workspace)
		if !again {
			return held, failure
		}
	}
}

// controlPriority goes before those of all requests.
const controlPriority = -1

// controlWorkspace is the owner of connections that were opened for control.
const controlWorkspace fleet.WorkspaceID = "nutmegpier"

// AcquireAny returns a connection of any workspace, for queries that are not
// a caller's. It goes before all waiting requests, so that a server whose
// connections are all in use can still be asked for its status.
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
		held := s.idle[0]
		s.idle = s.idle[1:]
		p.mu.Unlock()
		return held, nil
	}
	if s.open < s.limit || s.open == 0 {
		s.open++
	} else {
		w = &waiter{any: true, granted: make(chan *PooledConn, 1), priority: controlPriority, since: now}
		s.enqueue(w)
	}
	p.mu.Unlock()
	if w != nil {
		held, granted := p.wait(now, deadline, server, w)
		if held != nil {
			return held, nil
		}
		if !granted {
			return nil, busy
		}
	}
	held, failure, _ := p.open(deadline, server, controlWorkspace)
	return held, failure
}

// reserve takes an idle connection, or the right to open one (both results
// nil), or a place in the queue.
func (p *Pool) reserve(now time.Time, server fleet.ServerID, request Request) (*PooledConn, *waiter, *session.RunError) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	if s == nil {
		return nil, nil, &session.RunError{Kind: session.KindBusy, Text: "the server is not known"}
	}
	s.grow(now)
	if held := s.takeIdle(request.Workspace, request.Variables); held != nil {
		return held, nil, nil
	}
	full := now.Before(s.fullUntil)
	if s.open < s.limit && !full {
		s.open++
		return nil, nil, nil
	}
	if len(s.idle) > 0 {
		// The one that was not used for longest makes room.
		s.closeOldest()
		return nil, nil, nil
	}
	w := &waiter{granted: make(chan *PooledConn, 1), priority: request.Priority, since: now, workspace: request.Workspace}
	if full && s.open < s.limit {
		w.again = s.fullUntil
	}
	s.enqueue(w)
	return nil, w, nil
}

// wait waits for a connection, or for the right to open one (granted without
// a connection).
func (p *Pool) wait(now, deadline time.Time, server fleet.ServerID, w *waiter) (held *PooledConn, granted bool) {
	bound := deadline
	if !w.again.IsZero() && w.again.Before(deadline) {
		bound = w.again
	}
	timer := time.NewTimer(bound.Sub(now))
	defer timer.Stop()
	select {
	case held := <-w.granted:
		return held, true
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
	case held := <-w.granted:
		return held, true
	default:
		return nil, false
	}
}

// open opens the connection that reserve or a release made room for. Again is
// true if the server refuses more connections for now.
func (p *Pool) open(deadline time.Time, server fleet.ServerID, workspace fleet.WorkspaceID) (held *PooledConn, failure *session.RunError, again bool) {
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
		s.pause = 0
		p.mu.Unlock()
		return &PooledConn{Conn: conn, State: session.NewConnState(), owner: s, workspace: workspace}, nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.open--
	full := failure.Kind == session.KindBusy
	if full {
		s.limit = max(1, s.open)
		s.grown = p.clock()
		s.pause = min(maxRefusedPause, max(firstRefusedPause, 2*s.pause))
		s.fullUntil = s.grown.Add(s.pause)
	}
	s.wake(p.clock())
	return nil, failure, full
}

// Release gives a connection back.
func (p *Pool) Release(server fleet.ServerID, held *PooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	s := p.servers[server]
	if s == nil || s != held.owner {
		held.Close()
		return
	}
	if held.broken || s.open > s.limit {
		held.Close()
		s.open--
		s.wake(now)
		return
	}
	held.released = now
	if w := s.next(now, held.workspace); w != nil {
		if w.any || w.workspace == held.workspace {
			w.granted <- held
			return
		}
		held.Close()
		w.granted <- nil
		return
	}
	if len(s.idle) >= s.server.Idle {
		// Other instances need the place more than this one the connection.
		held.Close()
		s.open--
		return
	}
	s.idle = append(s.idle, held)
}

// Sweep closes connections that were idle for long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		for len(s.idle) > 0 && now.Sub(s.idle[0].released) > idleBound {
			s.closeOldest()
			s.open--
		}
	}
}

// Drop closes the idle connections to a server.
func (p *Pool) CloseIdle(server fleet.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; s != nil {
		s.closeIdle()
		s.wake(p.clock())
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

// trimIdle closes the idle connections over the allowed number, the ones that
// were not used for longest first.
func (s *serverState) trimIdle() {
	for len(s.idle) > s.server.Idle {
		s.closeOldest()
		s.open--
	}
}

// closeOldest closes the idle connection that was not used for longest. Its
// place stays counted.
func (s *serverState) closeOldest() {
	s.idle[0].Close()
	s.idle = s.idle[1:]
}

func (s *serverState) closeIdle() {
	for _, held := range s.idle {
		held.Close()
	}
	s.open -= len(s.idle)
	s.idle = nil
}

// grow raises a limit that a refusal lowered, one step at a time.
func (s *serverState) grow(now time.Time) {
	if s.limit < s.server.Limit && now.Sub(s.grown) >= growInterval {
		s.limit++
		s.grown = now
	}
}

// takeIdle takes the connection of the workspace that was used last, and one
// that holds the values before one that does not.
func (s *serverState) takeIdle(workspace fleet.WorkspaceID, values map[string]string) *PooledConn {
	chosen := -1
	for i := len(s.idle) - 1; i >= 0; i-- {
		if s.idle[i].workspace != workspace {
			continue
		}
		if s.idle[i].State.HasVariables(values) {
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
	held := s.idle[chosen]
	s.idle = slices.Delete(s.idle, chosen, chosen+1)
	if !held.Alive() {
		held.Close()
		s.open--
		return s.takeIdle(workspace, values)
	}
	return held
}

// enqueue adds a waiter behind those of its priority.
func (s *serverState) enqueue(w *waiter) {
	place := len(s.waiting)
	for place > 0 && s.waiting[place-1].priority > w.priority {
		place--
	}
	s.waiting = slices.Insert(s.waiting, place, w)
}

// next removes the waiter whose turn it is: the first of the same workspace,
// unless the first of all has waited for long.
func (s *serverState) next(now time.Time, workspace fleet.WorkspaceID) *waiter {
	if len(s.waiting) == 0 {
		return nil
	}
	chosen := 0
	if first := s.waiting[0]; !first.any && now.Sub(first.since) < strangerPatience {
		chosen = max(0, slices.IndexFunc(s.waiting, func(w *waiter) bool { return w.priority == first.priority && w.workspace == workspace }))
	}
	w := s.waiting[chosen]
	s.waiting = slices.Delete(s.waiting, chosen, chosen+1)
	return w
}

// wake lets waiters open connections for which there is room.
func (s *serverState) wake(now time.Time) {
	for len(s.waiting) > 0 && s.open < s.limit && !now.Before(s.fullUntil) {
		s.open++
		s.next(now, "").granted <- nil
	}
}
