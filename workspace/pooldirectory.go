package workspace

import (
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// PoolOwner is what an instance knows of one owner's pool of a workspace.
type PoolOwner struct {
	Instance fleet.InstanceID
	// Until is when the pool may be asked again.
	SkipUntil time.Time
}

// poolDirectory is what an instance knows of the pools of one workspace.
type poolDirectory struct {
	// owners begin with this instance, if it is one of them.
	owners []PoolOwner
	turn   int
}

// setOwners replaces the owners of the pools. What is known of those that stay
// is kept.
func (p *poolDirectory) setOwners(self fleet.InstanceID, owners []fleet.InstanceID) {
	before := p.owners
	p.owners = nil
	for _, owner := range owners {
		next := PoolOwner{Instance: owner}
		if i := slices.IndexFunc(before, func(o PoolOwner) bool { return o.Instance == owner }); i >= 0 {
			next = before[i]
		}
		if owner == self {
			p.owners = slices.Insert(p.owners, 0, next)
			continue
		}
		p.owners = append(p.owners, next)
	}
}

// inTurn returns the owners in the order in which to ask them: the own pool
// first, others by turns.
func (p *poolDirectory) inTurn(self fleet.InstanceID) []PoolOwner {
	owners := slices.Clone(p.owners)
	if len(owners) == 0 || owners[0].Instance == self {
		return owners
	}
	if p.turn++; p.turn%2 == 0 {
		slices.Reverse(owners)
	}
	return owners
}
