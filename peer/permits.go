package peer

import (
	"context"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// PermitUse is how a pool uses the permits for a backend server.
type PermitUse struct {
	// InEffect is the number of permits that the pool may still use: its limit,
	// or the connections over a lowered limit that are still open.
	InEffect int
	// Waiting is the number of requests that wait for a permit.
	Waiting int
}

// ApplyPermits gives the permits held for each server to the pool and takes in
// how the pool uses them. Apply runs under the lock of the controller, so that
// no transfer can give away a permit that the pool is just being given.
func (c *Controller) ApplyPermits(apply func(server fleet.ServerID, permits int) PermitUse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock.Now()
	for _, limit := range c.ledger.PermitLimits() {
		use := apply(limit.Server, c.ledger.Permits(now, limit.Server))
		c.ledger.ReportDemand(limit.Server, use.InEffect, use.Waiting)
	}
	c.refresh()
}

// RequestShares asks the peers for what this instance lacks now.
func (c *Controller) RequestShares(ctx context.Context) error {
	return c.moveShares(ctx)
}

// releasePermits lets the pool give up permits that a peer wants, before the
// ledger gives them away. The lock is held.
func (c *Controller) releasePermits(wanted []PermitAmount) {
	if c.config.ReleasePermits == nil {
		return
	}
	for _, want := range wanted {
		use := c.config.ReleasePermits(want.Server, want.Permits)
		c.ledger.ReportDemand(want.Server, use.InEffect, use.Waiting)
	}
}
