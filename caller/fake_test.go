package caller_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	testGroup     = "plant1"
	testKey       = "correct horse"
	testWorkspace = "presses"
)

// reply is the scripted reply of a fakeServer to one statement.
type reply struct {
	// code is the SQLSTATE of an error reply, or empty.
	code string
	// copyIn requests COPY data in the extended protocol.
	copyIn bool
	// disconnect closes the connection without a reply.
	disconnect bool
	// partialRow, if positive, sends a row with a value of this many bytes, without
	// its last byte, and closes the connection.
	partialRow int
	// position is the group position to report when the transaction ends.
	position string
	rows     []string
	// tag is the command tag. Empty means the first word of the statement.
	tag string
}

// fakeServer is a backend server with scripted replies.
type fakeServer struct {
	cancels chan uint32
	script  func(sql string) reply

	mu       sync.Mutex
	executed []string
	pid      uint32
}

func newFakeServer(script func(sql string) reply) *fakeServer {
	return &fakeServer{cancels: make(chan uint32, 1), script: script}
}

// dial opens a connection to the fake server over a pipe.
func (f *fakeServer) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go f.serve(server)
	return client, nil
}

// connections returns the number of connections opened so far.
func (f *fakeServer) connections() uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pid
}

// statements returns the statements executed so far.
func (f *fakeServer) statements() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.executed...)
}

func (f *fakeServer) serve(conn net.Conn) {
	defer conn.Close()
	b := pgproto3.NewBackend(conn, conn)
	start, err := b.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if cancel, ok := start.(*pgproto3.CancelRequest); ok {
		f.cancels <- cancel.ProcessID
		return
	}
	f.mu.Lock()
	f.pid++
	pid := f.pid
	f.mu.Unlock()
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: []byte{1, 2, 3, 4}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if b.Flush() != nil {
		return
	}
	c := &fakeConn{backend: b, conn: conn, parsed: make(map[string]string), server: f, tx: 'I'}
	c.run()
}

// fakeConn is one connection to a fakeServer.
type fakeConn struct {
	backend  *pgproto3.Backend
	boundSQL string
	conn     net.Conn
	copyData []byte
	failed   bool
	parsed   map[string]string
	position string
	server   *fakeServer
	tx       byte
}

func (c *fakeConn) run() {
	for {
		message, err := c.backend.Receive()
		if err != nil {
			return
		}
		if _, isSync := message.(*pgproto3.Sync); c.failed && !isSync {
			continue
		}
		if !c.handle(message) {
			return
		}
	}
}

func (c *fakeConn) handle(message pgproto3.FrontendMessage) bool {
	switch m := message.(type) {
	case *pgproto3.Query:
		if strings.HasPrefix(m.String, "copy") {
			return c.copy(m.String)
		}
		alive := true
		for _, sql := range strings.Split(m.String, ";") {
			if alive = c.execute(strings.TrimSpace(sql), true); !alive || c.failed {
				break
			}
		}
		return alive && c.sendReady()
	case *pgproto3.Parse:
		c.parsed[m.Name] = m.Query
		c.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, known := c.parsed[m.PreparedStatement]
		if !known {
			c.sendError("26000")
			return true
		}
		c.boundSQL = sql
		c.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			c.backend.Send(&pgproto3.ParameterDescription{})
			c.boundSQL = c.parsed[m.Name]
		}
		if len(c.server.script(c.boundSQL).rows) == 0 {
			c.backend.Send(&pgproto3.NoData{})
			return true
		}
		c.backend.Send(rowDescription())
	case *pgproto3.Execute:
		return c.execute(c.boundSQL, false)
	case *pgproto3.Close:
		c.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		return c.sendReady()
	case *pgproto3.Flush:
		return c.backend.Flush() == nil
	case *pgproto3.CopyData:
		c.copyData = append(c.copyData, m.Data...)
	case *pgproto3.CopyDone:
		c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY 1")})
		return c.sendReady()
	}
	return true
}

