package gateway

import "fmt"

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindHistory means that the store has forgotten the changes asked for.
	KindHistory Kind = "History"
	// KindInvalid means that an entry or setting isn't acceptable.
	KindInvalid Kind = "Invalid"
	// KindNotDone means that the call certainly had no effect.
	KindNotDone Kind = "NotDone"
	// KindUnknown means that the call may have had an effect, or may have one
	// later.
	KindUnknown Kind = "Unknown"
)

// Error is the error type of this package and of its adapters.
type Error struct {
	// Err is the cause, if there is one.
	Err  error
	Kind Kind
	// Op is the operation that failed.
	Op string
}

// Error returns the text of the error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
