package relay

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"connectrpc.com/connect"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindInvalid means that a response can't be decoded or applied.
	KindInvalid Kind = "Invalid"
	// KindRefused means that the instance can't serve the table now.
	KindRefused Kind = "Refused"
	// KindStoreFailed means that the relay's call to the store failed. A row may have
	// been written.
	KindStoreFailed Kind = "StoreFailed"
	// KindUnauthorized means that the request carried a wrong secret.
	KindUnauthorized Kind = "Unauthorized"
	// KindUnavailable means that the instance did not answer.
	KindUnavailable Kind = "Unavailable"
)

// Error is the error type of this package.
type Error struct {
	// Err is the cause.
	Err  error
	Kind Kind
	// Op is the operation that failed.
	Op string
	// RetryAfter is set if the instance can serve the table later, because it is sending
	// whole tables to others.
	RetryAfter time.Duration
}

// Error returns the text of the error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// kindOf returns the kind of an error of a call.
func kindOf(err error) Kind {
	switch connect.CodeOf(err) {
	case connect.CodeFailedPrecondition:
		return KindStoreFailed
	case connect.CodeAborted:
		return KindRefused
	case connect.CodeUnauthenticated:
		return KindUnauthorized
	default:
		return KindUnavailable
	}
}

// retryAfterOf returns when a refused caller may ask again, or zero.
func retryAfterOf(err error) time.Duration {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return 0
	}
	milliseconds, err := strconv.Atoi(connectErr.Meta().Get(retryHeader))
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}
