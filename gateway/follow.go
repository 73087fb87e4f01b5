package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/sheet"
)

const (
	// recordTable holds the primary records.
	recordTable Table = "nutmegpier-primaries"
	// recordPartition is the only partition of recordTable, because the records
	// are always read together.
	recordPartition Partition = "primaries"

	// sheetLongPollWait is the long-poll wait for changes of the sheet. Each
	// response verifies that the known sheet is the latest version. The wait leaves
	// time to retry after a lost response within the key lease of 4.5 s.
	sheetLongPollWait = 3000 * time.Millisecond
	// serverLongPollWait is the long-poll wait for backend servers. Their entries
	// need no verification, so it is longer.
	serverLongPollWait = 5 * time.Second
	// serverUpdateSpacing is the pause after an update of the servers. When servers
	// start together they register one after the other within a second, and the
	// pause batches these changes.
	serverUpdateSpacing = 200 * time.Millisecond
	// recordLongPollWait is the long-poll wait for primary records. Each response
	// renews the leases on the primaries, which last for primacy.LeaseTime.
	recordLongPollWait = 3000 * time.Millisecond
)

// followSheet keeps the routing up to date with the latest published sheet.
func (g *Gateway) followSheet(ctx context.Context) error {
	if !waitUntilClosed(ctx, g.discovered) {
		return nil
	}
	f := g.newFollower(g.config.Source.SheetTable(), sheetLongPollWait, "")
	return f.follow(ctx, func(now time.Time, changed []feed.Row) {
		if len(changed) > 0 {
			update, found, err := g.config.Source.Sheet(f.mirror.Rows())
			if err != nil {
				g.config.Log.Record(event.SheetRefused, event.Fields{Text: err.Error()})
				return
			}
			if found {
				g.applySheet(update)
			}
		}
		g.mu.Lock()
		if g.routing != nil {
			g.sheetVerifiedAt = f.mirror.VerifiedAt()
		}
		g.mu.Unlock()
	})
}

// waitUntilClosed waits until a channel is closed. It reports false if the context was
// cancelled first.
func waitUntilClosed(ctx context.Context, channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	case <-ctx.Done():
		return false
	}
}

// applySheet puts a sheet into force unless a newer version is known.
func (g *Gateway) applySheet(update SheetUpdate) {
	g.mu.Lock()
	if g.routing != nil && update.Version < g.routing.Version {
		g.mu.Unlock()
		return
	}
	g.routing = sheet.NewRouting(update.Version, update.Sheet)
	g.updateOutOfService(g.config.Clock())
	g.notifyStateChange()
	g.mu.Unlock()
	g.config.Log.Record(event.SheetInForce, event.Fields{Text: versionText(update.Version)})
	g.updateLimitShares(g.config.Clock())
	g.updatePoolServers()
}

// updateOutOfService records since when each data centre that the sheet takes out of
// service is out. The caller holds g.mu.
func (g *Gateway) updateOutOfService(now time.Time) {
	since := map[fleet.DataCentre]time.Time{}
	for _, dataCentre := range g.routing.OutOfService() {
		since[dataCentre] = now
		if earlier, known := g.outOfServiceSince[dataCentre]; known {
			since[dataCentre] = earlier
		}
	}
	g.outOfServiceSince = since
}

// followServers keeps the registered backend servers up to date.
func (g *Gateway) followServers(ctx context.Context) error {
	if !waitUntilClosed(ctx, g.discovered) {
		return nil
	}
	f := g.newFollower(g.config.Source.ServerTable(), serverLongPollWait, "")
	unchangedUntil := time.Time{}
	return f.follow(ctx, func(now time.Time, changed []feed.Row) {
		for _, row := range changed {
			g.applyServerRow(now, unchangedUntil, row)
		}
		g.markServersRead(now)
		unchangedUntil = f.mirror.VerifiedAt()
		if len(changed) > 0 {
			g.updatePoolServers()
			sleep(ctx, serverUpdateSpacing)
		}
	})
}

