package group

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of errors.
const (
	// KindWriteLost means that a write of the session was lost in a change of
	// primary: its position is not part of the group's history.
	KindWriteLost ErrorKind = "Lost"
	// KindNoMajority means that fewer than a majority of the servers responded
	// in time.
	KindNoMajority ErrorKind = "NoMajority"
	// KindNoPrimary means that no responding primary was known in time.
	KindNoPrimary ErrorKind = "NoPrimary"
	// KindStale means that no server had data that was fresh enough in time.
	KindStale ErrorKind = "Stale"
	// KindOutcomeUnknown means that it was not known in time whether a write
	// was committed.
	KindOutcomeUnknown ErrorKind = "Unknown"
)

// Error is the error type of this package.
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
