package caller

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// session is one caller's connection after authentication. Its own goroutine
// runs it; stop, abort and cancel may be called from others.
type session struct {
	arrivedAt time.Time
	batch     batch
	// begin is the BEGIN of a transaction block in which nothing ran yet.
	begin     string
	changes   []settingChange
	commitTag bool
	conn      net.Conn
	ctx       context.Context
	// database is what the caller connected to, and group what serves it now.
	database  fleet.GroupID
	endWait   func()
	group     fleet.GroupID
	hasToken  bool
	held      []byte
	id        uint64
	initial   []setting
	key       KeyID
	lost      bool
	maxAge    time.Duration
	operation []operation
	output    callerWriter
	parsed    int
	pinned    bool
	portals   map[string]*preparedStatement
	prepared  map[string]*preparedStatement
	// preparedSize is the memory of the prepared statements in bytes.
	preparedSize int
	processID    uint32
	profile      string
	reader       *backend.FrameReader
	// readAt is when a read on the primary ended whose position isn't known.
	readAt     time.Time
	rolledBack bool
	secret     [4]byte
	sending    <-chan error
	server     *Server
	settings   []setting
	skipping   bool
	token      Token
	tx         byte
	workspace  fleet.WorkspaceID
	writer     *backend.FrameWriter

	// mu guards the fields below.
	mu        sync.Mutex
	cancelled bool
	idle      bool
	lease     Lease
	// statement counts the limited statements, so that a late limit does not
	// reach the next one.
	statement uint64
	stopAt    time.Time
	stopTimer *time.Timer
	stopped   string
	// stopWaiting ends the wait for a connection while waiting is set.
	stopWaiting context.CancelFunc
	waiting     bool
}

// abort ends the session without waiting for its statement or transaction.
func (s *session) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped == "" {
		s.stopped = "the session was cut off"
	}
	s.stopAt = longAgo
	_ = s.conn.SetReadDeadline(longAgo)
	if s.waiting {
		s.stopWaiting()
	}
	if s.lease != nil {
		_ = s.lease.Conn().Close()
	}
}

// cancel cancels what the session runs. The connection isn't given back while
// the request is under way, and isn't used by other sessions afterwards, since
// the server may act on the request late.
func (s *session) cancel(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting {
		s.stopWaiting()
		return
	}
	if s.lease == nil {
		return
	}
	s.cancelRunning(ctx)
}

// cancelRunning cancels what the leased connection runs. The caller holds mu.
func (s *session) cancelRunning(ctx context.Context) {
	s.cancelled = true
	_ = s.lease.Conn().Cancel(ctx)
}

// run serves requests until the session ends.
func (s *session) run() {
	defer s.end()
	s.ctx, s.stopWaiting = context.WithCancel(context.Background())
	s.endWait = s.endWaiting
	for {
		frame, err := s.await()
		if err == nil {
			err = s.handle(frame)
		}
		if err != nil {
			s.farewell(err)
			return
		}
	}
}

// stop ends the session at the next safe point: at once if it is idle, else
// after its statement or transaction, at the given time at the latest.
func (s *session) stop(reason string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped != "" {
		return
	}
	s.stopped, s.stopAt = reason, at
	s.stopTimer = time.AfterFunc(at.Sub(s.server.config.Now()), s.abort)
	if s.idle {
		_ = s.conn.SetReadDeadline(s.readDeadline())
	}
}

// await waits for the next message of the caller.
func (s *session) await() (backend.Frame, error) {
	if err := s.enterIdle(); err != nil {
		return backend.Frame{}, err
	}
	frame, err := s.reader.Next()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = false
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return frame, s.closeReason()
	}
	return frame, err
}

// waitContext returns the context of the session for a wait that a cancel
// request ends, and a function that ends the wait. The context is kept for
// later waits, since making one for each costs allocations.
func (s *session) waitContext() (context.Context, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = true
	return s.ctx, s.endWait
}

func (s *session) endWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = false
	if s.ctx.Err() != nil {
		s.ctx, s.stopWaiting = context.WithCancel(context.Background())
	}
}

// waitError returns the error of a wait, which may have been cancelled.
func (s *session) waitError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return &Error{Op: "acquire", Kind: KindCancelled, Err: errors.New("canceling statement due to user request")}
	}
	return acquireError(err)
}

// closeReason says why this side closes the session. The caller holds mu.
func (s *session) closeReason() error {
	switch {
	case s.stopped != "":
		return &Error{Op: "await", Kind: KindClosed, Err: errors.New(s.stopped)}
	case !s.isBetweenRequests():
		return &Error{Op: "await", Kind: KindIdleTransaction, Err: errors.New("the session was idle in a transaction for too long; the transaction is rolled back")}
	}
	return &Error{Op: "await", Kind: KindClosed, Err: errors.New("the session was idle for too long")}
}

