package peer

import "github.com/nutmegpier/nutmegpier/fleet"

// Acceptance decides when a published sheet version is accepted. It is not
// safe for concurrent use.
type Acceptance struct {
	holders map[Member]Versions
	version fleet.SheetVersion
}

// NewAcceptance returns the acceptance of one version.
func NewAcceptance(version fleet.SheetVersion) *Acceptance {
	return &Acceptance{holders: make(map[Member]Versions), version: version}
}

// Accepted reports whether a majority of each quorum holds the version. A
// confirmation by a holder of a newer roster than ours does not count, and
// makes this instance learn of the newer roster first.
func (a *Acceptance) Accepted(held Versions, quorums ...[]Member) bool {
	if held.Sheet < a.version || len(quorums) == 0 {
		return false
	}
	for _, versions := range a.holders {
		if versions.Generation > held.Generation {
			return false
		}
	}
	for _, quorum := range quorums {
		count := 0
		for _, member := range quorum {
			if versions, ok := a.holders[member]; ok && versions.Sheet >= a.version {
				count++
			}
		}
		if !isMajority(count, quorum) {
			return false
		}
	}
	return true
}

// Record records what a member said that it holds.
func (a *Acceptance) Record(from Member, versions Versions) {
	if a.holders[from].Covers(versions) {
		return
	}
	a.holders[from] = versions
}
