package gateway

import (
	"time"

	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// demandPart returns the part of all demand that this instance is asked for.
// The caller holds the lock.
func (g *Gateway) demandPart(now time.Time) float64 {
	own := g.limits.TotalDemand(now)
	all := []float64{own}
	for _, row := range g.members.others() {
		all = append(all, row.Demand)
	}
	return workspace.DemandShare(own, all)
}

// divideLimits sets the parts of the limits from the live instances. Each
// instance computes them from the same rows. Without a new look at the rows they
// stay as they are, until the leases end.
func (g *Gateway) divideLimits(now time.Time) {
	g.mu.Lock()
	if g.routing == nil || g.members.readAt.IsZero() {
		g.mu.Unlock()
		return
	}
	members := append(g.members.participants(g.storeClock.StoreTime(now)),
		workspace.Member{Age: g.ownAge(now), Instance: g.members.self, Phase: g.members.participation.EffectivePhase()})
	var limits []workspace.Limit
	for id, limit := range g.routing.Limits() {
		limits = append(limits, workspace.Limit{Burst: limit.Burst, Rate: limit.Rate, Workspace: id})
	}
	g.mu.Unlock()
	g.limits.Divide(now, limits, members)
}

// renewLimits lets the instance admit while its leases run.
func (g *Gateway) renewLimits(now time.Time) {
	g.mu.Lock()
	// Without a recent look at the rows, others may hold the shares by now.
	until := g.presence.LastWrite()
	for _, proof := range []time.Time{g.members.readAt, g.sheetAt} {
		if proof.Before(until) {
			until = proof
		}
	}
	g.mu.Unlock()
	g.limits.Renew(now, until.Add(primacy.LeaseTime))
}
