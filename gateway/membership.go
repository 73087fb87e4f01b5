package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/workspace"
)

const (
	// memberTable holds one row for each instance, and the leader's row.
	memberTable Table = "nutmegpier-instances"
	// leaderKey is the key of the leader's row. It can't be the name of an
	// instance, because names begin with a letter or digit.
	leaderKey = ".leader"
	// leaderPartition holds only the leader's row, so that its writes do not wait
	// for those of the instances' rows.
	leaderPartition Partition = "leader"
	// memberPartitionCount is the number of partitions for the instances' rows. A
	// single one can't take the writes of nine instances while the store is forty
	// times slower than usual. Each of them is read at startup, so there are not
	// many more.
	memberPartitionCount = 4

	// heartbeatInterval is the time between two writes of this instance's row. Two
	// intervals fit in the lease, and a failed write is retried sooner.
	heartbeatInterval = 2100 * time.Millisecond
	// conflictRetry is the first retry delay after a failed write, which may have
	// failed only because an earlier one was applied whose response was lost.
	conflictRetry = 100 * time.Millisecond
	// minHeartbeatRetry is the second retry delay after a failed write. It doubles
	// up to heartbeatInterval.
	minHeartbeatRetry = 450 * time.Millisecond
	// minHeartbeatSpacing is the minimum time between two writes.
	minHeartbeatSpacing = 40 * time.Millisecond
	// writeTimeout is the timeout of a write to the store.
	writeTimeout = 1200 * time.Millisecond
	// memberPollInterval is the time between two reads of the instances' rows.
	memberPollInterval = 1500 * time.Millisecond
	// demandUpdateInterval is the time between two updates of this instance's share of
	// the connections from the demands of all instances.
	demandUpdateInterval = 3 * time.Second
	// memberRetention is the age at which the leader deletes the row of an instance
	// that no longer runs. It is much longer than a restart takes.
	memberRetention = time.Minute
	// startupPollInterval replaces memberPollInterval for an instance that is about
	// to hold shares of the rate limits.
	startupPollInterval = 400 * time.Millisecond
	// maxDirectReaders is the number of instances up to which one that is about to hold
	// shares reads the rows from the store itself. At 300 instances, the rows of all would
	// be sent 750 times a second.
	maxDirectReaders = 16
)

// memberPartitions returns all partitions of memberTable.
func memberPartitions() []Partition {
	partitions := []Partition{leaderPartition}
	for i := range memberPartitionCount {
		partitions = append(partitions, Partition("instances-"+strconv.Itoa(i)))
	}
	return partitions
}

// memberPartition returns the partition that holds the rows of a data centre's instances,
// so that their relay can write them in one transaction.
func memberPartition(dataCentre fleet.DataCentre) Partition {
	return Partition("instances-" + strconv.Itoa(int(xxhash.Sum64String(string(dataCentre))%memberPartitionCount)))
}

