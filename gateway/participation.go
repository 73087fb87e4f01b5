package gateway

import (
	"time"

	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// participate takes in a look at the rows and divides the limits anew. It
// reports whether the own row must show another phase, and whether the instance
// is about to hold parts.
func (g *Gateway) participate(now time.Time) (changed, starting bool) {
	g.mu.Lock()
	members := g.members.participants(g.storeClock.StoreTime(now))
	g.members.participation.ObserveMembers(g.ownAge(now), members)
	_, changed = g.members.participation.NextPhase()
	starting = g.members.participation.NeedsFreshRead()
	g.mu.Unlock()
	g.divideLimits(now)
	return changed, starting
}

// resume takes over the row of an earlier run of the instance, if it still
// counts: no other instance has taken over its parts of the limits.
func (g *Gateway) resume(now time.Time, row MemberRow) {
	left := primacy.LeaseTime - (g.storeClock.StoreTime(now) - row.At)
	if left > 0 {
		g.members.since, g.members.resumedUntil = row.Since, now.Add(left)
		g.members.participation.Resume(row.Phase)
	}
}

// counts reports whether the own row has been there without a gap up to now.
// The caller holds the lock.
func (g *Gateway) counts(now time.Time) bool {
	written := g.presence.LastWrite()
	return now.Before(g.members.resumedUntil) || (!written.IsZero() && now.Sub(written) < primacy.LeaseTime)
}

// ownSince returns since when the own row will have been there without a gap if
// it is written now. The caller holds the lock.
func (g *Gateway) ownSince(now time.Time) time.Duration {
	if g.counts(now) {
		return g.members.since
	}
	return g.storeClock.StoreTime(now)
}

// ownAge returns how long the own row has been there. The caller holds the
// lock.
func (g *Gateway) ownAge(now time.Time) time.Duration {
	return g.storeClock.StoreTime(now) - g.ownSince(now)
}

// participants returns the other live instances at a time of the store.
func (v *memberView) participants(now time.Duration) []workspace.Member {
	var members []workspace.Member
	for id, row := range v.others() {
		members = append(members, workspace.Member{Age: now - row.Since, Instance: id, Phase: row.Phase})
	}
	return members
}
