package session

import (
	"crypto/sha256"
	"errors"
	"maps"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/sheet"
)

const (
	// maxAttempts bounds the attempts for one statement: one on each server of a
	// group of three, and one more on a newly promoted primary.
	maxAttempts = 4
	// firstReadTimeoutFactor times the route's target latency is the timeout of
	// the first attempt of a read. Once the target is exceeded by half, the answer
	// is more likely lost than slow.
	firstReadTimeoutFactor = 1.5
)

// Clock returns the current time.
type Clock func() time.Time

// Credentials are the database and key that a caller presents when it connects.
type Credentials struct {
	Database fleet.GroupID
	// Key is the digest of the caller's key.
	Key [sha256.Size]byte
}

// Observer is notified of completed statements, for metrics and logs.
type Observer interface {
	// Observe is called when a read, write or commit completes, and when a begin
	// isn't admitted.
	Observe(now time.Time, completion Completion)
}

// Completion describes a completed statement.
type Completion struct {
	// Attempts is the number of attempts on servers.
	Attempts int
	// Err is nil if the statement succeeded.
	Err *Error
	// Latency is the total time that the instance took.
	Latency      time.Duration
	Requirements Requirements
	// Server is the server of the last attempt, or empty if there was none.
	Server    fleet.ServerID
	Statement Statement
}

// Config holds the dependencies of a session.
type Config struct {
	Clock            Clock
	AccessController AccessController
	// Jitter returns a random number in [0, 1).
	Jitter   func() float64
	Observer Observer
	// Retries bounds the retries of all sessions. Nil means no bound.
	Retries *RetryBudget
	// Sleep blocks for a duration.
	Sleep  func(time.Duration)
	Router Router
}

// Session is one caller's session. It isn't safe for concurrent use.
type Session struct {
	// authorization is the result of the last check of the key.
	authorization Authorization

	config      Config
	credentials Credentials
	// lastServer is the server of the last attempt.
	lastServer fleet.ServerID
	// lastWrites holds the log position of the session's last committed write in each
	// group. A route can change to another group, and positions of different groups
	// can't be compared.
	lastWrites map[fleet.GroupID]fleet.Position
	prepared   map[string]Template
	// lastPosition is the log position in the last reply of a server.
	lastPosition fleet.Position
	state        State
	transaction  *transaction
	variables    map[string]string
}

// transaction is an open transaction of the caller.
type transaction struct {
	access Access
	// lease is nil until the first statement, and after the transaction ended.
	lease        Lease
	requirements Requirements
	wrote        bool
}

// Open authorizes the caller and returns its session.
func Open(config Config, credentials Credentials) (*Session, *Error) {
	if _, err := config.AccessController.Authorize(config.Clock(), credentials); err != nil {
		return nil, err
	}
	return &Session{
		config:      config,
		credentials: credentials,
		lastWrites:  map[fleet.GroupID]fleet.Position{},
		prepared:    map[string]Template{},
		state:       StateIdle,
		variables:   map[string]string{},
	}, nil
}

// Close ends the session and rolls back an open transaction.
func (s *Session) Close() {
	s.endTransaction(false)
}

// ExpireTransaction rolls back a transaction that was idle for too long. It
// then counts as failed until the caller ends it.
func (s *Session) ExpireTransaction() {
	if s.state == StateTransaction {
		s.endTransaction(false)
		s.state = StateFailed
	}
}

// State returns the session's current state.
func (s *Session) State() State {
	return s.state
}

// Do runs one statement and returns its result.
func (s *Session) Do(statement Statement) Result {
	if s.state == StateFailed && statement.Kind != StatementCommit && statement.Kind != StatementRollback {
		return s.errorResult(&Error{Err: errors.New("the transaction failed; end it first"), Kind: KindMalformed, Op: "run"})
	}
	switch statement.Kind {
	case StatementBegin, StatementBeginRead:
		return s.begin(statement)
	case StatementCommit:
		return s.commit(statement)
	case StatementDeallocate:
		delete(s.prepared, statement.Name)
		return s.emptyResult()
	case StatementExecute, StatementRead, StatementWrite:
		return s.run(statement)
	case StatementPrepare:
		s.prepared[statement.Name] = statement.Template
		return s.emptyResult()
	case StatementRollback:
		s.endTransaction(false)
		return s.emptyResult()
	case StatementSet:
		s.setVariable(statement.Name, statement.Value)
		return s.emptyResult()
	default:
		return s.errorResult(&Error{Err: errors.New("unknown statement"), Kind: KindMalformed, Op: "run"})
	}
}

// setVariable sets a session variable. It replaces the map instead of modifying
// it, because Requirements that were passed on may refer to the earlier one.
func (s *Session) setVariable(name, value string) {
	s.variables = maps.Clone(s.variables)
	s.variables[name] = value
}

// emptyResult is the success of a statement that no server had to run.
func (s *Session) emptyResult() Result {
	return Result{Position: s.lastPosition, State: s.state}
}

