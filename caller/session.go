package caller

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/budget"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// pastDeadline is a read deadline that makes a pending read return at once.
var pastDeadline = time.Unix(1, 0)

// session is one connection of a caller after the StartupMessage. It runs in its
// own goroutine; stop, abort, cancel and cancelStatement may be called from others.
type session struct {
	// startedAt is when the session connected, or when its database moved to the
	// current group. Reads must see all writes acknowledged before.
	startedAt time.Time
	batch     batch
	// replayableBegin is the BEGIN of the open transaction block if nothing else
	// ran in it, so that the block can move to another server. Otherwise it is
	// empty.
	replayableBegin string
	// charged is the number of bytes of the current messages that are charged to the
	// budget.
	charged int
	connID  budget.ConnID
	// pendingChanges are the changes of the session state in the current request or
	// transaction. Most take effect at its commit.
	pendingChanges []settingChange
	// holdingCommit says that heldMessages contains the CommandComplete of a
	// COMMIT.
	holdingCommit bool
	conn          net.Conn
	// ctx is the context of waits that a cancel request interrupts.
	ctx context.Context
	// database is the database that the caller connected to; group is the group
	// that serves it now.
	database fleet.GroupID
	// earlierTokens are the tokens for groups that served the database before.
	earlierTokens map[fleet.GroupID]Token
	endWaitFunc   func()
	group         fleet.GroupID
	hasToken      bool
	// heldMessages are encoded messages that are held back because they may
	// acknowledge a commit that isn't durable yet.
	heldMessages []byte
	id           uint64
	// startupSettings are the settings of the StartupMessage; RESET restores them.
	startupSettings []setting
	key             KeyID
	// transactionLost says that the backend connection was lost in a transaction
	// that the caller hasn't ended yet.
	transactionLost bool
	maxAge          time.Duration
	// pendingReply is the queue of replies that are still expected for the current
	// request.
	pendingReply []pendingReply
	output       callerWriter
	// completedParses counts the completed Parse messages of the current request.
	completedParses int
	// pinned says that the session keeps its backend connection between
	// transactions.
	pinned bool
	// portals are the portals whose statement changes the session state.
	portals  map[string]*preparedStatement
	prepared map[string]*preparedStatement
	// preparedSize is the approximate memory use of the prepared statements in
	// bytes.
	preparedSize int
	processID    uint32
	// settingsSQL is the SQL that sets settings on a connection.
	settingsSQL string
	reader      *backend.FrameReader
	// primaryReadAt is when the last read completed that had to run on the primary,
	// if its position is still unknown.
	primaryReadAt time.Time
	// rolledBack says that the last CommandComplete of the request was a ROLLBACK.
	rolledBack bool
	secret     [4]byte
	// sendResult receives the result of sending a long batch in the background.
	sendResult <-chan error
	server     *Server
	// settings are the current settings of the session.
	settings []setting
	// skippingToSync says that messages are ignored up to the next Sync, after an
	// error that was reported at a Flush.
	skippingToSync bool
	token          Token
	txStatus       byte
	workspace      fleet.WorkspaceID
	writer         *backend.FrameWriter

	// mu guards the fields below.
	mu sync.Mutex
	// cancelSent says that a cancel request was sent for the leased connection.
	cancelSent bool
	// idle says that the session waits for a message of the caller.
	idle  bool
	lease Lease
	// statementSeq is the number of the statement that a statement timeout applies
	// to. It increases when the statement ends, so that a late timer doesn't cancel
	// the next one.
	statementSeq uint64
	// stopAt is when the session is aborted, if stopReason is set.
	stopAt    time.Time
	stopTimer *time.Timer
	// stopReason is the reason that is sent to the caller. The session is stopping
	// if it isn't empty.
	stopReason string
	// cancelWait cancels ctx. Cancel requests and abort call it only while waiting
	// is set.
	cancelWait context.CancelFunc
	// waiting says that the session waits for a connection or retry delay on ctx.
	waiting bool
}

// abort ends the session without waiting for its statement or transaction.
func (s *session) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopReason == "" {
		s.stopReason = "the session was cut off"
	}
	s.stopAt = pastDeadline
	_ = s.conn.SetReadDeadline(pastDeadline)
	if s.waiting {
		s.cancelWait()
	}
	if s.lease != nil {
		_ = s.lease.Conn().Close()
	}
}