// maintainMembership periodically writes this instance's row, reads those of the
// others, and renews the leadership and the lease on the rate limits.
func (g *Gateway) maintainMembership(ctx context.Context) error {
	f := g.newFollower(memberTable, 0, memberPartitions()...)
	nextHeartbeat, nextPoll := g.discoverMembers(ctx, f), time.Time{}
	lastPoll, retryDelay := time.Time{}, conflictRetry
	for ctx.Err() == nil {
		now := g.config.Clock()
		if !now.Before(nextHeartbeat) {
			nextHeartbeat = now.Add(heartbeatInterval)
			written, pollNow := g.writeOwnRow(ctx, now)
			if !written {
				nextHeartbeat = now.Add(retryDelay)
				retryDelay = min(max(2*retryDelay, minHeartbeatRetry), heartbeatInterval)
			} else {
				retryDelay = conflictRetry
			}
			if pollNow {
				nextPoll = now
			}
		}
		g.renewLeadership(ctx, g.config.Clock())
		if now = g.config.Clock(); !now.Before(nextPoll) {
			lastPoll, nextPoll = now, now.Add(memberPollInterval)
			err := g.pollMembers(ctx, f)
			f.logAvailability(err)
			if delay, mayRetry := relayRetryDelay(err); mayRetry && delay < memberPollInterval {
				nextPoll = now.Add(delay)
			}
			if err != nil && !f.mirror.Loaded() && f.awaitsNewSecret(err) {
				// The rows of the data centre, one of which is that of the relay, are fewer
				// than all rows. Without them, the next attempt fails like this one.
				_ = g.readLocalMembers(ctx)
				nextPoll = now
			}
			if err == nil {
				phaseChanged, aboutToHold := g.updateParticipation(g.config.Clock(), f.mirror.Revision())
				if phaseChanged {
					nextHeartbeat = now
				}
				if aboutToHold || now.Sub(f.mirror.VerifiedAt()) > memberPollInterval {
					// In the second case the relay is late. At the regular interval, this
					// instance would turn to the store only when its leases end.
					nextPoll = now.Add(startupPollInterval)
				}
				g.pruneMember(ctx)
			}
		}
		g.renewLimitLease(now)
		switch g.waitForRequest(ctx, min(nextHeartbeat.Sub(now), nextPoll.Sub(now))) {
		case heartbeatRequested:
			g.leaveChangingPrimaries(g.config.Clock())
			nextHeartbeat, nextPoll = time.Time{}, time.Time{}
		case readRequested:
			if requested := lastPoll.Add(startupPollInterval); requested.Before(nextPoll) {
				nextPoll = requested
			}
		}
	}
	return nil
}

// leaveChangingPrimaries stops the use of primaries that are being replaced, and
// records the generations for this instance's row. If transactions may still go on
// at a primary, it requests a heartbeat so as to try again shortly.
func (g *Gateway) leaveChangingPrimaries(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, state := range g.groups {
		if state.primaryLease.Record().Phase != primacy.PhaseChanging {
			continue
		}
		generation, confirmed := state.primaryLease.ConfirmLeave(now)
		if !confirmed {
			g.requestHeartbeat()
			continue
		}
		g.members.left[id] = generation
	}
}

// writeOwnRow writes this instance's row. The result written is false if the write
// failed or its outcome is unknown. The result pollNow is true if the phase in the
// row changed, so that the rows must be read again.
func (g *Gateway) writeOwnRow(ctx context.Context, now time.Time) (written, pollNow bool) {
	g.mu.Lock()
	if !g.ownRowValid(now) {
		// Others may have taken over the shares that this instance, or its earlier
		// run, held.
		g.members.participation.Reset()
		g.members.verifiedAt = time.Time{}
	}
	phase, phaseChanged := g.members.participation.NextPhase()
	row := g.buildOwnRow(now, phase)
	write := g.ownRowWrite(row)
	urgent := row.isNews(g.members.lastWritten)
	g.mu.Unlock()
	result, err := g.writeUnlessRequested(ctx, write, urgent)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.logMembershipLost(now, err)
		return false, false
	}
	if !result.Applied {
		for _, row := range result.Current {
			g.members.ownRevision = row.Revision
		}
		return false, false
	}
	g.members.ownRevision = result.Revision
	if phaseChanged {
		g.members.phaseRevision = result.Revision
	}
	g.members.participation.PhaseWritten(phase)
	if row.concernsLeader(g.members.lastWritten) {
		go g.notifyLeader()
	}
	g.members.lastWritten = row
	g.recordOwnRowWritten(now)
	g.extendPrimaryLeases()
	return true, phaseChanged
}

