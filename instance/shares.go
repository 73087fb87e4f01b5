package instance

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/peer"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// peerLimiter implements limiter with the shares of rate limits and connection
// budgets that the peer controller holds for this instance.
type peerLimiter struct {
	peers *peer.Controller
}

var _ limiter = &peerLimiter{}

// Admit decides whether one request is admitted. Before refusing it, Admit
// requests shares from the peers once.
func (l *peerLimiter) Admit(now time.Time, id fleet.WorkspaceID) workspace.Decision {
	if decision := l.peers.Admit(now, id); decision.Admitted {
		return decision
	}
	ctx, cancel := context.WithTimeout(context.Background(), shareRequestTimeout)
	defer cancel()
	return l.peers.AdmitOrRequestShares(ctx, id)
}

// Permits returns the number of connections that may be open to a backend server.
func (l *peerLimiter) Permits(server fleet.ServerID) int {
	return l.peers.Permits(server)
}

// Share returns the share of a workspace's rate limit that this instance holds
// now.
func (l *peerLimiter) Share(id fleet.WorkspaceID) workspace.Share {
	return l.peers.Share(id)
}

// Valid reports whether the validity lease of the instance holds at this time.
func (l *peerLimiter) Valid(now time.Time) bool {
	return l.peers.Valid(now)
}

// shareRequestTimeout bounds how long a request waits for shares from peers.
const shareRequestTimeout = 50 * time.Millisecond
