package peer

import (
	"context"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// PermitUse describes how the connection pool uses its permits for a backend
// server. One permit allows one connection.
type PermitUse struct {
	// InEffect is the number of permits that the pool may still use: its limit,
	// or the number of open connections while that exceeds a lowered limit.
	InEffect int
	// Waiting is the number of requests that wait for a connection.
	Waiting int
}

// ApplyPermits calls apply with the number of permits held for each server, to
// set the limit of the pool, and records the pool's use of them. Apply runs with
// the controller's lock held, so that no concurrent transfer can give away a
// permit that the pool is about to use. It must not call the controller.
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

// RequestShares asks the peers for the shares that this instance lacks now. It
// returns an error only if the context ended.
func (c *Controller) RequestShares(ctx context.Context) error {
	return c.requestShares(ctx)
}

// releasePermits makes the pool release permits that a peer wants, before the
// ledger transfers them. The caller must hold c.mu.
func (c *Controller) releasePermits(wanted []PermitAmount) {
	if c.config.ReleasePermits == nil {
		return
	}
	for _, want := range wanted {
		use := c.config.ReleasePermits(want.Server, want.Permits)
		c.ledger.ReportDemand(want.Server, use.InEffect, use.Waiting)
	}
}