// copy runs a COPY in the simple protocol: it starts to receive data, or returns
// the data received before.
func (c *fakeConn) copy(sql string) bool {
	if strings.Contains(sql, "from") {
		c.backend.Send(&pgproto3.CopyInResponse{})
		return c.backend.Flush() == nil
	}
	c.backend.Send(&pgproto3.CopyOutResponse{})
	c.backend.Send(&pgproto3.CopyData{Data: c.copyData})
	c.backend.Send(&pgproto3.CopyDone{})
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY 1")})
	return c.sendReady()
}

// receiveCopy receives COPY data to its end. Like PostgreSQL it ignores a Sync
// before the end.
func (c *fakeConn) receiveCopy() bool {
	c.backend.Send(&pgproto3.CopyInResponse{})
	if c.backend.Flush() != nil {
		return false
	}
	for {
		message, err := c.backend.Receive()
		if err != nil {
			return false
		}
		switch m := message.(type) {
		case *pgproto3.CopyData:
			c.copyData = append(c.copyData, m.Data...)
		case *pgproto3.CopyDone:
			return true
		}
	}
}

func (c *fakeConn) execute(sql string, describe bool) bool {
	c.server.mu.Lock()
	c.server.executed = append(c.server.executed, sql)
	c.server.mu.Unlock()
	r := c.server.script(sql)
	if r.partialRow > 0 {
		whole := encode(&pgproto3.DataRow{Values: [][]byte{make([]byte, r.partialRow)}})
		c.backend.Send(rowDescription())
		_ = c.backend.Flush()
		_, _ = c.conn.Write(whole[:len(whole)-1])
	}
	if r.disconnect || r.partialRow > 0 {
		return false
	}
	if r.code != "" {
		c.sendError(r.code)
		return true
	}
	if r.copyIn && !c.receiveCopy() {
		return false
	}
	switch verb, _, _ := strings.Cut(strings.ToUpper(sql), " "); verb {
	case "BEGIN":
		c.tx = 'T'
	case "COMMIT", "ROLLBACK":
		c.tx = 'I'
	}
	if len(r.rows) > 0 && describe {
		c.backend.Send(rowDescription())
	}
	for _, row := range r.rows {
		c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(row)}})
	}
	if r.position != "" {
		c.position = r.position
	}
	tag := r.tag
	if tag == "" {
		tag = strings.ToUpper(strings.Fields(sql + " EMPTY")[0])
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return true
}

func (c *fakeConn) sendError(code string) {
	c.failed = true
	if c.tx == 'T' {
		c.tx = 'E'
	}
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "scripted failure"})
}

func (c *fakeConn) sendReady() bool {
	c.failed = false
	if c.position != "" && c.tx == 'I' {
		c.backend.Send(&pgproto3.ParameterStatus{Name: "group_position", Value: c.position})
		c.position = ""
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.tx})
	return c.backend.Flush() == nil
}

func rowDescription() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("value"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}}
}

// fakeRouter leases connections to one primary and one replica. It keeps one idle
// connection to each.
type fakeRouter struct {
	primary *fakeServer
	replica *fakeServer
	// waiting, if set, receives a value when a request starts to wait for a connection,
	// which it then does until its context ends.
	waiting chan struct{}

	mu       sync.Mutex
	idle     map[fleet.ServerID]*backend.Conn
	requests []caller.Request
}

// Acquire returns the idle connection to the selected server, or opens one.
func (r *fakeRouter) Acquire(ctx context.Context, request caller.Request) (caller.Lease, error) {
	if r.waiting != nil {
		r.waiting <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, request)
	id, server := fleet.ServerID("primary"), r.primary
	if request.Access == caller.AccessRead && r.replica != nil && request.Exclude != "replica" {
		id, server = "replica", r.replica
	}
	conn := r.idle[id]
	delete(r.idle, id)
	if conn == nil {
		var err error
		conn, err = backend.Connect(ctx, backend.ConnConfig{Dial: server.dial, Server: id, User: "proxy", AnswerTimeout: 5 * time.Second})
		if err != nil {
			return nil, err
		}
	}
	return &fakeLease{conn: conn, id: id, router: r}, nil
}

type fakeLease struct {
	conn   *backend.Conn
	id     fleet.ServerID
	router *fakeRouter
}

func (l *fakeLease) Conn() *backend.Conn    { return l.conn }
func (l *fakeLease) Primary() bool          { return l.id == "primary" }
func (l *fakeLease) Server() fleet.ServerID { return l.id }