// end gives back what the session holds. A transaction that is still open is
// rolled back by closing its connection.
func (s *session) end() {
	s.giveWriter()
	s.stopWaiting()
	s.mu.Lock()
	held := s.lease
	if s.stopTimer != nil {
		s.stopTimer.Stop()
	}
	s.mu.Unlock()
	if held == nil {
		return
	}
	conn := held.Conn()
	if s.pinned {
		conn.Touch()
	}
	s.release(conn.Reusable())
}

func (s *session) enterIdle() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped != "" && s.isBetweenRequests() {
		return s.closeReason()
	}
	s.idle = true
	if s.reader.Buffered() == 0 || s.stopped != "" {
		_ = s.conn.SetReadDeadline(s.readDeadline())
	}
	return nil
}

// farewell tells the caller why the session ends, if this side ends it.
func (s *session) farewell(err error) {
	var known *Error
	var malformed *backend.Error
	switch {
	case errors.As(err, &known):
	case errors.As(err, &malformed) && malformed.Kind == backend.KindProtocol:
		known = &Error{Op: "read", Kind: KindProtocol, Err: errors.New("malformed or oversized message")}
	default:
		return
	}
	s.server.record(workspaceEvent(EventSessionClosed, s.workspace, s.group, known.message()))
	_ = s.sendNow(response(known, "FATAL"))
}

func (s *session) giveWriter() {
	if s.writer == nil {
		return
	}
	s.writer.Reset(nil)
	s.server.writers.Put(s.writer)
	s.writer = nil
}

// handle acts on one message of the caller.
func (s *session) handle(frame backend.Frame) error {
	switch frame.Type {
	case 'Q':
		return s.simple()
	case 'P', 'B', 'C', 'D', 'E':
		return s.extended(frame.Type)
	case 'H', 'S':
		return s.endBatch(frame.Type)
	case 'X':
		return errTerminate
	case 'c', 'd', 'f':
		// PostgreSQL drops COPY messages that arrive after a failed COPY.
		return nil
	case 'F':
		return s.answerError(&Error{Op: "function call", Kind: KindUnsupported, Err: errors.New("function calls aren't supported")})
	}
	return &Error{Op: "read", Kind: KindProtocol, Err: errors.New("unexpected message type")}
}

// errTerminate ends a session that the caller closed.
var errTerminate = errors.New("terminated by the caller")

// isBetweenRequests reports whether the session can end without interrupting
// anything.
func (s *session) isBetweenRequests() bool {
	return s.tx == backend.TxIdle && len(s.batch.messages) == 0
}

// readDeadline returns until when to wait for the caller. The caller holds mu.
func (s *session) readDeadline() time.Time {
	bound := s.server.config.IdleTimeout
	if !s.isBetweenRequests() {
		bound = min(bound, s.server.config.TransactionTimeout)
	}
	deadline := s.server.config.Now().Add(bound)
	switch {
	case s.stopped == "":
		return deadline
	case s.isBetweenRequests():
		return longAgo
	case s.stopAt.Before(deadline):
		return s.stopAt
	}
	return deadline
}

// release gives the lease back.
func (s *session) release(healthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease == nil {
		return
	}
	s.lease.Release(healthy && !s.cancelled)
	s.lease = nil
	s.cancelled = false
	s.pinned = false
}

// sendNow sends one message to the caller.
func (s *session) sendNow(message backend.Encoder) error {
	w := s.takeWriter()
	defer s.giveWriter()
	if err := w.Message(message); err != nil {
		return err
	}
	return w.Flush()
}

func (s *session) setLease(lease Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = lease
	s.cancelled = false
}

// takeWriter returns the writer to the caller. It is shared among sessions, so
// that idle ones hold no buffer.
func (s *session) takeWriter() *backend.FrameWriter {
	if s.writer == nil {
		s.writer = s.server.writers.Get().(*backend.FrameWriter)
		s.writer.Reset(&s.output)
	}
	return s.writer
}

// callerWriter bounds each write to a caller, so that one that doesn't read
// can't hold a backend connection for ever.
type callerWriter struct {
	conn    net.Conn
	timeout time.Duration
}

// Write writes p within the timeout.
func (w *callerWriter) Write(p []byte) (int, error) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.conn.Write(p)
}

// answerError answers a simple request with an error.
func (s *session) answerError(err error) error {
	w := s.takeWriter()
	defer s.giveWriter()
	_ = w.Message(response(err, "ERROR"))
	_ = w.Message(&pgproto3.ReadyForQuery{TxStatus: s.tx})
	return w.Flush()
}
