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

// admissionController implements caller.AdmissionController. While the instance
// serves requests, it enforces the rate limits of the workspaces.
type admissionController struct {
	lifecycle       *blackboard.Section[Lifecycle]
	limiter         limiter
	metrics         *metrics
	now             func() time.Time
	dataCentreState *dataCentreState
}

var _ caller.AdmissionController = &admissionController{}

// Admit decides whether one request of a workspace is admitted.
func (c *admissionController) Admit(now time.Time, id fleet.WorkspaceID) caller.Decision {
	if !c.isServing(now) {
		c.metrics.refusedNotServing.Add(1)
		return caller.Decision{}
	}
	decision := c.limiter.Admit(now, id)
	if !decision.Admitted && !c.limiter.Valid(c.now()) {
		// The validity lease expired during the decision; the workspace did not
		// exceed its rate.
		c.metrics.refusedNotServing.Add(1)
		return caller.Decision{}
	}
	if counts := c.metrics.workspace(id); decision.Admitted {
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
func (c *admissionController) isServing(now time.Time) bool {
	switch c.lifecycle.Load() {
	case LifecycleDraining, LifecycleServing:
		return c.limiter.Valid(now) && c.dataCentreState.acceptsRequests(now)
	}
	return false
}
