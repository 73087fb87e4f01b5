package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/owner"
	"github.com/nutmegpier/nutmegpier/relay"
	"github.com/nutmegpier/nutmegpier/usage"
)

const (
	// usageGrace is how long after the end of a window it counts as complete, so that
	// the responses of its last statements have arrived.
	usageGrace = 150 * time.Millisecond
	// usageKeepsPerWindow is how often in a window an instance sends its counts to its
	// keeper. A crash loses what was counted since then: of one of four data centres, at
	// most a quarter of a sixth of a window, which is less than the tolerance of 5%.
	usageKeepsPerWindow = 6
	// usageKeepTimeout is the timeout of a call to the keeper.
	usageKeepTimeout = 300 * time.Millisecond
	// usageKeeperBackoff is how long a keeper that did not answer is not called.
	usageKeeperBackoff = 3 * time.Second
	// usageSilentKeeps is the number of intervals without a call after which the keeper
	// writes the row of an instance. When instances crash one after another, the keeper
	// may be the next one.
	usageSilentKeeps = 2
	// usageWriteRetry is the delay after a failed write of the row.
	usageWriteRetry = 400 * time.Millisecond
	// maxKeptRows bounds the memory of a keeper.
	maxKeptRows = 1024
	// maxUsageRowBytes is less than the store takes for a row.
	maxUsageRowBytes = 60_000
)

// keptUsage is a row with counts that another instance has left here.
type keptUsage struct {
	receivedAt time.Time
	write      Write
}

// maintainUsageRow writes this instance's counts at the end of each window, sends them to
// the keeper a few times within it, and writes the rows that this instance keeps for
// others that are silent.
func (g *Gateway) maintainUsageRow(ctx context.Context) error {
	u := g.usage
	interval := u.schedule.Length / usageKeepsPerWindow
	var nextKeep, nextWrite time.Time
	leftAtKeeper := false
	for sleep(ctx, usageTick) {
		now := g.config.Clock()
		g.updateTrueTime(now)
		trueNow, known := u.trueTime(now)
		if !known {
			continue
		}
		u.mu.Lock()
		u.counter.Advance(u.schedule.Window(trueNow.Add(-usageGrace)))
		unwritten := u.counter.Unwritten()
		u.mu.Unlock()
		if unwritten && !now.Before(nextWrite) {
			if !g.writeOwnUsage(ctx) {
				nextWrite = g.config.Clock().Add(usageWriteRetry)
			}
		}
		if now = g.config.Clock(); !now.Before(nextKeep) {
			nextKeep = now.Add(interval)
			leftAtKeeper = g.sendToKeeper(ctx, leftAtKeeper)
		}
		g.writeKeptUsage(ctx, now, usageSilentKeeps*interval)
	}
	return nil
}

// ownUsageWrite returns the conditional write of this instance's row, and the row.
func (g *Gateway) ownUsageWrite(final bool) (Write, usage.Row) {
	u := g.usage
	u.mu.Lock()
	row, revision := u.counter.Row(final), u.revision
	u.mu.Unlock()
	return g.usageWrite(g.usageKey(), row, revision), row
}

// usageKey returns the key of this instance's row. Each run has a row of its own, because
// the counts of the one before are still needed.
func (g *Gateway) usageKey() string {
	return fmt.Sprintf("%s-%x", g.config.Instance, uint64(g.config.Epoch))
}

// usageWrite returns the conditional write of a row. The oldest windows are left out of a
// row that is too large for the store.
func (g *Gateway) usageWrite(key string, row usage.Row, revision feed.Revision) Write {
	content, err := row.Encode()
	for err == nil && len(content) > maxUsageRowBytes && len(row.Counts) > 1 {
		delete(row.Counts, slices.Min(slices.Collect(maps.Keys(row.Counts))))
		content, err = row.Encode()
	}
	if err != nil {
		g.config.Log.Record(event.EntryRefused, event.Fields{Text: err.Error()})
	}
	return Write{Key: key, Partition: usagePartition, Revision: revision, Table: usageTable, Value: content}
}

// writeOwnUsage writes this instance's row. It reports whether the row is written.
func (g *Gateway) writeOwnUsage(ctx context.Context) bool {
	// The second attempt follows a conflict, which tells the revision.
	for range 2 {
		write, row := g.ownUsageWrite(false)
		result, err := g.writeUsageRow(ctx, write)
		if err != nil {
			return false
		}
		if g.recordUsageWritten(row, result) {
			return true
		}
	}
	return false
}

