package gateway

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// openCost is twice the time in which a connection is opened, because the
	// opening takes the slot of another request as well.
	openCost = 28 * time.Millisecond
	// remoteCost prefers a server in the own data centre among equals: bytes
	// between data centres are paid for, and take a millisecond more.
	remoteCost = 3 * time.Millisecond
	// primaryFactor keeps reads away from the primary, which alone can write.
	primaryFactor = 2
	// defaultSlots is assumed of a server that does not say how many
	// statements it runs at a time.
	defaultSlots = 3
	// firstLagPause and maxLagPause bound how long a replica gets no reads
	// after it lacked a position.
	firstLagPause = 50 * time.Millisecond
	maxLagPause   = 800 * time.Millisecond
)

// cost estimates how long a request takes on a server. The caller holds the
// lock.
func (g *Gateway) cost(now time.Time, server *backendServer, workspace fleet.WorkspaceID, primary bool) time.Duration {
	latency := server.latency.Estimate(now)
	slots := server.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	cost := latency + latency*time.Duration(server.inFlight)/time.Duration(slots)
	if primary {
		cost *= primaryFactor
	}
	if server.DataCentre != g.config.Settings.DataCentre {
		cost += remoteCost
	}
	if !g.pool.HasIdle(server.ID, workspace) {
		cost += openCost
	}
	// A little chance keeps instances with the same view apart.
	return cost + time.Duration(g.random.Float64()*float64(cost)/8)
}

// noteLag keeps reads away from a replica that lacked a position.
func (s *backendServer) noteLag(now time.Time) {
	s.lagBackoff = min(maxLagPause, max(firstLagPause, 2*s.lagBackoff))
	s.lagUntil = now.Add(s.lagBackoff)
}

// warm reports whether the server may get another request, and counts it. A
// server that has just started gets only its part of a stated rate.
func (s *backendServer) warm(now time.Time) bool {
	if s.coldSpent == nil || !now.Before(s.coldUntil) {
		return true
	}
	return s.coldSpent.take(now)
}

// coldBucket bounds the requests a second to a cold server.
type coldBucket struct {
	counted time.Time
	level   float64
	rate    float64
}

func (b *coldBucket) take(now time.Time) bool {
	b.level = min(1, b.level+b.rate*now.Sub(b.counted).Seconds())
	b.counted = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
