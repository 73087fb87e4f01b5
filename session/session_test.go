package session_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// TestRollbackEndsServerTransaction guards against a connection that is given
// back inside a transaction, so that statements of others run in it.
func TestRollbackEndsServerTransaction(t *testing.T) {
	s := newServer("a")
	w := newWorld(s)
	opened := w.open()
	for _, kind := range []session.StatementKind{session.StatementBegin, session.StatementWrite, session.StatementRollback} {
		if result := opened.Do(statement(kind)); result.Err != nil {
			t.Fatalf("%s: %v", kind, result.Err)
		}
	}
	if s.inTransaction || w.released != 1 {
		t.Errorf("in a transaction: %v, released: %d; want false, 1", s.inTransaction, w.released)
	}
}

// TestOutcomes guards against an untrue promise: that a request did not run
// which may have run, or a retry of a write that may have run.
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
			result := newWorld(s).open().Do(statement(test.kind))
			if diff := cmp.Diff(test.want, kinds(result)); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(test.attempts, attempts); diff != "" {
				t.Errorf("attempts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReplacedPrimary guards against a success for a write on a primary that
// was replaced meanwhile, and against a commit that is still sent to it.
func TestReplacedPrimary(t *testing.T) {
	s := newServer("a")
	s.onRun = func(command session.Command) { s.deposed = command.Kind == session.StatementWrite }
	if diff := cmp.Diff(session.KindUnknown, kinds(newWorld(s).open().Do(statement(session.StatementWrite)))); diff != "" {
		t.Errorf("single write (-want +got):\n%s", diff)
	}

	s = newServer("a")
	s.onRun = func(command session.Command) {
		if command.Kind == session.StatementWrite {
			s.deposed = true
		}
	}
	opened := newWorld(s).open()
	opened.Do(statement(session.StatementBegin))
	opened.Do(statement(session.StatementWrite))
	if diff := cmp.Diff(session.KindAborted, kinds(opened.Do(statement(session.StatementCommit)))); diff != "" {
		t.Errorf("commit (-want +got):\n%s", diff)
	}
	if s.count(session.StatementCommit) != 0 {
		t.Error("the commit was sent to a primary that may have been replaced")
	}
}

// TestCommitWithLostAnswer guards against a commit that is said not to have
// run, and against an unknown outcome of a transaction that only read.
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
		opened := newWorld(s).open()
		opened.Do(statement(session.StatementBegin))
		opened.Do(statement(test.statement))
		result := opened.Do(statement(session.StatementCommit))
		if diff := cmp.Diff(test.want, kinds(result)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.statement, diff)
		}
		if result.State != session.StateIdle {
			t.Errorf("%s: state %s after the commit", test.statement, result.State)
		}
	}
}

// TestFailedTransaction guards against statements that run outside a
// transaction which its caller believes to be open.
func TestFailedTransaction(t *testing.T) {
	s := newServer("a")
	s.fail = failOnce(session.StatementRead, session.KindUnknown)
	opened := newWorld(s).open()
	opened.Do(statement(session.StatementBegin))
	if diff := cmp.Diff(session.KindAborted, kinds(opened.Do(statement(session.StatementRead)))); diff != "" {
		t.Errorf("lost server (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(session.KindMalformed, kinds(opened.Do(statement(session.StatementWrite)))); diff != "" {
		t.Errorf("statement after it (-want +got):\n%s", diff)
	}
	if s.count(session.StatementWrite) != 0 {
		t.Error("a statement of the failed transaction ran")
	}
	if diff := cmp.Diff(session.KindAborted, kinds(opened.Do(statement(session.StatementCommit)))); diff != "" {
		t.Errorf("commit (-want +got):\n%s", diff)
	}
}

// TestAdmission guards against a transaction that counts more than once, a
// statement over the rate that runs, and a withdrawn key on an open session.
func TestAdmission(t *testing.T) {
	s := newServer("a")
	w := newWorld(s)
	opened := w.open()
	for _, kind := range []session.StatementKind{session.StatementBegin, session.StatementRead, session.StatementWrite, session.StatementCommit, session.StatementRead} {
		opened.Do(statement(kind))
	}
	if diff := cmp.Diff(2, w.admitted); diff != "" {
		t.Errorf("operations admitted (-want +got):\n%s", diff)
	}
	ran := len(s.ran)
	w.overRate = true
	result := opened.Do(statement(session.StatementRead))
	if kinds(result) != session.KindBusy || result.Err.RetryAfter != time.Second {
		t.Errorf("over the rate: %+v", result.Err)
	}
	w.overRate, w.withdrawn = false, true
	if diff := cmp.Diff(session.KindUnauthorized, kinds(opened.Do(statement(session.StatementWrite)))); diff != "" {
		t.Errorf("withdrawn key (-want +got):\n%s", diff)
	}
	if len(s.ran) != ran {
		t.Error("a refused statement ran")
	}
}

// TestExpireTransaction guards against an idle transaction that keeps its connection, and
// against a commit of it that succeeds.
func TestExpireTransaction(t *testing.T) {
	s := newServer("a")
	w := newWorld(s)
	opened := w.open()
	opened.Do(statement(session.StatementBegin))
	opened.Do(statement(session.StatementWrite))
	opened.ExpireTransaction()
	if s.inTransaction || w.released != 1 {
		t.Error("the connection of an expired transaction was not given back")
	}
	if diff := cmp.Diff(session.KindAborted, kinds(opened.Do(statement(session.StatementCommit)))); diff != "" {
		t.Errorf("commit (-want +got):\n%s", diff)
	}
}

// TestSharedConnection guards against session values and prepared statements
// of one session that another one sees on a shared connection.
func TestSharedConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newServer("a")
		w := newWorld(s)
		sessions := []*session.Session{w.open(), w.open(), w.open()}
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
				sessions[i].Do(session.Statement{ID: "1", Kind: session.StatementPrepare, Name: name, Template: session.Template{Text: name}})
			case 2:
				sessions[i].Do(session.Statement{ID: "1", Kind: session.StatementExecute, Name: name})
			case 3:
				sessions[i].Do(statement(session.StatementRead))
				if diff := cmp.Diff(expected[i], s.values); diff != "" {
					t.Fatalf("values on the connection (-want +got):\n%s", diff)
				}
			}
		}
	})
}

