package event

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindEncode means that events cannot be encoded.
	KindEncode Kind = "Encode"
	// KindMalformed means that a stamp or a snapshot cannot be decoded.
	KindMalformed Kind = "Malformed"
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
	return "event: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
