// Package backend speaks to backend servers as a PostgreSQL client. It holds
// the session connections, their pool and the control connection.
package backend

import "fmt"

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindAuthentication means that the server refused the proxy's credentials.
	KindAuthentication Kind = "Authentication"
	// KindClosed means that the pool or the connection is closed.
	KindClosed Kind = "Closed"
	// KindConnection means that the connection failed.
	KindConnection Kind = "Connection"
	// KindDeadline means that a request waited until its deadline.
	KindDeadline Kind = "Deadline"
	// KindProtocol means that the peer broke the protocol.
	KindProtocol Kind = "Protocol"
	// KindQueueFull means that too many requests wait for the server.
	KindQueueFull Kind = "QueueFull"
	// KindServer means that the server answered with an error.
	KindServer Kind = "Server"
	// KindUnavailable means that the server takes no new work.
	KindUnavailable Kind = "Unavailable"
)

// Error is the error type of this package.
type Error struct {
	// Code is the SQLSTATE of a server's answer, or empty.
	Code string
	// Err is the cause.
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
