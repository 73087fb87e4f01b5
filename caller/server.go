package caller

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/budget"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// Default values of Config.
const (
	defaultIdleTimeout        = time.Hour
	defaultMaxMessage         = 64 << 20
	defaultRequestTimeout     = 5 * time.Second
	defaultStartupTimeout     = 10 * time.Second
	defaultStopBound          = 30 * time.Second
	defaultTransactionTimeout = time.Minute
	defaultWithdrawalTimeout  = 3 * time.Second
	defaultWriteTimeout       = 30 * time.Second
)

// Buffer sizes in bytes. Idle sessions keep their read buffer, but not the write
// buffer.
const (
	readBufferSize  = 2 << 10
	writeBufferSize = 16 << 10
)

// Config holds the dependencies and settings of a Server. All interfaces are
// required, except for Barrier, Budget, CancelForwarder, EventRecorder and Routes.
type Config struct {
	// AllowCleartext makes the server request the key in cleartext on TLS
	// connections, instead of SCRAM.
	AllowCleartext bool
	// Barrier provides read barriers for sessions without a token. Nil means none.
	Barrier Barrier
	// Budget limits the open connections and the bytes of their messages. For bytes, it
	// closes connections whose request does not run yet. At the limit of connections a new connection replaces the
	// oldest one that has no session yet, and is refused with 53300 if all have one. Nil
	// means no limit.
	Budget *budget.Budget
	// CancelForwarder forwards cancel requests to other instances. Nil means that
	// they aren't forwarded.
	CancelForwarder CancelForwarder
	// CommitWaiter waits until commits are durable.
	CommitWaiter CommitWaiter
	// Credentials looks up the keys of workspaces.
	Credentials Credentials
	// EventRecorder records events. Nil means that they aren't recorded.
	EventRecorder EventRecorder
	// AdmissionController decides whether requests may run.
	AdmissionController AdmissionController
	// IdleTimeout closes sessions that send nothing for this long. Zero means one
	// hour.
	IdleTimeout time.Duration
	// Jitter returns a random number in [0, 1) that varies the retry delay. Nil
	// means rand.Float64.
	Jitter func() float64
	// MaxMessage limits the size in bytes of one message and of all messages up to
	// a Sync. Zero means 64 MiB. For COPY data only the single message is limited.
	// The prepared statements of a session are limited to the same size.
	MaxMessage int
	// MaxSessions limits the number of connections, including those that aren't
	// authenticated yet. Further ones are refused with 53300. Zero means no limit.
	MaxSessions int
	// MockSecret is the secret from which the mock salts of unknown workspaces are
	// derived. Empty means a random one.
	MockSecret []byte
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
	// Parameters are reported to each caller at startup. Nil means those that
	// drivers expect.
	Parameters []Parameter
	// RequestTimeout limits how long a request waits for a connection, from its
	// arrival. Zero means 5 s.
	RequestTimeout time.Duration
	// Router selects servers and leases connections.
	Router Router
	// Routes looks up the routes of the current sheet. Nil means that there are
	// none.
	Routes Routes
	// StartupTimeout limits startup and authentication. Zero means 10 s.
	StartupTimeout time.Duration
	// TLS returns the current TLS configuration. Nil means that TLS is refused.
	TLS func() *tls.Config
	// StopBound limits how long a session may take to finish its transaction after
	// it was asked to stop. Zero means 30 s.
	StopBound time.Duration
	// TransactionTimeout closes sessions that send nothing inside a transaction for
	// this long, because they hold a backend connection. Zero means one minute.
	TransactionTimeout time.Duration
	// WithdrawalTimeout limits how long a session may take to finish its
	// transaction after its key was withdrawn, or can't be proved to be valid any
	// more. Zero means 3 s.
	WithdrawalTimeout time.Duration
	// WriteTimeout limits each write to a caller. Zero means 30 s.
	WriteTimeout time.Duration
}

