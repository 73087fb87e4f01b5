package session_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// TestRollbackEndsServerTransaction guards against releasing a connection with an
// open transaction, in which statements of other sessions would then run.
func TestRollbackEndsServerTransaction(t *testing.T) {
	s := newServer("a")
	env := newEnvironment(s)
	sess := env.openSession()
	for _, kind := range []session.StatementKind{session.StatementBegin, session.StatementWrite, session.StatementRollback} {
		if result := sess.Do(statement(kind)); result.Err != nil {
			t.Fatalf("%s: %v", kind, result.Err)
		}
	}
	if s.inTransaction || env.released != 1 {
		t.Errorf("in a transaction: %v, released: %d; want false, 1", s.inTransaction, env.released)
	}
}

// TestOutcomes guards against reporting that a request did not run although it
// may have, and against retrying a write that may have run.
func TestOutcomes(t *testing.T) {
	for _, test := range []struct {
		name     string
		kind     session.StatementKind
		failure  session.Kind
		want     session.Kind
		attempts int
	}{
		{name: "write with lost answer", kind: session.StatementWrite, failure: session.KindUnknown, want: session.KindUnknown, attempts: 1},
		{name: "write that timed out", kind: session.StatementWrite, failure: session.KindTimeout, want: session.KindTimeout, attempts: 1},
		{name: "write that failed", kind: session.StatementWrite, failure: session.KindFailed, want: session.KindFailed, attempts: 1},
		{name: "write on a busy server", kind: session.StatementWrite, failure: session.KindBusy, attempts: 2},
		{name: "write on a replica", kind: session.StatementWrite, failure: session.KindReadOnly, attempts: 2},
		{name: "read with lost answer", kind: session.StatementRead, failure: session.KindUnknown, attempts: 2},
		{name: "read on a lagging server", kind: session.StatementRead, failure: session.KindLagging, attempts: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newServer("a")
			attempts := 0
			s.onRun = func(command session.Command) {
				if command.Kind == test.kind {
					attempts++
				}
			}
			s.fail = failOnce(test.kind, test.failure)
			result := newEnvironment(s).openSession().Do(statement(test.kind))
			if diff := cmp.Diff(test.want, errorKind(result)); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.attempts, attempts); diff != "" {
				t.Errorf("attempts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReplacedPrimary guards against reporting success for a write on a primary
// that was replaced meanwhile, and against sending a commit to it.
func TestReplacedPrimary(t *testing.T) {
	s := newServer("a")
	s.onRun = func(command session.Command) { s.replaced = command.Kind == session.StatementWrite }
	if diff := cmp.Diff(session.KindUnknown, errorKind(newEnvironment(s).openSession().Do(statement(session.StatementWrite)))); diff != "" {
		t.Errorf("single write (-want +got):\n%s", diff)
	}

	s = newServer("a")
	s.onRun = func(command session.Command) {
		if command.Kind == session.StatementWrite {
			s.replaced = true
		}
	}
	sess := newEnvironment(s).openSession()
	sess.Do(statement(session.StatementBegin))
	sess.Do(statement(session.StatementWrite))
	if diff := cmp.Diff(session.KindAborted, errorKind(sess.Do(statement(session.StatementCommit)))); diff != "" {
		t.Errorf("commit (-want +got):\n%s", diff)
	}
	if s.count(session.StatementCommit) != 0 {
		t.Error("the commit was sent to a primary that may have been replaced")
	}
}

// TestCommitWithLostAnswer guards against reporting that a commit whose answer was
// lost did not run, and against an unknown outcome of a transaction without writes.
func TestCommitWithLostAnswer(t *testing.T) {
	for _, test := range []struct {
		statement session.StatementKind
		want      session.Kind
	}{
		{statement: session.StatementWrite, want: session.KindUnknown},
		{statement: session.StatementRead, want: session.KindAborted},
	} {
		s := newServer("a")
		s.fail = failOnce(session.StatementCommit, session.KindUnknown)
		sess := newEnvironment(s).openSession()
		sess.Do(statement(session.StatementBegin))
		sess.Do(statement(test.statement))
		result := sess.Do(statement(session.StatementCommit))
		if diff := cmp.Diff(test.want, errorKind(result)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.statement, diff)
		}
		if result.State != session.StateIdle {
			t.Errorf("%s: state %s after the commit", test.statement, result.State)
		}
	}
}

// TestFailedTransaction guards against running statements on their own although
// the caller believes its transaction to be still open.
func TestFailedTransaction(t *testing.T) {
	s := newServer("a")
	s.fail = failOnce(session.StatementRead, session.KindUnknown)
	sess := newEnvironment(s).openSession()
	sess.Do(statement(session.StatementBegin))
	if diff := cmp.Diff(session.KindAborted, errorKind(sess.Do(statement(session.StatementRead)))); diff != "" {
		t.Errorf("statement on a lost server (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(session.KindMalformed, errorKind(sess.Do(statement(session.StatementWrite)))); diff != "" {
		t.Errorf("statement after the failure (-want +got):\n%s", diff)
	}
	if s.count(session.StatementWrite) != 0 {
		t.Error("a statement of the failed transaction ran")
	}
	if diff := cmp.Diff(session.KindAborted, errorKind(sess.Do(statement(session.StatementCommit)))); diff != "" {
		t.Errorf("commit (-want +got):\n%s", diff)
	}
}

// TestAdmission guards against counting a transaction more than once, running a
// statement that exceeds the rate limit, and accepting a withdrawn key on an open
// session.
func TestAdmission(t *testing.T) {
	s := newServer("a")
	env := newEnvironment(s)
	sess := env.openSession()
	for _, kind := range []session.StatementKind{session.StatementBegin, session.StatementRead, session.StatementWrite, session.StatementCommit, session.StatementRead} {
		sess.Do(statement(kind))
	}
	if diff := cmp.Diff(2, env.admitted); diff != "" {
		t.Errorf("operations admitted (-want +got):\n%s", diff)
	}
	ran := len(s.ran)
	env.overRate = true
	result := sess.Do(statement(session.StatementRead))
	if errorKind(result) != session.KindBusy || result.Err.RetryAfter != time.Second {
		t.Errorf("over the rate: %+v", result.Err)
	}
	env.overRate, env.keyWithdrawn = false, true
	if diff := cmp.Diff(session.KindUnauthorized, errorKind(sess.Do(statement(session.StatementWrite)))); diff != "" {
		t.Errorf("withdrawn key (-want +got):\n%s", diff)
	}
	if len(s.ran) != ran {
		t.Error("a refused statement ran")
	}
}

// TestExpireTransaction guards against an expired transaction that keeps its
// connection, and against a later commit that succeeds.
func TestExpireTransaction(t *testing.T) {
	s := newServer("a")
	env := newEnvironment(s)
	sess := env.openSession()
	sess.Do(statement(session.StatementBegin))
	sess.Do(statement(session.StatementWrite))
	sess.ExpireTransaction()
	if s.inTransaction || env.released != 1 {
		t.Error("the connection of an expired transaction was not released")
	}
	if diff := cmp.Diff(session.KindAborted, errorKind(sess.Do(statement(session.StatementCommit)))); diff != "" {
		t.Errorf("commit (-want +got):\n%s", diff)
	}
}

// TestSharedConnection guards against session variables and prepared statements
// that leak from one session to another on a shared connection.
func TestSharedConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newServer("a")
		env := newEnvironment(s)
		sessions := []*session.Session{env.openSession(), env.openSession(), env.openSession()}
		expected := []map[string]string{{}, {}, {}}
		prepared := map[string]bool{}
		s.onRun = func(command session.Command) {
			switch command.Kind {
			case session.StatementReset:
				clear(prepared)
			case session.StatementPrepare:
				prepared[command.Name] = command.Template.Write
			case session.StatementExecute:
				if write, known := prepared[command.Name]; !known || write {
					t.Fatalf("%s is not the read that was prepared", command.Name)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "session")
			name := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")
			switch rapid.IntRange(0, 3).Draw(t, "statement") {
			case 0:
				value := rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value")
				sessions[i].Do(session.Statement{ID: "1", Kind: session.StatementSet, Name: name, Value: value})
				expected[i][name] = value
			case 1:
				sessions[i].Do(session.Statement{ID: "1", Kind: session.StatementPrepare, Name: name, Template: session.Template{Body: name}})
			case 2:
				sessions[i].Do(session.Statement{ID: "1", Kind: session.StatementExecute, Name: name})
			case 3:
				sessions[i].Do(statement(session.StatementRead))
				if diff := cmp.Diff(expected[i], s.values); diff != "" {
					t.Fatalf("session variables on the connection (-want +got):\n%s", diff)
				}
			}
		}
	})
}

// TestRouteTimeout guards against retrying a read after the route's statement
// timeout.
func TestRouteTimeout(t *testing.T) {
	s := newServer("a")
	env := newEnvironment(s)
	env.route.Consistency = sheet.ConsistencyBoundedAge
	env.route.StatementTimeout = 20
	s.fail = func(session.Command) *session.RunError { return &session.RunError{Kind: session.KindBusy} }
	result := env.openSession().Do(statement(session.StatementRead))
	if errorKind(result) == "" || env.now.Sub(testStart) > 20*time.Millisecond {
		t.Errorf("outcome %v after %v, want a refusal within the timeout", result.Err, env.now.Sub(testStart))
	}
}

// TestSilentServer guards against a read that waits for a lost answer until its
// timeout instead of being retried, and against giving up on a write early.
func TestSilentServer(t *testing.T) {
	for _, test := range []struct {
		kind session.StatementKind
		want session.Kind
		runs []time.Time
	}{
		{kind: session.StatementRead, runs: []time.Time{testStart.Add(150 * time.Millisecond), testStart.Add(800 * time.Millisecond)}},
		{kind: session.StatementWrite, want: session.KindTimeout, runs: []time.Time{testStart.Add(800 * time.Millisecond)}},
	} {
		s := newServer("a")
		s.fail = failOnce(test.kind, session.KindTimeout)
		env := newEnvironment(s)
		env.route.TargetLatency = 100
		result := env.openSession().Do(statement(test.kind))
		if diff := cmp.Diff(test.want, errorKind(result)); diff != "" {
			t.Errorf("%s: outcome (-want +got):\n%s", test.kind, diff)
		}
		if diff := cmp.Diff(test.runs, s.deadlines); diff != "" {
			t.Errorf("%s: deadlines of the runs (-want +got):\n%s", test.kind, diff)
		}
	}
}

// TestSlowAdmission guards against accepting a key that was withdrawn while its
// operation waited for admission, and against a wait that isn't reported to the
// observer and so appears in no log line.
func TestSlowAdmission(t *testing.T) {
	for _, kind := range []session.StatementKind{session.StatementBegin, session.StatementRead} {
		s := newServer("a")
		env := newEnvironment(s)
		env.onAdmit = func() { env.now, env.keyWithdrawn = env.now.Add(70*time.Millisecond), true }
		result := env.openSession().Do(statement(kind))
		if diff := cmp.Diff(session.KindUnauthorized, errorKind(result)); diff != "" {
			t.Errorf("%s: outcome (-want +got):\n%s", kind, diff)
		}
		if len(s.ran) > 0 {
			t.Errorf("%s: %v ran", kind, s.ran)
		}
		if len(env.completed) != 1 || env.completed[0].Latency != 70*time.Millisecond {
			t.Errorf("%s: observed %+v, want one that took 70 ms", kind, env.completed)
		}
	}
}

// TestLastWriteOfEachGroup guards against a read that misses the session's own write,
// because the route has changed to another group and back, and a write in that group
// replaced the position to be read from.
func TestLastWriteOfEachGroup(t *testing.T) {
	first := newServer("a")
	first.log = 100
	env := newEnvironment(first)
	sess := env.openSession()
	sess.Do(statement(session.StatementWrite))

	env.route.Group, env.servers = "other", []*server{newServer("b")}
	sess.Do(statement(session.StatementRead))
	sess.Do(statement(session.StatementWrite))
	for _, kind := range []session.StatementKind{session.StatementBegin, session.StatementWrite, session.StatementCommit} {
		sess.Do(statement(kind))
	}

	env.route.Group, env.servers = "g", []*server{first}
	sess.Do(statement(session.StatementRead))

	var got []fleet.Position
	for _, completed := range env.completed {
		if completed.Err != nil {
			t.Fatalf("%s: %v", completed.Statement.Kind, completed.Err)
		}
		if completed.Statement.Kind == session.StatementRead {
			got = append(got, completed.Requirements.LastWrite)
		}
	}
	want := []fleet.Position{{}, {Term: 1, Log: 101}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("positions that the reads must see (-want +got):\n%s", diff)
	}
}

// TestKeyWithdrawnInTransaction guards against statements and commits of an open
// transaction that run although the key was withdrawn, or can't be proved to be valid.
func TestKeyWithdrawnInTransaction(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*environment)
		want   session.Kind
	}{
		{name: "withdrawn", change: func(e *environment) { e.keyWithdrawn = true }, want: session.KindUnauthorized},
		{name: "unproved", change: func(e *environment) { e.unproved = true }, want: session.KindAborted},
	} {
		for _, kind := range []session.StatementKind{session.StatementRead, session.StatementWrite, session.StatementCommit} {
			t.Run(test.name+"/"+string(kind), func(t *testing.T) {
				s := newServer("a")
				env := newEnvironment(s)
				sess := env.openSession()
				sess.Do(statement(session.StatementBegin))
				sess.Do(statement(session.StatementWrite))
				ran := len(s.ran)
				test.change(env)
				if diff := cmp.Diff(test.want, errorKind(sess.Do(statement(kind)))); diff != "" {
					t.Errorf("error (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff([]session.StatementKind{session.StatementRollback}, s.ran[ran:]); diff != "" {
					t.Errorf("statements on the server after the change (-want +got):\n%s", diff)
				}
				if env.released != 1 {
					t.Errorf("%d connections released, want 1", env.released)
				}
			})
		}
	}
}
