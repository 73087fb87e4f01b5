package gateway

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
)

const (
	// probeBound bounds one health check. Links take milliseconds.
	probeBound = 250 * time.Millisecond
	// probeInterval is the time between two checks of a server that failed.
	probeInterval = 120 * time.Millisecond
	// failuresToLeave is the number of failures in a row, of requests and
	// checks, after which a server counts as unreachable.
	failuresToLeave = 3
)

// serverHealth is what the instance knows of one server's health. The
// gateway's lock guards it.
type serverHealth struct {
	failures    int
	probing     bool
	unreachable bool
}

// reportFailure notes that a request or opening did not get an answer, and
// has the server checked.
func (g *Gateway) reportFailure(server fleet.ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspect(server)
}

// suspect has a server checked. The caller holds the lock.
func (g *Gateway) suspect(server fleet.ServerID) {
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

// isUnreachable reports whether the server does not answer this instance. The
// caller holds the lock.
func (g *Gateway) isUnreachable(server fleet.ServerID) bool {
	health := g.health[server]
	return health != nil && health.unreachable
}

// isLost reports whether this instance can't use a group's primary, because it
// does not answer or is not registered any more. The caller holds the lock.
func (g *Gateway) isLost(primary fleet.ServerID) bool {
	return primary != "" && (g.isUnreachable(primary) || (len(g.servers) > 0 && g.servers[primary] == nil))
}

// probe checks the servers that failed until they answer.
func (g *Gateway) probe(ctx context.Context) error {
	for pause(ctx, probeInterval) {
		for _, server := range g.probed() {
			go g.check(ctx, server)
		}
	}
	return nil
}

// probed returns the servers that are to be checked now.
func (g *Gateway) probed() []pool.Server {
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

func (g *Gateway) check(ctx context.Context, server pool.Server) {
	bounded, cancel := context.WithTimeout(ctx, probeBound)
	defer cancel()
	healthy := g.config.Control.Healthy(bounded, server)
	if ctx.Err() != nil {
		return
	}
	if changed, unreachable := g.noteCheck(server.ID, healthy); changed {
		number := event.ServerReachable
		if unreachable {
			number = event.ServerUnreachable
			g.pool.CloseIdle(server.ID)
		}
		g.config.Log.Record(number, event.Fields{Database: server.Group, Server: server.ID})
		g.wake()
	}
}

func (g *Gateway) noteCheck(server fleet.ServerID, healthy bool) (changed, unreachable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	health := g.health[server]
	if health == nil {
		return false, false
	}
	before := health.unreachable
	if healthy {
		*health = serverHealth{}
	} else {
		health.failures++
		health.unreachable = health.failures >= failuresToLeave
	}
	if health.unreachable != before {
		g.announce()
	}
	return health.unreachable != before, health.unreachable
}

// ReportUnresponsive notes that a server has not answered a request for a while,
// and reports whether it counts as unreachable.
func (g *Gateway) ReportUnresponsive(server fleet.ServerID) bool {
	g.reportFailure(server)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isUnreachable(server)
}
