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

// firstTerm is the term in which a group starts.
const firstTerm fleet.Term = 1

// Group is a group of stand-in database servers with replication. The first
// server starts as the primary of term 1.
type Group struct {
	cancel  context.CancelFunc
	ctx     context.Context
	options Options
	servers []*Server
	wg      sync.WaitGroup

	// mu guards the replication state of all servers. It is never held while a
	// statement runs. Lock order: a goroutine that needs both mu and an engine's
	// lock acquires the engine's lock first.
	mu sync.Mutex
	// partitioned holds the links that a simulated network partition interrupts.
	partitioned map[link]bool
}

// link is the replication link from one server to another.
type link struct{ from, to fleet.ServerID }

// NewGroup starts the servers of a group. Close stops them.
func NewGroup(options Options) (*Group, error) {
	if err := options.setDefaultsAndValidate(); err != nil {
		return nil, &Error{Err: err, Kind: KindOptions, Op: "new group"}
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{cancel: cancel, ctx: ctx, partitioned: make(map[link]bool), options: options}
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

// newServer creates the server with the given index, with its listener and its
// engine.
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
		applied:          1,
		applyLag:         g.options.ApplyLag,
		changed:          make(chan struct{}),
		lastContact:      now,
		engine:           e,
		group:            g,
		id:               id,
		listener:         listener,
		log:              []storedEntry{{entry: &entry{term: firstTerm}, storedAt: now}},
		promise:          Promise{Term: firstTerm},
		openTransactions: make(map[*transaction]struct{}),
		role:             group.RoleReplica,
		running:          true,
		sessions:         make(map[uint32]*session),
		slots:            make(chan struct{}, g.options.Slots),
		term:             firstTerm,
	}, nil
}

func (g *Group) listener(index int) (net.Listener, error) {
	if len(g.options.Listeners) > 0 {
		return g.options.Listeners[index], nil
	}
	return net.Listen("tcp", "127.0.0.1:0")
}

// start starts accepting connections, replication and the application of
// entries.
func (g *Group) start() {
	for _, s := range g.servers {
		g.wg.Go(s.acceptConnections)
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

// PartitionServer starts or ends a simulated network partition between a server
// and the other servers of the group. Clients still reach the server, and a
// partitioned primary still accepts writes.
func (g *Group) PartitionServer(id fleet.ServerID, partitioned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.id != id {
			g.partitioned[link{id, s.id}] = partitioned
			g.partitioned[link{s.id, id}] = partitioned
		}
		s.broadcast()
	}
}

// Exec runs statements on the primary and waits until each server to which the
// primary can replicate has applied them.
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

// WaitApplied waits until each server to which the primary can replicate has
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
			return !g.canReplicate(primary, s) || s.appliedCovers(target)
		}
		if err := s.waitFor(ctx, reached); err != nil {
			return &Error{Err: err, Kind: KindStatement, Op: "wait applied"}
		}
	}
	return nil
}

// canReplicate reports whether both servers are running, not paused and not
// separated by a partition. The caller holds the group's lock.
func (g *Group) canReplicate(from, to *Server) bool {
	up := from.running && to.running && !from.paused && !to.paused
	return up && (from == to || !g.partitioned[link{from.id, to.id}])
}
