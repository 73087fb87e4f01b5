package session_test

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// begin is when the tests begin.
var begin = time.Unix(1_000_000, 0)

// world is a gate, router and observer in memory, with a clock that moves only
// when the session pauses.
type world struct {
	admitted int
	ended    []session.Completion
	now      time.Time
	// onAdmit runs while an operation waits for its admission.
	onAdmit   func()
	overRate  bool
	released  int
	route     sheet.Route
	servers   []*server
	withdrawn bool
}

func newWorld(servers ...*server) *world {
	return &world{
		now:     begin,
		route:   sheet.Route{Consistency: sheet.ConsistencyPrimary, Database: "orders", Group: "g", StatementTimeout: 800},
		servers: servers,
	}
}

func (w *world) config() session.Config {
	return session.Config{
		Clock: func() time.Time { return w.now }, AccessController: w, Jitter: func() float64 { return 0.5 }, Observer: w,
		Sleep: func(span time.Duration) { w.now = w.now.Add(span) }, Router: w,
	}
}

func (w *world) open() *session.Session {
	opened, err := session.Open(w.config(), session.Credentials{Database: "orders"})
	if err != nil {
		panic(err)
	}
	return opened
}

func (w *world) Admit(time.Time, fleet.WorkspaceID) *session.Error {
	if w.onAdmit != nil {
		w.onAdmit()
	}
	if w.overRate {
		return &session.Error{Kind: session.KindBusy, RetryAfter: time.Second}
	}
	w.admitted++
	return nil
}

func (w *world) Authorize(time.Time, session.Credentials) (session.Access, *session.Error) {
	if w.withdrawn {
		return session.Access{}, &session.Error{Kind: session.KindUnauthorized}
	}
	return session.Access{Route: w.route, Workspace: "w"}, nil
}

func (w *world) Observe(_ time.Time, ended session.Completion) { w.ended = append(w.ended, ended) }

func (w *world) Acquire(need session.Requirements) (session.Lease, *session.Error) {
	for _, s := range w.servers {
		if !need.Avoid[s.id] {
			return &lease{server: s, world: w}, nil
		}
	}
	if len(w.servers) == 1 {
		return &lease{server: w.servers[0], world: w}, nil
	}
	return nil, &session.Error{Kind: session.KindLagging}
}

// server is a backend server with one connection. It keeps what it ran.
type server struct {
	// deadlines are those of the runs.
	deadlines []time.Time
	// deposed makes the primary no longer the only one.
	deposed bool
	// fail returns how a command ends, or nil for a success.
	fail func(command session.Command) *session.RunError
	id   fleet.ServerID
	// inTransaction is true between a begin and its end.
	inTransaction bool
	log           fleet.LogPosition
	onRun         func(command session.Command)
	ran           []session.StatementKind
	state         *session.ConnState
	values        map[string]string
}

func newServer(id fleet.ServerID) *server {
	return &server{id: id, state: session.NewConnState(), values: map[string]string{}}
}

type lease struct {
	server *server
	world  *world
}

func (l *lease) MinPosition() fleet.Position { return fleet.Position{} }
func (l *lease) Exclusive(time.Time) bool    { return !l.server.deposed }
func (l *lease) Release()                    { l.world.released++ }
func (l *lease) Server() fleet.ServerID      { return l.server.id }
func (l *lease) State() *session.ConnState   { return l.server.state }
func (s *server) ends(k session.StatementKind) bool {
	return k == session.StatementCommit || k == session.StatementRollback
}

func (l *lease) Run(deadline time.Time, commands []session.Command) (session.Reply, *session.RunError) {
	s := l.server
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
		case s.ends(command.Kind):
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

// count returns how often a kind of command ran.
func (s *server) count(kind session.StatementKind) int {
	n := 0
	for _, ran := range s.ran {
		if ran == kind {
			n++
		}
	}
	return n
}

// failOnce fails the first command of a kind.
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

func kinds(result session.Result) session.Kind {
	if result.Err == nil {
		return ""
	}
	return result.Err.Kind
}
