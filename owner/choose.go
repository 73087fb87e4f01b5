package owner

import (
	"slices"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// Ranks is the number of owners of a group. The second one is called while the
	// first one is unavailable.
	Ranks = 2
	// minLargeCandidates is the number of large instances from which on only these
	// own groups.
	minLargeCandidates = 4
)

// Candidate is a live instance that may own groups.
type Candidate struct {
	DataCentre fleet.DataCentre
	Instance   fleet.InstanceID
	// LinkMegabits is the speed of the instance's network link in Mbit/s, or zero if it is
	// not known.
	LinkMegabits float64
	// ProcessorShare is the processor time that the instance may use, in cores.
	ProcessorShare float64
}

// Choose returns the owners of a group in order of rank. All instances that know the
// same candidates choose the same ones. The owners of a group are in different data
// centres if possible. Instances with less than half of the largest processor share or
// link are chosen only if there are few others, because an owner also works for the
// sessions of the others.
func Choose(group fleet.GroupID, candidates []Candidate) []fleet.InstanceID {
	eligible := Large(candidates, minLargeCandidates)
	dataCentres := make(map[fleet.InstanceID]fleet.DataCentre, len(eligible))
	instances := make([]fleet.InstanceID, 0, len(eligible))
	for _, candidate := range eligible {
		dataCentres[candidate.Instance] = candidate.DataCentre
		instances = append(instances, candidate.Instance)
	}
	ranked := fleet.Owners(string(group), instances, len(instances))
	if len(ranked) <= Ranks {
		return ranked
	}
	second := slices.IndexFunc(ranked, func(id fleet.InstanceID) bool { return dataCentres[id] != dataCentres[ranked[0]] })
	return []fleet.InstanceID{ranked[0], ranked[max(second, 1)]}
}

// maxWitnesses is the number of instances that decide whether the primary of an owned
// group has failed: enough for a majority when a data centre is cut off.
const maxWitnesses = 9

// Witnesses returns the instances that decide whether the primary of a group has failed:
// its owners, which have the traffic, and others.
func Witnesses(group fleet.GroupID, owners, live []fleet.InstanceID) []fleet.InstanceID {
	witnesses := slices.Clone(owners)
	for _, instance := range fleet.Owners(string(group), live, maxWitnesses) {
		if len(witnesses) < maxWitnesses && !slices.Contains(witnesses, instance) {
			witnesses = append(witnesses, instance)
		}
	}
	return witnesses
}

// Large returns the candidates with at least half of the largest processor share and of
// the fastest link, or all of them if these are fewer than atLeast. A link that is not
// known counts as fast enough. If no instance is large in both, the link is left out,
// because the processor is what limits most of them.
func Large(candidates []Candidate, atLeast int) []Candidate {
	largest, fastest := 0.0, 0.0
	for _, candidate := range candidates {
		largest, fastest = max(largest, candidate.ProcessorShare), max(fastest, candidate.LinkMegabits)
	}
	large := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.ProcessorShare < largest/2 })
	wellConnected := slices.DeleteFunc(slices.Clone(large), func(c Candidate) bool { return c.LinkMegabits > 0 && c.LinkMegabits < fastest/2 })
	switch {
	case len(wellConnected) >= atLeast:
		return wellConnected
	case len(large) >= atLeast:
		return large
	default:
		return candidates
	}
}
