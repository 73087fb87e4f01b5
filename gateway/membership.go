package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"iter"
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
	// memberTable holds a row for each instance, and that of the leader.
	memberTable Table = "nutmegpier-instances"
	// leaderKey is the leader's row. No instance has this name, because names
	// begin with a letter or digit.
	leaderKey = ".leader"
	// leaderPartition holds only the leader's row, which must not wait for
	// those of the instances.
	leaderPartition Partition = "leader"
	// memberPartitionCount is the number of partitions for the own rows: one
	// alone can't take the rows of nine instances from a store that is forty
	// times slower than usual, and each is read at a start.
	memberPartitionCount = 4

	// beatInterval is the time between two writes of the own row. Two of them
	// fit in the lease, and a failed one is repeated sooner.
	beatInterval = 2100 * time.Millisecond
	// beatRetry is the first pause after a write that failed.
	beatRetry = 450 * time.Millisecond
	// newsInterval is the least time between two writes.
	newsInterval = 40 * time.Millisecond
	// writeBound bounds a write.
	writeBound = 1200 * time.Millisecond
	// memberPoll is the time between two looks at the other instances.
	memberPoll = 1500 * time.Millisecond
	// memberPrune is the age from which the leader drops the row of an instance
	// that is gone: far longer than a restart takes.
	memberPrune = time.Minute
	// firstPoll is the time between looks of an instance that is about to hold
	// parts of limits.
	firstPoll = 400 * time.Millisecond
)

// GroupLeft says that an instance does not use a group's primary any more.
type GroupLeft struct {
	Generation primacy.Generation
	Group      fleet.GroupID
}

// MemberRow is what an instance tells the others.
type MemberRow struct {
	// Address is where the instance answers questions of others.
	Address string `json:",omitempty"`
	// At is the store's steady time when the row was sent.
	At time.Duration
	// Beat changes with each write.
	Beat       uint64
	DataCentre fleet.DataCentre
	// Demand is in operations a second.
	Demand float64
	Epoch  fleet.Epoch
	Left   []GroupLeft `json:",omitempty"`
	// Phase says whether the instance holds parts of limits.
	Phase workspace.Phase
	// Since is the store's steady time from which the row has been there
	// without a gap.
	Since time.Duration
	// Secret proves that a question comes from a reader of this row.
	Secret []byte `json:",omitempty"`
	// Unreachable holds the primaries that the instance can't use.
	Unreachable []fleet.ServerID `json:",omitempty"`
}

// memberView is what an instance knows of all instances. The gateway's lock
// guards it.
type memberView struct {
	beat       uint64
	epoch      fleet.Epoch
	leaderRev  feed.Revision
	leadership *primacy.Leadership
	leading    bool
	left       map[fleet.GroupID]primacy.Generation
	// lost is true once a lapse of the own row was logged.
	lost    bool
	members map[fleet.InstanceID]*member
	ownRev  feed.Revision
	// participation decides when the instance holds parts of limits.
	participation *workspace.Participation
	// readAt is a moment at which the rows were certainly as they are known.
	readAt time.Time
	// readStore is the same on the store's clock.
	readStore time.Duration
	// recordsAt is the proof of the records of primaries.
	recordsAt time.Time
	self      fleet.InstanceID
	// resumedUntil is until when the row of an earlier run counts as the own.
	resumedUntil time.Time
	// told is the own row as it was last written.
	told MemberRow
	// since is MemberRow.Since of the own row.
	since time.Duration
}

// member is another instance.
type member struct {
	revision feed.Revision
	row      MemberRow
}

func newMemberView(self fleet.InstanceID, epoch fleet.Epoch) memberView {
	return memberView{
		epoch:         epoch,
		leadership:    primacy.NewLeadership(self, epoch),
		left:          map[fleet.GroupID]primacy.Generation{},
		members:       map[fleet.InstanceID]*member{},
		participation: workspace.NewParticipation(),
		self:          self,
	}
}

// memberPartitions returns the partitions of the table of instances.
func memberPartitions() []Partition {
	partitions := []Partition{leaderPartition}
	for i := range memberPartitionCount {
		partitions = append(partitions, Partition("instances-"+strconv.Itoa(i)))
	}
	return partitions
}

