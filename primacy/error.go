package primacy

import "fmt"

// Kind classifies an Error.
type Kind string

// KindMalformed means that a record or a leader row can't be parsed.
const KindMalformed Kind = "Malformed"

// Error is the error type of this package.
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
		return fmt.Sprintf("primacy: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("primacy: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
