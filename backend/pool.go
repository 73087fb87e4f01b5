package backend

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// Defaults of a pool.
const (
	defaultMaxOpening = 2
	defaultQueueLimit = 1024
)

// PoolConfig holds the dependencies and settings of a Pool.
type PoolConfig struct {
	// Connect opens a connection to a server. It must return when ctx is cancelled.
	Connect func(ctx context.Context, server fleet.ServerID, address string) (*Conn, error)
	// MaxOpening is the maximum number of connections to each server that are
	// opened concurrently. Zero means 2.
	MaxOpening int
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
	// QueueLimit is the maximum number of waiting requests of a workspace for each
	// server. Zero means 1024.
	QueueLimit int
	// OnStarved is called when the permits for a server don't suffice for the
	// waiting requests or the minimum number of connections. It must not block or
	// call the pool. It may be nil.
	OnStarved func(server fleet.ServerID)
}

// PoolRequest is a request for a connection from a Pool.
type PoolRequest struct {
	// ArrivedAt is when the request arrived from the caller.
	ArrivedAt time.Time
	// Deadline is when the request is refused if it is still waiting.
	Deadline time.Time
	// Primary means that the server was chosen as the primary of its group. It is
	// passed on to the lease.
	Primary bool
	// Priority orders the waiting requests of the workspace; lower values go first.
	Priority int
	// Server is the server to connect to.
	Server fleet.ServerID
	// Weight is the relative share of the workspace in the fair queue.
	Weight int
	// Workspace is the workspace of the caller.
	Workspace fleet.WorkspaceID
}

// Pool manages the session connections to all backend servers. PoolState makes the
// decisions, and Pool does the I/O. It is safe for concurrent use.
type Pool struct {
	cancel  context.CancelFunc
	config  PoolConfig
	ctx     context.Context
	mu      sync.Mutex
	servers map[fleet.ServerID]*poolServer
}

// poolServer holds the connections to one server. The pool's mu guards it.
type poolServer struct {
	address string
	id      fleet.ServerID
	// idle holds the idle connections, the most recently used one last.
	idle []*Conn
	// inUse holds the leases that have not been released.
	inUse map[*PoolLease]struct{}
	// lastErr is the result of the last attempt to connect.
	lastErr error
	// lastWaiter is the last waiter ID that was assigned.
	lastWaiter WaiterID
	// retryTimer ends the backoff after a failed attempt to connect.
	retryTimer *time.Timer
	state      *PoolState
	waiters    map[WaiterID]*waiter
}

// waiter is a waiting request. Its channel receives at most one grant.
type waiter struct {
	granted chan grant
	request PoolRequest
}

// grant is the result of a waiting request: a lease or an error.
type grant struct {
	err   error
	lease *PoolLease
}

// PoolLease is the exclusive use of one connection of a Pool until it is released.
type PoolLease struct {
	conn     *Conn
	pool     *Pool
	primary  bool
	released bool
	server   *poolServer
}

