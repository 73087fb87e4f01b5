package session

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// Requirements is what a statement or transaction asks of a server connection.
type Requirements struct {
	// Avoid holds servers that could not take this request.
	Avoid map[fleet.ServerID]bool
	// Deadline is when the caller's statement times out.
	Deadline time.Time
	// Own is the position of the session's last commit, or zero.
	LastWrite fleet.Position
	Route     sheet.Route
	// Since is when the caller sent the statement or began the transaction.
	StartedAt time.Time
	// Values are those of the session. They must not be changed.
	Variables map[string]string
	Workspace fleet.WorkspaceID
	// Write asks for the primary, whatever the consistency of the route.
	Write bool
}

// Access is what a caller may do now.
type Access struct {
	Route     sheet.Route
	Workspace fleet.WorkspaceID
}

// AccessController decides on callers. Its errors are *Error.
type AccessController interface {
	// Admit takes one operation from the limit of the workspace.
	Admit(now time.Time, workspace fleet.WorkspaceID) *Error
	// Check returns what a caller may do at a time.
	Authorize(now time.Time, credentials Credentials) (Access, *Error)
}

// Router finds server connections.
type Router interface {
	// Acquire returns a connection that is held until Release.
	Acquire(need Requirements) (Lease, *Error)
}

// RunError says how a command ended that did not succeed.
type RunError struct {
	// Kind is KindUnknown if the connection was lost or gave no answer.
	Kind Kind
	// Text is the server's text.
	Text string
}

// Lease is a connection to a backend server that the session holds.
type Lease interface {
	// After is the position that reads must ask for, or zero.
	MinPosition() fleet.Position
	// Exclusive reports whether the server was certainly the only primary from
	// when the statement was sent to now. It is always true for reads of
	// replicas.
	Exclusive(now time.Time) bool
	// Release gives the connection back.
	Release()
	// Run sends commands in one batch and returns the answer to the last. A
	// command before it that fails ends the batch.
	Run(deadline time.Time, commands []Command) (Reply, *RunError)
	// Server names the server.
	Server() fleet.ServerID
	// State is what the connection's server keeps for the session.
	State() *ConnState
}