// memberPartition returns the partition of an instance's own row.
func memberPartition(id fleet.InstanceID) Partition {
	return Partition("instances-" + strconv.Itoa(int(xxhash.Sum64String(string(id))%memberPartitionCount)))
}

// live reports whether the lease of an instance may still run.
func (v *memberView) live(m *member) bool {
	return !primacy.IsLeaseExpired(v.readStore - m.row.At)
}

// others returns the rows of the other live instances.
func (v *memberView) others() iter.Seq2[fleet.InstanceID, MemberRow] {
	return func(yield func(fleet.InstanceID, MemberRow) bool) {
		for id, m := range v.members {
			if id != v.self && v.live(m) && !yield(id, m.row) {
				return
			}
		}
	}
}

// liveInstances returns the live instances, this one first.
func (v *memberView) liveInstances() []fleet.InstanceID {
	instances := []fleet.InstanceID{v.self}
	for id := range v.others() {
		instances = append(instances, id)
	}
	return instances
}

// liveCount returns the number of live instances, this one included.
func (v *memberView) liveCount() int {
	return len(v.liveInstances())
}

// suspects reports whether another live instance can't use a primary.
func (v *memberView) suspects(primary fleet.ServerID) bool {
	for _, row := range v.others() {
		if slices.Contains(row.Unreachable, primary) {
			return true
		}
	}
	return false
}

// keepMembership writes the own row and reads those of the others.
func (g *Gateway) keepMembership(ctx context.Context) error {
	f := g.newFollower(memberTable, 0, memberPartitions()...)
	for ctx.Err() == nil {
		if err := g.lookAtMembers(ctx, f); err != nil {
			f.note(err)
			g.jitteredPause(ctx, firstRetry)
			continue
		}
		f.note(nil)
		g.participate(g.config.Clock())
		break
	}
	// Instances that start together see each other in the second look.
	nextBeat, nextLook := time.Time{}, g.config.Clock().Add(firstPoll)
	retry := beatRetry
	for ctx.Err() == nil {
		now := g.config.Clock()
		if !now.Before(nextBeat) {
			nextBeat = now.Add(beatInterval)
			written, news := g.beat(ctx, now)
			if !written {
				nextBeat = now.Add(retry)
				retry = min(2*retry, beatInterval)
			} else {
				retry = beatRetry
			}
			if news {
				nextLook = now
			}
		}
		g.lead(ctx, g.config.Clock())
		if now = g.config.Clock(); !now.Before(nextLook) {
			nextLook = now.Add(memberPoll)
			err := g.lookAtMembers(ctx, f)
			f.note(err)
			if err == nil {
				changed, starting := g.participate(g.config.Clock())
				if changed {
					nextBeat = now
				}
				if starting {
					nextLook = now.Add(firstPoll)
				}
				g.prune(ctx)
			}
		}
		g.renewLimits(now)
		if g.awaitNews(ctx, min(nextBeat.Sub(now), nextLook.Sub(now))) {
			g.leaveChanged(g.config.Clock())
			nextBeat, nextLook = time.Time{}, time.Time{}
		}
	}
	return nil
}

// awaitNews waits, and reports whether there is something to tell.
func (g *Gateway) awaitNews(ctx context.Context, span time.Duration) bool {
	if !pause(ctx, newsInterval) {
		return false
	}
	timer := time.NewTimer(max(0, span-newsInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-g.news:
		return true
	case <-timer.C:
		return false
	}
}

// leaveChanged notes which primaries the instance has left. While one can't be
// left yet, it looks again a moment later.
func (g *Gateway) leaveChanged(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, state := range g.groups {
		if state.watch.Record().Phase != primacy.PhaseChanging {
			continue
		}
		generation, confirmed := state.watch.ConfirmLeave(now)
		if !confirmed {
			g.wake()
			continue
		}
		g.members.left[id] = generation
	}
}

// beat writes the own row. Written is false if the row is not known to be
// written. News is true if the rows must be looked at for what it shows.
func (g *Gateway) beat(ctx context.Context, now time.Time) (written, news bool) {
	g.mu.Lock()
	if !g.counts(now) {
		// Others may have taken over what this instance, or its earlier run,
		// held.
		g.members.participation.Reset()
		g.members.readAt = time.Time{}
	}
	phase, changed := g.members.participation.NextPhase()
	row := g.ownRow(now, phase)
	write := g.ownWrite(row)
	g.mu.Unlock()
	result, err := g.write(ctx, write)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.noteMembershipLost(now, err)
		return false, false
	}
	if !result.Applied {
		for _, row := range result.Current {
			g.members.ownRev = row.Revision
		}
		return false, false
	}
	g.members.ownRev = result.Revision
	g.members.participation.PhaseWritten(phase)
	if !slices.Equal(row.Left, g.members.told.Left) || !slices.Equal(row.Unreachable, g.members.told.Unreachable) {
		go g.tellLeader()
	}
	g.members.told = row
	g.noteOwnRow(now)
	g.proveLocked()
	return true, changed
}

