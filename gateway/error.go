package gateway

import "fmt"

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindHistory means that the store no longer has the requested changes.
	KindHistory Kind = "History"
	// KindInvalid means that an entry, setting or request is invalid.
	KindInvalid Kind = "Invalid"
	// KindNotDone means that the call definitely had no effect.
	KindNotDone Kind = "NotDone"
	// KindUnknown means that the call may have taken effect, or may still do so.
	KindUnknown Kind = "Unknown"
)

// Error is the error type of this package. Implementations of its interfaces
// return it as well.
type Error struct {
	// Err is the cause, or nil.
	Err  error
	Kind Kind
	// Op is the operation that failed.
	Op string
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error {
	return e.Err
}
