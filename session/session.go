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
	// maxAttempts bounds the servers that one statement is offered to: each of
	// a group of three, and the primary once more after a change.
	maxAttempts = 4
	// firstPatience is the part of a route's target latency that the first
	// server may take for a read. Once the target is missed by half, an answer
	// that was lost is more likely than one that is slow.
	firstPatience = 1.5
)

// Clock returns the present time.
type Clock func() time.Time

// Credentials are what a caller presents when it connects.
type Credentials struct {
	Database fleet.GroupID
	// Key is the digest of the caller's key.
	Key [sha256.Size]byte
}

// Observer is told how requests end.
type Observer interface {
	// Observe takes the end of one statement.
	Observe(now time.Time, ended Completion)
}

// Completion is how a statement ended.
type Completion struct {
	// Attempts is the number of servers that it was offered to.
	Attempts int
	// Err is nil for a success.
	Err *Error
	// Latency is the whole time in the instance.
	Latency      time.Duration
	Requirements Requirements
	// Server is the last one that it was offered to, or empty.
	Server    fleet.ServerID
	Statement Statement
}

// Config is what a session depends on.
type Config struct {
	Clock            Clock
	AccessController AccessController
	// Jitter returns a random number in [0, 1).
	Jitter   func() float64
	Observer Observer
	// Pause waits for a span of time.
	Sleep  func(time.Duration)
	Router Router
}

// Session is one caller's session. It isn't safe for concurrent use.
type Session struct {
	config      Config
	credentials Credentials
	// lastServer ran the last statement.
	lastServer  fleet.ServerID
	own         fleet.Position
	prepared    map[string]Template
	seen        fleet.Position
	state       State
	transaction *transaction
	values      map[string]string
}

// transaction is one that the caller began.
type transaction struct {
	access Access
	// lease is nil until the first statement, and after the transaction failed.
	lease Lease
	need  Requirements
	wrote bool
}

// Open returns the session of a caller that may use the database.
func Open(config Config, credentials Credentials) (*Session, *Error) {
	if _, err := config.AccessController.Authorize(config.Clock(), credentials); err != nil {
		return nil, err
	}
	return &Session{
		config:      config,
		credentials: credentials,
		prepared:    map[string]Template{},
		state:       StateIdle,
		values:      map[string]string{},
	}, nil
}

// Close ends the session. An open transaction is rolled back.
func (s *Session) Close() {
	s.endTransaction(false)
}

// Expire fails a transaction that was idle for too long. Nothing of it is kept.
func (s *Session) ExpireTransaction() {
	if s.state == StateTransaction {
		s.endTransaction(false)
		s.state = StateFailed
	}
}

// State returns the state between requests.
func (s *Session) State() State {
	return s.state
}

// Do answers one request.
func (s *Session) Do(statement Statement) Result {
	if s.state == StateFailed && statement.Kind != StatementCommit && statement.Kind != StatementRollback {
		return s.failed(&Error{Err: errors.New("the transaction failed; end it first"), Kind: KindMalformed, Op: "run"})
	}
	switch statement.Kind {
	case StatementBegin, StatementBeginRead:
		return s.begin(statement)
	case StatementCommit:
		return s.commit(statement)
	case StatementDeallocate:
		delete(s.prepared, statement.Name)
		return s.done()
	case StatementExecute, StatementRead, StatementWrite:
		return s.run(statement)
	case StatementPrepare:
		s.prepared[statement.Name] = statement.Template
		return s.done()
	case StatementRollback:
		s.endTransaction(false)
		return s.done()
	case StatementSet:
		s.setValue(statement.Name, statement.Value)
		return s.done()
	default:
		return s.failed(&Error{Err: errors.New("unknown statement"), Kind: KindMalformed, Op: "run"})
	}
}

// setValue replaces the map, because leases may hold the earlier one.
func (s *Session) setValue(name, value string) {
	s.values = maps.Clone(s.values)
	s.values[name] = value
}

func (s *Session) done() Result {
	return Result{Position: s.seen, State: s.state}
}

