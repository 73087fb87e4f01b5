package operator

import "fmt"

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindDenied means that the token does not permit the call.
	KindDenied Kind = "Denied"
	// KindInvalid means that the request is not valid or too large, or that the
	// response cannot be parsed.
	KindInvalid Kind = "Invalid"
	// KindNotFound means that the sheet version does not exist, or that the instance
	// does not support the call.
	KindNotFound Kind = "NotFound"
	// KindUnauthenticated means that the token is missing or unknown.
	KindUnauthenticated Kind = "Unauthenticated"
	// KindUnavailable means that the call failed and changed nothing.
	KindUnavailable Kind = "Unavailable"
	// KindUnknownOutcome means that the response was lost, so that the call may or
	// may not have taken effect.
	KindUnknownOutcome Kind = "UnknownOutcome"
)

// Error is the error type of this package.
type Error struct {
	Err  error
	Kind Kind
	// Op is the operation that failed.
	Op string
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
