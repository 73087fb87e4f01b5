package harness

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// GroupConfig describes the database servers of a service. The first one is the primary.
type GroupConfig struct {
	// PromoteTime is the time from an order to its effect.
	PromoteTime  time.Duration
	Servers      []ServerConfig
	Service      string
	SyncReplicas int
	// WorkTime is how long a read, write or commit occupies a slot.
	WorkTime time.Duration
}

// Group is a stand-in for the database servers of one service.
type Group struct {
	Servers []*Server

	born   int64
	config GroupConfig
	record *Record
	store  *store

	mu   sync.Mutex
	runs []Run
	term int
}

func newGroup(config GroupConfig, store *store, record *Record) (*Group, error) {
	g := &Group{born: time.Now().UnixMilli(), config: config, record: record, store: store, term: 1}
	for i, server := range config.Servers {
		s := &Server{
			ID: "i-" + config.Service + "-" + strconv.Itoa(i), applied: 1, config: server, conns: map[net.Conn]bool{}, group: g,
			log: []logEntry{{number: 1, term: 1}}, primary: i == 0, slots: make(chan struct{}, slots), term: 1,
		}
		s.received = sync.NewCond(&g.mu)
		g.Servers = append(g.Servers, s)
		if err := s.Start(); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// Runs returns the statements of clients that reached the servers so far.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.runs)
}

// Primary returns the running server that leads the latest term, or nil.
func (g *Group) Primary() *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader()
}

func (g *Group) leader() *Server {
	for _, s := range g.Servers {
		if s.primary && s.up() && s.term == g.term {
			return s
		}
	}
	return nil
}

// receive copies the part of the primary's log to a replica that was sent by now.
func (g *Group) receive(replica, primary *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !replica.up() || !primary.up() || !primary.primary || replica.primary || len(primary.log) <= len(replica.log) {
		return
	}
	replica.log = slices.Clone(primary.log[:len(replica.log)+1])
	replica.applied = len(replica.log)
	primary.received.Broadcast()
}

// replicated reports whether a running replica has received an entry of the primary. The
// caller holds mu.
func (g *Group) replicated(primary *Server, number int) bool {
	for _, s := range g.Servers {
		if s != primary && s.up() && len(s.log) >= number {
			return true
		}
	}
	return false
}

// demote makes a server a replica of the present primary. The caller holds mu.
func (g *Group) demote(s *Server) {
	s.primary = false
	if leader := g.leader(); leader != nil {
		s.log = slices.Clone(leader.log)
		s.applied, s.term = len(s.log), leader.term
	}
	s.received.Broadcast()
	s.register()
}

// promote makes a server the primary of the next term. Replicas that were ahead are
// rolled back, and a running old primary steps down a second later.
func (g *Group) promote(s *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.up() || s == g.leader() {
		return
	}
	old := g.leader()
	g.term++
	s.term, s.primary = g.term, true
	g.record.Add("server %s leads term %d with log %s", s.ID, s.term, s.position())
	for _, other := range g.Servers {
		if other != s && other.up() && !other.primary {
			other.log = slices.Clone(s.log)
			other.applied, other.term = len(other.log), s.term
		}
	}
	s.register()
	if old != nil {
		time.AfterFunc(time.Second, func() { g.stepDown(old) })
	}
}

// stepDown makes an old primary a replica if it can reach the new one.
func (g *Group) stepDown(old *Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if leader := g.leader(); old.primary && old.up() && leader != nil && leader != old {
		g.demote(old)
	}
}

// cloud is a stand-in for the platform's endpoint for promotions.
type cloud struct {
	address string
	groups  map[string]*Group
	record  *Record
}

func newCloud(record *Record) (*cloud, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{address: listener.Addr().String(), groups: map[string]*Group{}, record: record}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", c.promote)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return c, nil
}

// promote handles an order. The promotion takes effect after the answer.
func (c *cloud) promote(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || c.groups[order.Service] == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.record.Add("platform gets POST /promote %s %s from %s with token %s", order.Service, order.ID, r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fencing-Token"))
	group := c.groups[order.Service]
	target := slices.IndexFunc(group.Servers, func(s *Server) bool { return s.ID == order.ID })
	if target < 0 {
		w.WriteHeader(http.StatusConflict)
		return
	}
	time.AfterFunc(group.config.PromoteTime, func() { group.promote(group.Servers[target]) })
	w.WriteHeader(http.StatusOK)
}
