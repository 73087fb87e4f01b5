package session

import "time"

// Waits before a request is offered to another server. The first doesn't wait
// where the answer of a replica says at once that the primary is needed.
const (
	firstRepeatWait = 10 * time.Millisecond
	maxRepeatWait   = 100 * time.Millisecond
)

// Outcome says whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeCommitted means that the commit is durable.
	OutcomeCommitted Outcome = "Committed"
	// OutcomeFailed means that the backend server refused the statement.
	OutcomeFailed Outcome = "Failed"
	// OutcomeNotRun means that the request certainly had no effect.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeUnknown means that the request may or may not have had effect.
	OutcomeUnknown Outcome = "Unknown"
)

// Attempt is what is known of a request that one server did not serve.
type Attempt struct {
	Deadline time.Time
	// Delivered says that a part of the answer went to the caller.
	PartiallyDelivered bool
	// Lost says that the connection ended or that the server failed.
	Lost bool
	// Refused says that the server proved that nothing ran.
	Refused bool
	// Repeatable says that running twice does no harm.
	Idempotent bool
}

// MayRetry reports whether another server can be asked.
func (a Attempt) MayRetry(now time.Time) bool {
	if a.PartiallyDelivered || now.After(a.Deadline) {
		return false
	}
	return a.Refused || (a.Lost && a.Idempotent)
}

// LostRequest is a request whose server was lost before it answered.
type LostRequest struct {
	// Commits says that the request ends its transaction and keeps it.
	Commits bool
	// InTransaction says that a transaction was open.
	InTransaction bool
	// Writes says that the server could write.
	Writes bool
}

// Outcome returns what the caller may be told. A server rolls back what was
// not committed.
func (l LostRequest) Outcome() Outcome {
	if l.Writes && (l.Commits || !l.InTransaction) {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// RetryDelay returns the wait before a request is offered again, counted from
// zero. Jitter is in [0, 1).
func RetryDelay(repeat int, jitter float64) time.Duration {
	if repeat == 0 {
		return 0
	}
	bound := min(maxRepeatWait, firstRepeatWait<<min(repeat-1, 10))
	return bound/2 + time.Duration(jitter*float64(bound/2))
}
