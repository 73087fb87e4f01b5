package workspace

import (
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// PoolOwner is an instance that owns a pool of a workspace.
type PoolOwner struct {
	Instance fleet.InstanceID
	// SkipUntil is the time before which the pool should not be asked, because it
	// was empty or its owner did not answer.
	SkipUntil time.Time
}

// poolDirectory holds the owners of the pools of one workspace.
type poolDirectory struct {
	// owners starts with this instance, if it is one of them.
	owners []PoolOwner
	// rotation counts the calls of askOrder, to alternate between the owners.
	rotation int
}

// setOwners replaces the owners of the pools. Owners that remain keep their
// SkipUntil.
func (p *poolDirectory) setOwners(self fleet.InstanceID, owners []fleet.InstanceID) {
	previous := p.owners
	p.owners = nil
	for _, owner := range owners {
		next := PoolOwner{Instance: owner}
		if i := slices.IndexFunc(previous, func(o PoolOwner) bool { return o.Instance == owner }); i >= 0 {
			next = previous[i]
		}
		if owner == self {
			p.owners = slices.Insert(p.owners, 0, next)
			continue
		}
		p.owners = append(p.owners, next)
	}
}

// askOrder returns the owners in the order in which to ask them. This instance comes
// first if it is an owner; otherwise the order alternates between calls.
func (p *poolDirectory) askOrder(self fleet.InstanceID) []PoolOwner {
	owners := slices.Clone(p.owners)
	if len(owners) == 0 || owners[0].Instance == self {
		return owners
	}
	if p.rotation++; p.rotation%2 == 0 {
		slices.Reverse(owners)
	}
	return owners
}