// NewPool returns a pool without servers.
func NewPool(config PoolConfig) *Pool {
	if config.MaxOpening == 0 {
		config.MaxOpening = defaultMaxOpening
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.QueueLimit == 0 {
		config.QueueLimit = defaultQueueLimit
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{cancel: cancel, config: config, ctx: ctx, servers: make(map[fleet.ServerID]*poolServer)}
}

// Acquire waits for a connection until the request's deadline. Errors are of type
// *Error, and all of them mean that nothing was sent to the server.
func (p *Pool) Acquire(ctx context.Context, now time.Time, request PoolRequest) (*PoolLease, error) {
	for {
		lease, err := p.acquire(ctx, now, request)
		if err != nil || lease.conn.Alive() {
			return lease, err
		}
		lease.Release(false)
	}
}

// acquire waits for a connection. The server may have closed the connection while
// it was idle.
func (p *Pool) acquire(ctx context.Context, now time.Time, request PoolRequest) (*PoolLease, error) {
	p.mu.Lock()
	s := p.servers[request.Server]
	if s == nil || s.state.Draining() {
		p.mu.Unlock()
		return nil, &Error{Op: "acquire", Kind: KindUnavailable, Err: errors.New("the server takes no new work")}
	}
	if s.state.TryGrant() {
		lease := p.lease(s, request.Primary)
		p.mu.Unlock()
		return lease, nil
	}
	counts := s.state.Counts()
	if counts.usedPermits() == 0 && now.Before(s.state.RetryAt()) {
		p.mu.Unlock()
		return nil, &Error{Op: "acquire", Kind: KindUnavailable, Err: errors.New("the server can't be reached")}
	}
	s.lastWaiter++
	id := s.lastWaiter
	w := &waiter{granted: make(chan grant, 1), request: request}
	s.waiters[id] = w
	actions, queued := s.state.Enqueue(now, workspace.Entry[WaiterID]{
		Deadline: request.Deadline, Priority: request.Priority, Value: id, Weight: request.Weight, Workspace: request.Workspace,
	})
	if !queued {
		delete(s.waiters, id)
		p.mu.Unlock()
		return nil, &Error{Op: "acquire", Kind: KindQueueFull}
	}
	p.perform(s, actions)
	p.mu.Unlock()
	return p.await(ctx, now, s, id, w)
}

// CloseInUse closes the connections to a server that are in use, and returns their
// number. It is meant for a server that can't respond any more, so that requests to
// it fail before AnswerTimeout has passed.
func (p *Pool) CloseInUse(server fleet.ServerID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	if s == nil {
		return 0
	}
	for lease := range s.inUse {
		_ = lease.conn.Close()
	}
	return len(s.inUse)
}

// Close closes all idle connections and refuses waiting and further requests.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		p.perform(s, s.state.Drain())
	}
}

// Counts returns the numbers of connections to and waiting requests for a server.
func (p *Pool) Counts(server fleet.ServerID) Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; s != nil {
		return s.state.Counts()
	}
	return Counts{}
}

// Drain refuses waiting and further requests for a server, and closes its
// connections as they become idle. SetServer ends the drain.
func (p *Pool) Drain(server fleet.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; s != nil {
		p.perform(s, s.state.Drain())
	}
}

// ReleasePermit gives up one permit for a server. It reports false if all permits
// are in use. If an idle connection used the permit, it has been closed when
// ReleasePermit returns.
func (p *Pool) ReleasePermit(server fleet.ServerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	if s == nil {
		return false
	}
	actions, released := s.state.ReleasePermit(p.config.Now())
	p.perform(s, actions)
	return released
}

// HeldPermits returns the number of permits in effect for a server. It is above the
// limit while connections that exceed a lowered limit are still in use.
func (p *Pool) HeldPermits(server fleet.ServerID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; s != nil {
		return s.state.HeldPermits()
	}
	return 0
}

// SetServer adds a server or changes its address and limits, and ends a drain. If
// the address changes, idle connections are closed, and connections in use are
// closed when they are released.
func (p *Pool) SetServer(server fleet.ServerID, address string, limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	if s == nil {
		s = &poolServer{address: address, id: server, inUse: make(map[*PoolLease]struct{}), waiters: make(map[WaiterID]*waiter)}
		s.state = NewPoolState(limits, p.config.MaxOpening, p.config.QueueLimit)
		p.servers[server] = s
	}
	if s.address != address {
		s.address = address
		p.perform(s, s.state.Drain())
	}
	p.perform(s, s.state.SetLimits(p.config.Now(), limits))
}

// SetMinConnections keeps at least n connections to a server open, as far as its
// permits allow.
func (p *Pool) SetMinConnections(server fleet.ServerID, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; s != nil {
		p.perform(s, s.state.SetMinConnections(p.config.Now(), n))
	}
}

// Conn returns the leased connection.
func (l *PoolLease) Conn() *Conn {
	return l.conn
}

// Primary reports whether the server was chosen as the primary of its group.
func (l *PoolLease) Primary() bool {
	return l.primary
}

