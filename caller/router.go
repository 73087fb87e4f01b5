package caller

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// Access says what a request does with data.
type Access string

// Accesses of a request.
const (
	// AccessRead only reads, so a replica may serve it.
	AccessRead Access = "Read"
	// AccessWrite may write, so the primary must serve it.
	AccessWrite Access = "Write"
)

// Request asks for a connection on which to run one request or transaction.
type Request struct {
	// Access says whether a replica may serve the request.
	Access Access
	// ArrivedAt is when the request arrived from the caller.
	ArrivedAt time.Time
	// Deadline is when the request must have got a connection.
	Deadline time.Time
	// Exclude is a server that just refused or lost the request, or empty.
	Exclude fleet.ServerID
	// Database is the database that the caller connected to; empty means Group.
	Database fleet.GroupID
	// Group serves the database.
	Group fleet.GroupID
	// MaxAge is the age of data that the read accepts. Zero means none.
	MaxAge time.Duration
	// Priority orders the waiting requests of the workspace; zero goes first.
	Priority int
	// Token is the position that a replica must cover.
	Token Token
	// Workspace is the workspace of the caller.
	Workspace fleet.WorkspaceID
}

// Lease is the use of one backend connection.
type Lease interface {
	// Conn returns the connection.
	Conn() *backend.Conn
	// Primary reports whether the server was chosen as primary of its group.
	Primary() bool
	// Release gives the connection back. An unhealthy connection isn't used again.
	Release(healthy bool)
	// Server returns the id of the server.
	Server() fleet.ServerID
}

// Router chooses servers and hands out connections.
type Router interface {
	// Acquire waits for a connection that fits the request. Errors of type
	// *Error reach the caller with the SQLSTATE of their kind.
	Acquire(ctx context.Context, request Request) (Lease, error)
}

// Barrier finds positions for sessions that bring no token.
type Barrier interface {
	// Barrier returns a position of the group that covers each write that was
	// acknowledged before arrivedAt.
	Barrier(ctx context.Context, group fleet.GroupID, arrivedAt time.Time) (fleet.Position, error)
}

// CommitWaiter finds out whether a commit is durable.
type CommitWaiter interface {
	// AwaitCommit waits until the outcome of a commit at the position is
	// Committed or NotRun, or returns Unknown at its bound.
	AwaitCommit(ctx context.Context, group fleet.GroupID, position fleet.Position) (Outcome, error)
}

// CancelForwarder passes cancel requests to other instances.
type CancelForwarder interface {
	// ForwardCancel passes on a cancel request for a session that isn't here.
	ForwardCancel(ctx context.Context, processID uint32, secret []byte) error
}
