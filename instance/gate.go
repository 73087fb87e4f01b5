package instance

import (
	"time"

	"github.com/nutmegpier/nutmegpier/blackboard"
	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// limits is what the gate needs of the shares that this instance holds.
type limits interface {
	// Admit takes one request from the workspace's share.
	Admit(now time.Time, id fleet.WorkspaceID) workspace.Decision
	// Permits returns the number of connections that may be open to a server.
	Permits(server fleet.ServerID) int
	// Share returns the share of a workspace's limit that is held now.
	Share(id fleet.WorkspaceID) workspace.Share
	// Valid reports whether the instance may serve at this time.
	Valid(now time.Time) bool
}

// gate admits requests while the instance serves.
type gate struct {
	lifecycle *blackboard.Section[Lifecycle]
	limits    limits
	metrics   *metrics
	now       func() time.Time
	service   *service
}

var _ caller.AdmissionController = &gate{}

// Admit decides on one request of a workspace.
func (g *gate) Admit(now time.Time, id fleet.WorkspaceID) caller.Decision {
	if !g.serving(now) {
		g.metrics.refusedNotServing.Add(1)
		return caller.Decision{}
	}
	decision := g.limits.Admit(now, id)
	if !decision.Admitted && !g.limits.Valid(g.now()) {
		// The lease lapsed in between; the workspace is not over its rate.
		g.metrics.refusedNotServing.Add(1)
		return caller.Decision{}
	}
	if counts := g.metrics.workspace(id); decision.Admitted {
		counts.admitted.Add(1)
	} else {
		counts.refused.Add(1)
	}
	return caller.Decision{
		Admitted:   decision.Admitted,
		RetryAfter: decision.RetryAfter,
		Serving:    true,
	}
}

// serving reports whether new work is taken. Requests of open sessions are
// still served while the instance drains, so that no transaction is cut.
func (g *gate) serving(now time.Time) bool {
	switch g.lifecycle.Load() {
	case LifecycleDraining, LifecycleServing:
		return g.limits.Valid(now) && g.service.takesRequests(now)
	}
	return false
}