// cancel cancels what the session is running. The lock keeps the connection from
// being released meanwhile. Afterwards other sessions don't reuse it, since the
// server may process the cancel request late.
func (s *session) cancel(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting {
		s.cancelWait()
		return
	}
	if s.lease == nil {
		return
	}
	s.cancelRunning(ctx)
}

// cancelRunning cancels what is running on the leased connection. mu must be held.
func (s *session) cancelRunning(ctx context.Context) {
	s.cancelSent = true
	_ = s.lease.Conn().Cancel(ctx)
}

// run serves requests until the session ends.
func (s *session) run() {
	defer s.releaseResources()
	s.ctx, s.cancelWait = context.WithCancel(context.Background())
	s.endWaitFunc = s.endWaiting
	for {
		frame, err := s.nextMessage()
		if err == nil {
			err = s.handleMessage(frame)
		}
		s.releaseMessages()
		if err != nil {
			s.reportFatal(err)
			return
		}
	}
}

// stop ends the session as soon as it is safe: at once if it is idle, otherwise
// after its statement or transaction. At the given time it is aborted. If the session
// is stopping already, the earlier time counts.
func (s *session) stop(reason string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopReason != "" && !at.Before(s.stopAt) {
		return
	}
	if s.stopTimer != nil {
		s.stopTimer.Stop()
	}
	s.stopReason, s.stopAt = reason, at
	s.stopTimer = time.AfterFunc(at.Sub(s.server.config.Now()), s.abort)
	if s.idle {
		_ = s.conn.SetReadDeadline(s.readDeadline())
	}
}

// nextMessage waits for the next message of the caller.
func (s *session) nextMessage() (backend.Frame, error) {
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

// waitContext returns the session's context for a wait that a cancel request can
// interrupt, and the function to call after the wait. The context is reused,
// because a new one for each wait would cost allocations.
func (s *session) waitContext() (context.Context, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = true
	return s.ctx, s.endWaitFunc
}

// endWaiting ends a wait and replaces a cancelled context.
func (s *session) endWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = false
	if s.ctx.Err() != nil {
		s.ctx, s.cancelWait = context.WithCancel(context.Background())
	}
}

// waitError translates the error of a wait, which may be due to a cancel request.
func (s *session) waitError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return &Error{Op: "acquire", Kind: KindCancelled, Err: errors.New("canceling statement due to user request")}
	}
	return acquireError(err)
}

// closeReason returns the error that tells the caller why the proxy closes the
// session. mu must be held.
func (s *session) closeReason() error {
	switch {
	case s.stopReason != "":
		return &Error{Op: "await", Kind: KindClosed, Err: errors.New(s.stopReason)}
	case !s.isBetweenRequests():
		return &Error{Op: "await", Kind: KindIdleTransaction, Err: errors.New("the session was idle in a transaction for too long; the transaction is rolled back")}
	}
	return &Error{Op: "await", Kind: KindClosed, Err: errors.New("the session was idle for too long")}
}

// releaseResources releases the resources of a session that has ended. Closing the
// connection rolls back an open transaction.
func (s *session) releaseResources() {
	s.releaseWriter()
	s.releaseBuffers()
	s.cancelWait()
	s.mu.Lock()
	current := s.lease
	if s.stopTimer != nil {
		s.stopTimer.Stop()
	}
	s.mu.Unlock()
	if current == nil {
		return
	}
	conn := current.Conn()
	if s.pinned {
		conn.MarkStateChanged()
	}
	s.release(conn.Reusable())
}

// releaseBuffers frees the messages and statements of a session that has ended, because
// its connection may linger.
func (s *session) releaseBuffers() {
	s.batch, s.heldMessages, s.portals, s.prepared, s.reader = batch{}, nil, nil, nil, nil
}

// enterIdle marks the session as idle and sets the read deadline. It returns an
// error if the session must end now.
func (s *session) enterIdle() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopReason != "" && s.isBetweenRequests() {
		return s.closeReason()
	}
	s.idle = true
	if s.reader.Buffered() == 0 || s.stopReason != "" {
		_ = s.conn.SetReadDeadline(s.readDeadline())
	}
	return nil
}

