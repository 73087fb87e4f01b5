package caller

import (
	"cmp"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/fleet"
	sessionpkg "github.com/nutmegpier/nutmegpier/session"
)

// maxIdleHeldBytes is the largest buffer for held messages that an idle session
// keeps.
const maxIdleHeldBytes = 4 << 10

// sqlstateReadOnly is the SQLSTATE with which a replica or a fenced primary refuses
// a write. It proves that nothing ran.
const sqlstateReadOnly = "25006"

// request describes what a simple query or a batch needs.
type request struct {
	// access says whether the request needs the primary.
	access    Access
	arrivedAt time.Time
	// begins is the number of BEGIN statements.
	begins int
	// commits says that the request contains a COMMIT.
	commits bool
	// controlsTransaction says that the request begins or ends a transaction, or
	// rolls back to a savepoint.
	controlsTransaction bool
	// idempotent says that the caller allows a rerun even if the request may have
	// run.
	idempotent bool
	// maxAge is the maximum age of the data that a read returns. Zero means no limit.
	maxAge time.Duration
	// priority is the queue priority of the route.
	priority int
	// simpleQuery says that the request is a Query message, with the SQL text sql.
	// Otherwise it is the batch of the session.
	simpleQuery bool
	sql         string
	// statements is the number of statements that aren't empty.
	statements int
	// endsWithSync says that the server ends its response with ReadyForQuery. It is
	// false for a batch that ends with a Flush.
	endsWithSync bool
	// timeout is the statement timeout of the route. Zero means none.
	timeout time.Duration
	// mayChangeSession says that a statement may change session state in a way that
	// the proxy can't see.
	mayChangeSession bool
}

// relayResult is the result of sending a request to a server and relaying the
// response.
type relayResult struct {
	// code is the SQLSTATE of the first error of the server, or empty.
	code string
	// err is set if the backend connection failed.
	err error
	// serverError is the refusal that wasn't relayed yet, if refused is set.
	serverError *pgproto3.ErrorResponse
	// refused says that the server refused a write before anything ran and that
	// nothing was sent to the caller.
	refused bool
}

// addClassification adds the properties of an SQL text to the request.
func (r *request) addClassification(c *Classification) {
	if c.Access() == AccessWrite {
		r.access = AccessWrite
	}
	r.idempotent = r.idempotent || c.Hints.Idempotent
	r.controlsTransaction = r.controlsTransaction || c.ControlsTransaction()
	if c.Hints.MaxAge > 0 {
		r.maxAge = c.Hints.MaxAge
	}
	for s := range c.statements {
		if s.Verb == VerbBegin {
			r.begins++
		}
		if s.Verb != VerbEmpty {
			r.statements++
		}
		r.commits = r.commits || s.Verb == VerbCommit
		r.mayChangeSession = r.mayChangeSession || s.MayChangeSession
	}
}

// canRerunAfterRefusal reports whether the request can run on another server after
// this one refused a write. Of the requests that control a transaction only a
// single BEGIN can: a server that is being fenced refuses it, and nothing ran.
func (r *request) canRerunAfterRefusal() bool {
	return !r.controlsTransaction || (r.begins == 1 && r.statements == 1)
}

// simpleQuery handles a Query message.
func (s *session) simpleQuery() error {
	body, err := s.reader.Body()
	if err != nil {
		return err
	}
	if len(body) == 0 || body[len(body)-1] != 0 {
		return malformedError("Query")
	}
	if len(s.batch.messages) > 0 {
		return &Error{Op: "read", Kind: KindProtocol, Err: errors.New("a simple query inside an extended one isn't supported")}
	}
	s.skippingToSync = false
	sql := string(body[:len(body)-1])
	s.dropReadBuffer(len(body))
	class := Classify(sql)
	r := s.newRequest()
	r.simpleQuery, r.endsWithSync = true, true
	r.addClassification(&class)
	r.sql, err = s.checkStatements(&class, sql)
	if err != nil {
		return s.answerError(err)
	}
	s.recordChanges(&class)
	return s.serveRequest(&r)
}

