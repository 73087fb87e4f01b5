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

// PoolOwners returns the two instances that own the pools of a workspace, in order of
// rank. The pools are of equal size. Owners are chosen by weighted rendezvous hashing: if
// an instance joins or leaves, pools move only to or from it. With equal processor
// shares, the ranks are those of fleet.Owners.
//
// The second owner is in another data centre than the first, if there is one, so that
// each side of a network partition between data centres more often reaches one. It stays
// so that pools move only to or from one instance: the second owner is the first one in
// rank outside of the data centre of the highest rank.
func PoolOwners(workspace fleet.WorkspaceID, holders []Member) []fleet.InstanceID {
	if len(holders) == 0 {
		return nil
	}
	ranked := make([]rankedMember, len(holders))
	for i, m := range holders {
		ranked[i] = rankedMember{Member: m, score: ownerScore(workspace, m)}
	}
	first := slices.MinFunc(ranked, rankedMember.compare)
	others := slices.DeleteFunc(ranked, func(r rankedMember) bool { return r.Instance == first.Instance })
	if len(others) == 0 {
		return []fleet.InstanceID{first.Instance}
	}
	second := slices.MinFunc(others, func(a, b rankedMember) int {
		if near, other := a.DataCentre == first.DataCentre, b.DataCentre == first.DataCentre; near != other {
			if near {
				return 1
			}
			return -1
		}
		return a.compare(b)
	})
	return []fleet.InstanceID{first.Instance, second.Instance}
}

// ownerScore returns the score of an instance for a workspace. The highest score is held
// by each instance with a probability that is proportional to its weight.
func ownerScore(workspace fleet.WorkspaceID, m Member) float64 {
	// The hash is mapped to the open interval (0, 1).
	uniform := (float64(fleet.OwnerWeight(string(workspace), m.Instance)>>11) + 0.5) / (1 << 53)
	return ownerWeight(m) / -math.Log(uniform)
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