func (s *Session) errorResult(err *Error) Result {
	return Result{Err: err, Position: s.lastPosition, State: s.state}
}

// begin opens a transaction. The server is chosen by its first statement.
func (s *Session) begin(statement Statement) Result {
	now := s.config.Clock()
	if s.state != StateIdle {
		return s.errorResult(&Error{Err: errors.New("a transaction is open"), Kind: KindMalformed, Op: "begin"})
	}
	access, err := s.admit(now)
	if err != nil {
		s.observe(now, s.config.Clock(), statement, Requirements{Route: access.Route, Workspace: access.Workspace}, 0, err)
		return s.errorResult(err)
	}
	requirements := s.requirements(now, access)
	requirements.Transaction, requirements.Write = true, statement.Kind == StatementBegin
	s.transaction = &transaction{access: access, requirements: requirements}
	s.state = StateTransaction
	return s.emptyResult()
}

// admit authorizes the caller and counts one operation against its rate limit.
func (s *Session) admit(now time.Time) (Access, *Error) {
	access, err := s.config.AccessController.Authorize(now, s.credentials)
	if err != nil {
		return access, err
	}
	admission := Admission{Deadline: now.Add(access.Route.StatementTimeout.Duration()), Route: access.Route, Workspace: access.Workspace}
	if err := s.config.AccessController.Admit(now, admission); err != nil {
		return access, err
	}
	// Authorize again: admission may have waited for another instance, or the
	// process may have been suspended, and the key may be withdrawn by now.
	access, err = s.config.AccessController.Authorize(s.config.Clock(), s.credentials)
	s.authorization = access.Authorization
	return access, err
}

// acquire returns a connection for an attempt, and checks the key again after the wait
// for it.
func (s *Session) acquire(requirements Requirements) (Lease, *Error) {
	lease, err := s.config.Router.Acquire(requirements)
	if err != nil {
		return nil, err
	}
	if err := s.checkKey(Access{Route: requirements.Route, Workspace: requirements.Workspace}); err != nil {
		lease.Release()
		return nil, err
	}
	return lease, nil
}

// checkKey returns an error unless the key still gives an access.
func (s *Session) checkKey(access Access) *Error {
	authorization, err := s.config.AccessController.Reauthorize(s.config.Clock(), s.credentials, access)
	s.authorization = authorization
	return err
}

func (s *Session) requirements(now time.Time, access Access) Requirements {
	return Requirements{
		Deadline:  now.Add(access.Route.StatementTimeout.Duration()),
		LastWrite: s.lastWrites[access.Route.Group],
		Route:     access.Route,
		StartedAt: now,
		Variables: s.variables,
		Workspace: access.Workspace,
	}
}

// run runs a read or write, inside or outside a transaction.
func (s *Session) run(statement Statement) Result {
	start := s.config.Clock()
	template, err := s.preparedTemplate(statement)
	if err != nil {
		return s.failStatement(start, statement, err)
	}
	if s.state == StateTransaction {
		return s.runInTransaction(start, statement, template)
	}
	access, err := s.admit(start)
	if err != nil {
		s.observe(start, s.config.Clock(), statement, Requirements{Route: access.Route, Workspace: access.Workspace}, 0, err)
		return s.errorResult(err)
	}
	requirements := s.requirements(start, access)
	requirements.Write = isWrite(statement, template)
	attempts := 0
	reply, err := s.runWithRetries(&requirements, &attempts, requirements.Write, func(lease Lease) (Reply, *Error) {
		deadline := s.attemptDeadline(requirements, attempts)
		reply, err := s.runOn(lease, requirements, deadline, statement, template)
		if err != nil && err.Kind == KindTimeout && deadline.Before(requirements.Deadline) {
			err.Kind = KindUnknown
		}
		return reply, err
	})
	s.observe(start, s.config.Clock(), statement, requirements, attempts, err)
	if err != nil {
		return s.errorResult(err)
	}
	return s.replyResult(reply)
}

// attemptDeadline returns the deadline of one attempt. The first attempt of a read
// gets only part of the statement's time, because its answer may have been lost
// and another server can still serve the read.
func (s *Session) attemptDeadline(requirements Requirements, attempts int) time.Time {
	target := requirements.Route.TargetLatency.Duration()
	if requirements.Write || target == 0 || attempts > 1 {
		return requirements.Deadline
	}
	deadline := s.config.Clock().Add(time.Duration(firstReadTimeoutFactor * float64(target)))
	if deadline.After(requirements.Deadline) {
		return requirements.Deadline
	}
	return deadline
}

// replyResult is the success of a statement that a server ran.
func (s *Session) replyResult(reply Reply) Result {
	s.lastPosition = reply.Position
	return Result{Position: reply.Position, Rows: reply.Rows, Signature: reply.Signature, State: s.state}
}

