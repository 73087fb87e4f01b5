// Package session implements a caller's session: admission, routing,
// transactions, session variables, prepared statements, retries and outcomes. It
// is independent of the wire protocol. The protocol front end decodes messages
// into Statements and encodes Results, and backend connections encode Commands
// and decode Replies.
package session

import "github.com/nutmegpier/nutmegpier/fleet"

// StatementKind is the type of a statement.
type StatementKind string

// Kinds of statements.
const (
	// StatementBegin starts a read-write transaction.
	StatementBegin StatementKind = "Begin"
	// StatementBeginRead starts a read-only transaction.
	StatementBeginRead StatementKind = "BeginRead"
	// StatementCommit commits the transaction.
	StatementCommit StatementKind = "Commit"
	// StatementDeallocate removes a prepared statement.
	StatementDeallocate StatementKind = "Deallocate"
	// StatementExecute runs a prepared statement.
	StatementExecute StatementKind = "Execute"
	// StatementPrepare defines a named read or write statement.
	StatementPrepare StatementKind = "Prepare"
	// StatementRead reads one item.
	StatementRead StatementKind = "Read"
	// StatementReset clears the session variables and prepared statements of a
	// backend connection. Callers don't send it.
	StatementReset StatementKind = "Reset"
	// StatementRollback rolls the transaction back.
	StatementRollback StatementKind = "Rollback"
	// StatementSet sets a session variable.
	StatementSet StatementKind = "Set"
	// StatementWrite writes one item.
	StatementWrite StatementKind = "Write"
)

// StatementID identifies one request of a caller. It is empty for statements
// that the instance sends on its own behalf.
type StatementID string

// Template is the definition of a prepared statement.
type Template struct {
	// Body is the text of the statement without its arguments.
	Body string
	// Write says whether the statement writes.
	Write bool
}

// Statement is one request of a caller.
type Statement struct {
	// Arguments are the arguments of an Execute, as the caller sent them.
	Arguments string
	ID        StatementID
	Kind      StatementKind
	// Name is the name of the session variable or prepared statement.
	Name string
	// Template is the definition that a Prepare gives to Name.
	Template Template
	// Text is the statement as the caller sent it. Read, Write and Commit are
	// forwarded to the server unchanged.
	Text string
	// Value is the value that a Set gives to Name.
	Value string
}

// Command is one statement that is sent to a backend server.
type Command struct {
	Statement
	// MinPosition is the log position that the server must have applied before it
	// runs the statement, or zero.
	MinPosition fleet.Position
}

// Reply is a backend server's answer to a successful command.
type Reply struct {
	// Position is the end of the server's log after the command ran.
	Position fleet.Position
	Rows     []string
	// Signature is the server's proof that it ran the command. It is passed on to
	// the caller.
	Signature string
}

// State is the state of a session between requests.
type State string

// States of a session.
const (
	// StateFailed means that the transaction failed. Only Commit and Rollback are
	// accepted, and both end it without effect.
	StateFailed State = "Failed"
	// StateIdle means that no transaction is open.
	StateIdle State = "Idle"
	// StateTransaction means that a transaction is open.
	StateTransaction State = "Transaction"
)

// Result is the answer to one request.
type Result struct {
	// Err is nil if the request succeeded.
	Err *Error
	// Position is the latest log position that the session received from a
	// server, or zero.
	Position fleet.Position
	Rows     []string
	// Signature is empty for statements that the session answers itself.
	Signature string
	State     State
}
