package session

import (
	"fmt"
	"time"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors. Each comment says what the caller may assume about the request.
const (
	// KindAborted means that the transaction was rolled back and had no effect.
	KindAborted Kind = "Aborted"
	// KindBusy means that the request did not run and may be retried.
	KindBusy Kind = "Busy"
	// KindFailed means that the backend server executed the statement and returned
	// an error.
	KindFailed Kind = "Failed"
	// KindLagging means that no reachable server has replicated far enough. The
	// request did not run.
	KindLagging Kind = "Lagging"
	// KindMalformed means that the statement is invalid or not allowed in the
	// session's current state.
	KindMalformed Kind = "Malformed"
	// KindNoDatabase means that no route exists for the database name.
	KindNoDatabase Kind = "NoDatabase"
	// KindNoStatement means that no prepared statement has that name.
	KindNoStatement Kind = "NoStatement"
	// KindReadOnly means that the server or transaction doesn't accept writes. The
	// request did not run.
	KindReadOnly Kind = "ReadOnly"
	// KindTimeout means that the statement timed out. It may have run.
	KindTimeout Kind = "Timeout"
	// KindUnauthorized means that the key isn't accepted for any workspace.
	KindUnauthorized Kind = "Unauthorized"
	// KindUnknown means that a write may or may not have taken effect.
	KindUnknown Kind = "Unknown"
)

// NotRun reports whether the kind guarantees that the attempt had no effect.
func (k Kind) NotRun() bool {
	switch k {
	case KindAborted, KindBusy, KindLagging, KindReadOnly:
		return true
	default:
		return false
	}
}

// Reason says why a request was refused. The values are a closed set, by which refusals
// are counted.
type Reason string

// Reasons of refusals at admission.
const (
	// ReasonLimitUnknown means that no instance can prove a share of the rate limit of
	// the workspace.
	ReasonLimitUnknown Reason = "LimitUnknown"
	// ReasonOverRate means that the workspace is over its rate.
	ReasonOverRate Reason = "OverRate"
	// ReasonPoolSilent means that an owner of a pool of the rate limit does not answer.
	ReasonPoolSilent Reason = "PoolSilent"
)

// Error is the error type of this package. Implementations of Router and
// AccessController return it too. The protocol front end translates it into an
// error response.
type Error struct {
	// Err is the cause. It is shown to the caller and must not contain keys.
	Err error
	// Kind says what the caller may assume about the request.
	Kind Kind
	// Op is the operation that failed.
	Op string
	// Reason is why the request was refused, or empty if the kind says all.
	Reason Reason
	// RetryAfter is how long to wait before a retry can succeed, or zero if it
	// isn't known.
	RetryAfter time.Duration
	// Saturated means that the request was refused because a server has more requests
	// than it can serve in time. It is not retried in the same queue.
	Saturated bool
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("session: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("session: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
