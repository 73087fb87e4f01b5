package measure

// Kind says what sort of problem an Error reports.
type Kind string

// Kinds of errors.
const (
	// KindInput is a problem with what the user gave.
	KindInput Kind = "Input"
	// KindRun is a problem during a run.
	KindRun Kind = "Run"
)

// Error is the error of this package.
type Error struct {
	Err  error
	Kind Kind
	Op   string
}

// Error returns the operation and the cause.
func (e *Error) Error() string {
	return "measure: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
