package relay

import (
	"fmt"

	"connectrpc.com/connect"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindUnauthorized means that the request carried a wrong secret.
	KindUnauthorized Kind = "Unauthorized"
	// KindUnavailable means that the instance did not answer, or does not read
	// the table from the store.
	KindUnavailable Kind = "Unavailable"
)

// Error is the error type of this package.
type Error struct {
	// Err is the cause.
	Err  error
	Kind Kind
	// Op is the operation that failed.
	Op string
}

// Error returns the text of the error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// kindOf returns the kind of an error of a call.
func kindOf(err error) Kind {
	if connect.CodeOf(err) == connect.CodeUnauthenticated {
		return KindUnauthorized
	}
	return KindUnavailable
}