func (s *Session) failed(err *Error) Result {
	return Result{Err: err, Position: s.seen, State: s.state}
}

func (s *Session) begin(statement Statement) Result {
	now := s.config.Clock()
	if s.state != StateIdle {
		return s.failed(&Error{Err: errors.New("a transaction is open"), Kind: KindMalformed, Op: "begin"})
	}
	access, err := s.admit(now)
	if err != nil {
		s.observe(now, s.config.Clock(), statement, Requirements{Route: access.Route, Workspace: access.Workspace}, 0, err)
		return s.failed(err)
	}
	need := s.need(now, access)
	need.Write = statement.Kind == StatementBegin
	s.transaction = &transaction{access: access, need: need}
	s.state = StateTransaction
	return s.done()
}

// admit checks the caller and takes one operation from its limit.
func (s *Session) admit(now time.Time) (Access, *Error) {
	access, err := s.config.AccessController.Authorize(now, s.credentials)
	if err != nil {
		return access, err
	}
	if err := s.config.AccessController.Admit(now, access.Workspace); err != nil {
		return access, err
	}
	// Admission may have waited for another instance, or the process been
	// suspended.
	return s.config.AccessController.Authorize(s.config.Clock(), s.credentials)
}

func (s *Session) need(now time.Time, access Access) Requirements {
	return Requirements{
		Deadline:  now.Add(access.Route.StatementTimeout.Duration()),
		LastWrite: s.own,
		Route:     access.Route,
		StartedAt: now,
		Variables: s.values,
		Workspace: access.Workspace,
	}
}

// run answers a read or write, inside or outside a transaction.
func (s *Session) run(statement Statement) Result {
	start := s.config.Clock()
	template, err := s.templateOf(statement)
	if err != nil {
		return s.inTransaction(start, statement, err)
	}
	if s.state == StateTransaction {
		return s.runInTransaction(start, statement, template)
	}
	access, err := s.admit(start)
	if err != nil {
		s.observe(start, s.config.Clock(), statement, Requirements{Route: access.Route, Workspace: access.Workspace}, 0, err)
		return s.failed(err)
	}
	need := s.need(start, access)
	need.Write = writes(statement, template)
	attempts := 0
	reply, err := s.attempt(&need, &attempts, need.Write, func(lease Lease) (Reply, *Error) {
		deadline := s.patience(need, attempts)
		reply, err := s.runOn(lease, need, deadline, statement, template)
		if err != nil && err.Kind == KindTimeout && deadline.Before(need.Deadline) {
			err.Kind = KindUnknown
		}
		return reply, err
	})
	s.observe(start, s.config.Clock(), statement, need, attempts, err)
	if err != nil {
		return s.failed(err)
	}
	return s.succeeded(reply)
}

// patience returns until when one server may take. The answer of a read may
// be lost on its way, so the first server gets only a part of the time.
func (s *Session) patience(need Requirements, attempts int) time.Time {
	target := need.Route.TargetLatency.Duration()
	if need.Write || target == 0 || attempts > 1 {
		return need.Deadline
	}
	patient := s.config.Clock().Add(time.Duration(firstPatience * float64(target)))
	if patient.After(need.Deadline) {
		return need.Deadline
	}
	return patient
}

func (s *Session) succeeded(reply Reply) Result {
	s.seen = reply.Position
	return Result{Position: reply.Position, Rows: reply.Rows, Signature: reply.Signature, State: s.state}
}

// attempt offers a request to servers until one answers for good. A request
// that writes is offered again only if it did not run.
func (s *Session) attempt(need *Requirements, attempts *int, write bool, try func(Lease) (Reply, *Error)) (Reply, *Error) {
	for {
		lease, err := s.config.Router.Acquire(*need)
		if err != nil {
			return Reply{}, err
		}
		*attempts++
		s.lastServer = lease.Server()
		reply, err := try(lease)
		if err == nil {
			return reply, nil
		}
		wait := s.repeatWait(*attempts, *need, err)
		made := Attempt{
			Deadline:   need.Deadline,
			Lost:       err.Kind == KindUnknown || err.Kind == KindFailed,
			Refused:    err.Kind.NotRun(),
			Idempotent: !write,
		}
		if *attempts >= maxAttempts || !made.MayRetry(s.config.Clock().Add(wait)) {
			return Reply{}, s.readOutcome(write, err)
		}
		avoid := map[fleet.ServerID]bool{lease.Server(): true}
		maps.Copy(avoid, need.Avoid)
		need.Avoid = avoid
		s.config.Sleep(wait)
	}
}