// lead takes or renews the leader's row when that is due.
func (g *Gateway) lead(ctx context.Context, now time.Time) {
	g.mu.Lock()
	leader, due := g.members.leadership.Next(now)
	content, err := leader.EncodeLeader()
	write := Write{Key: leaderKey, Partition: leaderPartition, Revision: g.members.leaderRev, Table: memberTable, Value: content}
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
	g.members.leaderRev = result.Revision
	g.members.leadership.WriteSucceeded(now, leader)
	g.noteLeading(now)
}

// prune drops one row of an instance that is gone for good, if this instance
// leads. An instance that comes back writes its row anew.
func (g *Gateway) prune(ctx context.Context) {
	g.mu.Lock()
	var gone *Write
	for id, m := range g.members.members {
		if g.members.leading && id != g.members.self && g.members.readStore-m.row.At > memberPrune {
			gone = &Write{Key: string(id), Partition: memberPartition(id), Remove: true, Revision: m.revision, Table: memberTable}
			break
		}
	}
	g.mu.Unlock()
	if gone == nil {
		return
	}
	if _, err := g.write(ctx, *gone); err != nil {
		g.config.Log.Record(event.StoreUnavailable, event.Fields{Text: "drop row of " + gone.Key + ": " + err.Error()})
	}
}

func (g *Gateway) write(ctx context.Context, write Write) (WriteResult, error) {
	bounded, cancel := context.WithTimeout(ctx, writeBound)
	defer cancel()
	return g.config.Store.Write(bounded, []Write{write})
}

// noteMembershipLost logs once when the own row was not written for long.
func (g *Gateway) noteMembershipLost(now time.Time, err error) {
	if g.members.lost || now.Sub(g.presence.LastWrite()) < primacy.LeaseTime {
		return
	}
	g.members.lost = true
	g.config.Log.Record(event.MembershipLost, event.Fields{Text: err.Error()})
}

// noteOwnRow says that the own row was written by a call sent at a time.
func (g *Gateway) noteOwnRow(sent time.Time) {
	if g.presence.WriteSucceeded(sent, g.config.Clock()) {
		g.members.lost = false
		g.joinOnce.Do(func() { close(g.joined) })
		if g.records != nil {
			// Looks from before the row was there prove nothing.
			g.records.interrupt()
		}
		g.config.Log.Record(event.MembershipGained, event.Fields{})
	}
}

// ownRow returns the own row as it is to be written now. The caller holds the
// lock.
func (g *Gateway) ownRow(now time.Time, phase workspace.Phase) MemberRow {
	g.members.beat++
	g.members.since = g.ownSince(now)
	row := MemberRow{At: g.storeClock.StoreTime(now), Beat: g.members.beat, DataCentre: g.config.Settings.DataCentre, Demand: math.Round(g.limits.TotalDemand(now)), Epoch: g.members.epoch, Phase: phase, Since: g.members.since}
	if g.config.PeerTransport != nil {
		row.Address, row.Secret = g.config.PeerTransport.Address(), g.config.PeerTransport.Secret()
	}
	for id, generation := range g.members.left {
		row.Left = append(row.Left, GroupLeft{Generation: generation, Group: id})
	}
	for _, state := range g.groups {
		if primary := state.watch.Record().Primary; g.isLost(primary) {
			row.Unreachable = append(row.Unreachable, primary)
		}
	}
	slices.SortFunc(row.Left, func(a, b GroupLeft) int { return cmp.Compare(a.Group, b.Group) })
	slices.Sort(row.Unreachable)
	return row
}

