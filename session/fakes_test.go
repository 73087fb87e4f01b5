package session_test

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// keyLease is how long a proof of a key is valid.
const keyLease = 4500 * time.Millisecond

// testStart is the initial time of the fake clock.
var testStart = time.Unix(1_000_000, 0)

// environment is an in-memory access controller, router and observer. Its
// clock advances only when the session sleeps.
type environment struct {
	admitted  int
	completed []session.Completion
	now       time.Time
	// onAdmit and onAcquire, if set, are called at the start of each admission and of
	// each wait for a connection.
	onAdmit      func()
	onAcquire    func()
	overRate     bool
	released     int
	route        sheet.Route
	servers      []*server
	keyWithdrawn bool
	// unproved makes Reauthorize fail because the sheet can't be proved to be the
	// newest one.
	unproved bool
}

func newEnvironment(servers ...*server) *environment {
	return &environment{
		now:     testStart,
		route:   sheet.Route{Consistency: sheet.ConsistencyPrimary, Database: "orders", Group: "g", StatementTimeout: 800},
		servers: servers,
	}
}

func (e *environment) config() session.Config {
	return session.Config{
		Clock: func() time.Time { return e.now }, AccessController: e, Jitter: func() float64 { return 0.5 }, Observer: e,
		Sleep: func(span time.Duration) { e.now = e.now.Add(span) }, Router: e,
	}
}

func (e *environment) openSession() *session.Session {
	sess, err := session.Open(e.config(), session.Credentials{Database: "orders"})
	if err != nil {
		panic(err)
	}
	return sess
}

func (e *environment) Admit(time.Time, session.Admission) *session.Error {
	if e.onAdmit != nil {
		e.onAdmit()
	}
	if e.overRate {
		return &session.Error{Kind: session.KindBusy, RetryAfter: time.Second}
	}
	e.admitted++
	return nil
}

func (e *environment) Authorize(time.Time, session.Credentials) (session.Access, *session.Error) {
	if e.keyWithdrawn {
		return session.Access{}, &session.Error{Kind: session.KindUnauthorized}
	}
	return session.Access{Route: e.route, Workspace: "w"}, nil
}

func (e *environment) Reauthorize(time.Time, session.Credentials, session.Access) (session.Authorization, *session.Error) {
	if e.unproved {
		return session.Authorization{}, &session.Error{Kind: session.KindBusy}
	}
	if e.keyWithdrawn {
		return session.Authorization{}, &session.Error{Kind: session.KindUnauthorized}
	}
	return session.Authorization{AuthorizedUntil: e.now.Add(keyLease)}, nil
}

func (e *environment) Observe(_ time.Time, completed session.Completion) {
	e.completed = append(e.completed, completed)
}

func (e *environment) Acquire(requirements session.Requirements) (session.Lease, *session.Error) {
	if e.onAcquire != nil {
		e.onAcquire()
	}
	for _, s := range e.servers {
		if !requirements.Avoid[s.id] {
			return &lease{server: s, environment: e}, nil
		}
	}
	if len(e.servers) == 1 {
		return &lease{server: e.servers[0], environment: e}, nil
	}
	return nil, &session.Error{Kind: session.KindLagging}
}

// server is a fake backend server with one connection. It records the commands
// that it ran.
type server struct {
	// deadlines are the deadlines of the calls of Run.
	deadlines []time.Time
	// replaced makes leases report that the server may no longer be the only
	// primary.
	replaced bool
	// fail returns the error of a command, or nil if it succeeds.
	fail func(command session.Command) *session.RunError
	id   fleet.ServerID
	// inTransaction is true from a begin to its commit or rollback.
	inTransaction bool
	log           fleet.LogPosition
	// proofs say until when the keys of the batches were proved to be valid when these
	// arrived.
	proofs []time.Duration
	onRun  func(command session.Command)
	ran    []session.StatementKind
	state  *session.ConnState
	values map[string]string
}

func newServer(id fleet.ServerID) *server {
	return &server{id: id, state: session.NewConnState(), values: map[string]string{}}
}

type lease struct {
	server      *server
	environment *environment
}

func (l *lease) Exclusive(time.Time) bool { return !l.server.replaced }
func (l *lease) Release()                 { l.environment.released++ }
func (l *lease) Server() fleet.ServerID   { return l.server.id }

func (l *lease) Run(deadline time.Time, batch session.Batch) (session.Reply, *session.RunError) {
	if !batch.IsRollback() {
		l.server.proofs = append(l.server.proofs, batch.AuthorizedUntil.Sub(l.environment.now))
	}
	return l.server.state.Run(l.server, deadline, batch)
}

func (s *server) endsTransaction(kind session.StatementKind) bool {
	return kind == session.StatementCommit || kind == session.StatementRollback
}

// Run runs the commands one after the other.
func (s *server) Run(deadline time.Time, commands []session.Command) (session.Reply, *session.RunError) {
	s.deadlines = append(s.deadlines, deadline)
	var reply session.Reply
	for _, command := range commands {
		if s.onRun != nil {
			s.onRun(command)
		}
		if s.fail != nil {
			if failure := s.fail(command); failure != nil {
				return session.Reply{}, failure
			}
		}
		s.ran = append(s.ran, command.Kind)
		switch {
		case command.Kind == session.StatementBegin || command.Kind == session.StatementBeginRead:
			s.inTransaction = true
		case s.endsTransaction(command.Kind):
			s.inTransaction = false
		case command.Kind == session.StatementReset:
			clear(s.values)
		case command.Kind == session.StatementSet:
			s.values[command.Name] = command.Value
		}
		s.log++
		reply = session.Reply{Position: fleet.Position{Term: 1, Log: s.log}, Signature: "signed " + string(command.ID)}
	}
	return reply, nil
}

// count returns the number of commands of a kind that ran.
func (s *server) count(kind session.StatementKind) int {
	n := 0
	for _, ran := range s.ran {
		if ran == kind {
			n++
		}
	}
	return n
}

// failOnce returns a function that fails only the first command of a kind.
func failOnce(kind session.StatementKind, failure session.Kind) func(session.Command) *session.RunError {
	done := false
	return func(command session.Command) *session.RunError {
		if done || command.Kind != kind {
			return nil
		}
		done = true
		return &session.RunError{Kind: failure, Text: string(failure)}
	}
}

func statement(kind session.StatementKind) session.Statement {
	return session.Statement{ID: "1", Kind: kind, Text: string(kind)}
}

func errorKind(result session.Result) session.Kind {
	if result.Err == nil {
		return ""
	}
	return result.Err.Kind
}
