package session_test

import (
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/session"
)

// TestMayRetry guards against retrying a request that may already have run, and
// against giving up on one that certainly did not run.
func TestMayRetry(t *testing.T) {
	deadline := testStart.Add(time.Second)
	for _, test := range []struct {
		name    string
		attempt session.Attempt
		now     time.Time
		want    bool
	}{
		{name: "refused write", attempt: session.Attempt{Refused: true}, want: true},
		{name: "lost write", attempt: session.Attempt{Lost: true}},
		{name: "lost read", attempt: session.Attempt{Lost: true, Idempotent: true}, want: true},
		{name: "partial answer delivered", attempt: session.Attempt{PartiallyDelivered: true, Lost: true, Idempotent: true}},
		{name: "past the deadline", attempt: session.Attempt{Refused: true}, now: deadline.Add(time.Millisecond)},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.attempt.Deadline = deadline
			if test.now.IsZero() {
				test.now = testStart
			}
			if got := test.attempt.MayRetry(test.now); got != test.want {
				t.Errorf("MayRetry() = %v, want %v", got, test.want)
			}
		})
	}
}

// TestLostRequestOutcome guards against reporting NotRun for a request that may
// have taken effect before its server was lost.
func TestLostRequestOutcome(t *testing.T) {
	for _, test := range []struct {
		loss session.LostRequest
		want session.Outcome
	}{
		{loss: session.LostRequest{}, want: session.OutcomeNotRun},
		{loss: session.LostRequest{Writes: true}, want: session.OutcomeUnknown},
		{loss: session.LostRequest{InTransaction: true, Writes: true}, want: session.OutcomeNotRun},
		{loss: session.LostRequest{Commits: true, InTransaction: true, Writes: true}, want: session.OutcomeUnknown},
		{loss: session.LostRequest{Commits: true, InTransaction: true}, want: session.OutcomeNotRun},
	} {
		if got := test.loss.Outcome(); got != test.want {
			t.Errorf("%+v: outcome %s, want %s", test.loss, got, test.want)
		}
	}
}
