package harness

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Group is a stand-in for the database servers of one service.
type Group struct {
	Service string
	Servers []*Server

	born         int64
	maxConns     int
	promoteTime  time.Duration
	record       *Record
	store        *Store
	syncReplicas int
	workTime     time.Duration

	mu   sync.Mutex
	runs []Run
	term int
}

// GroupConfig describes a group. Zones has one entry a server; the first is the primary.
type GroupConfig struct {
	// Delays are the times after which the servers receive a commit.
	Delays       []time.Duration
	PromoteTime  time.Duration
	Service      string
	SyncReplicas int
	// WorkTime is how long a read, write or commit occupies a slot.
	WorkTime time.Duration
	Zones    []string
}

func newGroup(config GroupConfig, store *Store, record *Record) (*Group, error) {
	g := &Group{
		Service: config.Service, born: time.Now().UnixMilli(), maxConns: MaxConns, promoteTime: config.PromoteTime,
		record: record, store: store, syncReplicas: config.SyncReplicas, term: 1, workTime: config.WorkTime,
	}
	for i, zone := range config.Zones {
		s := &Server{
			ID: "i-" + config.Service + "-" + strconv.Itoa(i), Zone: zone, conns: map[net.Conn]bool{}, delay: config.Delays[i], group: g,
			log: []logEntry{{id: "first", number: 1, term: 1}}, applied: 1, primary: i == 0, slots: make(chan struct{}, slots), state: "ready", term: 1,
		}
		s.received = sync.NewCond(&g.mu)
		g.Servers = append(g.Servers, s)
		if err := s.start(); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// addRun records a statement. The caller holds mu.
func (g *Group) addRun(run Run) {
	g.runs = append(g.runs, run)
	g.record.Add("server %s (%s) as tenant %s runs %s %s: code %q, log up to %d, term %d, latest term %d", run.Server.ID, run.Server.Zone, run.Tenant, run.ID, run.Text, run.Code, run.Log, run.Term, run.GroupTerm)
}

// Runs returns the statements of clients that reached the servers so far.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run(nil), g.runs...)
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
	if replica.deaf || !replica.up() || !primary.up() || !primary.primary || replica.primary || len(primary.log) <= len(replica.log) {
		return
	}
	replica.log = append([]logEntry(nil), primary.log[:len(replica.log)+1]...)
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
		s.log = append([]logEntry(nil), leader.log...)
		s.applied, s.term = len(s.log), leader.term
	}
	s.received.Broadcast()
	s.registerLocked()
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
	g.record.Add("server %s leads term %d with log %s", s.ID, s.term, s.positionLocked())
	for _, other := range g.Servers {
		if other != s && other.up() && !other.primary && !other.deaf {
			other.log = append([]logEntry(nil), s.log...)
			other.applied, other.term = len(other.log), s.term
		}
	}
	s.registerLocked()
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

// Order is a promotion order that the platform has received.
type Order struct {
	Holder  string
	Server  *Server
	Service string
	Token   string
}

// Cloud is a stand-in for the platform's endpoint for promotions.
type Cloud struct {
	address string
	groups  map[string]*Group
	record  *Record

	mu     sync.Mutex
	orders []Order
}

func newCloud(record *Record) (*Cloud, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Cloud{address: listener.Addr().String(), groups: map[string]*Group{}, record: record}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", c.promote)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return c, nil
}

// Orders returns the orders received so far.
func (c *Cloud) Orders() []Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Order(nil), c.orders...)
}

// promote handles an order. The promotion takes effect after the answer.
func (c *Cloud) promote(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || c.groups[order.Service] == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	received := Order{Holder: r.Header.Get("X-Duty-Holder"), Service: order.Service, Token: r.Header.Get("X-Fencing-Token")}
	group := c.groups[order.Service]
	for _, s := range group.Servers {
		if s.ID == order.ID {
			received.Server = s
		}
	}
	c.record.Add("platform gets POST /promote %s %s from %s with token %s", order.Service, order.ID, received.Holder, received.Token)
	c.mu.Lock()
	c.orders = append(c.orders, received)
	c.mu.Unlock()
	if received.Server == nil {
		w.WriteHeader(http.StatusConflict)
		return
	}
	time.AfterFunc(group.promoteTime, func() { group.promote(received.Server) })
	w.WriteHeader(http.StatusOK)
}
