package harness2

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxServerLine is the longest message that a server reads: 1 MiB, and the position
	// that may precede a statement.
	maxServerLine = 2 << 20
	// slotsPerServer and queuePerServer are the statements that a server runs and keeps
	// waiting. It answers BUSY to others.
	slotsPerServer = 3
	queuePerServer = 24
	// handshakeTime, workTime and promoteTime are the times of a new connection, of a
	// statement and of a promotion.
	handshakeTime = 12 * time.Millisecond
	workTime      = 6 * time.Millisecond
	promoteTime   = 1000 * time.Millisecond
	// heartbeatInterval is the time between two writes of a server's entry, which expires
	// after three intervals of silence.
	heartbeatInterval = 1200 * time.Millisecond
	entryLifetime     = 3 * heartbeatInterval
	// keptData is how much of the data of a write the stand-in keeps.
	keptData = 64
)

// entry is a commit in the log of a server.
type entry struct {
	id     string
	term   int
	writes []write
}

// write changes an item.
type write struct{ item, data string }

// Group is a service of one primary and two replicas, with the platform's call that
// promotes one of them.
type Group struct {
	address      string
	maxConns     int
	name         string
	record       *Record
	store        *Store
	syncReplicas int

	mu      sync.Mutex
	Servers []*Server
	term    int
	// terms are the terms in which the commits were made.
	terms map[string]int
	// promotions are the servers that became primary, with their logs at that moment.
	promotions []promotion
}

// promotion is a server that became primary, and the commits in its log.
type promotion struct {
	server string
	ids    map[string]bool
}

// Server is one database server.
type Server struct {
	address  string
	born     int64
	group    *Group
	id       string
	lag      time.Duration
	listener net.Listener
	slots    chan struct{}
	zone     string

	// The group's mu guards the fields below.
	conns map[net.Conn]bool
	// deaf is true while the server receives no commits.
	deaf     bool
	down     bool
	log      []entry
	lastBeat time.Time
	primary  bool
	// ReturnDelay is the time after an outage of the store until an entry that expired in
	// it is back.
	ReturnDelay time.Duration
	seq         int
	term        int
	waiting     int
}

// startGroup starts three servers, of which the first one is the primary. The lags are those
// of the two replicas.
func startGroup(name string, st *Store, rec *Record, maxConns, syncReplicas int, lags [2]time.Duration) *Group {
	g := &Group{maxConns: maxConns, name: name, record: rec, store: st, syncReplicas: syncReplicas, term: 1, terms: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", g.promote)
	listener, err := net.Listen("tcp", loopback+":0")
	check(err)
	g.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, mux) }()
	for i := range 3 {
		s := &Server{
			born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}, group: g, id: fmt.Sprintf("i-%s-%d", name, i),
			primary: i == 0, slots: make(chan struct{}, slotsPerServer), term: 1, zone: zoneName(i),
		}
		if i > 0 {
			s.lag = lags[i-1]
		}
		g.Servers = append(g.Servers, s)
		s.listener, err = net.Listen("tcp", loopback+":0")
		check(err)
		s.address = s.listener.Addr().String()
		s.beat()
		go s.accept(s.listener)
	}
	go g.keepEntries()
	return g
}

// keepEntries writes the entries of the servers that run, and removes those that expired, also
// during an outage of the store.
func (g *Group) keepEntries() {
	for range time.Tick(50 * time.Millisecond) {
		storeDown, upFor := g.store.outage()
		g.mu.Lock()
		for _, s := range g.Servers {
			silent, expired := time.Since(s.lastBeat), s.lastBeat.IsZero()
			switch {
			case !expired && silent >= entryLifetime:
				s.lastBeat = time.Time{}
				g.record.Add("entry-removed", "server", s.id)
				g.store.put("servers", s.id, nil)
			case s.down || storeDown || (expired && upFor < s.ReturnDelay):
			case expired || silent >= heartbeatInterval:
				if expired {
					g.record.Add("entry-back", "server", s.id)
				}
				s.beat()
			}
		}
		g.mu.Unlock()
	}
}

// SetDeaf begins or ends a time in which a replica receives no commits. At the end it
// receives those that it lacks.
func (s *Server) SetDeaf(deaf bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.deaf = deaf
	s.group.record.Add("deaf", "server", s.id, "deaf", strconv.FormatBool(deaf), "position", s.position())
	if !deaf && !s.primary {
		s.follow()
	}
}

// beat writes the server's entry to the store. The caller holds the group's mu, or is alone.
func (s *Server) beat() {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	s.seq++
	s.lastBeat = time.Now()
	s.group.store.put("servers", s.id, map[string]any{
		"service": s.group.name, "addr": s.address, "zone": s.zone, "version": "v1", "slots": slotsPerServer, "state": "ready",
		"cold_remaining_ms": 0, "db_role": role, "seq": s.seq, "born": s.born,
	})
}

