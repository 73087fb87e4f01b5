package group

import (
	"slices"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Placement says which servers are to be used, as the operators' sheet has it.
type Placement struct {
	// Leaving lists the servers that are leaving.
	Leaving []fleet.ServerID
	// Local is the data centre of this instance.
	Local fleet.DataCentre
	// OutOfService lists the data centres that are out of service.
	OutOfService []fleet.DataCentre
}

// IsEligible reports whether a server may get new work or become primary by plan.
func (p Placement) IsEligible(member Member) bool {
	return !p.isLeaving(member) && !p.isOut(member)
}

func (p Placement) isLeaving(member Member) bool {
	return slices.Contains(p.Leaving, member.Server)
}

func (p Placement) isLocal(member Member) bool {
	return p.Local != "" && p.Local == member.DataCentre
}

func (p Placement) isOut(member Member) bool {
	return slices.Contains(p.OutOfService, member.DataCentre)
}