// runWithRetries acquires a connection and calls run with it, and tries other
// servers while the error allows it. If write is true, it retries only after an
// error that proves that the request did not run.
func (s *Session) runWithRetries(requirements *Requirements, attempts *int, write bool, run func(Lease) (Reply, *Error)) (Reply, *Error) {
	s.config.Retries.Deposit()
	for {
		lease, err := s.acquire(*requirements)
		if err != nil {
			return Reply{}, err
		}
		*attempts++
		reply, err := run(lease)
		s.lastServer = lease.Server()
		if err == nil {
			return reply, nil
		}
		delay := s.retryDelay(*attempts, *requirements, err)
		attempt := Attempt{
			Deadline:   requirements.Deadline,
			Lost:       err.Kind == KindUnknown || err.Kind == KindFailed,
			Refused:    err.Kind.NotRun(),
			Idempotent: !write,
		}
		if err.Saturated || *attempts >= maxAttempts || !attempt.MayRetry(s.config.Clock().Add(delay)) || !s.mayWithdrawRetry(err) {
			return Reply{}, s.readOutcome(write, err)
		}
		if server := lease.Server(); server != "" {
			avoid := map[fleet.ServerID]bool{server: true}
			maps.Copy(avoid, requirements.Avoid)
			requirements.Avoid = avoid
		}
		s.config.Sleep(delay)
	}
}

// mayWithdrawRetry takes a retry from the budget. The answer that a server lags or can't
// write is part of routing and doesn't come from load, so it needs none.
func (s *Session) mayWithdrawRetry(err *Error) bool {
	return err.Kind == KindLagging || err.Kind == KindReadOnly || s.config.Retries.TryWithdraw()
}

// retryDelay returns the delay before the next attempt. Only a read that can go to
// another replica is retried without delay.
func (s *Session) retryDelay(attempts int, requirements Requirements, err *Error) time.Duration {
	if err.Kind == KindBusy || requirements.Write || requirements.Route.Consistency == sheet.ConsistencyPrimary {
		return RetryDelay(attempts, s.config.Jitter())
	}
	return 0
}

// readOutcome replaces an unknown outcome of a read by KindBusy, which says that
// the request had no effect, because a read never has one.
func (s *Session) readOutcome(write bool, err *Error) *Error {
	if err.Kind != KindUnknown || (LostRequest{Writes: write}).Outcome() == OutcomeUnknown {
		return err
	}
	return &Error{Err: err.Err, Kind: KindBusy, Op: err.Op, RetryAfter: err.RetryAfter}
}

// runOn runs a statement outside a transaction and releases the connection.
func (s *Session) runOn(lease Lease, requirements Requirements, deadline time.Time, statement Statement, template *Template) (Reply, *Error) {
	defer lease.Release()
	if requirements.Write && !lease.Exclusive(s.config.Clock()) {
		return Reply{}, &Error{Err: errors.New("the primary may have been replaced"), Kind: KindReadOnly, Op: "run"}
	}
	reply, failure := lease.Run(deadline, Batch{
		Authorization: s.authorization, Commands: []Command{newCommand(statement, template)}, Final: true, Template: template, Variables: s.variables,
	})
	if failure != nil {
		return Reply{}, wrapRunError("run", failure)
	}
	if !lease.Exclusive(s.config.Clock()) {
		return Reply{}, &Error{Err: errors.New("the primary may have been replaced before it answered"), Kind: KindUnknown, Op: "run"}
	}
	if requirements.Write {
		s.lastWrites[requirements.Route.Group] = reply.Position
	}
	return reply, nil
}

// wrapRunError converts a failed command into the error of an operation.
func wrapRunError(op string, failure *RunError) *Error {
	return &Error{Err: errors.New(failure.Text), Kind: failure.Kind, Op: op, RetryAfter: failure.RetryAfter, Saturated: failure.Saturated}
}

// newCommand returns the command that runs a statement on a server. For a prepared
// statement, the name on backend connections replaces the caller's.
func newCommand(statement Statement, template *Template) Command {
	if template != nil {
		statement.Name = template.statementName()
	}
	return Command{Statement: statement}
}

// preparedTemplate returns the definition that an Execute refers to, and nil for
// other statements.
func (s *Session) preparedTemplate(statement Statement) (*Template, *Error) {
	if statement.Kind != StatementExecute {
		return nil, nil
	}
	template, known := s.prepared[statement.Name]
	if !known {
		return nil, &Error{Err: errors.New("no such prepared statement"), Kind: KindNoStatement, Op: "execute"}
	}
	return &template, nil
}

func isWrite(statement Statement, template *Template) bool {
	return statement.Kind == StatementWrite || (template != nil && template.Write)
}

// observe reports a completed statement to the observer.
func (s *Session) observe(start, now time.Time, statement Statement, requirements Requirements, attempts int, err *Error) {
	completion := Completion{Attempts: attempts, Err: err, Latency: now.Sub(start), Requirements: requirements, Statement: statement}
	if attempts > 0 {
		completion.Server = s.lastServer
	}
	s.config.Observer.Observe(now, completion)
}
