// Package group monitors and controls database groups. It keeps the known state
// of a group's backend servers and decides on failure detection, promotion, the
// outcome of writes, read freshness and routing.
//
// A group has at most one primary in each term. A server that promised a term
// rejects entries and writes of lower terms. A term is established once a
// majority of servers received entries of it in that term; the log of every
// later primary then contains its history. Where the history of a later term
// leaves the log of an earlier one is the fork point: entries of the earlier
// term beyond it are lost.
package group

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Role is the replication role of a backend server in its group.
type Role string

// Roles of a backend server.
const (
	// RoleFenced is a former primary that promised a later term.
	RoleFenced Role = "Fenced"
	// RolePrimary accepts writes for its term.
	RolePrimary Role = "Primary"
	// RoleReplica replicates the log of a primary.
	RoleReplica Role = "Replica"
)

// ServerStatus is what a backend server reports about itself at one time.
type ServerStatus struct {
	// Applied is the end of the log that the server has applied, so that reads
	// see it.
	Applied fleet.Position
	// ConnectionLimit is the maximum number of session connections; zero means unknown.
	ConnectionLimit int
	// Connections is the number of session connections in use.
	Connections int
	// History lists the terms of the server's log and where each begins.
	History fleet.History
	// Log is the end of the log that the server has received.
	Log fleet.Position
	// PrimaryContact is the time since the server last received anything from
	// its primary. It is zero on a primary.
	PrimaryContact time.Duration
	// PromisedTerm is the highest term that the server has promised. The server
	// accepts no entry and no write of a lower term.
	PromisedTerm fleet.Term
	// PromisedTo is the holder to which PromisedTerm was promised; see
	// PromiseHolder.
	PromisedTo fleet.InstanceID
	// Role is the role that the server reports for itself.
	Role   Role
	Server fleet.ServerID
	// Term is the term that the server follows or leads.
	Term fleet.Term
}

// Control is the control interface of one backend server. Calls are idempotent.
// After an error it is unknown whether the call took effect.
type Control interface {
	// Fence asks the server to promise the term to the holder once its running
	// write transactions have finished or drain has passed. It reports whether
	// the promise was granted.
	Fence(ctx context.Context, term fleet.Term, holder fleet.InstanceID, drain time.Duration) (granted bool, status ServerStatus, err error)
	// Promote makes the server the primary of a term that it promised to the holder.
	Promote(ctx context.Context, term fleet.Term, holder fleet.InstanceID) (ServerStatus, error)
	// Status returns the server's current status.
	Status(ctx context.Context) (ServerStatus, error)
	// Wait returns the status once the server has received the position in the
	// position's term, once it has promised a later term, or after the timeout.
	Wait(ctx context.Context, position fleet.Position, timeout time.Duration) (ServerStatus, error)
}