// newRequest returns a request with the properties of the database's route. It also
// switches the session to the group of the route.
func (s *session) newRequest() request {
	route := s.route()
	s.updateGroup(route)
	return request{
		access:    readAccess(route),
		arrivedAt: s.server.config.Now(),
		maxAge:    cmp.Or(s.maxAge, route.MaxAge.Duration()),
		priority:  route.Priority,
		timeout:   route.StatementTimeout.Duration(),
	}
}

// serveRequest runs a request and answers it. A returned error ends the session.
func (s *session) serveRequest(r *request) error {
	defer s.resetRequestState()
	defer s.releaseWriter()
	if !s.setRunning(true) {
		return errNoBytes()
	}
	defer s.setRunning(false)
	s.completedParses = 0
	s.acquireWriter()
	if s.transactionLost {
		return s.serveLostTransaction(r)
	}
	if err := s.admit(r); err != nil {
		s.pendingChanges = s.pendingChanges[:0]
		return s.failRequest(r, err, s.txStatus)
	}
	s.server.retries.deposit()
	return s.runRequest(r)
}

// resetRequestState clears the state of the completed request.
func (s *session) resetRequestState() {
	s.dropUnparsed()
	if s.txStatus == backend.TxIdle && !s.awaitingSync() {
		clear(s.portals)
	}
	s.batch.reset()
	if cap(s.pendingReply) > maxIdleCapacity {
		s.pendingReply = nil
	}
	if len(s.heldMessages) == 0 && cap(s.heldMessages) > maxIdleHeldBytes {
		s.heldMessages = nil
	}
}

// runRequest runs a request and reruns it on other servers as long as that is safe.
func (s *session) runRequest(r *request) error {
	var exclude fleet.ServerID
	for attempt := 0; ; attempt++ {
		movable := s.lease == nil || s.replayableBegin != ""
		if server, err := s.ensureLease(r, exclude); err != nil {
			if !s.canRetrySetup(r, server, err) {
				return s.failAcquire(r, err)
			}
			s.server.record(Event{Group: s.group, Name: EventRetry, Server: server, Workspace: s.workspace})
			s.waitRetryDelay(attempt)
			exclude = server
			continue
		}
		done := s.limitStatement(r)
		result, callerErr := s.attempt(r)
		done()
		if callerErr != nil {
			return callerErr
		}
		server := s.lease.Server()
		if result.err != nil {
			s.server.record(Event{Group: s.group, Name: EventBackendLost, Server: server, Workspace: s.workspace})
		}
		if movable && s.canRerun(r, result) && s.server.retries.tryWithdraw() {
			s.prepareRerun(r, result, attempt)
			exclude = server
			continue
		}
		if result.err != nil {
			return s.failLostConnection(r, result)
		}
		return s.finishRequest(r, result)
	}
}

// prepareRerun restores the session to its state before the request and waits for
// the retry delay.
func (s *session) prepareRerun(r *request, result relayResult, attempt int) {
	s.server.record(Event{Group: s.group, Name: EventRetry, Server: s.lease.Server(), Workspace: s.workspace})
	s.release(result.err == nil && s.rollbackBlock())
	s.writer.Reset(&s.output)
	if result.code == sqlstateReadOnly {
		r.access = AccessWrite
	}
	s.waitRetryDelay(attempt)
}

