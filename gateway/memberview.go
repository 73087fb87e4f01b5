package gateway

import (
	"iter"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// memberView is what this instance knows about all instances. It is guarded by the
// gateway's mu.
type memberView struct {
	heartbeatCount uint64
	epoch          fleet.Epoch
	leaderRevision feed.Revision
	leadership     *primacy.Leadership
	// leading is whether this instance was the leader when last checked.
	leading bool
	// left maps a group to the generation of the primary record as of which this
	// instance has stopped using the primary.
	left map[fleet.GroupID]primacy.Generation
	// lossLogged is true once an expiry of this instance's row has been logged.
	lossLogged bool
	// linkMegabits is that of this instance.
	linkMegabits float64
	// members holds the rows of all instances, this one included.
	members     map[fleet.InstanceID]*member
	ownRevision feed.Revision
	// participation decides when this instance holds shares of the rate limits.
	participation *workspace.Participation
	// phaseRevision is the revision as of which this instance's row has its phase.
	phaseRevision feed.Revision
	// verifiedAt is a time at which members was verified to be up to date.
	verifiedAt time.Time
	// verifiedStoreTime is verifiedAt on the store's clock.
	verifiedStoreTime time.Duration
	// recordsVerifiedAt is a time at which the primary records were verified to
	// be up to date.
	recordsVerifiedAt time.Time
	// processorShare is that of this instance.
	processorShare float64
	self           fleet.InstanceID
	// resumedRowValidUntil is when the row written by an earlier run of this
	// instance expires. Until then it counts as this instance's row.
	resumedRowValidUntil time.Time
	// lastWritten is this instance's row as it was last written.
	lastWritten MemberRow
	// rowSince is MemberRow.Since of this instance's row.
	rowSince time.Duration
}

// member is the row of an instance as last read, and its revision in the store.
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

// isLive reports whether the lease of an instance may still be valid.
func (v *memberView) isLive(m *member) bool {
	return !primacy.IsLeaseExpired(v.verifiedStoreTime - m.row.At)
}

// otherLive iterates over the rows of the other live instances.
func (v *memberView) otherLive() iter.Seq2[fleet.InstanceID, MemberRow] {
	return func(yield func(fleet.InstanceID, MemberRow) bool) {
		for id, m := range v.members {
			if id != v.self && v.isLive(m) && !yield(id, m.row) {
				return
			}
		}
	}
}

// liveInstances returns the live instances, this one first.
func (v *memberView) liveInstances() []fleet.InstanceID {
	instances := []fleet.InstanceID{v.self}
	for id := range v.otherLive() {
		instances = append(instances, id)
	}
	return instances
}

// liveCount returns the number of live instances, this one included.
func (v *memberView) liveCount() int {
	return len(v.liveInstances())
}

// reportedUnreachable reports whether another live instance can't use a primary.
func (v *memberView) reportedUnreachable(primary fleet.ServerID) bool {
	for _, row := range v.otherLive() {
		if slices.Contains(row.Unreachable, primary) {
			return true
		}
	}
	return false
}
