package group

import (
	"strconv"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// PromiseHolder returns the holder name that one run of an instance gives to
// servers when it asks for a promise. A restarted instance has another epoch,
// so it never uses a promise that its previous run may already have used to
// promote a server.
func PromiseHolder(instance fleet.InstanceID, epoch fleet.Epoch) fleet.InstanceID {
	return instance + "@" + fleet.InstanceID(strconv.FormatUint(uint64(epoch), 16))
}

// Rank returns the zero-based rank of an instance among the live instances for
// a group, by rendezvous hashing. An instance that is not in the live list is
// ranked as if it were.
func Rank(group fleet.GroupID, self fleet.InstanceID, live []fleet.InstanceID) int {
	ownWeight := fleet.OwnerWeight(string(group), self)
	rank := 0
	for _, other := range live {
		weight := fleet.OwnerWeight(string(group), other)
		if weight > ownWeight || (weight == ownWeight && other < self) {
			rank++
		}
	}
	return rank
}

// Pollers returns the instances that poll a group: the first count live
// instances by rank, in the order of rank.
func Pollers(group fleet.GroupID, live []fleet.InstanceID, count int) []fleet.InstanceID {
	return fleet.Owners(string(group), live, count)
}
