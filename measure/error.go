package measure

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindInput means that the options or an input file are invalid.
	KindInput Kind = "Input"
	// KindRun means that a run failed or that its result could not be written.
	KindRun Kind = "Run"
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
	return "measure: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