// recordUsageWritten records the result of a write of this instance's row. It reports
// whether it was applied.
func (g *Gateway) recordUsageWritten(row usage.Row, result WriteResult) bool {
	u := g.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	if result.Applied {
		u.revision = result.Revision
		u.counter.RecordWritten(row)
		return true
	}
	// The response to an earlier write was lost, or the holder has deleted the row.
	u.revision = result.currentRow().Revision
	return false
}

// writeUsageRow writes this instance's row together with those of others if there is a
// relay, and otherwise by itself.
func (g *Gateway) writeUsageRow(ctx context.Context, write Write) (WriteResult, error) {
	peer, found := g.currentRelay(g.config.Clock())
	if !found {
		if g.isRelay() {
			return g.rowBatcher.Write(ctx, write, false)
		}
		return g.write(ctx, write)
	}
	callCtx, cancel := context.WithTimeout(ctx, relayWriteTimeout)
	defer cancel()
	result, err := g.config.RelayClient.WriteRow(callCtx, peer.address, peer.secret, relayUsageWrite(write))
	countRelayCall(err)
	if err == nil {
		return WriteResult{Applied: result.Applied, Current: []CurrentRow{{Row: result.Current, Table: usageTable}}, Revision: result.Revision}, nil
	}
	// The relay may have written the row, and a slow store is not called by all of its
	// instances at once. The membership rows tell soon if the relay is lost.
	return WriteResult{}, &Error{Err: err, Kind: KindUnknown, Op: "write row"}
}

func relayUsageWrite(write Write) relay.RowWrite {
	return relay.RowWrite{Key: write.Key, Partition: string(write.Partition), Revision: write.Revision, Table: string(write.Table), Value: write.Value}
}

// writePeerUsage writes or keeps the row of another instance.
func (g *Gateway) writePeerUsage(ctx context.Context, write relay.RowWrite) (relay.RowWriteResult, error) {
	if write.Key == ledgerKey || write.Partition != string(usagePartition) {
		return relay.RowWriteResult{}, &Error{Err: errors.New("the row is not one with counts"), Kind: KindInvalid, Op: "write row"}
	}
	row := Write{Key: write.Key, Partition: usagePartition, Revision: write.Revision, Table: usageTable, Value: write.Value}
	if write.Hold {
		g.usage.keep(g.config.Clock(), row)
		return relay.RowWriteResult{Applied: true, Revision: write.Revision}, nil
	}
	result, err := g.rowBatcher.Write(ctx, row, false)
	if err != nil {
		return relay.RowWriteResult{}, err
	}
	return relay.RowWriteResult{Applied: result.Applied, Current: result.currentRow(), Revision: result.Revision}, nil
}

// keep keeps the row of another instance, or discards it if the value is empty.
func (u *usageState) keep(now time.Time, write Write) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.kept[write.Key]; len(write.Value) == 0 || (!known && len(u.kept) >= maxKeptRows) {
		delete(u.kept, write.Key)
		return
	}
	u.kept[write.Key] = keptUsage{receivedAt: now, write: write}
}

// keepAgain keeps a row that could not be written, unless the instance has left another
// one here since then.
func (u *usageState) keepAgain(now time.Time, write Write) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, known := u.kept[write.Key]; !known && len(u.kept) < maxKeptRows {
		u.kept[write.Key] = keptUsage{receivedAt: now, write: write}
	}
}

// mergeKeptUsage returns a write of a row together with the counts that are in the store.
func (g *Gateway) mergeKeptUsage(write Write, stored feed.Row) Write {
	row, err := usage.DecodeRow(write.Value)
	known, knownErr := usage.DecodeRow(stored.Value)
	if err != nil || knownErr != nil || stored.Revision == 0 {
		write.Revision = stored.Revision
		return write
	}
	return g.usageWrite(write.Key, row.Merge(known), stored.Revision)
}

