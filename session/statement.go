// Package session holds the rules of a caller's session: admission, routing,
// transactions, session values, prepared statements, retries and outcomes. It
// knows no wire protocol. A front turns messages into Statements and Results
// into messages; a connection to a backend server does the same for Commands.
package session

import "github.com/nutmegpier/nutmegpier/fleet"

// StatementKind says what a statement does.
type StatementKind string

// Kinds of statements.
const (
	// StatementBegin starts a transaction that may write.
	StatementBegin StatementKind = "Begin"
	// StatementBeginRead starts a transaction that only reads.
	StatementBeginRead StatementKind = "BeginRead"
	// StatementCommit ends a transaction and keeps its writes.
	StatementCommit StatementKind = "Commit"
	// StatementDeallocate drops a prepared statement.
	StatementDeallocate StatementKind = "Deallocate"
	// StatementExecute runs a prepared statement.
	StatementExecute StatementKind = "Execute"
	// StatementPrepare names a read or write for later use.
	StatementPrepare StatementKind = "Prepare"
	// StatementRead reads one item.
	StatementRead StatementKind = "Read"
	// StatementReset drops the values and prepared statements of a server
	// connection. Callers do not send it.
	StatementReset StatementKind = "Reset"
	// StatementRollback ends a transaction and keeps nothing.
	StatementRollback StatementKind = "Rollback"
	// StatementSet sets a value of the session.
	StatementSet StatementKind = "Set"
	// StatementWrite writes one item.
	StatementWrite StatementKind = "Write"
)

// StatementID is the caller's id of one request. Empty means that the
// instance itself sends the statement.
type StatementID string

// Template is what a prepared statement runs.
type Template struct {
	// Shape is the text of the statement without its arguments.
	Text  string
	Write bool
}

// Statement is one request of a caller.
type Statement struct {
	// Arguments are those of an Execute, as the caller sent them.
	Arguments string
	ID        StatementID
	Kind      StatementKind
	// Name is that of a value or of a prepared statement.
	Name string
	// Template is what a Prepare names.
	Template Template
	// Text is the statement as the caller sent it. Read, Write and Commit are
	// passed on without a change.
	Text string
	// Value is what a Set sets.
	Value string
}

// Command is one statement for a backend server.
type Command struct {
	Statement
	// After is the position that the server's log must hold, or zero.
	MinPosition fleet.Position
}

// Reply is a backend server's answer to one command that succeeded.
type Reply struct {
	// Position is the end of the server's log after the command.
	Position fleet.Position
	Rows     []string
	// Signature is the server's proof that it ran the command.
	Signature string
}

// State is the state of a session between requests.
type State string

// States of a session.
const (
	// StateFailed is inside a transaction that can only be ended.
	StateFailed State = "Failed"
	// StateIdle is outside a transaction.
	StateIdle State = "Idle"
	// StateTransaction is inside a transaction.
	StateTransaction State = "Transaction"
)

// Result is the answer to one request.
type Result struct {
	// Err is nil for a success.
	Err *Error
	// Position is the last position that the session has seen, or zero.
	Position fleet.Position
	Rows     []string
	// Signature is empty for statements that the session answers itself.
	Signature string
	State     State
}