// Release returns the connection to the pool. The connection is closed if it isn't
// healthy or not reusable, or if the pool no longer needs it. Further calls have no
// effect.
func (l *PoolLease) Release(healthy bool) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.released {
		return
	}
	l.released = true
	delete(l.server.inUse, l)
	healthy = healthy && l.conn.Reusable() && l.conn.config.Address == l.server.address && !l.server.state.Draining()
	if healthy {
		l.server.idle = append(l.server.idle, l.conn)
	} else {
		_ = l.conn.Close()
	}
	l.pool.perform(l.server, l.server.state.Release(l.pool.config.Now(), healthy))
}

// Server returns the ID of the server.
func (l *PoolLease) Server() fleet.ServerID {
	return l.server.id
}

// await waits for the grant of a queued request, its deadline or the cancellation
// of ctx.
func (p *Pool) await(ctx context.Context, now time.Time, s *poolServer, id WaiterID, w *waiter) (*PoolLease, error) {
	timer := time.NewTimer(w.request.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g.lease, g.err
	case <-ctx.Done():
	case <-timer.C:
	}
	p.mu.Lock()
	delete(s.waiters, id)
	abandoned := s.state.Abandon(id)
	p.mu.Unlock()
	if !abandoned {
		// The request was granted or refused meanwhile, so the grant is in the
		// channel.
		g := <-w.granted
		return g.lease, g.err
	}
	return nil, &Error{Op: "acquire", Kind: KindDeadline, Err: ctx.Err()}
}

// lease leases the most recently used idle connection, so that the others stay
// idle and can be closed. mu must be held, and the state already updated.
func (p *Pool) lease(s *poolServer, primary bool) *PoolLease {
	last := len(s.idle) - 1
	conn := s.idle[last]
	s.idle[last] = nil
	s.idle = s.idle[:last]
	lease := &PoolLease{conn: conn, pool: p, primary: primary, server: s}
	s.inUse[lease] = struct{}{}
	return lease
}

// open opens one connection, as requested by an ActionOpen.
func (p *Pool) open(s *poolServer, address string) {
	conn, err := p.config.Connect(p.ctx, s.id, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && (s.address != address || s.state.Draining()) {
		_ = conn.Close()
		err = &Error{Op: "open", Kind: KindClosed}
	}
	if err == nil {
		s.idle = append(s.idle, conn)
	}
	s.lastErr = err
	p.perform(s, s.state.Opened(p.config.Now(), err == nil))
	if err != nil {
		p.retryLater(s)
	}
}

// perform performs the actions that the state has returned. mu must be held.
func (p *Pool) perform(s *poolServer, actions []Action) {
	for _, action := range actions {
		switch action.Kind {
		case ActionCloseIdle:
			oldest := s.idle[0]
			s.idle = append(s.idle[:0], s.idle[1:]...)
			_ = oldest.Close()
		case ActionExpire:
			s.resolve(action.Waiter, grant{err: &Error{Op: "acquire", Kind: KindDeadline}})
		case ActionGrant:
			lease := p.lease(s, s.waiters[action.Waiter].request.Primary)
			s.resolve(action.Waiter, grant{lease: lease})
		case ActionOpen:
			go p.open(s, s.address)
		case ActionRefuse:
			s.resolve(action.Waiter, grant{err: &Error{Op: "acquire", Kind: KindUnavailable, Err: s.lastErr}})
		case ActionStarved:
			if p.config.OnStarved != nil {
				p.config.OnStarved(s.id)
			}
		}
	}
}

// retryLater makes the state open connections again once the backoff has passed.
// mu must be held.
func (p *Pool) retryLater(s *poolServer) {
	if s.retryTimer != nil {
		s.retryTimer.Stop()
	}
	s.retryTimer = time.AfterFunc(s.state.RetryAt().Sub(p.config.Now()), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.ctx.Err() == nil {
			p.perform(s, s.state.Tick(p.config.Now()))
		}
	})
}

// resolve sends the result to a waiter and removes it. The pool's mu must be
// held.
func (s *poolServer) resolve(id WaiterID, g grant) {
	w := s.waiters[id]
	delete(s.waiters, id)
	w.granted <- g
}