// reportFatal sends the caller the reason why the proxy ends the session. If the
// caller or the network ended it, nothing is sent.
func (s *session) reportFatal(err error) {
	var proxyErr *Error
	var frameErr *backend.Error
	switch {
	case errors.As(err, &proxyErr):
	case errors.As(err, &frameErr) && frameErr.Kind == backend.KindProtocol:
		proxyErr = &Error{Op: "read", Kind: KindProtocol, Err: errors.New("malformed or oversized message")}
	default:
		return
	}
	s.server.record(workspaceEvent(EventSessionClosed, s.workspace, s.group, proxyErr.message()))
	_ = s.sendNow(errorResponse(proxyErr, "FATAL"))
}

// releaseWriter returns the writer to the pool.
func (s *session) releaseWriter() {
	if s.writer == nil {
		return
	}
	s.writer.Reset(nil)
	s.server.writerPool.Put(s.writer)
	s.writer = nil
}

// handleMessage processes one message of the caller.
func (s *session) handleMessage(frame backend.Frame) error {
	if strings.IndexByte("QPBCDEHS", frame.Type) >= 0 {
		if err := s.chargeMessage(frame.Size); err != nil {
			return err
		}
	}
	switch frame.Type {
	case 'Q': // Query
		return s.simpleQuery()
	case 'P', 'B', 'C', 'D', 'E': // Parse, Bind, Close, Describe, Execute
		return s.addToBatch(frame.Type)
	case 'H', 'S': // Flush, Sync
		return s.endBatch(frame.Type)
	case 'X': // Terminate
		return errTerminate
	case 'c', 'd', 'f': // CopyDone, CopyData, CopyFail
		// PostgreSQL also ignores COPY messages that arrive after a failed COPY.
		return nil
	case 'F': // FunctionCall
		return s.answerError(&Error{Op: "function call", Kind: KindUnsupported, Err: errors.New("function calls aren't supported")})
	}
	return &Error{Op: "read", Kind: KindProtocol, Err: errors.New("unexpected message type")}
}

// errTerminate ends a session after a Terminate message.
var errTerminate = errors.New("the caller sent Terminate")

// isBetweenRequests reports whether the session can end without interrupting a
// request or transaction.
func (s *session) isBetweenRequests() bool {
	return s.txStatus == backend.TxIdle && len(s.batch.messages) == 0
}

// readDeadline returns when to stop waiting for the caller's next message. mu must
// be held.
func (s *session) readDeadline() time.Time {
	timeout := s.server.config.IdleTimeout
	if !s.isBetweenRequests() {
		timeout = min(timeout, s.server.config.TransactionTimeout)
	}
	deadline := s.server.config.Now().Add(timeout)
	switch {
	case s.stopReason == "":
		return deadline
	case s.isBetweenRequests():
		return pastDeadline
	case s.stopAt.Before(deadline):
		return s.stopAt
	}
	return deadline
}

// release returns the leased connection. It isn't reused if it is unhealthy or a
// cancel request was sent for it.
func (s *session) release(healthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease == nil {
		return
	}
	s.lease.Release(healthy && !s.cancelSent)
	s.lease = nil
	s.cancelSent = false
	s.pinned = false
}

// sendNow sends one message and flushes it.
func (s *session) sendNow(message backend.Encoder) error {
	w := s.acquireWriter()
	defer s.releaseWriter()
	if err := w.Message(message); err != nil {
		return err
	}
	return w.Flush()
}

// setLease stores the lease of a newly acquired connection.
func (s *session) setLease(lease Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = lease
	s.cancelSent = false
}

// acquireWriter returns the session's writer. Writers come from a pool and are
// returned after each response, so that idle sessions hold no write buffer.
func (s *session) acquireWriter() *backend.FrameWriter {
	if s.writer == nil {
		s.writer = s.server.writerPool.Get().(*backend.FrameWriter)
		s.writer.Reset(&s.output)
	}
	return s.writer
}

// callerWriter limits each write by a timeout, so that a caller that doesn't read
// can't hold a backend connection forever.
type callerWriter struct {
	conn    net.Conn
	timeout time.Duration
}

// Write writes p within the timeout.
func (w *callerWriter) Write(p []byte) (int, error) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.conn.Write(p)
}

// answerError responds to a Query or FunctionCall message with an error.
func (s *session) answerError(err error) error {
	w := s.acquireWriter()
	defer s.releaseWriter()
	_ = w.Message(errorResponse(err, "ERROR"))
	_ = w.Message(&pgproto3.ReadyForQuery{TxStatus: s.txStatus})
	return w.Flush()
}
