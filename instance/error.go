package instance

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindListen means that a listener could not be opened.
	KindListen Kind = "Listen"
	// KindSettings means that the settings, or a file that they name, cannot be
	// used.
	KindSettings Kind = "Settings"
	// KindStop means that a planned stop did not finish in time.
	KindStop Kind = "Stop"
	// KindUnknownSession means that no instance runs the session.
	KindUnknownSession Kind = "UnknownSession"
)

// Error is the error type of this package.
type Error struct {
	Err  error
	Kind Kind
	// Op is the operation that failed.
	Op string
}

// Error returns the operation and the cause.
func (e *Error) Error() string {
	return "instance: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
