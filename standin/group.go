package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

// firstTerm is the term of the first server when a group starts.
const firstTerm fleet.Term = 1

// Group is a group of stand-in database servers with replication. The first
// server starts as the primary of term 1.
type Group struct {
	cancel  context.CancelFunc
	ctx     context.Context
	options Options
	servers []*Server
	wg      sync.WaitGroup

	// mu guards the replication state of all servers. It is never held while
	// a statement runs. An engine's lock is taken before it, never after.
	mu sync.Mutex
	// cut holds the pairs of servers that cannot reach each other.
	cut map[link]bool
}

// link is the path from one server to another.
type link struct{ from, to fleet.ServerID }

// NewGroup starts the servers of a group. Close stops them.
func NewGroup(options Options) (*Group, error) {
	if err := options.check(); err != nil {
		return nil, &Error{Err: err, Kind: KindOptions, Op: "new group"}
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{cancel: cancel, ctx: ctx, cut: make(map[link]bool), options: options}
	for i := range options.Servers {
		s, err := g.newServer(i)
		if err != nil {
			g.Close()
			return nil, err
		}
		g.servers = append(g.servers, s)
	}
	g.servers[0].role = group.RolePrimary
	g.start()
	return g, nil
}

// newServer opens the listener and the engine of the server with an index.
func (g *Group) newServer(index int) (*Server, error) {
	id := fleet.ServerID(fmt.Sprintf("%s-%d", g.options.ID, index+1))
	listener, err := g.listener(index)
	if err != nil {
		return nil, &Error{Err: err, Kind: KindListen, Op: "new group"}
	}
	e, err := newEngine()
	if err != nil {
		listener.Close()
		return nil, &Error{Err: err, Kind: KindStatement, Op: "new group"}
	}
	now := time.Now()
	return &Server{
		applied:  1,
		applyLag: g.options.ApplyLag,
		changed:  make(chan struct{}),
		contact:  now,
		engine:   e,
		group:    g,
		id:       id,
		listener: listener,
		log:      []logged{{entry: &entry{term: firstTerm}, at: now}},
		promise:  Promise{Term: firstTerm},
		open:     make(map[*transaction]struct{}),
		role:     group.RoleReplica,
		running:  true,
		sessions: make(map[uint32]*session),
		slots:    make(chan struct{}, g.options.Slots),
		term:     firstTerm,
	}, nil
}

func (g *Group) listener(index int) (net.Listener, error) {
	if len(g.options.Listeners) > 0 {
		return g.options.Listeners[index], nil
	}
	return net.Listen("tcp", "127.0.0.1:0")
}

// start starts the listeners, the replication links and the apply loops.
func (g *Group) start() {
	for _, s := range g.servers {
		g.wg.Go(s.accept)
		g.wg.Go(s.applyLoop)
		for _, to := range g.servers {
			if to != s {
				g.wg.Go(func() { g.replicate(s, to) })
			}
		}
	}
}

// Close stops all servers and waits until their goroutines have ended.
func (g *Group) Close() {
	g.cancel()
	for _, s := range g.servers {
		s.listener.Close()
		s.closeSessions(func(*session) bool { return true })
	}
	g.wg.Wait()
	for _, s := range g.servers {
		s.engine.mu.Lock()
		s.engine.close()
		s.engine.mu.Unlock()
	}
}

// PartitionServer cuts a server off from the other servers of the group, or heals
// the cut. Clients still reach it: a primary that is cut off takes writes.
func (g *Group) PartitionServer(id fleet.ServerID, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.id != id {
			g.cut[link{id, s.id}] = cut
			g.cut[link{s.id, id}] = cut
		}
		s.broadcast()
	}
}

// Exec runs statements on the primary and waits until each running server
// that the primary reaches has applied them.
func (g *Group) Exec(ctx context.Context, sql string) error {
	primary := g.Primary()
	if primary == nil {
		return &Error{Kind: KindNoPrimary, Op: "exec"}
	}
	if err := primary.exec(ctx, sql); err != nil {
		return &Error{Err: err, Kind: KindStatement, Op: "exec"}
	}
	return g.WaitApplied(ctx)
}

// ID returns the id of the group.
func (g *Group) ID() fleet.GroupID {
	return g.options.ID
}

// Primary returns the running primary with the highest term, or nil.
func (g *Group) Primary() *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	var primary *Server
	for _, s := range g.servers {
		if s.role == group.RolePrimary && s.running && (primary == nil || s.term > primary.term) {
			primary = s
		}
	}
	return primary
}

// Server returns the server with the id, or nil.
func (g *Group) Server(id fleet.ServerID) *Server {
	for _, s := range g.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// Servers returns all servers in the order of their start.
func (g *Group) Servers() []*Server {
	return append([]*Server(nil), g.servers...)
}

// WaitApplied waits until each running server that the primary reaches has
// applied the primary's log.
func (g *Group) WaitApplied(ctx context.Context) error {
	primary := g.Primary()
	if primary == nil {
		return &Error{Kind: KindNoPrimary, Op: "wait applied"}
	}
	g.mu.Lock()
	target := primary.logEnd()
	g.mu.Unlock()
	for _, s := range g.servers {
		reached := func() bool {
			return !g.linked(primary, s) || s.appliedCovers(target)
		}
		if err := s.waitFor(ctx, reached); err != nil {
			return &Error{Err: err, Kind: KindStatement, Op: "wait applied"}
		}
	}
	return nil
}

// linked reports whether replication from one server reaches the other. The
// caller holds the group's lock.
func (g *Group) linked(from, to *Server) bool {
	up := from.running && to.running && !from.paused && !to.paused
	return up && (from == to || !g.cut[link{from.id, to.id}])
}
