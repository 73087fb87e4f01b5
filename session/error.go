package session

import (
	"fmt"
	"time"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors. The comment says what a caller may conclude.
const (
	// KindAborted means that the transaction was rolled back: nothing is kept.
	KindAborted Kind = "Aborted"
	// KindBusy means that the request did not run and may be sent again.
	KindBusy Kind = "Busy"
	// KindFailed means that the backend server ran the statement and refused it.
	KindFailed Kind = "Failed"
	// KindLagging means that no reachable log is recent enough: not run.
	KindLagging Kind = "Lagging"
	// KindMalformed means that the statement isn't accepted in this state.
	KindMalformed Kind = "Malformed"
	// KindNoDatabase means that no route has the name of the database.
	KindNoDatabase Kind = "NoDatabase"
	// KindNoStatement means that no statement of that name is prepared.
	KindNoStatement Kind = "NoStatement"
	// KindReadOnly means that the server accepts no write: not run.
	KindReadOnly Kind = "ReadOnly"
	// KindTimeout means that the statement ran into its timeout. It may have run.
	KindTimeout Kind = "Timeout"
	// KindUnauthorized means that the key belongs to no workspace.
	KindUnauthorized Kind = "Unauthorized"
	// KindUnknown means that the outcome of a write isn't known.
	KindUnknown Kind = "Unknown"
)

// NotRun reports whether the kind promises that nothing of the attempt is kept.
func (k Kind) NotRun() bool {
	switch k {
	case KindAborted, KindBusy, KindLagging, KindReadOnly:
		return true
	default:
		return false
	}
}

// Error is the error type of this package. Routers and connections return it,
// and the caller's protocol turns it into an answer.
type Error struct {
	// Err is the cause, shown to the caller. It never holds a key.
	Err error
	// Kind says what the caller may conclude.
	Kind Kind
	// Op is the operation that failed.
	Op string
	// RetryAfter is the time after which a retry can succeed, or zero.
	RetryAfter time.Duration
}

// Error returns the text of the error.
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