func (g *Gateway) ownWrite(row MemberRow) Write {
	content, err := json.Marshal(row)
	if err != nil {
		g.config.Log.Record(event.EntryRefused, event.Fields{Text: "own row: " + err.Error()})
	}
	return Write{Key: string(g.members.self), Partition: memberPartition(g.members.self), Revision: g.members.ownRev, Table: memberTable, Value: content}
}

func (g *Gateway) observeLeader(now time.Time, row feed.Row) {
	g.members.leaderRev = row.Revision
	leader := primacy.Leader{}
	if len(row.Value) > 0 && !row.Deleted {
		var err error
		if leader, err = primacy.DecodeLeader(row.Value); err != nil {
			g.config.Log.Record(event.EntryRefused, event.Fields{Text: leaderKey + ": " + err.Error()})
		}
	}
	g.members.leadership.Observe(now, leader)
	g.noteLeading(now)
}

func (g *Gateway) noteLeading(now time.Time) {
	token, leading := g.members.leadership.Token(now)
	if leading == g.members.leading {
		return
	}
	g.members.leading = leading
	text := "not leading"
	if leading {
		text = "leading with token " + strconv.FormatUint(uint64(token), 10)
	}
	g.config.Log.Record(event.LeaderChanged, event.Fields{Text: text})
}

// lookAtMembers reads what the other instances tell.
func (g *Gateway) lookAtMembers(ctx context.Context, f *follower) error {
	changed, err := f.next(ctx, 0)
	if err != nil {
		return err
	}
	now := g.config.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.members.liveCount()
	leaderSeen := false
	for _, row := range changed {
		if row.Key == leaderKey {
			leaderSeen = true
			if row.Revision >= g.members.leaderRev {
				g.observeLeader(now, row)
			}
			continue
		}
		g.observeMember(now, row)
	}
	if !leaderSeen {
		if row, found := f.mirror.Row(leaderKey); !found {
			g.members.leadership.Observe(now, primacy.Leader{})
		} else if row.Revision >= g.members.leaderRev {
			g.observeLeader(now, row)
		}
	}
	if proof := f.mirror.VerifiedAt(); proof.After(g.members.readAt) {
		g.members.readAt, g.members.readStore = proof, g.storeClock.StoreTime(proof)
	}
	g.checkSuspected()
	if count := g.members.liveCount(); count != before || len(changed) > 0 {
		go g.setPoolServers()
	}
	return nil
}

// checkSuspected checks the primaries that others can't use, so that an
// instance with little traffic does not find out later than they do. The caller
// holds the lock.
func (g *Gateway) checkSuspected() {
	for _, state := range g.groups {
		if primary := state.watch.Record().Primary; g.members.suspects(primary) {
			g.suspect(primary)
		}
	}
}

func (g *Gateway) observeMember(now time.Time, row feed.Row) {
	id := fleet.InstanceID(row.Key)
	if row.Deleted {
		delete(g.members.members, id)
		return
	}
	var decoded MemberRow
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		g.config.Log.Record(event.EntryRefused, event.Fields{Text: row.Key + ": " + err.Error()})
		return
	}
	if id == g.members.self && row.Revision > g.members.ownRev {
		g.members.ownRev = row.Revision
		if decoded.Epoch != g.members.epoch {
			g.resume(now, decoded)
		}
	}
	// Two copies of the table are kept, and one may be behind the other.
	if known := g.members.members[id]; known != nil && known.revision >= row.Revision {
		return
	}
	g.members.members[id] = &member{revision: row.Revision, row: decoded}
}

// Leave drops the own row at a planned stop, so that the others divide the
// limits anew and no change of a primary waits for this instance.
func (g *Gateway) Leave(ctx context.Context) {
	g.mu.Lock()
	write := Write{Key: string(g.members.self), Partition: memberPartition(g.members.self), Remove: true, Revision: g.members.ownRev, Table: memberTable}
	g.presence.Reset()
	g.mu.Unlock()
	if _, err := g.config.Store.Write(ctx, []Write{write}); err != nil {
		g.config.Log.Record(event.StoreUnavailable, event.Fields{Text: "leave: " + err.Error()})
	}
}
