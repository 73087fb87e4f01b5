package harness

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the interval of a server's writes to the store, and
	// lostHeartbeats the number of missing ones after which its entry is removed.
	heartbeatInterval = 1200 * time.Millisecond
	lostHeartbeats    = 3
	// slots is the number of statements that a server runs at a time.
	slots = 3
)

// logEntry is a committed transaction, or a single write, in a server's log.
type logEntry struct {
	// id is that of the request that committed.
	id     string
	number int
	term   int
	writes []write
}

type write struct{ item, data string }

// Run is one client statement that a server ran, or a request for one that it refused.
type Run struct {
	// Arrived is when the statement reached the server.
	Arrived time.Time
	Code    string
	ID      string
	Server  *Server
	// Tenant is the one that the startup message named.
	Tenant string
	Text   string
	// Log is the number of the last entry that the statement saw.
	Log int
	// Term is the one that the server led or followed, and GroupTerm the latest term of
	// the group, which a promotion began.
	Term      int
	GroupTerm int
}

// Server is a stand-in for one database server. It keeps its log when it crashes.
type Server struct {
	ID   string
	Zone string

	address string
	group   *Group
	slots   chan struct{}

	// The group's mu guards the fields below.
	applied  int
	conns    map[net.Conn]bool
	deaf     bool
	delay    time.Duration
	listener net.Listener
	log      []logEntry
	primary  bool
	received *sync.Cond
	seq      int
	state    string
	term     int
}

// start listens and begins to send heartbeats.
func (s *Server) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.address = listener, listener.Addr().String()
	s.register()
	go s.accept(listener)
	go s.beat(listener)
	return nil
}

func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		s.conns[conn] = true
		full := len(s.conns) > s.group.maxConns
		s.group.mu.Unlock()
		go s.serve(conn, full)
	}
}

// beat writes the entry at intervals until the server crashes.
func (s *Server) beat(listener net.Listener) {
	for {
		time.Sleep(heartbeatInterval)
		s.group.mu.Lock()
		up := s.listener == listener
		s.group.mu.Unlock()
		if !up {
			return
		}
		s.register()
	}
}

// register writes the server's entry to the store.
func (s *Server) register() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.registerLocked()
}

func (s *Server) registerLocked() {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	s.seq++
	s.group.store.Put("servers", s.ID, map[string]any{
		"service": s.group.Service, "addr": s.address, "zone": s.Zone, "version": "v1", "slots": slots, "state": s.state,
		"cold_remaining_ms": 0, "db_role": role, "seq": s.seq, "born": s.group.born,
	})
}

// Drain reports that the server is about to leave. It goes on serving.
func (s *Server) Drain() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.state = "draining"
	s.registerLocked()
	s.group.record.Add("server %s reports draining", s.ID)
}

// Crash ends the server without a message: its connections and its port are closed, and
// its entry is removed after the heartbeats are missed.
func (s *Server) Crash() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.record.Add("server %s crashes with log %s", s.ID, s.positionLocked())
	s.disconnect()
}

// Cut partitions the server from the instances, the store and the other servers. It knows
// nothing of that and keeps its state. Connections to it are reset and refused.
func (s *Server) Cut() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.record.Add("server %s is cut off with log %s", s.ID, s.positionLocked())
	s.disconnect()
}

// Heal ends the partition. A primary that has been replaced goes on until a second after it
// can reach the new one.
func (s *Server) Heal() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.listener = listener
	s.group.record.Add("server %s is reachable again, primary %t, term %d, log %s", s.ID, s.primary, s.term, s.positionLocked())
	s.registerLocked()
	go s.accept(listener)
	go s.beat(listener)
	if leader := s.group.leader(); s.primary && leader != s && leader != nil {
		time.AfterFunc(time.Second, func() { s.group.stepDown(s) })
	}
	return nil
}

// disconnect closes the port and the connections. The entry is removed after the
// heartbeats are missed. The caller holds mu.
func (s *Server) disconnect() {
	_ = s.listener.Close()
	s.listener = nil
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.received.Broadcast()
	missed := s.seq
	time.AfterFunc(lostHeartbeats*heartbeatInterval, func() {
		s.group.mu.Lock()
		defer s.group.mu.Unlock()
		if s.seq == missed {
			s.group.store.Put("servers", s.ID, nil)
		}
	})
}