// writeUnlessRequested writes this instance's row. A heartbeat request that arrives while
// the row waits for others ends the write, whose outcome is then unknown, so that the
// newer row can be written at once.
func (g *Gateway) writeUnlessRequested(ctx context.Context, write Write, urgent bool) (WriteResult, error) {
	if urgent {
		return g.writeMemberRow(ctx, write, urgent)
	}
	writeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		err    error
		result WriteResult
	}
	written := make(chan outcome, 1)
	go func() {
		result, err := g.writeMemberRow(writeCtx, write, urgent)
		written <- outcome{err: err, result: result}
	}()
	select {
	case o := <-written:
		return o.result, o.err
	case <-g.heartbeatRequests:
		g.requestHeartbeat()
		return WriteResult{}, &Error{Err: errSuperseded, Kind: KindUnknown, Op: "write row"}
	}
}

// renewLeadership acquires or renews the leader's row when that is due.
func (g *Gateway) renewLeadership(ctx context.Context, now time.Time) {
	g.mu.Lock()
	leader, due := g.members.leadership.Next(now)
	content, err := leader.EncodeLeader()
	write := Write{Key: leaderKey, Partition: leaderPartition, Revision: g.members.leaderRevision, Table: memberTable, Value: content}
	g.mu.Unlock()
	if !due || err != nil {
		return
	}
	result, err := g.write(ctx, write)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		return
	}
	if !result.Applied {
		for _, row := range result.Current {
			g.observeLeader(now, row.Row)
		}
		return
	}
	g.members.leaderRevision = result.Revision
	g.members.leadership.WriteSucceeded(now, leader)
	g.updateLeading(now)
}

// pruneMember deletes the row of one instance that has not written it for
// memberRetention, if this instance is the leader. An instance that returns later
// writes a new row.
func (g *Gateway) pruneMember(ctx context.Context) {
	g.mu.Lock()
	var removal *Write
	for id, m := range g.members.members {
		if g.members.leading && id != g.members.self && g.members.verifiedStoreTime-m.row.At > memberRetention {
			removal = &Write{Key: string(id), Partition: memberPartition(m.row.DataCentre), Remove: true, Revision: m.revision, Table: memberTable}
			break
		}
	}
	g.mu.Unlock()
	if removal == nil {
		return
	}
	// An earlier version of this program wrote rows to other partitions.
	partitions := slices.DeleteFunc(memberPartitions(), func(p Partition) bool { return p == leaderPartition || p == removal.Partition })
	for _, partition := range append([]Partition{removal.Partition}, partitions...) {
		removal.Partition = partition
		result, err := g.write(ctx, *removal)
		if err != nil {
			g.config.Log.Record(event.StoreUnavailable, event.Fields{Text: "delete the row of instance " + removal.Key + ": " + err.Error()})
		}
		if err != nil || result.Applied {
			return
		}
	}
}

// write writes one row in a transaction of its own.
func (g *Gateway) write(ctx context.Context, write Write) (WriteResult, error) {
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return g.config.Store.Write(writeCtx, []Write{write})
}

// logMembershipLost logs, once per outage, that this instance's row was not written
// for longer than its lease. The caller holds g.mu.
func (g *Gateway) logMembershipLost(now time.Time, err error) {
	if g.members.lossLogged || now.Sub(g.presence.LastWrite()) < primacy.LeaseTime {
		return
	}
	g.members.lossLogged = true
	g.config.Log.Record(event.MembershipLost, event.Fields{Text: err.Error()})
}

// recordOwnRowWritten records that a write sent at the given time has written this
// instance's row. The caller holds g.mu.
func (g *Gateway) recordOwnRowWritten(sent time.Time) {
	if g.presence.WriteSucceeded(sent, g.config.Clock()) {
		g.members.lossLogged = false
		g.joinOnce.Do(func() { close(g.joined) })
		if g.recordFollower != nil {
			// Primary records read before the row was visible must not be relied on:
			// read them again now.
			g.recordFollower.interrupt()
		}
		g.config.Log.Record(event.MembershipGained, event.Fields{})
	}
}