func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// Crash stops a server. It keeps its log.
func (s *Server) Crash() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.record.Add("crash", "server", s.id, "position", s.position())
	s.down = true
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Restart starts a server that crashed, with its log: as a replica if another server was
// promoted.
func (s *Server) Restart() {
	listener, err := net.Listen("tcp", s.address)
	check(err)
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	s.listener, s.down, s.born, s.seq = listener, false, time.Now().UnixMilli(), 0
	if s.term < g.term {
		s.follow()
	}
	g.record.Add("restart", "server", s.id, "position", s.position())
	s.beat()
	go s.accept(listener)
}

// follow makes a server a replica with the log of the primary. The caller holds the group's
// mu.
func (s *Server) follow() {
	for _, other := range s.group.Servers {
		if other.primary && other.term == s.group.term && other != s {
			s.log, s.primary, s.term = slices.Clone(other.log), false, other.term
		}
	}
}

// promote serves a promotion order.
func (g *Group) promote(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, ID string }
	_ = json.NewDecoder(r.Body).Decode(&order)
	g.record.Add("promote", "server", order.ID, "holder", r.Header.Get("X-Duty-Holder"), "token", r.Header.Get("X-Fencing-Token"))
	g.mu.Lock()
	defer g.mu.Unlock()
	index := slices.IndexFunc(g.Servers, func(s *Server) bool { return s.id == order.ID && !s.down })
	if index < 0 {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if s := g.Servers[index]; !s.primary || s.term != g.term {
		time.AfterFunc(promoteTime, s.lead)
	}
	w.WriteHeader(http.StatusOK)
}

// lead makes a server the primary of the next term. The others follow it a second later.
func (s *Server) lead() {
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.down || (s.primary && s.term == g.term) {
		return
	}
	g.term++
	s.term, s.primary = g.term, true
	ids := map[string]bool{}
	for _, e := range s.log {
		ids[e.id] = true
	}
	g.promotions = append(g.promotions, promotion{server: s.id, ids: ids})
	g.record.Add("leads", "server", s.id, "term", strconv.Itoa(s.term), "position", s.position())
	s.beat()
	time.AfterFunc(time.Second, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, other := range g.Servers {
			if other != s && !other.down && other.term < s.term {
				other.follow()
				other.beat()
			}
		}
	})
}

