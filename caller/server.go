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
	"github.com/nutmegpier/nutmegpier/fleet"
)

// Defaults of a server.
const (
	defaultIdleTimeout        = time.Hour
	defaultMaxMessage         = 64 << 20
	defaultRequestTimeout     = 5 * time.Second
	defaultStartupTimeout     = 10 * time.Second
	defaultStopBound          = 30 * time.Second
	defaultTransactionTimeout = time.Minute
	defaultWithdrawBound      = 3 * time.Second
	defaultWriteTimeout       = 30 * time.Second
)

// Buffer sizes in bytes. The read buffer is held by idle sessions, the write
// buffer is not.
const (
	readBufferSize  = 2 << 10
	writeBufferSize = 16 << 10
)

// Config holds the dependencies and settings of a Server. All interfaces but
// Barrier, CancelForwarder and Events are needed.
type Config struct {
	// AllowCleartext accepts a key in cleartext over TLS.
	AllowCleartext bool
	// Barrier finds positions for sessions without token. Nil means none.
	Barrier Barrier
	// CancelForwarder passes on cancel requests. Nil means none.
	CancelForwarder CancelForwarder
	// CommitWaiter finds out whether commits are durable.
	CommitWaiter CommitWaiter
	// Credentials knows the keys of workspaces.
	Credentials Credentials
	// EventRecorder records what happens. Nil means nothing is recorded.
	EventRecorder EventRecorder
	// AdmissionController admits requests.
	AdmissionController AdmissionController
	// IdleTimeout closes a session that sends nothing. Zero means one hour.
	IdleTimeout time.Duration
	// Jitter returns a random number in [0, 1) for waits before reruns. Nil
	// means that of math/rand.
	Jitter func() float64
	// MaxMessage bounds one message, and all messages up to a Sync, in bytes.
	// Zero means 64 MiB. COPY data is bounded by message only.
	MaxMessage int
	// MaxSessions bounds the connections, those that aren't authenticated yet
	// included. One more is refused with 53300. Zero means no bound.
	MaxSessions int
	// MockSecret makes the mock salts of unknown workspaces.
	MockSecret []byte
	// Now returns the time. Nil means time.Now.
	Now func() time.Time
	// Parameters are reported to each caller at start-up.
	Parameters []Parameter
	// RequestTimeout bounds the wait for a connection, counted from a
	// request's arrival. Zero means 5 s.
	RequestTimeout time.Duration
	// Router hands out connections.
	Router Router
	// Routes knows the routes of the sheet. Nil means none.
	Routes Routes
	// StartupTimeout bounds start-up and authentication. Zero means 10 s.
	StartupTimeout time.Duration
	// TLS returns the current TLS settings. Nil means no TLS.
	TLS func() *tls.Config
	// StopBound bounds a transaction at a planned stop. Zero means 30 s.
	StopBound time.Duration
	// TransactionTimeout closes a session that sends nothing inside a
	// transaction, because it holds a connection. Zero means 1 minute.
	TransactionTimeout time.Duration
	// WithdrawalTimeout bounds a transaction whose key was withdrawn. Zero means 3 s.
	WithdrawalTimeout time.Duration
	// WriteTimeout bounds each write to a caller. Zero means 30 s.
	WriteTimeout time.Duration
}

// Server serves PostgreSQL callers.
type Server struct {
	config   Config
	draining bool
	gone     chan struct{}
	listener net.Listener
	mu       sync.Mutex
	nextID   uint64
	open     int
	retries  *retryBudget
	sessions map[uint32]*session
	writers  sync.Pool
}

// New returns a server.
func New(config Config) *Server {
	config = config.withDefaults()
	s := &Server{
		config:   config,
		gone:     make(chan struct{}),
		retries:  newRetryBudget(),
		sessions: make(map[uint32]*session),
	}
	s.writers.New = func() any { return backend.NewFrameWriter(nil, writeBufferSize) }
	return s
}

// Cancel cancels what the session with this process id runs. It reports
// whether the session is served here and the secret is right.
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

// Drain stops the server gracefully. New connections get 57P03, idle sessions
// are closed with 57P01, sessions in a transaction may finish until ctx ends.
// It returns an error if sessions had to be cut off.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.stopSessions("the server is shutting down")
	err := s.awaitSessions(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	return err
}

// Recheck asks for each session whether its key is still valid, and closes the
// idle ones whose key isn't. The others are closed at the end of their
// statement or transaction, at most WithdrawalTimeout later.
func (s *Server) RecheckKeys() {
	for _, session := range s.snapshot() {
		if !s.config.Credentials.KeyValid(session.workspace, session.key) {
			s.record(Event{Group: session.group, Name: EventKeyWithdrawn, Workspace: session.workspace})
			session.stop("the key was withdrawn", s.config.Now().Add(s.config.WithdrawalTimeout))
		}
	}
}

// Serve accepts connections until the listener is closed. It returns nil after
// Drain.
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
		go s.ServeConn(conn)
	}
}

// ServeConn serves one connection until it ends.
func (s *Server) ServeConn(conn net.Conn) {
	defer conn.Close()
	if !s.enter() {
		s.refuseFull(conn)
		return
	}
	defer s.leave()
	session, err := s.openSession(conn)
	if err != nil {
		linger(conn)
		return
	}
	defer s.remove(session)
	session.run()
	linger(session.conn)
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// StopIdle closes the idle sessions with 57P01. It is used when the instance
// may no longer serve; the others end when their transaction does.
func (s *Server) StopIdle(reason string) {
	s.stopSessions(reason)
}

func (s *Server) add(session *session) error {
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

func (s *Server) awaitSessions(ctx context.Context) error {
	for {
		s.mu.Lock()
		left, gone := len(s.sessions), s.gone
		s.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			for _, session := range s.snapshot() {
				session.abort()
			}
			return &Error{Op: "drain", Kind: KindClosed, Err: ctx.Err()}
		case <-gone:
		}
	}
}

// enter counts a connection. It reports false if there are too many.
func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.MaxSessions > 0 && s.open >= s.config.MaxSessions {
		return false
	}
	s.open++
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
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

func (s *Server) remove(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session.processID)
	close(s.gone)
	s.gone = make(chan struct{})
}

func (s *Server) snapshot() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	sessions := make([]*session, 0, len(s.sessions))
	for _, session := range s.sessions {
		sessions = append(sessions, session)
	}
	return sessions
}

func (s *Server) stopSessions(reason string) {
	for _, session := range s.snapshot() {
		session.stop(reason, s.config.Now().Add(s.config.StopBound))
	}
}

func (c Config) withDefaults() Config {
	c.IdleTimeout = orDefault(c.IdleTimeout, defaultIdleTimeout)
	c.MaxMessage = orDefault(c.MaxMessage, defaultMaxMessage)
	c.RequestTimeout = orDefault(c.RequestTimeout, defaultRequestTimeout)
	c.StartupTimeout = orDefault(c.StartupTimeout, defaultStartupTimeout)
	c.StopBound = orDefault(c.StopBound, defaultStopBound)
	c.TransactionTimeout = orDefault(c.TransactionTimeout, defaultTransactionTimeout)
	c.WithdrawalTimeout = orDefault(c.WithdrawalTimeout, defaultWithdrawBound)
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

// defaultParameters are those that drivers expect of each server.
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

// workspaceEvent returns an event of a session.
func workspaceEvent(name EventName, workspace fleet.WorkspaceID, group fleet.GroupID, text string) Event {
	return Event{Group: group, Name: name, Text: text, Workspace: workspace}
}
