package session_test

import (
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/session"
)

// TestMayRepeat guards against a request that runs twice although it may have
// run, and against one that isn't offered again although it certainly did not.
func TestMayRepeat(t *testing.T) {
	deadline := begin.Add(time.Second)
	for _, test := range []struct {
		name    string
		attempt session.Attempt
		now     time.Time
		want    bool
	}{
		{name: "refused write", attempt: session.Attempt{Refused: true}, want: true},
		{name: "lost write", attempt: session.Attempt{Lost: true}},
		{name: "lost read", attempt: session.Attempt{Lost: true, Repeatable: true}, want: true},
		{name: "answered in part", attempt: session.Attempt{Delivered: true, Lost: true, Repeatable: true}},
		{name: "too late", attempt: session.Attempt{Refused: true}, now: deadline.Add(time.Millisecond)},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.attempt.Deadline = deadline
			if test.now.IsZero() {
				test.now = begin
			}
			if got := test.attempt.MayRepeat(test.now); got != test.want {
				t.Errorf("MayRepeat() = %v, want %v", got, test.want)
			}
		})
	}
}

// TestLossOutcome guards against an untrue "not run" after a lost server.
func TestLossOutcome(t *testing.T) {
	for _, test := range []struct {
		loss session.Loss
		want session.Outcome
	}{
		{loss: session.Loss{}, want: session.OutcomeNotRun},
		{loss: session.Loss{Writes: true}, want: session.OutcomeUnknown},
		{loss: session.Loss{InTransaction: true, Writes: true}, want: session.OutcomeNotRun},
		{loss: session.Loss{Commits: true, InTransaction: true, Writes: true}, want: session.OutcomeUnknown},
		{loss: session.Loss{Commits: true, InTransaction: true}, want: session.OutcomeNotRun},
	} {
		if got := test.loss.Outcome(); got != test.want {
			t.Errorf("%+v: outcome %s, want %s", test.loss, got, test.want)
		}
	}
}