// Server serves PostgreSQL connections of callers.
type Server struct {
	// closedConns counts the connections that were refused or closed because of the
	// budget.
	closedConns uint64
	config      Config
	// conns holds the connections that the budget counts.
	conns    map[budget.ConnID]net.Conn
	draining bool
	// sessionRemoved is closed and replaced whenever a session ends.
	sessionRemoved chan struct{}
	listener       net.Listener
	mu             sync.Mutex
	nextID         uint64
	// openConns is the number of connections, including those that aren't
	// authenticated yet.
	openConns int
	// refusalEventAt is when a refused connection was last recorded as an event.
	refusalEventAt time.Time
	// refusals is the number of connections over the budget that are being refused.
	refusals   int
	retries    *retryBudget
	sessions   map[uint32]*session
	writerPool sync.Pool
}

// New returns a server with the given configuration.
func New(config Config) *Server {
	config = config.withDefaults()
	s := &Server{
		config:         config,
		conns:          make(map[budget.ConnID]net.Conn),
		sessionRemoved: make(chan struct{}),
		retries:        newRetryBudget(),
		sessions:       make(map[uint32]*session),
	}
	s.writerPool.New = func() any { return backend.NewFrameWriter(nil, writeBufferSize) }
	return s
}

// Cancel cancels what the session with this process ID is running. It reports false
// if this instance doesn't serve the session or the secret is wrong.
func (s *Server) Cancel(ctx context.Context, processID uint32, secret []byte) bool {
	s.mu.Lock()
	target := s.sessions[processID]
	s.mu.Unlock()
	if target == nil || subtle.ConstantTimeCompare(target.secret[:], secret) != 1 {
		return false
	}
	target.cancel(ctx)
	return true
}

// Drain stops the server gracefully. New connections are refused with 57P03 and
// idle sessions closed with 57P01. The others may finish their transaction until
// ctx ends or StopBound expires. Drain returns an error if ctx ended first and
// sessions were aborted.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.stopSessions("the server is shutting down", s.config.StopBound)
	err := s.awaitSessions(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	return err
}

// RecheckKeys checks whether the key of each session is still valid and stops the
// sessions whose key isn't. Idle ones are closed at once, the others at the end of
// their statement or transaction, after WithdrawalTimeout at the latest.
func (s *Server) RecheckKeys() {
	for _, session := range s.listSessions() {
		if !s.config.Credentials.KeyValid(session.workspace, session.key) {
			s.record(Event{Group: session.group, Name: EventKeyWithdrawn, Workspace: session.workspace})
			session.stop("the key was withdrawn", s.config.Now().Add(s.config.WithdrawalTimeout))
		}
	}
}

// Serve accepts connections until the listener is closed. After Drain it returns
// nil.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	if s.draining {
		_ = listener.Close()
	}
	s.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if s.isDraining() {
				return nil
			}
			return err
		}
		if id, admitted := s.admitConn(conn); admitted {
			go s.serveConn(conn, id)
		} else {
			go s.refuseOverBudget(conn)
		}
	}
}

// ServeConn serves one connection until it ends.
func (s *Server) ServeConn(conn net.Conn) {
	id, admitted := s.admitConn(conn)
	if !admitted {
		s.refuseOverBudget(conn)
		return
	}
	s.serveConn(conn, id)
}

// serveConn serves a connection that the budget admitted.
func (s *Server) serveConn(conn net.Conn, id budget.ConnID) {
	defer s.forgetConn(id)
	defer conn.Close()
	if !s.reserveConn() {
		s.refuseOverLimit(conn)
		return
	}
	defer s.releaseConn()
	session, err := s.openSession(conn, id)
	if err != nil {
		linger(conn)
		return
	}
	defer s.removeSession(session)
	session.run()
	linger(session.conn)
}

// Sessions returns the number of authenticated sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// StopIdle closes all idle sessions with 57P01, and the others when their
// transaction ends or StopBound expires. It is used when the instance must stop
// serving. New sessions are still accepted.
func (s *Server) StopIdle(reason string) {
	s.stopSessions(reason, s.config.StopBound)
}

