package harness

import (
	"bufio"
	"cmp"
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
	number int
	term   int
	writes []write
}

type write struct{ item, data string }

// Run is one client statement that reached a server.
type Run struct {
	// Arrived is when the statement reached the server.
	Arrived time.Time
	// Code is the error code of its answer, or empty.
	Code string
	// CommitTerm and CommitNumber are the position of what the statement committed in the
	// server's log, or zero.
	CommitTerm   int
	CommitNumber int
	ID           string
	Server       *Server
	Text         string
}

// ServerConfig is what differs between the servers of a group and may change.
type ServerConfig struct {
	// Delay is the time after which the server receives a commit of the primary.
	Delay time.Duration
	// State is that of the server's entry in the store, and ready if it is empty.
	State string
	Zone  string
}

// Server is a stand-in for one database server.
type Server struct {
	ID string

	address string
	group   *Group
	slots   chan struct{}

	// The group's mu guards the fields below.
	applied  int
	config   ServerConfig
	conns    map[net.Conn]bool
	listener net.Listener
	log      []logEntry
	primary  bool
	received *sync.Cond
	seq      int
	term     int
}

// Start makes the server reachable and starts its heartbeats, at first or after Disconnect.
// A primary that was replaced meanwhile goes on until a second after it can reach the new
// one.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", cmp.Or(s.address, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.listener, s.address = listener, listener.Addr().String()
	s.group.record.Add("server %s is reachable, primary %t, term %d, log %s", s.ID, s.primary, s.term, s.position())
	s.register()
	go s.accept(listener)
	go s.beat(listener)
	if leader := s.group.leader(); s.primary && leader != nil && leader != s {
		time.AfterFunc(time.Second, func() { s.group.stepDown(s) })
	}
	return nil
}

// Disconnect closes the port and all connections of the server, as in a crash or when it is
// cut off with refusals. The server keeps its log and role. Its entry is removed after the
// heartbeats are missed.
func (s *Server) Disconnect() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.record.Add("server %s is disconnected, with log %s", s.ID, s.position())
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
			s.group.store.put("servers", s.ID, nil)
		}
	})
}

// Update changes the configuration of the server.
func (s *Server) Update(change func(*ServerConfig)) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	change(&s.config)
	s.group.record.Add("server %s changes to %+v", s.ID, s.config)
	s.register()
}

func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		s.conns[conn] = true
		full := len(s.conns) > maxConns
		s.group.mu.Unlock()
		go s.serve(conn, full)
	}
}

// beat writes the entry at intervals until the server is disconnected.
func (s *Server) beat(listener net.Listener) {
	for {
		time.Sleep(heartbeatInterval)
		s.group.mu.Lock()
		up := s.listener == listener
		if up {
			s.register()
		}
		s.group.mu.Unlock()
		if !up {
			return
		}
	}
}

// register writes the server's entry to the store. The caller holds mu.
func (s *Server) register() {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	s.seq++
	s.group.store.put("servers", s.ID, map[string]any{
		"service": s.group.config.Service, "addr": s.address, "zone": s.config.Zone, "version": "v1", "slots": slots,
		"state": cmp.Or(s.config.State, "ready"), "cold_remaining_ms": 0, "db_role": role, "seq": s.seq, "born": s.group.born,
	})
}

func (s *Server) up() bool { return s.listener != nil }

// position is the end of the received log. The caller holds mu.
func (s *Server) position() string {
	last := s.log[len(s.log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// connection is the state of one connection to a server.
type connection struct {
	// committed is what the last statement committed, or the zero value.
	committed logEntry
	failed    bool
	open      bool
	prepared  map[string]string
	readOnly  bool
	tenant    string
	values    map[string]string
	writes    []write
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
	if len(startup) < 3 || startup[0] != "STARTUP" || startup[1] != s.group.config.Service || (len(startup) > 3 && startup[3] != s.ID) {
		_, _ = fmt.Fprintf(conn, "ERROR WRONGNODE %s\r\n", s.ID)
		return
	}
	if full {
		_, _ = fmt.Fprintf(conn, "ERROR TOOMANYCON %s\r\n", s.ID)
		return
	}
	s.group.mu.Lock()
	position := s.position()
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
		time.Sleep(s.group.config.WorkTime)
		defer func() { <-s.slots }()
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	seen := s.applied
	c.committed = logEntry{}
	rows, code := s.run(c, text)
	if id != "-" {
		s.group.runs = append(s.group.runs, Run{Arrived: arrived, Code: code, CommitTerm: c.committed.term, CommitNumber: c.committed.number, ID: id, Server: s, Text: text})
		s.group.record.Add("server %s (%s) as tenant %s runs %s %s: code %q, log up to %d, term %d, latest term %d", s.ID, s.config.Zone, c.tenant, id, text, code, seen, s.term, s.group.term)
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
	return answer + fmt.Sprintf("READY %s %s\r\n", state, s.position())
}

// run runs a statement and returns its rows or its error code. The caller holds mu.
func (s *Server) run(c *connection, text string) (rows []string, code string) {
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
			return nil, s.commit(c, writes)
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
		return nil, s.commit(c, []write{written})
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
	return fmt.Sprintf("%s %d %s 0 0 %d %d", role, s.term, s.position(), len(s.slots), len(s.conns))
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
func (s *Server) commit(c *connection, writes []write) string {
	if !s.primary || !s.up() {
		return "READONLY"
	}
	entry := logEntry{number: len(s.log) + 1, term: s.term, writes: writes}
	c.committed = entry
	s.log = append(s.log, entry)
	s.applied = len(s.log)
	for _, replica := range s.group.Servers {
		if replica != s {
			time.AfterFunc(replica.config.Delay, func() { s.group.receive(replica, s) })
		}
	}
	for s.group.config.SyncReplicas > 0 && s.up() && s.primary && !s.group.replicated(s, entry.number) {
		s.received.Wait()
	}
	return ""
}
