package gateway

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/workspace"
)

const (
	// demandGrowth is the factor by which a demand must have grown, demandLeast
	// the growth in operations a second, to be told before the next beat, and
	// demandInterval the least time between such writes. Smaller changes are
	// chance, and are left to the pools of the limits.
	demandGrowth   = 1.5
	demandLeast    = 1.5
	demandInterval = 800 * time.Millisecond
)

// WorkspaceDemand is what one instance is asked for by one workspace.
type WorkspaceDemand struct {
	// Rate is in operations a second.
	Rate      float64
	Workspace fleet.WorkspaceID
}

// demandPart returns the part of all demand that this instance is asked for.
// The caller holds the lock.
func (g *Gateway) demandPart(now time.Time) float64 {
	own := totalDemand(g.limits.demands(now))
	all := []float64{own}
	for id, m := range g.members.members {
		if id != g.members.self && g.members.live(m) {
			all = append(all, totalDemand(m.row.Demand))
		}
	}
	return workspace.DemandShare(own, all)
}

func totalDemand(demands []WorkspaceDemand) float64 {
	total := 0.0
	for _, demand := range demands {
		total += demand.Rate
	}
	return total
}

// divideLimits sets the shares of the limits from what the instances report.
// Each instance computes them from the same rows, its own included, so that
// they add up to one. Without a new look at the rows they stay as they are.
func (g *Gateway) divideLimits(now time.Time) {
	g.mu.Lock()
	if g.routing == nil || g.members.readAt.IsZero() {
		g.mu.Unlock()
		return
	}
	reported := [][]WorkspaceDemand{g.members.ownDemand}
	for id, m := range g.members.members {
		if id != g.members.self && g.members.live(m) {
			reported = append(reported, m.row.Demand)
		}
	}
	sheetLimits := g.routing.Limits()
	g.mu.Unlock()
	g.limits.divide(now, sheetLimits, reported)
}

// noteDemand has the own row written soon if the demand of a workspace that was
// refused is far from what the others know.
func (g *Gateway) noteDemand(now time.Time, id fleet.WorkspaceID) {
	own := g.limits.demandOf(now, id)
	g.mu.Lock()
	defer g.mu.Unlock()
	known := 0.0
	for _, d := range g.members.ownDemand {
		if d.Workspace == id {
			known = d.Rate
		}
	}
	if own > demandGrowth*known+demandLeast && now.Sub(g.presence.At()) >= demandInterval {
		g.wake()
	}
}

// renewLimits lets the instance admit while its leases run.
func (g *Gateway) renewLimits(now time.Time) {
	g.mu.Lock()
	until := g.presence.At()
	if g.sheetAt.Before(until) {
		until = g.sheetAt
	}
	g.mu.Unlock()
	g.limits.renew(now, until.Add(primacy.LeaseTime))
}
