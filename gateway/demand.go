package gateway

import (
	"time"

	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// demandShare returns the fraction of a shared resource that this instance may use,
// based on its share of the total demand. The caller holds g.mu.
func (g *Gateway) demandShare(now time.Time) float64 {
	ownDemand := g.rateLimits.TotalDemand(now)
	demands := []float64{ownDemand}
	for _, row := range g.members.otherLive() {
		demands = append(demands, row.Demand)
	}
	return workspace.DemandShare(ownDemand, demands)
}

// updateLimitShares recomputes this instance's shares of the workspaces' rate
// limits from the live instances. Each instance computes them from the same rows,
// so that they add up. Until the rows have been read again the shares stay as they
// are, and end with the lease.
func (g *Gateway) updateLimitShares(now time.Time) {
	g.mu.Lock()
	if g.routing == nil {
		g.mu.Unlock()
		return
	}
	verified := !g.members.verifiedAt.IsZero()
	members := append(g.members.otherParticipants(g.storeClock.StoreTime(now)),
		workspace.Member{
			Age:            g.ownRowAge(now),
			DataCentre:     g.config.Settings.DataCentre,
			Instance:       g.members.self,
			Phase:          g.members.participation.EffectivePhase(),
			ProcessorShare: g.config.Settings.ProcessorShare,
		})
	var rateLimits []workspace.Limit
	for id, limit := range g.routing.Limits() {
		rateLimits = append(rateLimits, workspace.Limit{Burst: limit.Burst, Rate: limit.Rate, Workspace: id})
	}
	g.mu.Unlock()
	if !verified {
		g.rateLimits.LocatePools(rateLimits, members)
		return
	}
	g.rateLimits.Divide(now, rateLimits, members)
}

// renewLimitLease extends the lease under which this instance admits operations.
// It starts at the oldest of three times: the last write of this instance's row,
// and the last verifications of the instances' rows and of the sheet.
func (g *Gateway) renewLimitLease(now time.Time) {
	g.mu.Lock()
	// Without a recent read of the rows, other instances may hold these shares by
	// now.
	earliest := g.presence.LastWrite()
	for _, verified := range []time.Time{g.members.verifiedAt, g.sheetVerifiedAt} {
		if verified.Before(earliest) {
			earliest = verified
		}
	}
	g.mu.Unlock()
	g.rateLimits.Renew(now, earliest.Add(primacy.LeaseTime))
}
