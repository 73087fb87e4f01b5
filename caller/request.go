package caller

import (
	"cmp"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/fleet"
	core "github.com/nutmegpier/nutmegpier/session"
)

// maxKeptHeld is the size of the buffer for held messages that an idle session
// keeps, in bytes.
const maxKeptHeld = 4 << 10

// codeReadOnly is the SQLSTATE with which a replica or a fenced primary
// refuses a write. It proves that nothing ran.
const codeReadOnly = "25006"

// request is what a batch asks for.
type request struct {
	access     Access
	arrivedAt  time.Time
	begins     int
	commits    bool
	control    bool
	idempotent bool
	maxAge     time.Duration
	priority   int
	simple     bool
	sql        string
	statements int
	synced     bool
	// timeout bounds the request; zero means no bound of its own.
	timeout time.Duration
	touches bool
}

// answer is what relaying a batch led to.
type answer struct {
	// code is the SQLSTATE of the first error of the server, or empty.
	code string
	// err says that the backend connection failed.
	err error
	// failure is the error that wasn't passed on because of rerun.
	failure *pgproto3.ErrorResponse
	// rerun says that the server proved that nothing ran, and that nothing
	// was passed on to the caller.
	rerun bool
}

// include takes one statement into account.
func (r *request) include(c *Classification) {
	if c.Access() == AccessWrite {
		r.access = AccessWrite
	}
	r.idempotent = r.idempotent || c.Hints.Idempotent
	r.control = r.control || c.ControlsTransaction()
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
		r.touches = r.touches || s.MayChangeSession
	}
}

// mayFollowRefusal reports whether the request can run on another server after
// this one refused to write. Of those that control a transaction only a single
// BEGIN can: a server that is being fenced refuses it, and nothing ran.
func (r *request) mayFollowRefusal() bool {
	return !r.control || (r.begins == 1 && r.statements == 1)
}

// simple handles a simple query.
func (s *session) simple() error {
	body, err := s.reader.Body()
	if err != nil {
		return err
	}
	if len(body) == 0 || body[len(body)-1] != 0 {
		return malformed("Query")
	}
	if len(s.batch.messages) > 0 {
		return &Error{Op: "read", Kind: KindProtocol, Err: errors.New("a simple query inside an extended one isn't supported")}
	}
	s.skipping = false
	sql := string(body[:len(body)-1])
	class := Classify(sql)
	r := s.newRequest()
	r.simple, r.synced = true, true
	r.include(&class)
	r.sql, err = s.check(&class, sql)
	if err != nil {
		return s.answerError(err)
	}
	s.noteChanges(&class)
	return s.serve(&r)
}

func (s *session) newRequest() request {
	route := s.route()
	s.followRoute(route)
	return request{
		access:    readAccess(route),
		arrivedAt: s.server.config.Now(),
		maxAge:    cmp.Or(s.maxAge, route.MaxAge.Duration()),
		priority:  route.Priority,
		timeout:   route.StatementTimeout.Duration(),
	}
}

// serve runs a request and answers it. An error ends the session.
func (s *session) serve(r *request) error {
	defer s.endRequest()
	defer s.giveWriter()
	s.parsed = 0
	s.takeWriter()
	if s.lost {
		return s.serveLost(r)
	}
	if err := s.admit(r); err != nil {
		s.changes = s.changes[:0]
		return s.fail(r, err, s.tx)
	}
	s.server.retries.earn()
	return s.runRequest(r)
}

// endRequest forgets what is kept of a request while it runs.
func (s *session) endRequest() {
	s.dropUnparsed()
	if s.tx == backend.TxIdle && !s.flushOpen() {
		clear(s.portals)
	}
	s.batch.reset()
	if cap(s.operation) > keptCapacity {
		s.operation = nil
	}
	if len(s.held) == 0 && cap(s.held) > maxKeptHeld {
		s.held = nil
	}
}