// connState is the state of one connection.
type connState struct {
	failed, open, plain bool
	shapes, values      map[string]string
	writes              []write
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 64<<10)
	line, err := readLine(reader)
	if err != nil {
		return
	}
	g := s.group
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != g.name || (len(fields) > 3 && fields[3] != s.id) {
		_, _ = fmt.Fprintf(conn, "ERROR WRONGNODE %s\r\n", s.id)
		return
	}
	g.mu.Lock()
	full := len(s.conns) >= g.maxConns
	if !full && !s.down {
		s.conns[conn] = true
	}
	g.mu.Unlock()
	if full {
		_, _ = fmt.Fprintf(conn, "ERROR TOOMANYCON %s\r\n", s.id)
		return
	}
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(s.conns, conn)
	}()
	time.Sleep(handshakeTime)
	_, _ = fmt.Fprintf(conn, "READY I %s\r\n", s.lockedPosition())
	state := &connState{shapes: map[string]string{}, values: map[string]string{}}
	for {
		line, err := readLine(reader)
		if err != nil {
			return
		}
		kind, rest, _ := strings.Cut(line, " ")
		if kind != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer, ran := s.query(state, id, text)
		if !ran {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

func (s *Server) lockedPosition() string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.position()
}

// position returns the end of the log. The caller holds the group's mu.
func (s *Server) position() string {
	if len(s.log) == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", s.log[len(s.log)-1].term, len(s.log))
}

// query runs one query and returns the answer. It reports false if the server crashed
// meanwhile.
func (s *Server) query(state *connState, id, text string) (answer []byte, ran bool) {
	row, code := s.run(state, id, text)
	if id != "-" {
		s.group.record.Add("ran", "id", id, "server", s.id, "code", cmp.Or(code, "ok"))
	}
	if code == "" {
		if row != "" {
			answer = append(answer, "DATAROW "+row+"\r\n"...)
		}
		answer = append(answer, "COMPLETE sig."+s.id+"."+id+"\r\n"...)
	} else {
		answer = append(answer, "ERROR "+code+" "+s.id+"\r\n"...)
		state.failed = state.open
	}
	letter := "I"
	switch {
	case state.failed:
		letter = "E"
	case state.open:
		letter = "T"
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return append(answer, "READY "+letter+" "+s.position()+"\r\n"...), !s.down
}

// occupy waits for a slot and works. It reports false if the server is full.
func (s *Server) occupy() bool {
	g := s.group
	g.mu.Lock()
	full := s.waiting >= slotsPerServer+queuePerServer
	if !full {
		s.waiting++
	}
	g.mu.Unlock()
	if full {
		return false
	}
	s.slots <- struct{}{}
	time.Sleep(workTime)
	<-s.slots
	g.mu.Lock()
	defer g.mu.Unlock()
	s.waiting--
	return true
}

// run runs a query and returns its row or its error code.
func (s *Server) run(state *connState, id, text string) (row, code string) {
	after := ""
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		after, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		shape, known := state.shapes[name]
		if !known {
			return "", "NOSTMT"
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	if state.failed && word != "COMMIT" && word != "ROLLBACK" {
		return "", "MALFORMED"
	}
	if slices.Contains([]string{"READ", "WRITE", "COMMIT", "STATUS"}, word) && !s.occupy() {
		return "", "BUSY"
	}
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if after != "" && !s.contains(after) {
		return "", "LAGGING"
	}
	switch word {
	case "BEGIN":
		if rest == "" && !s.primary {
			return "", "READONLY"
		}
		state.open, state.plain, state.writes = true, rest == "", nil
	case "ROLLBACK":
		state.open, state.failed, state.writes = false, false, nil
	case "COMMIT":
		writes, failed := state.writes, state.failed
		state.open, state.failed, state.writes = false, false, nil
		switch {
		case failed:
			return "", "ABORTED"
		case len(writes) > 0:
			return "", s.commit(id, writes)
		}
	case "READ":
		if state.open && state.plain && !s.primary {
			return "", "READONLY"
		}
		return s.item(rest), ""
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		written := write{item: item, data: strings.Clone(data[:min(keptData, len(data))])}
		if !s.primary {
			return "", "READONLY"
		}
		if state.open {
			state.writes = append(state.writes, written)
			return "", ""
		}
		return "", s.commit(id, []write{written})
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		state.values[name] = value
	case "PREPARE":
		// The shape itself is not needed.
		name, shape, _ := strings.Cut(rest, " ")
		mode, _, _ := strings.Cut(shape, " ")
		state.shapes[strings.Clone(name)] = strings.Clone(mode)
	case "DEALLOC":
		delete(state.shapes, rest)
	case "RESET":
		clear(state.values)
		clear(state.shapes)
	case "STATUS":
		return s.status(), ""
	case "STEPDOWN":
		if term, _ := strconv.Atoi(rest); s.primary && s.term < term {
			s.primary = false
			s.beat()
		}
		return s.status(), ""
	default:
		return "", "MALFORMED"
	}
	return "", ""
}

// status returns the row of a status query. The caller holds the group's mu.
func (s *Server) status() string {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %s 0 0 %d %d", role, s.term, s.position(), s.waiting, len(s.conns))
}

// contains reports whether the log contains a position. The caller holds the group's mu.
func (s *Server) contains(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	n, _ := strconv.Atoi(number)
	return n == 0 || (n <= len(s.log) && strconv.Itoa(s.log[n-1].term) == term)
}

// item returns the last committed data of an item. The caller holds the group's mu.
func (s *Server) item(item string) string {
	for _, e := range slices.Backward(s.log) {
		for _, w := range e.writes {
			if w.item == item {
				return w.data
			}
		}
	}
	return "none"
}

// commit appends a commit to the log and sends it to the replicas. With synchronous replicas
// it waits until one has received it. The caller holds the group's mu, which is released
// meanwhile.
func (s *Server) commit(id string, writes []write) (code string) {
	g := s.group
	if !s.primary || s.down {
		return "READONLY"
	}
	s.log = append(s.log, entry{id: id, term: s.term, writes: writes})
	g.terms[id] = s.term
	n, received := len(s.log), make(chan struct{}, len(g.Servers))
	for _, other := range g.Servers {
		if other == s {
			continue
		}
		time.AfterFunc(other.lag, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if s.down || other.down || other.deaf || other.term != s.term || !s.primary {
				return
			}
			if len(other.log) < n {
				other.log = slices.Clone(s.log[:n])
			}
			received <- struct{}{}
		})
	}
	if g.syncReplicas > 0 {
		g.mu.Unlock()
		select {
		case <-received:
		case <-time.After(time.Second):
			code = "TIMEOUT"
		}
		g.mu.Lock()
	}
	if !s.down {
		g.record.Add("commit", "id", id, "server", s.id, "position", fmt.Sprintf("%d.%d", s.term, n), "code", code)
	}
	return code
}

// readLine reads a message without its line end.
func readLine(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if err == bufio.ErrBufferFull && len(line) < maxServerLine {
			continue
		}
		if err != nil {
			return "", err
		}
		return strings.TrimSuffix(string(line), "\r\n"), nil
	}
}
