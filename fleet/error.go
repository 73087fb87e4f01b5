package fleet

// Kind classifies an Error.
type Kind string

// KindMalformed means that a text can't be parsed.
const KindMalformed Kind = "Malformed"

// Error is the error type of this package.
type Error struct {
	Err  error
	Kind Kind
	// Op is the operation that failed.
	Op string
}

// Error returns the operation and the cause.
func (e *Error) Error() string {
	return "fleet: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
