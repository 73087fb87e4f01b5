package group

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// Kinds of errors.
const (
	// KindWriteLost means that a position is not part of the group's history.
	KindWriteLost ErrorKind = "Lost"
	// KindNoMajority means that too few servers answered.
	KindNoMajority ErrorKind = "NoMajority"
	// KindNoPrimary means that no primary was known in time.
	KindNoPrimary ErrorKind = "NoPrimary"
	// KindStale means that no server was fresh enough in time.
	KindStale ErrorKind = "Stale"
	// KindOutcomeUnknown means that the outcome of a write was not known in time.
	KindOutcomeUnknown ErrorKind = "Unknown"
)

// Error is the error of this package.
type Error struct {
	// Err is the cause, if there is one.
	Err  error
	Kind ErrorKind
	// Op is the operation that failed.
	Op string
}

// Error returns the operation, the kind and the cause.
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

var _ error = &Error{}
