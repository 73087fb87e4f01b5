package usage

import "fmt"

// Kind classifies an Error.
type Kind string

// KindMalformed means that a row can't be encoded or parsed.
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
		return fmt.Sprintf("usage: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("usage: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
