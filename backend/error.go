// Package backend implements the PostgreSQL client side of the proxy: the session
// connections to backend servers, the pool of these connections, and the control
// connections.
package backend

import "fmt"

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindAuthentication means that authentication failed on this side: the server
	// requested an unsupported method or failed its part of SCRAM. Credentials that
	// the server refuses are a KindServer error.
	KindAuthentication Kind = "Authentication"
	// KindClosed means that a new connection was closed at once, because the server
	// was drained or its address changed while the connection was being opened.
	KindClosed Kind = "Closed"
	// KindConnection means that the connection failed.
	KindConnection Kind = "Connection"
	// KindDeadline means that a request got no connection before its deadline, or
	// was cancelled while it waited.
	KindDeadline Kind = "Deadline"
	// KindProtocol means that the peer violated the protocol.
	KindProtocol Kind = "Protocol"
	// KindQueueFull means that too many requests of the workspace wait for the
	// server.
	KindQueueFull Kind = "QueueFull"
	// KindServer means that the server responded with an error.
	KindServer Kind = "Server"
	// KindUnavailable means that the server is unknown, draining or can't be
	// reached.
	KindUnavailable Kind = "Unavailable"
)

// Error is the error type of this package.
type Error struct {
	// Code is the SQLSTATE of an error response, or empty.
	Code string
	// Err is the cause. It may be nil.
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
