// Package group speaks to database groups. It holds what is known of their
// servers, and the decisions on failure detection, promotion, commit evidence,
// freshness and routing.
package group

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Role is the part that a backend server plays in its group.
type Role string

// Roles of a backend server.
const (
	// RoleFenced is a former primary that promised a later term.
	RoleFenced Role = "Fenced"
	// RolePrimary accepts writes for its term.
	RolePrimary Role = "Primary"
	// RoleReplica follows a primary.
	RoleReplica Role = "Replica"
)

// ServerStatus is what a backend server reports of itself at one moment.
type ServerStatus struct {
	// Applied is the end of what reads on the server see.
	Applied fleet.Position
	// ConnectionLimit is the largest number of session connections; zero means unknown.
	ConnectionLimit int
	// Connections is the number of session connections in use.
	Connections int
	// History lists the terms of the server's log.
	History fleet.History
	// Log is the end of the log that the server has received.
	Log fleet.Position
	// PrimaryContact is the time since the server last heard from its primary.
	// It is zero on a primary.
	PrimaryContact time.Duration
	// PromisedTerm is the highest term that the server has promised. It takes
	// no entry and no write of a lower term.
	PromisedTerm fleet.Term
	// PromisedTo is the instance to which PromisedTerm was promised.
	PromisedTo fleet.InstanceID
	// Role is the server's own view of its role.
	Role Role
	// Server is the id of the server.
	Server fleet.ServerID
	// Term is the term that the server follows or leads.
	Term fleet.Term
}

// Control is the control interface of one backend server. Calls are safe to
// repeat. An error says nothing about whether the call took effect.
type Control interface {
	// Fence asks the server to promise the term to the holder, after running
	// write transactions finished or drain has passed. It reports whether the
	// promise was given.
	Fence(ctx context.Context, term fleet.Term, holder fleet.InstanceID, drain time.Duration) (granted bool, status ServerStatus, err error)
	// Promote makes the server the primary of a term that is promised to the holder.
	Promote(ctx context.Context, term fleet.Term, holder fleet.InstanceID) (ServerStatus, error)
	// Status returns the server's current status.
	Status(ctx context.Context) (ServerStatus, error)
	// Wait returns the status when the received log covers the position in its
	// term, when the promised term has passed the position's term, or after
	// the timeout.
	Wait(ctx context.Context, position fleet.Position, timeout time.Duration) (ServerStatus, error)
}