// applyServerRow adds or updates the server of a changed row. A server whose row was
// deleted is only marked, and removed by removeMissingServers. A server with a
// malformed entry is removed at once. The row has changed after unchangedUntil, which is
// zero if that isn't known.
func (g *Gateway) applyServerRow(now, unchangedUntil time.Time, row feed.Row) {
	id := fleet.ServerID(row.Key)
	server, err := BackendServer{}, error(nil)
	if !row.Deleted {
		server, err = g.config.Source.Server(row)
	}
	if err != nil {
		g.config.Log.Record(event.EntryRefused, event.Fields{Server: id, Text: err.Error()})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.notifyStateChange()
	known := g.servers[id]
	if row.Deleted {
		if known != nil && known.entryMissingSince.IsZero() {
			known.entryMissingSince = now
		}
		return
	}
	if err != nil {
		g.removeServer(now, id)
		return
	}
	delete(g.unregisteredSince, id)
	lastWritten := &g.members.lastWritten
	if known == nil && (slices.Contains(lastWritten.Unreachable, id) || slices.Contains(lastWritten.Undecided, id)) {
		// A primary has returned. Most instances must say so before it is used again.
		g.requestHeartbeat()
	}
	if known == nil || known.Born != server.Born || known.Address != server.Address {
		g.replaceServer(id)
		known = &backendServer{}
		g.servers[id] = known
		delete(g.health, id)
	}
	if server.Draining && !known.Draining {
		known.drainingSince = unchangedUntil
	}
	known.entryMissingSince = time.Time{}
	known.BackendServer = server
	if known.speed == nil {
		known.speed = g.groupSpeed(server.Group).NewServer(server.Slots)
	}
	known.speed.SetSlots(server.Slots)
	known.coldUntil = now.Add(server.ColdRemaining)
	known.coldLimiter = nil
	if rate := g.coldRate(server.Group); rate > 0 && server.ColdRemaining > 0 {
		known.coldLimiter = &coldRateLimiter{refilledAt: now, rate: rate / float64(g.members.liveCount())}
	}
}

// updatePoolServers passes the registered servers to the connection pool, with the
// number of connections that this instance may hold to each.
func (g *Gateway) updatePoolServers() {
	g.mu.Lock()
	g.updateOwners()
	share := g.demandShare(g.config.Clock())
	live := g.members.liveInstances()
	var servers []pool.Server
	for id, server := range g.servers {
		limit, idle := g.connectionLimits(share, live, server)
		servers = append(servers, pool.Server{Address: server.Address, Group: server.Group, ID: id, Idle: idle, Limit: limit, Slots: server.Slots, Speed: server.speed})
	}
	g.mu.Unlock()
	g.pool.SetServers(g.config.Clock(), servers)
}

// coldRate returns the rate limit, in requests per second over all instances, for a
// server of the group that is slow after its start. Zero means no limit. The caller
// holds g.mu.
func (g *Gateway) coldRate(group fleet.GroupID) float64 {
	if g.routing == nil {
		return 0
	}
	return g.routing.Database(group).ColdRate
}

// connectionBudget returns the number of connections that all instances together may
// hold to one server of the group. Zero means that it is unknown. The caller holds
// g.mu.
func (g *Gateway) connectionBudget(group fleet.GroupID) int {
	if g.routing == nil {
		return 0
	}
	return g.routing.Database(group).Connections
}

// followRecords keeps the primary records up to date. It starts once this instance's
// row has been written, because a change of primary does not wait for an instance
// without a row.
func (g *Gateway) followRecords(ctx context.Context) error {
	if !waitUntilClosed(ctx, g.joined) || !waitUntilClosed(ctx, g.discovered) {
		return nil
	}
	f := g.newFollower(recordTable, recordLongPollWait, recordPartition)
	g.mu.Lock()
	g.recordFollower = f
	g.mu.Unlock()
	return f.follow(ctx, func(now time.Time, changed []feed.Row) {
		for _, row := range changed {
			if row.Deleted {
				continue
			}
			record, err := primacy.Decode(row.Value)
			if err != nil {
				g.config.Log.Record(event.EntryRefused, event.Fields{Text: row.Key + ": decode the primary record: " + err.Error()})
				continue
			}
			g.applyRecord(now, record, row.Revision, f.mirror.VerifiedAt())
		}
		g.markRecordsVerified(f.mirror.VerifiedAt())
	})
}

// applyRecord applies a primary record that was verified as the latest one at the
// given time, or at no known time if that is zero.
func (g *Gateway) applyRecord(now time.Time, record primacy.Record, revision feed.Revision, verifiedAt time.Time) {
	g.mu.Lock()
	state := g.group(record.Group)
	known := state.primaryLease.Record()
	state.primaryLease.Observe(now, record, revision, g.presence.LeaseStart(verifiedAt))
	changed := !known.Equal(state.primaryLease.Record())
	if known.Primary != state.primaryLease.Record().Primary {
		state.primaryKnownAt = now
		g.reportUndecidedPrimaries(now)
	}
	g.notifyStateChange()
	g.mu.Unlock()
	onlyServersChanged := record.Phase == primacy.PhaseServing && record.Generation == known.Generation
	if !changed || onlyServersChanged {
		return
	}
	number := event.PrimaryChanged
	if record.Phase == primacy.PhaseChanging {
		number = event.PrimarySuspected
		// The leader waits until this instance's row confirms that it has stopped
		// using the primary.
		g.requestHeartbeat()
	}
	g.config.Log.Record(number, event.Fields{Database: record.Group, Server: record.Primary, Term: record.Term, Text: string(record.Reason)})
}

// markRecordsVerified records that all known primary records were the latest ones at
// the given time, and extends the leases on the primaries accordingly.
func (g *Gateway) markRecordsVerified(verifiedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.recordsVerifiedAt = verifiedAt
	g.extendPrimaryLeases()
}

// extendPrimaryLeases extends the leases on the primaries from the time at which the
// records were last verified, but no later than the last write of this instance's
// row: a change of primary does not wait for an instance whose row has expired. The
// caller holds g.mu.
func (g *Gateway) extendPrimaryLeases() {
	leaseStart := g.presence.LeaseStart(g.members.recordsVerifiedAt)
	for _, state := range g.groups {
		state.primaryLease.Extend(leaseStart)
	}
}
