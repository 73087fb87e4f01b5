package operator

import "fmt"

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindDenied means that the token does not permit the call.
	KindDenied Kind = "Denied"
	// KindInvalid means that the request was not accepted as it is.
	KindInvalid Kind = "Invalid"
	// KindNotFound means that a sheet version does not exist.
	KindNotFound Kind = "NotFound"
	// KindUnauthenticated means that the token is missing or not known.
	KindUnauthenticated Kind = "Unauthenticated"
	// KindUnavailable means that the call did not take effect.
	KindUnavailable Kind = "Unavailable"
	// KindUnknownOutcome means that the call may have taken effect.
	KindUnknownOutcome Kind = "UnknownOutcome"
)

// Error is the error type of this package.
type Error struct {
	Err  error
	Kind Kind
	// Op is the operation that failed.
	Op string
}

// Error returns operation, kind and cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
