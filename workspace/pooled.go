package workspace

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// directPart is the part of a limit that is divided equally between the
	// instances, for the time in which the owners of its pools can't be reached.
	// The rest goes where the demand is. Limits are about 1.6 times the usual
	// demand, so with one owner gone there is still a little more than it.
	directPart = 0.3
	// directLeast is the least share of an instance, in requests a second and
	// in requests of burst, for which dividing a limit makes sense. Smaller ones
	// refuse what comes at random intervals, and a whole request for each
	// instance would add up to more than the burst.
	directLeast = 1
	// poolOwners is the number of pools of a workspace. With two, an instance
	// that dies takes half of a pool with it until its lease has ended.
	poolOwners = 2
)

// PooledFraction returns the part of a limit that is not divided between instances
// but lies in pools, from which each instance takes what it needs.
func PooledFraction(limit Limit, instances int) float64 {
	divided := directPart / float64(instances)
	if limit.Rate*divided < directLeast || limit.Burst*divided < directLeast {
		return 1
	}
	return 1 - directPart
}

// PoolOwners returns the instances that hold the pools of a workspace in equal
// parts.
func PoolOwners(workspace fleet.WorkspaceID, holders []fleet.InstanceID) []fleet.InstanceID {
	return fleet.Owners(string(workspace), holders, poolOwners)
}

// holders returns the members that may hold parts of limits.
func holders(members []Member, may func(Member) bool) []fleet.InstanceID {
	var instances []fleet.InstanceID
	for _, m := range members {
		if may(m) {
			instances = append(instances, m.Instance)
		}
	}
	return instances
}

// nextChange returns when the holders change next by the age of a member. It is
// zero if they don't.
func nextChange(members []Member) time.Duration {
	next := time.Duration(0)
	for _, m := range members {
		for _, age := range []time.Duration{joinDelay - shrinkAhead, joinDelay} {
			if wait := age - m.Age; m.Phase != PhaseHolding && wait > 0 && (next == 0 || wait < next) {
				next = wait
			}
		}
	}
	return next
}