// SetDeaf makes the server receive nothing from the primary until it is set to false.
func (s *Server) SetDeaf(deaf bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.deaf = deaf
	s.group.record.Add("server %s receives nothing from the primary: %t", s.ID, deaf)
	if leader := s.group.leader(); !deaf && leader != nil && leader != s {
		s.log = append([]logEntry(nil), leader.log...)
		s.applied = len(s.log)
	}
}

// SetDelay sets the time after which the server receives the commits that follow.
func (s *Server) SetDelay(delay time.Duration) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.delay = delay
	s.group.record.Add("server %s receives commits after %v", s.ID, delay)
}

func (s *Server) up() bool { return s.listener != nil }

// positionLocked is the end of the received log.
func (s *Server) positionLocked() string {
	if len(s.log) == 0 {
		return "-"
	}
	last := s.log[len(s.log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// HasCommit reports whether the log holds the commit of a request.
func (s *Server) HasCommit(id string) bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	for _, entry := range s.log {
		if entry.id == id {
			return true
		}
	}
	return false
}

// connection is the state of one connection to a server.
type connection struct {
	failed   bool
	open     bool
	prepared map[string]string
	readOnly bool
	tenant   string
	values   map[string]string
	writes   []write
}

// serve answers one connection until it ends, which rolls back its transaction.
func (s *Server) serve(conn net.Conn, full bool) {
	defer func() {
		_ = conn.Close()
		s.group.mu.Lock()
		delete(s.conns, conn)
		s.group.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	startup := strings.Fields(line)
	if len(startup) < 3 || startup[0] != "STARTUP" || startup[1] != s.group.Service || (len(startup) > 3 && startup[3] != s.ID) {
		_, _ = fmt.Fprintf(conn, "ERROR WRONGNODE %s\r\n", s.ID)
		return
	}
	if full {
		_, _ = fmt.Fprintf(conn, "ERROR TOOMANYCON %s\r\n", s.ID)
		return
	}
	s.group.mu.Lock()
	position := s.positionLocked()
	s.group.mu.Unlock()
	_, _ = fmt.Fprintf(conn, "READY I %s\r\n", position)
	c := &connection{prepared: map[string]string{}, tenant: startup[2], values: map[string]string{}}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		kind, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		if kind != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if _, err := conn.Write([]byte(s.query(c, id, text))); err != nil {
			return
		}
	}
}

// query runs one statement and returns the messages of its answer.
func (s *Server) query(c *connection, id, text string) string {
	arrived := time.Now()
	command := text
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		_, command, _ = strings.Cut(rest, " ")
	}
	keyword, _, _ := strings.Cut(command, " ")
	switch keyword {
	case "READ", "WRITE", "EXECUTE", "COMMIT", "STATUS":
		s.slots <- struct{}{}
		time.Sleep(s.group.workTime)
		defer func() { <-s.slots }()
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	seen := s.applied
	rows, code := s.run(c, id, text)
	if id != "-" {
		s.group.addRun(Run{Arrived: arrived, Code: code, ID: id, Log: seen, Server: s, Tenant: c.tenant, Text: text, Term: s.term, GroupTerm: s.group.term})
	}
	answer := ""
	if code != "" {
		answer = fmt.Sprintf("ERROR %s %s\r\n", code, s.ID)
		c.failed = c.failed || c.open
	} else {
		for _, r := range rows {
			answer += "DATAROW " + r + "\r\n"
		}
		signature := "-"
		if id != "-" {
			signature = "sig." + s.ID + "." + id
		}
		answer += "COMPLETE " + signature + "\r\n"
	}
	state := "I"
	switch {
	case c.open && c.failed:
		state = "E"
	case c.open:
		state = "T"
	}
	return answer + fmt.Sprintf("READY %s %s\r\n", state, s.positionLocked())
}

// run runs a statement and returns its rows or its error code. The caller holds mu.
func (s *Server) run(c *connection, id, text string) (rows []string, code string) {
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		var position string
		position, text, _ = strings.Cut(rest, " ")
		if !s.contains(position) {
			return nil, "LAGGING"
		}
	}
	fields := strings.Split(text, " ")
	if fields[0] == "EXECUTE" && len(fields) > 2 {
		shape, known := c.prepared[fields[1]]
		if !known {
			return nil, "NOSTMT"
		}
		fields = append([]string{shape}, fields[2:]...)
	}
	if c.failed && fields[0] != "ROLLBACK" && fields[0] != "COMMIT" {
		return nil, "MALFORMED"
	}
	if c.open && !c.readOnly && !s.primary && fields[0] != "ROLLBACK" && (fields[0] != "COMMIT" || len(c.writes) > 0) {
		return nil, "READONLY"
	}
	switch fields[0] {
	case "BEGIN":
		readOnly := len(fields) > 1
		if !readOnly && !s.primary {
			return nil, "READONLY"
		}
		c.open, c.readOnly = true, readOnly
	case "ROLLBACK":
		c.open, c.failed, c.writes = false, false, nil
	case "COMMIT":
		failed, writes := c.failed || !c.open, c.writes
		c.open, c.failed, c.writes = false, false, nil
		if failed {
			return nil, "ABORTED"
		}
		if len(writes) > 0 {
			return nil, s.commit(id, writes)
		}
	case "READ":
		return []string{s.read(c, fields[1])}, ""
	case "WRITE":
		if !s.primary || (c.open && c.readOnly) {
			return nil, "READONLY"
		}
		written := write{item: fields[1], data: strings.Join(fields[2:], " ")}
		if c.open {
			c.writes = append(c.writes, written)
			return nil, ""
		}
		return nil, s.commit(id, []write{written})
	case "SET":
		c.values[fields[1]] = strings.Join(fields[2:], " ")
	case "PREPARE":
		c.prepared[fields[1]] = fields[2]
	case "DEALLOC":
		delete(c.prepared, fields[1])
	case "RESET":
		clear(c.values)
		clear(c.prepared)
	case "STATUS":
		return []string{s.status()}, ""
	case "STEPDOWN":
		if term, _ := strconv.Atoi(fields[1]); s.primary && s.term < term {
			s.group.demote(s)
		}
		return []string{s.status()}, ""
	default:
		return nil, "MALFORMED"
	}
	return nil, ""
}

func (s *Server) status() string {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %s 0 0 %d %d", role, s.term, s.positionLocked(), len(s.slots), len(s.conns))
}

// contains reports whether the applied log holds a position. The caller holds mu.
func (s *Server) contains(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	wantTerm, _ := strconv.Atoi(term)
	want, err := strconv.Atoi(number)
	return err == nil && want >= 1 && want <= s.applied && s.log[want-1].term == wantTerm
}

// read returns the data of an item as of the applied log and the own transaction. The
// caller holds mu.
func (s *Server) read(c *connection, item string) string {
	for i := len(c.writes) - 1; i >= 0; i-- {
		if c.writes[i].item == item {
			return c.writes[i].data
		}
	}
	for i := s.applied - 1; i >= 0; i-- {
		for j := len(s.log[i].writes) - 1; j >= 0; j-- {
			if s.log[i].writes[j].item == item {
				return s.log[i].writes[j].data
			}
		}
	}
	return "none"
}

// commit appends an entry to the log, sends it to the replicas and, if the service has
// synchronous replicas, waits until one has received it. The caller holds mu.
func (s *Server) commit(id string, writes []write) string {
	if !s.primary || !s.up() {
		return "READONLY"
	}
	entry := logEntry{id: id, number: len(s.log) + 1, term: s.term, writes: writes}
	s.log = append(s.log, entry)
	s.applied = len(s.log)
	for _, replica := range s.group.Servers {
		if replica != s {
			time.AfterFunc(replica.delay, func() { s.group.receive(replica, s) })
		}
	}
	for s.group.syncReplicas > 0 && s.up() && s.primary && !s.group.replicated(s, entry.number) {
		s.received.Wait()
	}
	return ""
}
