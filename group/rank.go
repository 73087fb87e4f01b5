package group

import (
	"strconv"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// PromiseHolder returns the name under which one run of an instance takes promises.
// A restarted instance has another epoch, so it never uses a promise that its
// earlier run may already have used to promote a server.
func PromiseHolder(instance fleet.InstanceID, epoch fleet.Epoch) fleet.InstanceID {
	return instance + "@" + fleet.InstanceID(strconv.FormatUint(uint64(epoch), 16))
}

// Rank returns the place of an instance among the live ones for a group by
// rendezvous hashing, counted from zero. An instance that is not listed as
// live counts as one more.
func Rank(group fleet.GroupID, self fleet.InstanceID, live []fleet.InstanceID) int {
	own := fleet.OwnerWeight(string(group), self)
	rank := 0
	for _, other := range live {
		w := fleet.OwnerWeight(string(group), other)
		if w > own || (w == own && other < self) {
			rank++
		}
	}
	return rank
}

// Pollers returns the instances that poll a group: the count live ones that
// rank first for it, in the order of rank.
func Pollers(group fleet.GroupID, live []fleet.InstanceID, count int) []fleet.InstanceID {
	return fleet.Owners(string(group), live, count)
}
