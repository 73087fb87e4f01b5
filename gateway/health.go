package gateway

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
)

const (
	// probeTimeout is the timeout of one health check. Network latency is a few
	// milliseconds.
	probeTimeout = 250 * time.Millisecond
	// probeInterval is the time between two checks of a suspected server.
	probeInterval = 120 * time.Millisecond
	// unreachableThreshold is the number of consecutive failed checks after which
	// a server counts as unreachable.
	unreachableThreshold = 3
)

// serverHealth is a server's health as seen by this instance. It is guarded by the
// gateway's mu.
type serverHealth struct {
	// failures counts consecutive failed checks.
	failures int
	// probing is true while the server is checked periodically.
	probing     bool
	unreachable bool
}

// reportFailure starts health checks of a server that did not respond to a request
// or to the opening of a connection.
func (g *Gateway) reportFailure(server fleet.ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startProbing(server)
}

// startProbing starts health checks of a server, which go on until it responds. The
// caller holds g.mu.
func (g *Gateway) startProbing(server fleet.ServerID) {
	if g.servers[server] == nil {
		return
	}
	health := g.health[server]
	if health == nil {
		health = &serverHealth{}
		g.health[server] = health
	}
	health.probing = true
}

// isUnreachable reports whether the server has failed unreachableThreshold
// consecutive checks by this instance. The caller holds g.mu.
func (g *Gateway) isUnreachable(server fleet.ServerID) bool {
	health := g.health[server]
	return health != nil && health.unreachable
}

// isPrimaryUnavailable reports whether this instance can't use a group's primary because
// it is unreachable or gone. The entry of a primary that has become known just now may
// not be known yet. The caller holds g.mu.
func (g *Gateway) isPrimaryUnavailable(now time.Time, state *groupState) bool {
	primary := state.primaryLease.Record().Primary
	isGone := len(g.servers) > 0 && g.isGone(now, primary) && now.Sub(state.primaryKnownAt) >= missingEntryGrace
	return primary != "" && (g.isUnreachable(primary) || isGone)
}

// isPrimaryUndecided reports whether this instance can't say yet whether a group's primary
// is gone: it has no entry, but may get one soon. The caller holds g.mu.
func (g *Gateway) isPrimaryUndecided(now time.Time, state *groupState) bool {
	primary := state.primaryLease.Record().Primary
	return primary != "" && len(g.servers) > 0 && g.servers[primary] == nil && !g.isPrimaryUnavailable(now, state)
}

// runHealthChecks periodically checks the servers that are being probed.
func (g *Gateway) runHealthChecks(ctx context.Context) error {
	for sleep(ctx, probeInterval) {
		for _, server := range g.serversToProbe() {
			go g.probeServer(ctx, server)
		}
	}
	return nil
}

// serversToProbe returns the servers to check now, and discards the health of
// servers that are no longer registered.
func (g *Gateway) serversToProbe() []pool.Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	var servers []pool.Server
	for id, health := range g.health {
		server := g.servers[id]
		if server == nil {
			delete(g.health, id)
			continue
		}
		if health.probing {
			servers = append(servers, pool.Server{Address: server.Address, Group: server.Group, ID: id})
		}
	}
	return servers
}

// probeServer checks one server. If the server becomes unreachable, its idle
// connections are closed and the requests that wait for it fail. A change in either
// direction is logged and reported to the other instances.
func (g *Gateway) probeServer(ctx context.Context, server pool.Server) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	healthy := g.config.Control.Healthy(probeCtx, server)
	if ctx.Err() != nil {
		return
	}
	if changed, unreachable := g.recordProbe(server.ID, healthy); changed {
		number := event.ServerReachable
		if unreachable {
			number = event.ServerUnreachable
			g.pool.Abandon(server.ID)
			g.notifyWitnesses(server)
		}
		g.config.Log.Record(number, event.Fields{Database: server.Group, Server: server.ID})
		g.requestHeartbeat()
	}
}

// recordProbe stores the result of a health check, and reports whether the server
// became reachable or unreachable by it.
func (g *Gateway) recordProbe(server fleet.ServerID, healthy bool) (changed, unreachable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	health := g.health[server]
	if health == nil {
		return false, false
	}
	wasUnreachable := health.unreachable
	if healthy {
		*health = serverHealth{}
	} else {
		health.failures++
		health.unreachable = health.failures >= unreachableThreshold
	}
	if health.unreachable != wasUnreachable {
		g.notifyStateChange()
	}
	return health.unreachable != wasUnreachable, health.unreachable
}

// ReportUnresponsive starts health checks of a server that has not responded to a
// request for a while. It reports whether the server already counts as
// unreachable.
func (g *Gateway) ReportUnresponsive(server fleet.ServerID) bool {
	g.reportFailure(server)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isUnreachable(server)
}
