package session_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/session"
)

// TestKeyWithdrawnDuringWait guards against a statement that is sent to a server although
// its key was withdrawn while it waited for a connection, for a retry, or for its
// transaction to begin.
func TestKeyWithdrawnDuringWait(t *testing.T) {
	statements := map[string][]session.StatementKind{
		"read": {session.StatementRead}, "write": {session.StatementWrite},
		"first statement": {session.StatementBegin, session.StatementWrite},
		"commit":          {session.StatementBegin, session.StatementCommit},
	}
	for _, test := range []struct {
		name string
		wait func(*environment, func())
	}{
		{name: "connection", wait: func(e *environment, withdraw func()) { e.onAcquire = withdraw }},
		{name: "retry", wait: func(e *environment, withdraw func()) {
			e.servers[0].fail = func(session.Command) *session.RunError {
				withdraw()
				return &session.RunError{Kind: session.KindBusy}
			}
		}},
		{name: "begin", wait: func(e *environment, withdraw func()) {
			e.servers[0].onRun = func(command session.Command) {
				if command.Kind == session.StatementBegin {
					withdraw()
				}
			}
		}},
	} {
		for name, kinds := range statements {
			if test.name == "begin" && len(kinds) == 1 {
				continue
			}
			t.Run(test.name+"/"+name, func(t *testing.T) {
				s := newServer("a")
				env := newEnvironment(s)
				test.wait(env, func() { env.keyWithdrawn = true })
				sess := env.openSession()
				var last session.Result
				for _, kind := range kinds {
					last = sess.Do(statement(kind))
				}
				want := session.KindUnauthorized
				if len(kinds) > 1 {
					want = session.KindAborted
				}
				if diff := cmp.Diff(want, errorKind(last)); diff != "" {
					t.Errorf("error (-want +got):\n%s", diff)
				}
				for _, kind := range s.ran {
					if kind != session.StatementBegin && kind != session.StatementRollback {
						t.Errorf("%s ran", kind)
					}
				}
				if s.inTransaction {
					t.Error("the transaction was not rolled back")
				}
			})
		}
	}
}

// TestKeyProofIsFresh guards against a statement of a valid key that is refused because
// it waited: each batch must carry a proof that was made after the last wait.
func TestKeyProofIsFresh(t *testing.T) {
	for _, kinds := range [][]session.StatementKind{
		{session.StatementRead},
		{session.StatementWrite},
		{session.StatementBegin, session.StatementWrite, session.StatementRead, session.StatementCommit},
		{session.StatementBegin, session.StatementCommit},
	} {
		s := newServer("a")
		env := newEnvironment(s)
		env.route.StatementTimeout = 60_000
		env.onAcquire = func() { env.now = env.now.Add(3 * time.Second) }
		s.onRun = func(session.Command) { env.now = env.now.Add(2 * time.Second) }
		s.fail = failOnce(kinds[len(kinds)-1], session.KindBusy)
		sess := env.openSession()
		for _, kind := range kinds {
			sess.Do(statement(kind))
		}
		for i, proof := range s.proofs {
			if proof != keyLease {
				t.Errorf("%v: batch %d was sent with a proof for %v, want %v", kinds, i, proof, keyLease)
			}
		}
	}
}
