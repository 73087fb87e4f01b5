package demo

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindCommand means that a fault command is invalid or cannot be applied.
	KindCommand Kind = "Command"
	// KindStart means that part of the deployment could not be prepared or started.
	KindStart Kind = "Start"
)

// Error is the error type of this package.
type Error struct {
	Err  error
	Kind Kind
	// Op is the operation that failed.
	Op string
}

// Error returns the package name, the operation and the cause.
func (e *Error) Error() string {
	return "demo: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
