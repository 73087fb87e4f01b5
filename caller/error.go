// Package caller implements the PostgreSQL server protocol for the clients of the
// proxy, which are called callers. It handles startup and authentication, relays
// statements and transactions to backend servers, forwards cancel requests and
// reports the outcome of failed requests.
package caller

import (
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors. Each kind has one SQLSTATE.
const (
	// KindAuthentication means that the key isn't valid for the workspace.
	KindAuthentication Kind = "Authentication"
	// KindBackendLost means that the connection to the backend server was lost, or
	// that no backend server can take the request.
	KindBackendLost Kind = "BackendLost"
	// KindCancelled means that the caller cancelled the request before it ran.
	KindCancelled Kind = "Cancelled"
	// KindClosed means that the proxy ends the session, for example at shutdown,
	// after an idle timeout or because the key was withdrawn.
	KindClosed Kind = "Closed"
	// KindDuplicateStatement means that the session already has a prepared
	// statement of that name.
	KindDuplicateStatement Kind = "DuplicateStatement"
	// KindForbidden means that the workspace isn't allowed this kind of access to
	// the database.
	KindForbidden Kind = "Forbidden"
	// KindIdleTransaction means that the session was idle in a transaction for too
	// long.
	KindIdleTransaction Kind = "IdleTransaction"
	// KindNotServing means that the instance accepts no new work.
	KindNotServing Kind = "NotServing"
	// KindPositionLost means that the session's log position no longer exists on
	// any server.
	KindPositionLost Kind = "PositionLost"
	// KindProtocol means that the caller violated the protocol.
	KindProtocol Kind = "Protocol"
	// KindCapacity means that a limit on connections or queued requests was
	// reached, or that no connection became free before the deadline.
	KindCapacity Kind = "Queue"
	// KindRateExceeded means that the workspace exceeded its request rate.
	KindRateExceeded Kind = "RateExceeded"
	// KindInvalidParameter means that a session token, startup parameter or
	// setting is invalid.
	KindInvalidParameter Kind = "Token"
	// KindUnknownOutcome means that a write may or may not have taken effect.
	KindUnknownOutcome Kind = "Unknown"
	// KindUnknownDatabase means that the database doesn't exist.
	KindUnknownDatabase Kind = "UnknownDatabase"
	// KindUnsupported means that the feature isn't supported, usually because
	// backend connections are shared between sessions.
	KindUnsupported Kind = "Unsupported"
)

// Error is the error type of this package. A Router returns it too, to choose the
// SQLSTATE that the caller gets.
type Error struct {
	// Err is the cause. Its text is sent to the caller.
	Err error
	// Kind classifies the error and determines the SQLSTATE.
	Kind Kind
	// Op is the operation that failed.
	Op string
	// Outcome says whether the request ran. Empty means OutcomeNotRun.
	Outcome Outcome
	// RetryAfter is how long to wait before a retry can succeed, or zero if it
	// isn't known.
	RetryAfter time.Duration
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("caller: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("caller: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// code returns the SQLSTATE of a kind.
func (k Kind) code() string {
	switch k {
	case KindAuthentication:
		return "28P01"
	case KindCancelled:
		return "57014"
	case KindClosed:
		return "57P01"
	case KindDuplicateStatement:
		return "42P05"
	case KindForbidden:
		return "42501"
	case KindIdleTransaction:
		return "25P03"
	case KindNotServing:
		return "57P03"
	case KindProtocol:
		return "08P01"
	case KindCapacity:
		return "53300"
	case KindRateExceeded:
		return "53400"
	case KindInvalidParameter:
		return "22023"
	case KindUnknownOutcome:
		return "40003"
	case KindUnknownDatabase:
		return "3D000"
	case KindUnsupported:
		return "0A000"
	default:
		return "08006"
	}
}

// errorResponse returns the ErrorResponse message for err. An error of another type
// than *Error is reported as KindBackendLost, without its text.
func errorResponse(err error, severity string) *pgproto3.ErrorResponse {
	var proxyErr *Error
	if !errors.As(err, &proxyErr) {
		proxyErr = &Error{Kind: KindBackendLost, Err: errors.New("no backend server can take the request")}
	}
	outcome := proxyErr.Outcome
	if outcome == "" {
		outcome = OutcomeNotRun
	}
	reply := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                proxyErr.Kind.code(),
		Message:             proxyErr.message(),
		Detail:              outcomeDetail(outcome),
	}
	if proxyErr.RetryAfter > 0 {
		reply.Hint = fmt.Sprintf("retry after %d ms", max(1, proxyErr.RetryAfter.Milliseconds()))
	}
	return reply
}

// message returns the text that is sent to the caller.
func (e *Error) message() string {
	if e.Err == nil {
		return string(e.Kind)
	}
	return e.Err.Error()
}
