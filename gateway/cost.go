package gateway

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// connectionOpenCost is twice the time that opening a connection takes,
	// because it also occupies a slot that another request could use.
	connectionOpenCost = 28 * time.Millisecond
	// remoteDataCentreCost makes a server in the local data centre preferred among
	// equals: traffic between data centres is billed and takes a millisecond more.
	remoteDataCentreCost = 3 * time.Millisecond
	// primaryCostFactor steers reads away from the primary, which is the only
	// server that can run writes.
	primaryCostFactor = 2
	// defaultSlots is assumed for a server that does not report how many
	// statements it runs concurrently.
	defaultSlots = 3
	// minLagBackoff and maxLagBackoff bound the exponential backoff during which a
	// replica gets no reads because it lacked a required log position.
	minLagBackoff = 50 * time.Millisecond
	maxLagBackoff = 800 * time.Millisecond
)

// cost estimates how long a request takes on a server, including a penalty for the
// primary and for remote servers. The caller holds g.mu.
func (g *Gateway) cost(now time.Time, server *backendServer, workspace fleet.WorkspaceID, primary bool) time.Duration {
	// The estimate of a slow server's latency returns to the default soon after reads have
	// left it, and contains no failures.
	speed := server.speed.Estimate(now)
	latency := max(server.latency.Estimate(now), speed.ServiceTime)
	slots := server.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	cost := latency + latency*time.Duration(server.inFlight)/time.Duration(slots)
	if primary {
		cost *= primaryCostFactor
	}
	if primary && speed.Slow() {
		// Writes can't avoid a slow primary, so reads leave it first.
		cost = time.Duration(float64(cost) * speed.Relative)
	}
	if server.DataCentre != g.config.Settings.DataCentre {
		cost += remoteDataCentreCost
	}
	if !g.pool.HasIdle(server.ID, workspace) {
		cost += connectionOpenCost
	}
	// Up to 1/8 of random jitter keeps instances with the same view from all
	// choosing the same server.
	return cost + time.Duration(g.random.Float64()*float64(cost)/8)
}

// backOffForLag excludes a replica from reads for a while because it lacked a
// required log position.
func (s *backendServer) backOffForLag(now time.Time) {
	s.lagBackoff = min(maxLagBackoff, max(minLagBackoff, 2*s.lagBackoff))
	s.lagBackoffUntil = now.Add(s.lagBackoff)
}

// allowRead reports whether the server may get another read. While a server is
// slow after its start, this instance sends it at most its share of the cold rate
// that the sheet sets for the database; a call that returns true then uses a token
// of that rate.
func (s *backendServer) allowRead(now time.Time) bool {
	if s.coldLimiter == nil || !now.Before(s.coldUntil) {
		return true
	}
	return s.coldLimiter.allow(now)
}

// coldRateLimiter is a token bucket of one request. It limits the request rate to a
// server that is slow after its start.
type coldRateLimiter struct {
	refilledAt time.Time
	tokens     float64
	// rate is in requests per second.
	rate float64
}

// allow takes a token. It reports false if none is left.
func (l *coldRateLimiter) allow(now time.Time) bool {
	l.tokens = min(1, l.tokens+l.rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
