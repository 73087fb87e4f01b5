package workspace

import (
	"cmp"
	"math"
	"slices"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// rankedMember is a member with its score for one workspace.
type rankedMember struct {
	Member
	score float64
}

// compare orders members by descending score, and by id if the scores are equal.
func (r rankedMember) compare(other rankedMember) int {
	return cmp.Or(cmp.Compare(other.score, r.score), cmp.Compare(r.Instance, other.Instance))
}

const (
	// minPools is the number of pools of a workspace in up to three data centres.
	// Limits are about 1.6 times the usual demand. With three pools, the other two
	// still hold slightly more than the usual demand if an owner dies, until its lease
	// has expired, also of a limit without direct shares; with two, they would hold 0.8
	// of it.
	minPools = 3
	// maxPools bounds the number of pools, because a small limit can't be divided into
	// many. Up to it, each data centre has a pool.
	maxPools = 4
)

// PoolOwners returns the instances that own the pools of a workspace, in order of rank.
// The pools are of equal size. Owners are chosen by weighted rendezvous hashing: if an
// instance joins or leaves, pools move only to or from it, and at most one does.
//
// The owners are in different data centres as far as possible, so that each side of a
// network partition between data centres reaches pools: of each data centre the instance
// with the highest rank, and then the others.
func PoolOwners(workspace fleet.WorkspaceID, holders []Member) []fleet.InstanceID {
	centres := highestRanked(workspace, holders)
	pools := min(max(minPools, len(centres)), maxPools, len(holders))
	ranked := slices.Concat(centres...)
	var owners []fleet.InstanceID
	var used []fleet.DataCentre
	for len(owners) < pools {
		next := slices.MinFunc(ranked, func(a, b rankedMember) int {
			usedA, usedB := slices.Contains(used, a.DataCentre), slices.Contains(used, b.DataCentre)
			if usedA != usedB {
				if usedA {
					return 1
				}
				return -1
			}
			return a.compare(b)
		})
		owners, used = append(owners, next.Instance), append(used, next.DataCentre)
		ranked = slices.DeleteFunc(ranked, func(r rankedMember) bool { return r.Instance == next.Instance })
	}
	return owners
}

// highestRanked returns the minPools members of each data centre that rank highest, among
// which the owners are.
func highestRanked(workspace fleet.WorkspaceID, holders []Member) [][]rankedMember {
	hasher := fleet.NewOwnerHasher(string(workspace))
	var centres [][]rankedMember
	for _, m := range holders {
		// The hash is mapped to the open interval (0, 1).
		uniform := (float64(hasher.Weight(m.Instance)>>12) + 0.5) / (1 << 52)
		i := slices.IndexFunc(centres, func(c []rankedMember) bool { return c[0].DataCentre == m.DataCentre })
		if i < 0 {
			i, centres = len(centres), append(centres, nil)
		}
		// The logarithm takes most of the time. It is at least 1-uniform.
		highest := centres[i]
		if len(highest) == minPools && ownerWeight(m)/(1-uniform) < highest[minPools-1].score {
			continue
		}
		// Each instance has the highest score with a probability that is proportional
		// to its weight.
		r := rankedMember{Member: m, score: ownerWeight(m) / -math.Log(uniform)}
		at, _ := slices.BinarySearchFunc(highest, r, rankedMember.compare)
		highest = slices.Insert(highest, at, r)
		centres[i] = highest[:min(minPools, len(highest))]
	}
	return centres
}

// ownerWeight returns the weight of an instance: the third power of its processor share.
// The share of the pools that an instance owns has to grow faster than its processor
// share, because one that has used up its processor time pauses until the end of the
// scheduling period, and delays the workspaces whose pools it owns. With a seventh of a
// core, it can be silent for 85 of 100 ms.
func ownerWeight(m Member) float64 {
	if m.ProcessorShare <= 0 {
		return 1
	}
	return m.ProcessorShare * m.ProcessorShare * m.ProcessorShare
}