// writeKeptUsage writes the rows of instances that have been silent for some time.
func (g *Gateway) writeKeptUsage(ctx context.Context, now time.Time, silence time.Duration) {
	u := g.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	for key, kept := range u.kept {
		if now.Sub(kept.receivedAt) < silence {
			continue
		}
		delete(u.kept, key)
		go func() {
			write := kept.write
			result, err := g.rowBatcher.Write(ctx, write, true)
			if err == nil && !result.Applied {
				// A keeper has written such a row before, perhaps with later counts.
				write = g.mergeKeptUsage(write, result.currentRow())
				result, err = g.rowBatcher.Write(ctx, write, true)
			}
			if (err != nil || !result.Applied) && ctx.Err() == nil {
				u.keepAgain(g.config.Clock(), kept.write)
			}
		}()
	}
}

// sendToKeeper sends to this instance's keeper what is not known to be in the store. If
// there is nothing, it tells the keeper to discard what it has. A failed call is not
// repeated before the next interval. It reports whether the keeper may have something.
func (g *Gateway) sendToKeeper(ctx context.Context, leftAtKeeper bool) bool {
	g.usage.mu.Lock()
	row := g.usage.counter.UnwrittenRow()
	g.usage.mu.Unlock()
	if len(row.Counts) == 0 && !leftAtKeeper {
		return false
	}
	g.mu.Lock()
	keepers := g.members.usageKeepers(g.config.Settings.DataCentre)
	g.mu.Unlock()
	if g.config.RelayClient == nil {
		return false
	}
	// The row has a key of its own, so that it does not replace the instance's own row.
	held := relayUsageWrite(g.usageWrite(g.usageKey()+"-kept", row, 0))
	held.Hold = true
	if len(row.Counts) == 0 {
		held.Value = nil
	}
	for _, peer := range keepers {
		if g.config.Clock().Before(g.usage.keeperSilentUntil[peer.instance]) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, usageKeepTimeout)
		_, err := g.config.RelayClient.WriteRow(callCtx, peer.address, peer.secret, held)
		cancel()
		countRelayCall(err)
		if err == nil {
			return len(row.Counts) > 0
		}
		g.usage.keeperSilentUntil[peer.instance] = g.config.Clock().Add(usageKeeperBackoff)
	}
	return leftAtKeeper
}

// usageKeepers returns the instance that keeps the counts of those in a data centre, and
// the ones that take its place while it does not answer, in order: large ones in other data
// centres if possible, so that they do not fail together with them, and then one here, in
// case that this data centre is cut off.
func (v *memberView) usageKeepers(dataCentre fleet.DataCentre) []relayPeer {
	// Of instances that crash one after another, three may seem to be live.
	const remoteCount, localCount = 4, 1
	var remote, local []owner.Candidate
	for id, row := range v.otherLive() {
		if row.Address == "" || row.Draining {
			continue
		}
		candidate := owner.Candidate{DataCentre: row.DataCentre, Instance: id, ProcessorShare: row.ProcessorShare}
		if row.DataCentre == dataCentre {
			local = append(local, candidate)
		} else {
			remote = append(remote, candidate)
		}
	}
	return append(v.rankKeepers(dataCentre, remote, remoteCount), v.rankKeepers(dataCentre, local, localCount)...)
}

// rankKeepers returns the first keepers among the large candidates.
func (v *memberView) rankKeepers(dataCentre fleet.DataCentre, candidates []owner.Candidate, count int) []relayPeer {
	var instances []fleet.InstanceID
	for _, candidate := range owner.Large(candidates, count) {
		instances = append(instances, candidate.Instance)
	}
	var keepers []relayPeer
	for _, instance := range fleet.Owners("usage "+string(dataCentre), instances, count) {
		row := v.members[instance].row
		keepers = append(keepers, relayPeer{address: row.Address, instance: instance, secret: row.Secret})
	}
	return keepers
}

// leaveUsage writes this instance's last counts at a planned stop. The returned function
// waits for the end of the write.
func (g *Gateway) leaveUsage(ctx context.Context) (wait func()) {
	if g.usage == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 {
			write, row := g.ownUsageWrite(true)
			result, err := g.config.Store.Write(ctx, []Write{write})
			if err != nil {
				g.config.Log.Record(event.StoreUnavailable, event.Fields{Text: "write the last counts at shutdown: " + err.Error()})
				return
			}
			if g.recordUsageWritten(row, result) {
				break
			}
		}
	}()
	return func() { <-done }
}
