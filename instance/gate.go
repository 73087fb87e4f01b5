package instance

import (
	"time"

	"github.com/nutmegpier/nutmegpier/blackboard"
	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// limiter enforces the shares of rate limits and connection budgets that this
// instance holds.
type limiter interface {
	// Admit decides whether one request fits into the workspace's share.
	Admit(now time.Time, id fleet.WorkspaceID) workspace.Decision
	// Permits returns the number of connections that may be open to a backend
	// server.
	Permits(server fleet.ServerID) int
	// Share returns the share of a workspace's rate limit that this instance holds
	// now.
	Share(id fleet.WorkspaceID) workspace.Share
	// Valid reports whether the validity lease of the instance holds at this time.
	Valid(now time.Time) bool
}

// gate implements caller.AdmissionController: it decides whether a request is admitted.
type gate struct {
	lifecycle       *blackboard.Section[Lifecycle]
	limiter         limiter
	metrics         *metrics
	now             func() time.Time
	dataCentreState *dataCentreState
}

var _ caller.AdmissionController = &gate{}

// Admit decides whether one request of a workspace is admitted.
func (g *gate) Admit(now time.Time, id fleet.WorkspaceID) caller.Decision {
	if !g.isServing(now) {
		g.metrics.refusedNotServing.Add(1)
		return caller.Decision{}
	}
	decision := g.limiter.Admit(now, id)
	if !decision.Admitted && !g.limiter.Valid(g.now()) {
		// The validity lease expired during the decision; the workspace did not
		// exceed its rate.
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

// isServing reports whether requests are served. Requests of open sessions are
// still served while the instance drains, so that no transaction is interrupted.
func (g *gate) isServing(now time.Time) bool {
	switch g.lifecycle.Load() {
	case LifecycleDraining, LifecycleServing:
		return g.limiter.Valid(now) && g.dataCentreState.acceptsRequests(now)
	}
	return false
}