// StopUnproven closes all idle sessions with 57P01, and the others when their
// transaction ends or WithdrawalTimeout expires. It is used when the instance can't
// prove that its keys are current, because any of them may have been withdrawn.
func (s *Server) StopUnproven(reason string) {
	s.stopSessions(reason, s.config.WithdrawalTimeout)
}

// addSession assigns the session its ID and its cancel key, and registers it.
func (s *Server) addSession(session *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return &Error{Op: "start up", Kind: KindNotServing, Err: errors.New("the server is shutting down")}
	}
	s.nextID++
	session.id = s.nextID
	for session.processID == 0 || s.sessions[session.processID] != nil {
		session.processID = randomUint32()
	}
	binary.BigEndian.PutUint32(session.secret[:], randomUint32())
	s.sessions[session.processID] = session
	return nil
}

// awaitSessions waits until all sessions have ended. When ctx ends, it aborts the
// remaining ones and returns an error.
func (s *Server) awaitSessions(ctx context.Context) error {
	for {
		s.mu.Lock()
		remaining, sessionRemoved := len(s.sessions), s.sessionRemoved
		s.mu.Unlock()
		if remaining == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			for _, session := range s.listSessions() {
				session.abort()
			}
			return &Error{Op: "drain", Kind: KindClosed, Err: ctx.Err()}
		case <-sessionRemoved:
		}
	}
}

// reserveConn counts a new connection. It reports false if there are already
// MaxSessions connections.
func (s *Server) reserveConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.MaxSessions > 0 && s.openConns >= s.config.MaxSessions {
		return false
	}
	s.openConns++
	return true
}

func (s *Server) releaseConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openConns--
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) record(event Event) {
	if s.config.EventRecorder != nil {
		s.config.EventRecorder.Record(event)
	}
}

func (s *Server) removeSession(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session.processID)
	close(s.sessionRemoved)
	s.sessionRemoved = make(chan struct{})
}

func (s *Server) listSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	sessions := make([]*session, 0, len(s.sessions))
	for _, session := range s.sessions {
		sessions = append(sessions, session)
	}
	return sessions
}

// stopSessions asks all sessions to stop, within the timeout.
func (s *Server) stopSessions(reason string, timeout time.Duration) {
	for _, session := range s.listSessions() {
		session.stop(reason, s.config.Now().Add(timeout))
	}
}

func (c Config) withDefaults() Config {
	c.IdleTimeout = orDefault(c.IdleTimeout, defaultIdleTimeout)
	c.MaxMessage = orDefault(c.MaxMessage, defaultMaxMessage)
	c.RequestTimeout = orDefault(c.RequestTimeout, defaultRequestTimeout)
	c.StartupTimeout = orDefault(c.StartupTimeout, defaultStartupTimeout)
	c.StopBound = orDefault(c.StopBound, defaultStopBound)
	c.TransactionTimeout = orDefault(c.TransactionTimeout, defaultTransactionTimeout)
	c.WithdrawalTimeout = orDefault(c.WithdrawalTimeout, defaultWithdrawalTimeout)
	c.WriteTimeout = orDefault(c.WriteTimeout, defaultWriteTimeout)
	if c.Jitter == nil {
		c.Jitter = rand.Float64
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if len(c.MockSecret) == 0 {
		c.MockSecret = randomBytes(32)
	}
	if c.Parameters == nil {
		c.Parameters = defaultParameters()
	}
	return c
}

// defaultParameters returns the parameters that drivers expect from every server.
func defaultParameters() []Parameter {
	return []Parameter{
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"},
		{"IntervalStyle", "postgres"},
		{"server_encoding", "UTF8"},
		{"server_version", "16.0"},
		{"standard_conforming_strings", "on"},
		{"TimeZone", "UTC"},
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func randomUint32() uint32 {
	return binary.BigEndian.Uint32(randomBytes(4))
}

// workspaceEvent returns an event of a session that concerns no backend server.
func workspaceEvent(name EventName, workspace fleet.WorkspaceID, group fleet.GroupID, text string) Event {
	return Event{Group: group, Name: name, Text: text, Workspace: workspace}
}
