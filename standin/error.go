// Package standin holds stand-ins for the systems that nutmegpier works with:
// groups of database servers that speak PostgreSQL protocol 3, and the
// platform's table, object store and instance list. All run inside the
// process, for tests, demos and measurements, and can simulate faults.
package standin

import "fmt"

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	// KindClosed means that the stand-in was closed.
	KindClosed Kind = "Closed"
	// KindListen means that a listener could not be opened.
	KindListen Kind = "Listen"
	// KindNoPrimary means that no server of the group is a running primary.
	KindNoPrimary Kind = "NoPrimary"
	// KindNotPromised means that the term is not promised to the holder.
	KindNotPromised Kind = "NotPromised"
	// KindOptions means that an option has an invalid value.
	KindOptions Kind = "Options"
	// KindStatement means that a statement failed.
	KindStatement Kind = "Statement"
)

// Error is the error type of this package.
type Error struct {
	// Err is the cause, if there is one.
	Err  error
	Kind Kind
	// Op is the operation that failed.
	Op string
}

// Error returns the text of the error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("standin: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("standin: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// sqlError is an error with a SQLSTATE code that a server sends to its client.
type sqlError struct {
	code    string
	message string
}

// SQLSTATE codes that the servers send.
const (
	codeActiveTransaction  = "25001"
	codeAdminShutdown      = "57P01"
	codeAuthentication     = "28P01"
	codeCheckViolation     = "23514"
	codeDuplicateTable     = "42P07"
	codeFailedTransaction  = "25P02"
	codeFeatureUnsupported = "0A000"
	codeForeignKey         = "23503"
	codeInternal           = "XX000"
	codeInvalidText        = "22P02"
	codeNotNull            = "23502"
	codeNotPromised        = "55000"
	codeProtocol           = "08P01"
	codeQueryCanceled      = "57014"
	codeReadOnly           = "25006"
	codeSerialization      = "40001"
	codeSyntax             = "42601"
	codeTooManyConnections = "53300"
	codeUndefinedColumn    = "42703"
	codeUndefinedFunction  = "42883"
	codeUndefinedObject    = "42704"
	codeUndefinedStatement = "26000"
	codeUndefinedCursor    = "34000"
	codeUndefinedTable     = "42P01"
	codeUnique             = "23505"
)

func newSQLError(code, format string, args ...any) *sqlError {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

// Error returns the text of the error.
func (e *sqlError) Error() string {
	return fmt.Sprintf("%s (SQLSTATE %s)", e.message, e.code)
}
