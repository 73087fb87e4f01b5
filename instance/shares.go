package instance

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/peer"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// shares gives the gate the shares of this instance.
type shares struct {
	peers *peer.Controller
}

var _ limits = &shares{}

// Admit decides on one request. Before it refuses, it asks the peers for
// shares once.
func (s *shares) Admit(now time.Time, id fleet.WorkspaceID) workspace.Decision {
	if decision := s.peers.Admit(now, id); decision.Admitted {
		return decision
	}
	ctx, cancel := context.WithTimeout(context.Background(), shareWait)
	defer cancel()
	return s.peers.AdmitOrRequestShares(ctx, id)
}

// Permits returns the number of connections that may be open to a server.
func (s *shares) Permits(server fleet.ServerID) int {
	return s.peers.Permits(server)
}

// Share returns the share of a workspace's limit that is held now.
func (s *shares) Share(id fleet.WorkspaceID) workspace.Share {
	return s.peers.Share(id)
}

// Valid reports whether the instance may serve at this time.
func (s *shares) Valid(now time.Time) bool {
	return s.peers.Valid(now)
}

// shareWait bounds the time that a request waits for shares of peers.
const shareWait = 50 * time.Millisecond