// buildOwnRow returns this instance's row as it is to be written now. The caller
// holds g.mu.
func (g *Gateway) buildOwnRow(now time.Time, phase workspace.Phase) MemberRow {
	g.members.heartbeatCount++
	g.members.rowSince = g.ownRowSince(now)
	row := MemberRow{At: g.storeClock.StoreTime(now).Truncate(time.Millisecond), Beat: g.members.heartbeatCount, DataCentre: g.config.Settings.DataCentre, Demand: math.Round(g.rateLimits.TotalDemand(now)), Draining: g.draining, Epoch: g.members.epoch, LinkMegabits: g.config.Settings.LinkMegabits, Phase: phase, ProcessorShare: g.config.Settings.ProcessorShare, Since: g.members.rowSince, WallOffset: g.publishedWallOffset(now)}
	if g.config.PeerTransport != nil {
		row.Address, row.Secret = g.config.PeerTransport.Address(), g.config.PeerTransport.Secret()
	}
	for id, generation := range g.members.left {
		row.Left = append(row.Left, GroupLeft{Generation: generation, Group: id})
	}
	for _, state := range g.groups {
		primary := state.primaryLease.Record().Primary
		switch {
		case g.isPrimaryUnavailable(now, state):
			row.Unreachable = append(row.Unreachable, primary)
		case g.isPrimaryUndecided(now, state):
			row.Undecided = append(row.Undecided, primary)
		}
	}
	slices.SortFunc(row.Left, func(a, b GroupLeft) int { return cmp.Compare(a.Group, b.Group) })
	slices.Sort(row.Undecided)
	slices.Sort(row.Unreachable)
	return row
}

// ownRowWrite returns the conditional write of this instance's row. The caller holds
// g.mu.
func (g *Gateway) ownRowWrite(row MemberRow) Write {
	content, err := json.Marshal(row)
	if err != nil {
		g.config.Log.Record(event.EntryRefused, event.Fields{Text: "encode this instance's row: " + err.Error()})
	}
	return Write{Key: string(g.members.self), Partition: memberPartition(g.config.Settings.DataCentre), Revision: g.members.ownRevision, Table: memberTable, Value: content}
}

// observeLeader processes the leader's row as it was read. A deleted or malformed
// row counts as missing. The caller holds g.mu.
func (g *Gateway) observeLeader(now time.Time, row feed.Row) {
	g.members.leaderRevision = row.Revision
	leader := primacy.Leader{}
	if len(row.Value) > 0 && !row.Deleted {
		var err error
		if leader, err = primacy.DecodeLeader(row.Value); err != nil {
			g.config.Log.Record(event.EntryRefused, event.Fields{Text: leaderKey + ": decode the leader's row: " + err.Error()})
		}
	}
	g.members.leadership.Observe(now, leader)
	g.updateLeading(now)
}

// updateLeading logs a change of whether this instance is the leader. The caller
// holds g.mu.
func (g *Gateway) updateLeading(now time.Time) {
	token, leading := g.members.leadership.Token(now)
	if leading == g.members.leading {
		return
	}
	g.members.leading = leading
	text := "this instance is not the leader"
	if leading {
		text = "this instance is the leader with fencing token " + strconv.FormatUint(uint64(token), 10)
	}
	g.config.Log.Record(event.LeaderChanged, event.Fields{Text: text})
}

