package gateway

import (
	"context"
	"time"
)

// discoverMembers reads the rows of the instances in this data centre until it succeeds,
// so that one of them can relay everything else. If there are none, they may all start
// now: it then writes this instance's row, and reads the others' once more. It returns
// when this instance's row is to be written next.
func (g *Gateway) discoverMembers(ctx context.Context, f *tableFollower) (nextHeartbeat time.Time) {
	defer close(g.discovered)
	for attempt := 0; attempt < 2 && ctx.Err() == nil; attempt++ {
		for ctx.Err() == nil {
			err := g.readLocalMembers(ctx)
			f.logAvailability(err)
			if err == nil {
				break
			}
			g.jitteredSleep(ctx, minRetryDelay)
		}
		if attempt > 0 || g.config.RelayClient == nil || g.hasLocalRelay() || g.hasOldMember() {
			return nextHeartbeat
		}
		now := g.config.Clock()
		if written, _ := g.writeOwnRow(ctx, now); written {
			nextHeartbeat = now.Add(heartbeatInterval)
		}
		sleep(ctx, startupPollInterval)
	}
	return nextHeartbeat
}

// readLocalMembers reads the rows of the instances in this data centre.
func (g *Gateway) readLocalMembers(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := g.config.Clock()
	snapshot, err := g.config.Store.Read(readCtx, memberTable, []Partition{memberPartition(g.config.Settings.DataCentre)})
	if err != nil {
		return err
	}
	now := g.config.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.verifiedStoreTime = g.storeClock.StoreTime(g.storeClock.Observe(sent, now, snapshot.StoreTime))
	for _, row := range snapshot.Rows {
		g.observeMember(now, row)
	}
	return nil
}

// hasOldMember reports whether an instance of this data centre, which may be an earlier
// run of this one, has started long before now. Then nothing is gained by waiting for the
// rows of others.
func (g *Gateway) hasOldMember() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members.members {
		if g.members.isLive(m) && g.members.verifiedStoreTime-m.row.Since >= relayStartSpread {
			return true
		}
	}
	return false
}

// hasLocalRelay reports whether another instance in this data centre relays the tables.
func (g *Gateway) hasLocalRelay() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.members.relayCandidates(g.config.Settings.DataCentre)) >= minLocalRelayGroup &&
		g.members.relayFor(g.config.Settings.DataCentre) != g.members.self
}
