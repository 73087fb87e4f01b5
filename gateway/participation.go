package gateway

import (
	"time"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// updateParticipation updates this instance's participation in the rate limits
// after the instances' rows were read as of a revision, and recomputes the shares. A
// relayed read may be older than the phase in this instance's row, and then tells nothing
// about it. It reports
// whether the phase in this instance's row must change, and whether the instance
// is about to hold shares and so must read the rows again soon.
func (g *Gateway) updateParticipation(now time.Time, revision feed.Revision) (phaseChanged, aboutToHold bool) {
	g.mu.Lock()
	if revision >= g.members.phaseRevision {
		members := g.members.otherParticipants(g.storeClock.StoreTime(now))
		g.members.participation.ObserveMembers(g.ownRowAge(now), members)
	}
	_, phaseChanged = g.members.participation.NextPhase()
	aboutToHold = g.members.participation.NeedsFreshRead()
	g.mu.Unlock()
	g.updateLimitShares(now)
	return phaseChanged, aboutToHold
}

// resumeMembership takes over the row that an earlier run of this instance wrote, if
// its lease has not expired: until then no other instance takes over its shares of
// the rate limits. The row of a run with another data centre or processor share is not
// taken over, because the owners of the pools depend on them, and may change only when an
// instance joins or leaves. The caller holds g.mu.
func (g *Gateway) resumeMembership(now time.Time, row MemberRow) {
	remaining := primacy.LeaseTime - (g.storeClock.StoreTime(now) - row.At)
	samePlace := row.DataCentre == g.config.Settings.DataCentre && row.ProcessorShare == g.config.Settings.ProcessorShare
	if remaining > 0 && samePlace {
		g.members.rowSince, g.members.resumedRowValidUntil = row.Since, now.Add(remaining)
		g.members.participation.Resume(row.Phase)
		g.members.phaseRevision = g.members.ownRevision
	}
}

// ownRowValid reports whether this instance's row, or that of its earlier run, has
// been valid without interruption up to now. The caller holds g.mu.
func (g *Gateway) ownRowValid(now time.Time) bool {
	lastWrite := g.presence.LastWrite()
	return now.Before(g.members.resumedRowValidUntil) || (!lastWrite.IsZero() && now.Sub(lastWrite) < primacy.LeaseTime)
}

// ownRowSince returns the store time since which this instance's row is valid
// without interruption if it is written now. The caller holds g.mu.
func (g *Gateway) ownRowSince(now time.Time) time.Duration {
	if g.ownRowValid(now) {
		return g.members.rowSince
	}
	return g.storeClock.StoreTime(now)
}

// ownRowAge returns how long this instance's row has been valid without
// interruption. The caller holds g.mu.
func (g *Gateway) ownRowAge(now time.Time) time.Duration {
	return g.storeClock.StoreTime(now) - g.ownRowSince(now)
}

// participant returns the instance of a row as a member that shares the rate limits.
func (r MemberRow) participant(id fleet.InstanceID, age time.Duration) workspace.Member {
	return workspace.Member{Age: age, DataCentre: r.DataCentre, Instance: id, Phase: r.Phase, ProcessorShare: r.ProcessorShare}
}

// otherParticipants returns the other live instances, with their ages at the given
// store time.
func (v *memberView) otherParticipants(now time.Duration) []workspace.Member {
	var members []workspace.Member
	for id, row := range v.otherLive() {
		members = append(members, row.participant(id, now-row.Since))
	}
	return members
}