// pollMembers reads the rows of the instances and the leader.
func (g *Gateway) pollMembers(ctx context.Context, f *tableFollower) error {
	g.mu.Lock()
	// Instances that start together begin to hold shares at the same moment only if
	// their reads are equally recent. The others wait until they have joined. If they are
	// many, the relay reads for them at the interval of a start.
	needsFreshRead := f.mirror.Loaded() && g.members.participation.NeedsFreshRead()
	f.bypassRelay = needsFreshRead && g.members.liveCount() <= maxDirectReaders
	g.mu.Unlock()
	wait := time.Duration(0)
	if needsFreshRead {
		wait = startupPollInterval
	}
	changed, err := f.fetchWithin(ctx, wait)
	if err != nil {
		return err
	}
	now := g.config.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	liveBefore := g.members.liveCount()
	leaderSeen, membersChanged := false, false
	for _, row := range changed {
		if row.Key == leaderKey {
			leaderSeen = true
			if row.Revision >= g.members.leaderRevision {
				g.observeLeader(now, row)
			}
			continue
		}
		if known := g.members.members[fleet.InstanceID(row.Key)]; row.Deleted && known != nil && !f.mirror.IsNewer(row, known.revision) {
			// The row was written after this copy was read.
			continue
		}
		membersChanged = g.observeMember(now, row) || membersChanged
	}
	if !leaderSeen {
		if row, found := f.mirror.Row(leaderKey); !found {
			g.members.leadership.Observe(now, primacy.Leader{})
		} else if row.Revision >= g.members.leaderRevision {
			g.observeLeader(now, row)
		}
	}
	if tableVerifiedAt := f.mirror.VerifiedAt(); tableVerifiedAt.After(g.members.verifiedAt) {
		g.members.verifiedAt, g.members.verifiedStoreTime = tableVerifiedAt, g.storeClock.StoreTime(tableVerifiedAt)
	}
	g.probeReportedPrimaries()
	// The demands, which also count for the connections, change with each heartbeat.
	overdue := now.Sub(g.poolServersUpdatedAt) >= demandUpdateInterval
	if membersChanged || overdue || g.members.liveCount() != liveBefore {
		g.poolServersUpdatedAt = now
		go g.updatePoolServers()
	}
	return nil
}

// probeReportedPrimaries starts health checks of the primaries that other instances
// can't use, so that an instance with little traffic detects a failure as early as
// they do. The caller holds g.mu.
func (g *Gateway) probeReportedPrimaries() {
	for id, state := range g.groups {
		if primary := state.primaryLease.Record().Primary; g.isWitness(id, g.config.Instance) && g.members.reportedUnreachable(primary) {
			g.startProbing(primary)
		}
	}
}

// observeMember processes the row of an instance as it was read. It reports whether
// anything but the heartbeat and the demand changed. The caller holds g.mu.
func (g *Gateway) observeMember(now time.Time, row feed.Row) (changed bool) {
	id := fleet.InstanceID(row.Key)
	if row.Deleted {
		delete(g.members.members, id)
		return true
	}
	var decoded MemberRow
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		g.config.Log.Record(event.EntryRefused, event.Fields{Text: row.Key + ": decode the row of an instance: " + err.Error()})
		return false
	}
	if id == g.members.self && row.Revision > g.members.ownRevision {
		g.members.ownRevision = row.Revision
		if decoded.Epoch != g.members.epoch {
			g.resumeMembership(now, decoded)
		}
	}
	// The membership and promotion controllers each keep a copy of the table, and
	// one may be behind the other.
	known := g.members.members[id]
	if known != nil && known.revision >= row.Revision {
		return false
	}
	if known != nil && known.row.Epoch != decoded.Epoch {
		// Its failure as a relay was that of its earlier run, whose secret it had.
		delete(g.relayBackoffUntil, id)
	}
	g.members.members[id] = &member{revision: row.Revision, row: decoded}
	return known == nil || known.row.Address != decoded.Address || known.row.Epoch != decoded.Epoch ||
		known.row.Since != decoded.Since || decoded.isNews(known.row)
}

// Leave deletes this instance's row at a planned stop, so that the others take over
// its shares of the rate limits at once and no change of primary waits for it.
func (g *Gateway) Leave(ctx context.Context) {
	g.mu.Lock()
	write := Write{Key: string(g.members.self), Partition: memberPartition(g.config.Settings.DataCentre), Remove: true, Revision: g.members.ownRevision, Table: memberTable}
	g.presence.Reset()
	g.mu.Unlock()
	defer g.leaveUsage(ctx)()
	if _, err := g.config.Store.Write(ctx, []Write{write}); err != nil {
		g.config.Log.Record(event.StoreUnavailable, event.Fields{Text: "delete this instance's row at shutdown: " + err.Error()})
	}
}
