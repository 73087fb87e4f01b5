package datagram

import "fmt"

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindInvalid means that the request can't be sent.
	KindInvalid Kind = "Invalid"
	// KindUnreachable means that no answer came. The request may have arrived.
	KindUnreachable Kind = "Unreachable"
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