// waitRetryDelay waits for the delay before the next attempt, or until the session is
// stopped.
func (s *session) waitRetryDelay(attempt int) {
	ctx, done := s.waitContext()
	defer done()
	timer := time.NewTimer(sessionpkg.RetryDelay(attempt, s.server.config.Jitter()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// rollbackBlock rolls back the transaction block in which the request was refused.
// It reports whether the connection can be reused.
func (s *session) rollbackBlock() bool {
	return s.replayableBegin == "" || s.lease.Conn().Exec("ROLLBACK") == nil
}

// failAcquire reports that a request got no connection. If its transaction block
// was to move to another server, the transaction is failed until the caller ends
// it.
func (s *session) failAcquire(r *request, err error) error {
	s.discardChanges()
	if s.replayableBegin == "" {
		return s.failRequest(r, err, s.txStatus)
	}
	s.replayableBegin = ""
	s.transactionLost = true
	return s.failRequest(r, err, backend.TxFailed)
}

// admit checks the session's key and the workspace's request rate. A transaction
// counts as one request, so only its first statement is checked.
func (s *session) admit(*request) error {
	if s.txStatus != backend.TxIdle || s.awaitingSync() {
		return nil
	}
	config := &s.server.config
	if !config.Credentials.KeyValid(s.workspace, s.key) {
		s.stop("the key was withdrawn", config.Now())
		return &Error{Op: "admit", Kind: KindClosed, Err: errors.New("the key was withdrawn")}
	}
	decision := config.AdmissionController.Admit(config.Now(), s.workspace)
	switch {
	case !decision.Serving:
		return &Error{Op: "admit", Kind: KindNotServing, Err: errors.New("this instance isn't serving"), RetryAfter: decision.RetryAfter}
	case !decision.Admitted:
		return &Error{Op: "admit", Kind: KindRateExceeded, Err: errors.New("the workspace is over its rate"), RetryAfter: decision.RetryAfter}
	}
	return nil
}

// canRetrySetup reports whether the request may be tried on another connection after
// a connection to a server could not be set up for it. Nothing of the request has run
// then. A server that is being fenced, for example, refuses to begin again the
// transaction that moves away from it.
func (s *session) canRetrySetup(r *request, server fleet.ServerID, err error) bool {
	var proxyErr *Error
	if server == "" || s.isStopping() || !errors.As(err, &proxyErr) || proxyErr.Kind != KindBackendLost {
		return false
	}
	attempt := sessionpkg.Attempt{Deadline: r.arrivedAt.Add(s.requestTimeout(r)), Refused: true}
	return attempt.MayRetry(s.server.config.Now()) && s.server.retries.tryWithdraw()
}

// ensureLease acquires a connection and sets up the session's state on it, unless
// the session already holds one. If the set-up failed, it returns the server.
func (s *session) ensureLease(r *request, exclude fleet.ServerID) (fleet.ServerID, error) {
	if s.lease != nil {
		return "", nil
	}
	if err := s.ensureToken(r); err != nil {
		return "", err
	}
	config := &s.server.config
	ctx, done := s.waitContext()
	defer done()
	lease, err := config.Router.Acquire(ctx, Request{
		Access:    r.access,
		ArrivedAt: r.arrivedAt,
		Database:  s.database,
		Deadline:  r.arrivedAt.Add(s.requestTimeout(r)),
		Exclude:   exclude,
		Group:     s.group,
		MaxAge:    r.maxAge,
		Priority:  r.priority,
		Token:     s.token,
		Workspace: s.workspace,
	})
	if err != nil {
		return "", s.waitError(ctx, err)
	}
	s.setLease(lease)
	return lease.Server(), s.setUp(lease.Conn())
}

// setUp sets up the session's state on the connection of its lease, and releases the
// lease if that fails.
func (s *session) setUp(conn *backend.Conn) error {
	if err := conn.PrepareFor(s.id, s.settingsSQL); err != nil {
		s.release(conn.Reusable())
		return setupError(err)
	}
	if s.replayableBegin != "" {
		if err := conn.Exec(s.replayableBegin); err != nil {
			s.release(conn.Reusable())
			return lostError("the transaction could not be moved to another server")
		}
	}
	if conn.PreparedCount() > maxPreparedPerConn {
		if err := s.deallocateAll(conn); err != nil {
			s.release(false)
			return setupError(err)
		}
	}
	return nil
}

// ensureToken gets a position from the read barrier in two cases: before the first
// read of a session that has no token, and before the first read on a replica after
// a read that had to run on the primary. A primary reports no position for a read;
// the position of the barrier covers what the read saw.
func (s *session) ensureToken(r *request) error {
	config := &s.server.config
	isCovered := s.hasToken && s.primaryReadAt.IsZero()
	if isCovered || r.access == AccessWrite || r.maxAge > 0 || config.Barrier == nil {
		return nil
	}
	since := s.startedAt
	if s.primaryReadAt.After(since) {
		since = s.primaryReadAt
	}
	position, err := config.Barrier.Barrier(s.ctx, s.group, since)
	if err != nil {
		return acquireError(err)
	}
	s.token, _ = s.token.advanceSeen(position)
	s.token.Group = s.group
	s.hasToken = true
	s.primaryReadAt = time.Time{}
	return nil
}

// canRerun reports whether the request may be rerun on another server.
func (s *session) canRerun(r *request, result relayResult) bool {
	config := &s.server.config
	if !r.canRerunAfterRefusal() || s.isStopping() {
		return false
	}
	return sessionpkg.Attempt{
		Deadline:           r.arrivedAt.Add(s.requestTimeout(r)),
		PartiallyDelivered: s.writer.Flushed(),
		Lost:               result.err != nil,
		Refused:            result.refused,
		Idempotent:         r.idempotent || !s.lease.Primary(),
	}.MayRetry(config.Now())
}

// finishRequest completes a request to which the server sent its full response.
func (s *session) finishRequest(r *request, result relayResult) error {
	conn := s.lease.Conn()
	position, reported := conn.ReportedPosition()
	primary := s.lease.Primary()
	if !r.endsWithSync {
		return s.finishFlush()
	}
	if result.refused {
		result.serverError.Detail = outcomeDetail(OutcomeNotRun)
		_ = s.writer.Message(result.serverError)
	}
	s.txStatus = conn.TxStatus()
	s.trackBegin(r)
	s.applyChanges(r, result, conn)
	if s.txStatus != backend.TxIdle {
		return s.sendReady(true)
	}
	if !s.pinned {
		s.release(conn.Reusable())
	}
	if !reported {
		// Reads that the router sent to the primary for lack of a suitable replica
		// don't count. While replicas lag, they would keep the session's later
		// reads on the primary too.
		if primary && r.access == AccessWrite {
			s.primaryReadAt = s.server.config.Now()
		}
		return s.sendReady(true)
	}
	if !primary {
		s.updateToken(s.token.advanceSeen(position))
		return s.sendReady(true)
	}
	return s.acknowledgeWrite(position, result)
}

// trackBegin records the BEGIN of a transaction block in which nothing else ran
// yet. Such a block can move to another server.
func (s *session) trackBegin(r *request) {
	switch {
	case r.simpleQuery && r.begins == 1 && r.statements == 1 && s.txStatus == backend.TxOpen:
		s.replayableBegin = r.sql
	case r.statements > 0 || s.txStatus != backend.TxOpen:
		s.replayableBegin = ""
	}
}

// finishFlush completes the response to a Flush. Held messages are sent, because
// nothing they acknowledge is committed before the Sync. After a COMMIT they stay
// held.
func (s *session) finishFlush() error {
	if !s.holdingCommit {
		_ = s.writer.Raw(s.heldMessages)
		s.heldMessages = s.heldMessages[:0]
	}
	return s.writer.Flush()
}

// acknowledgeWrite waits until the commit of a write is durable and then sends the
// held messages.
func (s *session) acknowledgeWrite(position fleet.Position, result relayResult) error {
	outcome, err := s.server.config.CommitWaiter.AwaitCommit(s.ctx, s.group, position)
	switch {
	case err == nil && outcome == OutcomeCommitted:
		s.updateToken(s.token.advanceWritten(position))
		return s.sendReady(true)
	case err == nil && outcome == OutcomeNotRun:
		s.server.record(workspaceEvent(EventCommitNotRun, s.workspace, s.group, ""))
		err = &Error{Op: "commit", Kind: KindBackendLost, Err: errors.New("the commit was lost in a change of primary")}
	default:
		s.server.record(workspaceEvent(EventCommitUnknown, s.workspace, s.group, ""))
		err = unknownError("it isn't known whether the commit is durable")
	}
	if result.code == "" {
		_ = s.writer.Message(errorResponse(err, "ERROR"))
	}
	return s.sendReady(false)
}

// sendReady sends ReadyForQuery, preceded by the held messages if withHeld is set.
func (s *session) sendReady(withHeld bool) error {
	if withHeld {
		_ = s.writer.Raw(s.heldMessages)
	}
	s.heldMessages = s.heldMessages[:0]
	s.holdingCommit = false
	var raw [headerSize + 1]byte
	copy(raw[:], []byte{'Z', 0, 0, 0, 5, s.txStatus})
	if err := s.writer.Raw(raw[:]); err != nil {
		return err
	}
	return s.writer.Flush()
}

// updateToken stores the token and sends it to the caller, if it advanced.
func (s *session) updateToken(token Token, advanced bool) {
	if !advanced {
		return
	}
	token.Group = s.group
	s.token, s.hasToken = token, true
	_ = s.writer.Message(&pgproto3.ParameterStatus{Name: TokenParameter, Value: token.String()})
}

// failRequest answers a request with an error of the proxy and sets the transaction
// status.
func (s *session) failRequest(r *request, err error, txStatus byte) error {
	s.heldMessages = s.heldMessages[:0]
	s.holdingCommit = false
	s.txStatus = txStatus
	_ = s.writer.Message(errorResponse(err, "ERROR"))
	if r.endsWithSync {
		return s.sendReady(false)
	}
	s.skippingToSync = true
	return s.writer.Flush()
}

// failLostConnection answers a request whose backend connection failed.
func (s *session) failLostConnection(r *request, result relayResult) error {
	inTransaction := s.txStatus != backend.TxIdle
	outcome := sessionpkg.LostRequest{Commits: r.commits, InTransaction: inTransaction, Writes: s.lease.Primary()}.Outcome()
	pinned := s.pinned
	s.replayableBegin = ""
	s.release(false)
	s.discardChanges()
	switch {
	case pinned && r.commits, pinned && !inTransaction:
		// Session state such as locks and temporary tables was lost with the
		// connection, so the session must end.
		return unknownError("the backend server was lost, and with it the state of the session")
	case pinned:
		return lostError("the backend server was lost, and with it the state of the session")
	case inTransaction && outcome == OutcomeNotRun && !r.commits:
		// The server rolls the transaction back. The session's transaction counts
		// as failed until the caller ends it, so that later statements don't run
		// outside it.
		s.transactionLost = true
		return s.failRequest(r, lostError("the backend server was lost; the transaction is rolled back"), backend.TxFailed)
	case outcome == OutcomeNotRun:
		return s.failRequest(r, lostError("the backend server was lost"), backend.TxIdle)
	}
	return s.failRequest(r, unknownError("the backend server was lost before it answered"), backend.TxIdle)
}

// acquireError translates an error of the router into an *Error.
func acquireError(err error) error {
	var proxyErr *Error
	if errors.As(err, &proxyErr) {
		return err
	}
	var backendErr *backend.Error
	if errors.As(err, &backendErr) {
		switch backendErr.Kind {
		case backend.KindDeadline:
			return &Error{Op: "acquire", Kind: KindCapacity, Err: errors.New("no backend connection became free before the deadline")}
		case backend.KindQueueFull:
			return &Error{Op: "acquire", Kind: KindCapacity, Err: errors.New("too many requests wait for a backend connection")}
		}
	}
	return lostError("no backend server can take the request")
}

// setupError translates an error of setting up the session's state on a connection.
func setupError(err error) error {
	var backendErr *backend.Error
	if errors.As(err, &backendErr) && backendErr.Kind == backend.KindServer {
		return &Error{Op: "acquire", Kind: KindInvalidParameter, Err: errors.New("the session's settings can't be set: " + backendErr.Err.Error())}
	}
	return lostError("the backend server was lost")
}

// lostError returns an error for a lost backend connection, after which the request
// certainly didn't take effect.
func lostError(text string) error {
	return &Error{Op: "relay", Kind: KindBackendLost, Err: errors.New(text)}
}

// unknownError returns an error for a write that may or may not have taken effect.
func unknownError(text string) error {
	return &Error{Op: "relay", Kind: KindUnknownOutcome, Outcome: OutcomeUnknown, Err: errors.New(text)}
}
