// Package caller speaks to callers as a PostgreSQL server: start-up,
// authentication, relay of statements, transactions, cancel and outcomes.
package caller

import (
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindAuthentication means that the key isn't valid for the workspace.
	KindAuthentication Kind = "Authentication"
	// KindBackendLost means that the backend server was lost or none is known.
	KindBackendLost Kind = "BackendLost"
	// KindCancelled means that the caller cancelled the request before it ran.
	KindCancelled Kind = "Cancelled"
	// KindClosed means that the session ends by shutdown or a withdrawn key.
	KindClosed Kind = "Closed"
	// KindDuplicateStatement means that a statement of that name is prepared.
	KindDuplicateStatement Kind = "DuplicateStatement"
	// KindForbidden means that the workspace has no such access to the database.
	KindForbidden Kind = "Forbidden"
	// KindIdleTransaction means that the caller left a transaction idle for too long.
	KindIdleTransaction Kind = "IdleTransaction"
	// KindNotServing means that the instance takes no new work.
	KindNotServing Kind = "NotServing"
	// KindPositionLost means that no server can satisfy the session's position.
	KindPositionLost Kind = "PositionLost"
	// KindProtocol means that the caller broke the protocol.
	KindProtocol Kind = "Protocol"
	// KindCapacity means that the queue is full or the deadline would pass.
	KindCapacity Kind = "Queue"
	// KindRateExceeded means that the workspace is over its rate.
	KindRateExceeded Kind = "RateExceeded"
	// KindInvalidParameter means that a session token or another parameter is malformed.
	KindInvalidParameter Kind = "Token"
	// KindUnknownOutcome means that the outcome of a write isn't known.
	KindUnknownOutcome Kind = "Unknown"
	// KindUnknownDatabase means that there is no such database.
	KindUnknownDatabase Kind = "UnknownDatabase"
	// KindUnsupported means that the statement can't be carried over shared connections.
	KindUnsupported Kind = "Unsupported"
)

// Error is the error type of this package. Routers return it so that callers
// get the SQLSTATE of its kind.
type Error struct {
	// Err is the cause. Its text is shown to the caller.
	Err error
	// Kind classifies the error.
	Kind Kind
	// Op is the operation that failed.
	Op string
	// Outcome says whether the request ran. Empty means NotRun.
	Outcome Outcome
	// RetryAfter is the time after which a retry can succeed, or zero.
	RetryAfter time.Duration
}

// Error returns the text of the error.
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

// response returns the message that reports err to a caller.
func response(err error, severity string) *pgproto3.ErrorResponse {
	var known *Error
	if !errors.As(err, &known) {
		known = &Error{Kind: KindBackendLost, Err: errors.New("no backend server can take the request")}
	}
	outcome := known.Outcome
	if outcome == "" {
		outcome = OutcomeNotRun
	}
	answer := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                known.Kind.code(),
		Message:             known.message(),
		Detail:              detail(outcome),
	}
	if known.RetryAfter > 0 {
		answer.Hint = fmt.Sprintf("retry after %d ms", max(1, known.RetryAfter.Milliseconds()))
	}
	return answer
}

func (e *Error) message() string {
	if e.Err == nil {
		return string(e.Kind)
	}
	return e.Err.Error()
}
