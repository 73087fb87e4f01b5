package group

import (
	"slices"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Placement defines which servers to prefer or avoid, as configured by the
// operators in the sheet.
type Placement struct {
	// Leaving lists the servers that are being taken out of use.
	Leaving []fleet.ServerID
	// Local is the data centre of this instance.
	Local fleet.DataCentre
	// OutOfService lists the data centres that are out of service.
	OutOfService []fleet.DataCentre
}

// IsEligible reports whether a server may receive new reads and may be the
// target of a handover.
func (p Placement) IsEligible(member Member) bool {
	return !p.isLeaving(member) && !p.isOutOfService(member)
}

func (p Placement) isLeaving(member Member) bool {
	return slices.Contains(p.Leaving, member.Server)
}

func (p Placement) isLocal(member Member) bool {
	return p.Local != "" && p.Local == member.DataCentre
}

func (p Placement) isOutOfService(member Member) bool {
	return slices.Contains(p.OutOfService, member.DataCentre)
}