// repeatWait returns the wait before the request is offered again. Only another
// replica can be asked at once.
func (s *Session) repeatWait(attempts int, need Requirements, err *Error) time.Duration {
	if err.Kind == KindBusy || need.Write || need.Route.Consistency == sheet.ConsistencyPrimary {
		return RetryDelay(attempts, s.config.Jitter())
	}
	return 0
}

// readOutcome turns an unknown outcome of a read into one that promises that
// nothing is kept, because a read keeps nothing.
func (s *Session) readOutcome(write bool, err *Error) *Error {
	if err.Kind != KindUnknown || (LostRequest{Writes: write}).Outcome() == OutcomeUnknown {
		return err
	}
	return &Error{Err: err.Err, Kind: KindBusy, Op: err.Op, RetryAfter: err.RetryAfter}
}

// runOn runs a single statement on a connection and gives it back.
func (s *Session) runOn(lease Lease, need Requirements, deadline time.Time, statement Statement, template *Template) (Reply, *Error) {
	defer lease.Release()
	if err := s.align(lease, deadline, template, nil); err != nil {
		return Reply{}, err
	}
	command := commandOf(statement, template)
	if !need.Write {
		command.MinPosition = lease.MinPosition()
	}
	if need.Write && !lease.Exclusive(s.config.Clock()) {
		return Reply{}, &Error{Err: errors.New("the primary may have been replaced"), Kind: KindReadOnly, Op: "run"}
	}
	reply, failure := lease.Run(deadline, []Command{command})
	if failure != nil {
		return Reply{}, errorOf("run", failure)
	}
	if !lease.Exclusive(s.config.Clock()) {
		return Reply{}, &Error{Err: errors.New("the primary may have been replaced before it answered"), Kind: KindUnknown, Op: "run"}
	}
	if need.Write {
		s.own = reply.Position
	}
	return reply, nil
}

// align gives the connection the session's values, and what must follow.
func (s *Session) align(lease Lease, deadline time.Time, template *Template, after []Command) *Error {
	commands := append(lease.State().Sync(s.values, template), after...)
	if len(commands) == 0 {
		return nil
	}
	if _, failure := lease.Run(deadline, commands); failure != nil {
		err := errorOf("prepare connection", failure)
		if err.Kind == KindUnknown || err.Kind == KindTimeout {
			// None of these commands writes, so nothing of the request has run.
			err.Kind = KindBusy
		}
		return err
	}
	return nil
}

func errorOf(op string, failure *RunError) *Error {
	return &Error{Err: errors.New(failure.Text), Kind: failure.Kind, Op: op}
}

// commandOf returns the command that runs a statement on a server.
func commandOf(statement Statement, template *Template) Command {
	if template != nil {
		statement.Name = template.serverName()
	}
	return Command{Statement: statement}
}

func (s *Session) templateOf(statement Statement) (*Template, *Error) {
	if statement.Kind != StatementExecute {
		return nil, nil
	}
	template, known := s.prepared[statement.Name]
	if !known {
		return nil, &Error{Err: errors.New("no such prepared statement"), Kind: KindNoStatement, Op: "execute"}
	}
	return &template, nil
}

func writes(statement Statement, template *Template) bool {
	return statement.Kind == StatementWrite || (template != nil && template.Write)
}

func (s *Session) observe(start, now time.Time, statement Statement, need Requirements, attempts int, err *Error) {
	ended := Completion{Attempts: attempts, Err: err, Latency: now.Sub(start), Requirements: need, Statement: statement}
	if attempts > 0 {
		ended.Server = s.lastServer
	}
	s.config.Observer.Observe(now, ended)
}