// TestRouteTimeout guards against a read that is tried again after its time.
func TestRouteTimeout(t *testing.T) {
	s := newServer("a")
	w := newWorld(s)
	w.route.Consistency = sheet.ConsistencyBoundedAge
	w.route.StatementTimeout = 20
	s.fail = func(session.Command) *session.RunError { return &session.RunError{Kind: session.KindBusy} }
	result := w.open().Do(statement(session.StatementRead))
	if kinds(result) == "" || w.now.Sub(begin) > 20*time.Millisecond {
		t.Errorf("outcome %v after %v, want a refusal within the timeout", result.Err, w.now.Sub(begin))
	}
}

// TestSilentServer guards against a read whose answer was lost and that waits
// until its timeout, and against a write that is given up early.
func TestSilentServer(t *testing.T) {
	for _, test := range []struct {
		kind session.StatementKind
		want session.Kind
		runs []time.Time
	}{
		{kind: session.StatementRead, runs: []time.Time{begin.Add(150 * time.Millisecond), begin.Add(800 * time.Millisecond)}},
		{kind: session.StatementWrite, want: session.KindTimeout, runs: []time.Time{begin.Add(800 * time.Millisecond)}},
	} {
		s := newServer("a")
		s.fail = failOnce(test.kind, session.KindTimeout)
		w := newWorld(s)
		w.route.TargetLatency = 100
		result := w.open().Do(statement(test.kind))
		if diff := cmp.Diff(test.want, kinds(result)); diff != "" {
			t.Errorf("%s: outcome (-want +got):\n%s", test.kind, diff)
		}
		if diff := cmp.Diff(test.runs, s.deadlines); diff != "" {
			t.Errorf("%s: deadlines of the runs (-want +got):\n%s", test.kind, diff)
		}
	}
}

// TestSlowAdmission guards against a key that is withdrawn while its operation
// waits for admission, and against a wait that no log line shows.
func TestSlowAdmission(t *testing.T) {
	for _, kind := range []session.StatementKind{session.StatementBegin, session.StatementRead} {
		s := newServer("a")
		w := newWorld(s)
		w.onAdmit = func() { w.now, w.withdrawn = w.now.Add(70*time.Millisecond), true }
		result := w.open().Do(statement(kind))
		if diff := cmp.Diff(session.KindUnauthorized, kinds(result)); diff != "" {
			t.Errorf("%s: outcome (-want +got):\n%s", kind, diff)
		}
		if len(s.ran) > 0 {
			t.Errorf("%s: %v ran", kind, s.ran)
		}
		if len(w.ended) != 1 || w.ended[0].Latency != 70*time.Millisecond {
			t.Errorf("%s: observed %+v, want one that took 70 ms", kind, w.ended)
		}
	}
}
