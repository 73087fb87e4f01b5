package session

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// Requirements describe the backend connection that a statement or transaction
// needs.
type Requirements struct {
	// Avoid holds the servers on which this request was already tried without
	// success.
	Avoid map[fleet.ServerID]bool
	// Deadline is when the statement times out.
	Deadline time.Time
	// LastWrite is the log position of the session's last committed write in the
	// group of the route, or zero. A read must see it.
	LastWrite fleet.Position
	Route     sheet.Route
	// StartedAt is when the caller sent the statement or began the transaction.
	// A read may miss commits that are newer than this time minus the route's
	// maximum age, but no older ones.
	StartedAt time.Time
	// Transaction means that the lease is kept for several statements.
	Transaction bool
	// Variables are the session variables. The map must not be modified.
	Variables map[string]string
	Workspace fleet.WorkspaceID
	// Write requires the primary, whatever the consistency of the route.
	Write bool
}

// Access is the route and workspace that a caller is authorized to use.
type Access struct {
	Authorization Authorization
	Route         sheet.Route
	Workspace     fleet.WorkspaceID
}

// Authorization is the proof that a caller's key is valid. It is zero for a route that
// is open to all.
type Authorization struct {
	// AuthorizedUntil is when the proof ends. The key may have been withdrawn by then.
	AuthorizedUntil time.Time
	// SheetVersion is the version of the sheet that lists the key. The key is still
	// valid after AuthorizedUntil while this is proved to be the newest version.
	SheetVersion fleet.SheetVersion
}

// Admission describes an operation that asks for admission.
type Admission struct {
	// Deadline is when the operation times out.
	Deadline time.Time
	Route    sheet.Route
	// Workspace is empty if the operation is not limited.
	Workspace fleet.WorkspaceID
}

// AccessController authorizes callers and enforces rate limits.
type AccessController interface {
	// Admit counts one operation against the rate limit of the workspace, and may
	// wait for it. It returns an error if the limit is exceeded.
	Admit(now time.Time, admission Admission) *Error
	// Authorize returns the access that the credentials give at time now.
	Authorize(now time.Time, credentials Credentials) (Access, *Error)
	// Reauthorize returns the present authorization for an access that Authorize
	// returned, or an error if the credentials no longer give its workspace. The route
	// of the access stays in force until the end of the statement or transaction.
	Reauthorize(now time.Time, credentials Credentials, access Access) (Authorization, *Error)
}

// Router selects backend servers and provides connections to them.
type Router interface {
	// Acquire returns a connection that meets the requirements. It is reserved
	// until Lease.Release.
	Acquire(requirements Requirements) (Lease, *Error)
}

// RunError describes why a command did not succeed.
type RunError struct {
	// Kind is KindUnknown if the connection was lost before the answer.
	Kind Kind
	// RetryAfter is how long to wait before a retry can succeed, or zero if it
	// isn't known.
	RetryAfter time.Duration
	// Saturated means that the request was refused because the server has more requests
	// than it can serve in time.
	Saturated bool
	// Text is the server's error message, or describes the connection error.
	Text string
}

// Batch is what Lease.Run runs in one call.
type Batch struct {
	// Authorization is compared with the time just before the commands are sent to the
	// server, and they are refused as not run if it has ended. Rollbacks have none.
	Authorization
	// Commands run in order. Commands after a failed one may run as well.
	Commands []Command
	// Final says that the lease will run nothing else, so that the connection can
	// be used for other sessions at once.
	Final bool
	// Template is prepared on the connection first, unless it is nil or already
	// prepared there.
	Template *Template
	// Variables are the session variables that must be set on the connection. The
	// map must not be modified.
	Variables map[string]string
}

// IsRollback reports whether the batch only rolls back a transaction.
func (b Batch) IsRollback() bool {
	return len(b.Commands) == 1 && b.Commands[0].Kind == StatementRollback
}

// Lease is a backend connection that is reserved for one session.
type Lease interface {
	// Exclusive reports whether the server has certainly been the only primary
	// from when the lease was acquired until now. It is always true for a lease
	// on a replica.
	Exclusive(now time.Time) bool
	// Release returns the connection to the pool.
	Release()
	// Run brings the connection to the state that the batch needs, runs its
	// commands, and returns the reply to the last one, or the error of the first
	// one that failed. If the state could not be set, the error has a kind for
	// which nothing ran. A read or begin that is the first command of the lease
	// runs only if the server has a recent enough log.
	Run(deadline time.Time, batch Batch) (Reply, *RunError)
	// Server returns the ID of the server. It is empty if that is not known, which
	// it may be before the first call of Run.
	Server() fleet.ServerID
}
