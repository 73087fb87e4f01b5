package caller

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// Access says whether a request reads or writes.
type Access string

// Kinds of access.
const (
	// AccessRead means that the request only reads, so a replica can serve it.
	AccessRead Access = "Read"
	// AccessWrite means that the request may write or needs the primary for another
	// reason.
	AccessWrite Access = "Write"
)

// Request describes the connection that is needed to run one request or
// transaction.
type Request struct {
	// Access says whether a replica can serve the request.
	Access Access
	// ArrivedAt is when the proxy received the request.
	ArrivedAt time.Time
	// Deadline is when the wait for a connection ends.
	Deadline time.Time
	// Exclude is the server that refused the request or lost its connection in the
	// previous attempt, or empty.
	Exclude fleet.ServerID
	// Database is the database that the caller connected to. Empty means the
	// database named like Group.
	Database fleet.GroupID
	// Group is the group that serves the database.
	Group fleet.GroupID
	// MaxAge is the maximum age of the data that a read returns. Zero means no limit.
	MaxAge time.Duration
	// Priority orders the queued requests of the workspace; lower values go first.
	Priority int
	// Token holds the log positions that a replica must have applied.
	Token Token
	// Workspace is the workspace of the caller.
	Workspace fleet.WorkspaceID
}

// Lease is the exclusive use of one backend connection.
type Lease interface {
	// Conn returns the leased connection.
	Conn() *backend.Conn
	// Primary reports whether the server was the primary of its group when it was
	// selected.
	Primary() bool
	// Release returns the connection. It is not reused if it isn't healthy.
	Release(healthy bool)
	// Server returns the ID of the backend server.
	Server() fleet.ServerID
}

// Router selects servers and leases connections to them.
type Router interface {
	// Acquire waits for a connection that meets the request's needs. An error of
	// type *Error is sent to the caller with the SQLSTATE of its kind.
	Acquire(ctx context.Context, request Request) (Lease, error)
}

// Barrier provides read barriers, for sessions that don't have a token yet.
type Barrier interface {
	// Barrier returns a log position of the group that covers all writes
	// acknowledged before arrivedAt.
	Barrier(ctx context.Context, group fleet.GroupID, arrivedAt time.Time) (fleet.Position, error)
}

// CommitWaiter waits until commits are durable.
type CommitWaiter interface {
	// AwaitCommit waits until it is certain whether the commit at the position is
	// durable, and returns OutcomeCommitted or OutcomeNotRun. If that takes too
	// long, it returns OutcomeUnknown.
	AwaitCommit(ctx context.Context, group fleet.GroupID, position fleet.Position) (Outcome, error)
}

// CancelForwarder forwards cancel requests to other instances.
type CancelForwarder interface {
	// ForwardCancel forwards a cancel request for a session that this instance
	// doesn't serve.
	ForwardCancel(ctx context.Context, processID uint32, secret []byte) error
}
