package session_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/session"
)

// TestSaturated guards against retrying a request in the queue that has refused it because
// it can't be served in time.
func TestSaturated(t *testing.T) {
	s := newServer("a")
	s.fail = func(session.Command) *session.RunError {
		return &session.RunError{Kind: session.KindBusy, Saturated: true}
	}
	result := newEnvironment(s).openSession().Do(statement(session.StatementWrite))
	if diff := cmp.Diff(session.KindBusy, errorKind(result)); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if len(s.deadlines) != 1 {
		t.Errorf("%d attempts, want 1", len(s.deadlines))
	}
}

// TestRetryBudget guards against retries that multiply the load when all requests fail,
// and against refusing the retry of a read on another server because a replica lags.
func TestRetryBudget(t *testing.T) {
	for _, test := range []struct {
		kind session.Kind
		// limited is true if retries after the kind use the budget.
		limited bool
	}{
		{kind: session.KindBusy, limited: true},
		{kind: session.KindLagging},
		{kind: session.KindReadOnly},
	} {
		s := newServer("a")
		s.fail = func(session.Command) *session.RunError { return &session.RunError{Kind: test.kind} }
		env := newEnvironment(s)
		config := env.config()
		config.Retries = session.NewRetryBudget()
		sess, err := session.Open(config, session.Credentials{Database: "orders"})
		if err != nil {
			t.Fatal(err)
		}
		const requests = 1000
		for range requests {
			sess.Do(statement(session.StatementWrite))
		}
		if limited := len(s.deadlines) <= requests*5/4; limited != test.limited {
			t.Errorf("%s: %d attempts of %d requests; limited to a quarter more: %v, want %v", test.kind, len(s.deadlines), requests, limited, test.limited)
		}
	}
}
