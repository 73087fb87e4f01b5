package owner

import "fmt"

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindNotSent means that the request did not reach the called instance, or was
	// refused by it unread. Nothing ran.
	KindNotSent Kind = "NotSent"
	// KindUnknown means that the request may have run.
	KindUnknown Kind = "Unknown"
)

// Error is the error type of this package.
type Error struct {
	Err  error
	Kind Kind
	Op   string
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string {
	return fmt.Sprintf("owner: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
