package gateway

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// missingEntryGrace is how long the entry of a server must be missing until the server
// counts as gone. Entries that expired during an outage of the store are back within two
// seconds.
const missingEntryGrace = 2500 * time.Millisecond

// unregisteredRetention is how long it is remembered since when a server has had no entry.
const unregisteredRetention = time.Minute

// markServersRead records that the entries of the servers have been read.
func (g *Gateway) markServersRead(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.serversReadAt.IsZero() {
		g.serversReadAt = now
		g.reportUndecidedPrimaries(now)
	}
}

// reportUndecidedPrimaries requests a write of this instance's row if a primary has no
// entry, so that this instance does not count as one that can use it. The caller holds
// g.mu.
func (g *Gateway) reportUndecidedPrimaries(now time.Time) {
	for _, state := range g.groups {
		if g.isPrimaryUndecided(now, state) {
			g.requestHeartbeat()
		}
	}
}

// isGone reports whether a server has had no entry for missingEntryGrace. An instance
// that has just started waits for as long after its first read, because that may have
// followed an outage of the store. The caller holds g.mu.
func (g *Gateway) isGone(now time.Time, id fleet.ServerID) bool {
	if g.servers[id] != nil || g.serversReadAt.IsZero() {
		return false
	}
	since, known := g.unregisteredSince[id]
	if !known {
		since = g.serversReadAt
	}
	return now.Sub(since) >= missingEntryGrace
}

// reportGonePrimaries requests a write of this instance's row if a primary that it has
// never seen registered has counted as gone only since an earlier time.
func (g *Gateway) reportGonePrimaries(since, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, state := range g.groups {
		if g.isPrimaryUnavailable(now, state) && !g.isPrimaryUnavailable(since, state) {
			g.requestHeartbeat()
			return
		}
	}
}

// removeServer removes a server without a valid entry. The caller holds g.mu.
func (g *Gateway) removeServer(now time.Time, id fleet.ServerID) {
	server := g.servers[id]
	if server == nil {
		return
	}
	since := now
	if !server.entryMissingSince.IsZero() {
		since = server.entryMissingSince
	}
	g.unregisteredSince[id] = since
	g.replaceServer(id)
}

// replaceServer removes a server that has started again under the same ID. The caller
// holds g.mu.
func (g *Gateway) replaceServer(id fleet.ServerID) {
	if server := g.servers[id]; server != nil {
		server.speed.Remove()
		delete(g.servers, id)
	}
}

// removeMissingServers removes the servers whose entry has been missing for
// missingEntryGrace.
func (g *Gateway) removeMissingServers(now time.Time) {
	g.mu.Lock()
	removed := false
	for id, server := range g.servers {
		if !server.entryMissingSince.IsZero() && now.Sub(server.entryMissingSince) >= missingEntryGrace {
			g.removeServer(now, id)
			removed = true
		}
	}
	for id, since := range g.unregisteredSince {
		// Later, the time of the first read says the same.
		if since.Before(now.Add(-unregisteredRetention)) {
			delete(g.unregisteredSince, id)
		}
	}
	if removed {
		g.notifyStateChange()
	}
	g.mu.Unlock()
	if removed {
		g.updatePoolServers()
		g.requestHeartbeat()
	}
}
