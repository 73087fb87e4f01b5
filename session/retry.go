package session

import "time"

// Bounds of the exponential backoff between attempts, before jitter.
const (
	initialRetryDelay = 10 * time.Millisecond
	maxRetryDelay     = 100 * time.Millisecond
)

// Outcome says whether a request took effect.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeCommitted means that the request's changes are committed durably.
	OutcomeCommitted Outcome = "Committed"
	// OutcomeFailed means that the backend server returned an error for the
	// statement.
	OutcomeFailed Outcome = "Failed"
	// OutcomeNotRun means that the request certainly had no effect.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeUnknown means that the request may or may not have had an effect.
	OutcomeUnknown Outcome = "Unknown"
)

// Attempt describes an unsuccessful attempt to run a request on one server.
type Attempt struct {
	Deadline time.Time
	// PartiallyDelivered says that part of the answer was already sent to the
	// caller.
	PartiallyDelivered bool
	// Lost says that the connection was lost or that the server returned an error.
	Lost bool
	// Refused says that the request certainly did not run.
	Refused bool
	// Idempotent says that running the request twice is safe.
	Idempotent bool
}

// MayRetry reports whether the request may be sent to another server at time now.
func (a Attempt) MayRetry(now time.Time) bool {
	if a.PartiallyDelivered || now.After(a.Deadline) {
		return false
	}
	return a.Refused || (a.Lost && a.Idempotent)
}

// LostRequest describes a request whose connection was lost before the server
// answered.
type LostRequest struct {
	// Commits says that the request commits its transaction.
	Commits bool
	// InTransaction says that a transaction was open.
	InTransaction bool
	// Writes says that the request or its transaction may have written.
	Writes bool
}

// Outcome returns the outcome that can be reported to the caller. An uncommitted
// transaction certainly has no effect, because the server rolls it back when its
// connection ends.
func (l LostRequest) Outcome() Outcome {
	if l.Writes && (l.Commits || !l.InTransaction) {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// RetryDelay returns the delay before a request is sent to another server. Retries
// count from zero. The first one is immediate, because a replica's answer may
// just say that the primary is needed. Later delays double up to maxRetryDelay;
// jitter, in [0, 1), varies the upper half of each.
func RetryDelay(retry int, jitter float64) time.Duration {
	if retry == 0 {
		return 0
	}
	limit := min(maxRetryDelay, initialRetryDelay<<min(retry-1, 10))
	return limit/2 + time.Duration(jitter*float64(limit/2))
}
