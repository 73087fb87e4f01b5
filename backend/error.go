package backend

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors of control connections.
const (
	// KindConnection means that the connection could not be opened or broke.
	KindConnection Kind = "Connection"
	// KindProtocol means that the server's answer is malformed.
	KindProtocol Kind = "Protocol"
	// KindServer means that the server answered with an error.
	KindServer Kind = "Server"
)

// Error is the error type of this package.
type Error struct {
	// Err is the cause, if there is one.
	Err error
	// Kind classifies the error.
	Kind Kind
	// Op is the operation that failed.
	Op string
}

// Error returns the text of the error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("backend: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("backend: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