func (l *fakeLease) Release(healthy bool) {
	if !healthy {
		_ = l.conn.Close()
		return
	}
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	l.router.idle[l.id] = l.conn
}

// fakePolicy implements AdmissionController, CommitWaiter and Credentials.
type fakePolicy struct {
	pendingCommits chan chan caller.Outcome
	outcome        caller.Outcome
	salt           string

	mu       sync.Mutex
	decision caller.Decision
	keys     map[string]caller.KeyID
	revoked  map[caller.KeyID]bool
}

func newFakePolicy() *fakePolicy {
	return &fakePolicy{
		decision: caller.Decision{Admitted: true, Serving: true},
		keys:     map[string]caller.KeyID{"old key": "k1", testKey: "k2"},
		outcome:  caller.OutcomeCommitted,
		revoked:  make(map[caller.KeyID]bool),
		salt:     "salt of sixteen.",
	}
}

func (p *fakePolicy) Admit(time.Time, fleet.WorkspaceID) caller.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.decision
}

// AwaitCommit returns the fixed outcome, or gets it from the test if pendingCommits
// is set.
func (p *fakePolicy) AwaitCommit(_ context.Context, _ fleet.GroupID, _ fleet.Position) (caller.Outcome, error) {
	if p.pendingCommits == nil {
		return p.outcome, nil
	}
	answer := make(chan caller.Outcome)
	p.pendingCommits <- answer
	return <-answer, nil
}

func (p *fakePolicy) KeyValid(_ fleet.WorkspaceID, key caller.KeyID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.revoked[key]
}

func (p *fakePolicy) revoke(key caller.KeyID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revoked[key] = true
}

func (p *fakePolicy) Verifiers(workspace fleet.WorkspaceID) (caller.Verifiers, bool) {
	verifiers := caller.Verifiers{Iterations: 4096, Salt: []byte(p.salt)}
	if workspace != testWorkspace {
		return verifiers, false
	}
	for key, id := range p.keys {
		client, _ := scram.SHA256.NewClient("", key, "")
		stored, _ := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: p.salt, Iters: 4096})
		verifiers.Credentials = append(verifiers.Credentials, caller.Credential{KeyID: id, ServerKey: stored.ServerKey, StoredKey: stored.StoredKey})
	}
	return verifiers, true
}

// deployment is a server under test with its fake dependencies.
type deployment struct {
	address string
	policy  *fakePolicy
	primary *fakeServer
	router  *fakeRouter
	server  *caller.Server
}

// deploy starts a server on the loopback interface. A nil replica means that there
// is none.
func deploy(t testing.TB, primary, replica func(sql string) reply, change ...func(*caller.Config)) *deployment {
	t.Helper()
	d := &deployment{policy: newFakePolicy(), primary: newFakeServer(primary)}
	d.router = &fakeRouter{idle: make(map[fleet.ServerID]*backend.Conn), primary: d.primary}
	if replica != nil {
		d.router.replica = newFakeServer(replica)
	}
	config := caller.Config{CommitWaiter: d.policy, Credentials: d.policy, AdmissionController: d.policy, Router: d.router}
	for _, apply := range change {
		apply(&config)
	}
	d.server = caller.New(config)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.address = listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- d.server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = d.server.Drain(ctx)
		if err := <-served; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return d
}

// connect opens a pgx connection, with changes to its configuration.
func (d *deployment) connect(t testing.TB, change ...func(*pgx.ConnConfig)) *pgx.Conn {
	t.Helper()
	conn, err := d.tryConnect(change...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (d *deployment) tryConnect(change ...func(*pgx.ConnConfig)) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig("postgres://" + d.address + "/" + testGroup + "?sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.User, config.Password = testWorkspace, testKey
	for _, apply := range change {
		apply(config)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return pgx.ConnectConfig(ctx, config)
}

// oneRow returns a script that answers each SELECT with one row containing the
// text.
func oneRow(text string) func(string) reply {
	return func(sql string) reply {
		if strings.HasPrefix(strings.ToLower(sql), "select") {
			return reply{rows: []string{text}, tag: "SELECT 1"}
		}
		return reply{}
	}
}

func (p *fakePolicy) setDecision(decision caller.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decision = decision
}
