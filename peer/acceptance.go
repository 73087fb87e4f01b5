package peer

import "github.com/nutmegpier/nutmegpier/fleet"

// Acceptance tracks which members hold a published sheet version, and decides
// when the version is accepted: when a majority holds it. It is not safe for
// concurrent use.
type Acceptance struct {
	// reported holds the newest versions that each member said it holds.
	reported map[Member]Versions
	version  fleet.SheetVersion
}

// NewAcceptance returns an acceptance of the version without any holders.
func NewAcceptance(version fleet.SheetVersion) *Acceptance {
	return &Acceptance{reported: make(map[Member]Versions), version: version}
}

// Accepted reports whether a majority of each quorum holds the version. Held is
// what this instance holds. If any member reported a newer roster generation,
// the quorums are outdated and the result is false until this instance has
// adopted that roster.
func (a *Acceptance) Accepted(held Versions, quorums ...[]Member) bool {
	if held.Sheet < a.version || len(quorums) == 0 {
		return false
	}
	for _, versions := range a.reported {
		if versions.Generation > held.Generation {
			return false
		}
	}
	for _, quorum := range quorums {
		count := 0
		for _, member := range quorum {
			if versions, ok := a.reported[member]; ok && versions.Sheet >= a.version {
				count++
			}
		}
		if !isMajority(count, quorum) {
			return false
		}
	}
	return true
}

// Record records the versions that a member reported to hold. Older reports,
// which may arrive late, are ignored.
func (a *Acceptance) Record(from Member, versions Versions) {
	if a.reported[from].Covers(versions) {
		return
	}
	a.reported[from] = versions
}
