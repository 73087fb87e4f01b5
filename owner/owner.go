// Package owner runs statements on backend servers for other instances. Where a
// server accepts fewer connections than there are instances, one instance owns the
// servers of a group, and the sessions of all instances share its connections.
package owner

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/session"
)

// LeaseID identifies a lease of one instance at another. It is unique over all
// instances and their restarts.
type LeaseID string

// CallID identifies a call of one instance at another. It is unique over all instances and
// their restarts.
type CallID string

// Request asks an instance to run one batch of a lease.
type Request struct {
	// AuthorizedUntil is Batch.AuthorizedUntil as the store's monotonic time. It is
	// zero if the batch needs no key. Batch.AuthorizedUntil itself is not sent.
	AuthorizedUntil time.Duration
	Batch           session.Batch
	// Call is empty unless the caller may ask whether the batch is still being run.
	Call CallID
	// Deadline is the store's monotonic time after which the caller no longer waits
	// for the response.
	Deadline time.Duration
	// Lease is empty if the only batch of the lease is this one.
	Lease LeaseID
	// Requirements are those of the lease. They are nil after its first batch. Their
	// StartedAt and Deadline are not sent.
	Requirements *session.Requirements
	// RequirementsDeadline is the store's monotonic time at which the statement times
	// out. It is set together with Requirements.
	RequirementsDeadline time.Duration
}

// Response is the result of a Request.
type Response struct {
	// Exclusive is session.Lease.Exclusive when the server had answered.
	Exclusive bool
	// Failure is nil if the batch succeeded. The lease ends with a failure of its
	// first batch.
	Failure *session.RunError
	Reply   session.Reply
	// Server is the backend server that was chosen, or empty.
	Server fleet.ServerID
	// Unavailable says that the called instance can't use the servers of the group
	// now, so that another one should be called. Nothing ran.
	Unavailable bool
}