// runRequest relays a request, on several servers if nothing ran on the first.
func (s *session) runRequest(r *request) error {
	var exclude fleet.ServerID
	for attempt := 0; ; attempt++ {
		fresh := s.lease == nil || s.begin != ""
		if err := s.ensureLease(r, exclude); err != nil {
			return s.failAcquire(r, err)
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
		if fresh && s.mayRerun(r, result) && s.server.retries.spend() {
			s.prepareRerun(r, result, attempt)
			exclude = server
			continue
		}
		if result.err != nil {
			return s.failLost(r, result)
		}
		return s.finish(r, result)
	}
}

// prepareRerun puts the session into the state before the request, and waits.
func (s *session) prepareRerun(r *request, result answer, attempt int) {
	s.server.record(Event{Group: s.group, Name: EventRetry, Server: s.lease.Server(), Workspace: s.workspace})
	s.release(result.err == nil && s.leaveBlock())
	s.writer.Reset(&s.output)
	if result.code == codeReadOnly {
		r.access = AccessWrite
	}
	ctx, done := s.waitContext()
	defer done()
	timer := time.NewTimer(core.RetryDelay(attempt, s.server.config.Jitter()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// leaveBlock ends the transaction block in which a request was refused. It
// reports whether the connection can be used again.
func (s *session) leaveBlock() bool {
	return s.begin == "" || s.lease.Conn().Exec("ROLLBACK") == nil
}

// failAcquire refuses a request that got no connection. A transaction block
// that was to move to another server stays failed until the caller ends it.
func (s *session) failAcquire(r *request, err error) error {
	s.dropChanges()
	if s.begin == "" {
		return s.fail(r, err, s.tx)
	}
	s.begin = ""
	s.lost = true
	return s.fail(r, err, backend.TxFailed)
}

// admit checks the session's key and the workspace's rate. A transaction is
// one request, so its statements after the first aren't checked again.
func (s *session) admit(*request) error {
	if s.tx != backend.TxIdle || s.flushOpen() {
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

// ensureLease gets a connection with the session's state, if it has none.
func (s *session) ensureLease(r *request, exclude fleet.ServerID) error {
	if s.lease != nil {
		return nil
	}
	if err := s.ensureToken(r); err != nil {
		return err
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
		return s.waitError(ctx, err)
	}
	s.setLease(lease)
	conn := lease.Conn()
	if err := conn.Adopt(s.id, s.profile); err != nil {
		s.release(conn.Reusable())
		return adoptError(err)
	}
	if s.begin != "" {
		if err := conn.Exec(s.begin); err != nil {
			s.release(conn.Reusable())
			return lostError("the transaction could not be moved to another server")
		}
	}
	if conn.Prepared() > maxPrepared {
		if err := s.closePrepared(conn); err != nil {
			s.release(false)
			return adoptError(err)
		}
	}
	return nil
}

// ensureToken gets a position before the first read of a session that brought
// no token and wrote nothing, and before the first read after one that only the
// primary could run. A primary reports no position after a read; that of a barrier covers
// what the read saw.
func (s *session) ensureToken(r *request) error {
	config := &s.server.config
	isCovered := s.hasToken && s.readAt.IsZero()
	if isCovered || r.access == AccessWrite || r.maxAge > 0 || config.Barrier == nil {
		return nil
	}
	since := s.arrivedAt
	if s.readAt.After(since) {
		since = s.readAt
	}
	position, err := config.Barrier.Barrier(s.ctx, s.group, since)
	if err != nil {
		return acquireError(err)
	}
	s.token, _ = s.token.moveSeen(position)
	s.token.Group = s.group
	s.hasToken = true
	s.readAt = time.Time{}
	return nil
}

// mayRerun reports whether a request can be run again on another server.
func (s *session) mayRerun(r *request, result answer) bool {
	config := &s.server.config
	if !r.mayFollowRefusal() || s.stoppedNow() {
		return false
	}
	return core.Attempt{
		Deadline:           r.arrivedAt.Add(s.requestTimeout(r)),
		PartiallyDelivered: s.writer.Flushed(),
		Lost:               result.err != nil,
		Refused:            result.rerun,
		Idempotent:         r.idempotent || !s.lease.Primary(),
	}.MayRetry(config.Now())
}

// finish settles a request that the server answered to the end.
func (s *session) finish(r *request, result answer) error {
	conn := s.lease.Conn()
	position, moved := conn.Moved()
	primary := s.lease.Primary()
	if !r.synced {
		return s.finishFlush()
	}
	if result.rerun {
		result.failure.Detail = detail(OutcomeNotRun)
		_ = s.writer.Message(result.failure)
	}
	s.tx = conn.TxStatus()
	s.noteBegin(r)
	s.settle(r, result, conn)
	if s.tx != backend.TxIdle {
		return s.ready(true)
	}
	if !s.pinned {
		s.release(conn.Reusable())
	}
	if !moved {
		// A read that only fell back to the primary is left out. While replicas
		// lag it would keep the session's later reads on the primary too.
		if primary && r.access == AccessWrite {
			s.readAt = s.server.config.Now()
		}
		return s.ready(true)
	}
	if !primary {
		s.tellToken(s.token.moveSeen(position))
		return s.ready(true)
	}
	return s.acknowledge(position, result)
}

// noteBegin takes note of a transaction block in which nothing ran yet. Such a
// block can move to another server.
func (s *session) noteBegin(r *request) {
	switch {
	case r.simple && r.begins == 1 && r.statements == 1 && s.tx == backend.TxOpen:
		s.begin = r.sql
	case r.statements > 0 || s.tx != backend.TxOpen:
		s.begin = ""
	}
}

// finishFlush ends the answer to a Flush. What is held acknowledges nothing
// before Sync, except for a COMMIT, which stays held.
func (s *session) finishFlush() error {
	if !s.commitTag {
		_ = s.writer.Raw(s.held)
		s.held = s.held[:0]
	}
	return s.writer.Flush()
}

// acknowledge passes on the held answer of a write once its commit is durable.
func (s *session) acknowledge(position fleet.Position, result answer) error {
	outcome, err := s.server.config.CommitWaiter.AwaitCommit(s.ctx, s.group, position)
	switch {
	case err == nil && outcome == OutcomeCommitted:
		s.tellToken(s.token.moveWritten(position))
		return s.ready(true)
	case err == nil && outcome == OutcomeNotRun:
		s.server.record(workspaceEvent(EventCommitNotRun, s.workspace, s.group, ""))
		err = &Error{Op: "commit", Kind: KindBackendLost, Err: errors.New("the commit was lost in a change of primary")}
	default:
		s.server.record(workspaceEvent(EventCommitUnknown, s.workspace, s.group, ""))
		err = unknownError("it isn't known whether the commit is durable")
	}
	if result.code == "" {
		_ = s.writer.Message(response(err, "ERROR"))
	}
	return s.ready(false)
}

// ready ends an answer with ReadyForQuery, after the held messages if wanted.
func (s *session) ready(withHeld bool) error {
	if withHeld {
		_ = s.writer.Raw(s.held)
	}
	s.held = s.held[:0]
	s.commitTag = false
	var raw [headerSize + 1]byte
	copy(raw[:], []byte{'Z', 0, 0, 0, 5, s.tx})
	if err := s.writer.Raw(raw[:]); err != nil {
		return err
	}
	return s.writer.Flush()
}

// tellToken takes a token that moved and tells the caller.
func (s *session) tellToken(token Token, moved bool) {
	if !moved {
		return
	}
	token.Group = s.group
	s.token, s.hasToken = token, true
	_ = s.writer.Message(&pgproto3.ParameterStatus{Name: TokenParameter, Value: token.String()})
}

// fail answers a request with an error of the proxy.
func (s *session) fail(r *request, err error, tx byte) error {
	s.held = s.held[:0]
	s.commitTag = false
	s.tx = tx
	_ = s.writer.Message(response(err, "ERROR"))
	if r.synced {
		return s.ready(false)
	}
	s.skipping = true
	return s.writer.Flush()
}

// failLost answers a request whose backend connection failed.
func (s *session) failLost(r *request, result answer) error {
	inTransaction := s.tx != backend.TxIdle
	outcome := core.LostRequest{Commits: r.commits, InTransaction: inTransaction, Writes: s.lease.Primary()}.Outcome()
	pinned := s.pinned
	s.begin = ""
	s.release(false)
	s.dropChanges()
	switch {
	case pinned && r.commits, pinned && !inTransaction:
		// Locks or temporary tables went with the connection, so the session
		// can't go on as if it still had them.
		return unknownError("the backend server was lost, and with it the state of the session")
	case pinned:
		return lostError("the backend server was lost, and with it the state of the session")
	case inTransaction && outcome == OutcomeNotRun && !r.commits:
		// The server rolls back. The transaction stays failed until the caller
		// ends it, so that its later statements don't run on their own.
		s.lost = true
		return s.fail(r, lostError("the backend server was lost; the transaction is rolled back"), backend.TxFailed)
	case outcome == OutcomeNotRun:
		return s.fail(r, lostError("the backend server was lost"), backend.TxIdle)
	}
	return s.fail(r, unknownError("the backend server was lost before it answered"), backend.TxIdle)
}

func acquireError(err error) error {
	var known *Error
	if errors.As(err, &known) {
		return err
	}
	var failed *backend.Error
	if errors.As(err, &failed) {
		switch failed.Kind {
		case backend.KindDeadline:
			return &Error{Op: "acquire", Kind: KindCapacity, Err: errors.New("no backend connection became free before the deadline")}
		case backend.KindQueueFull:
			return &Error{Op: "acquire", Kind: KindCapacity, Err: errors.New("too many requests wait for a backend connection")}
		}
	}
	return lostError("no backend server can take the request")
}

// adoptError reports that the session's state couldn't be set on a connection.
func adoptError(err error) error {
	var failed *backend.Error
	if errors.As(err, &failed) && failed.Kind == backend.KindServer {
		return &Error{Op: "acquire", Kind: KindInvalidParameter, Err: errors.New("the session's settings can't be set: " + failed.Err.Error())}
	}
	return lostError("the backend server was lost")
}

func lostError(text string) error {
	return &Error{Op: "relay", Kind: KindBackendLost, Err: errors.New(text)}
}

func unknownError(text string) error {
	return &Error{Op: "relay", Kind: KindUnknownOutcome, Outcome: OutcomeUnknown, Err: errors.New(text)}
}
