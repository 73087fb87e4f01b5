package metastore

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindInvalid means that the request or the response is not valid.
	KindInvalid Kind = "Invalid"
	// KindUnavailable means that the service could not be reached, did not respond
	// in time or failed. A write may have taken effect.
	KindUnavailable Kind = "Unavailable"
)

// Error is the error type of this package.
type Error struct {
	// Err is the cause, if there is one.
	Err  error
	Kind Kind
	// Op is the operation that failed.
	Op string
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("metastore: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("metastore: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
