package group

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Holder returns the name under which one run of an instance takes promises.
// A restarted instance has another epoch, so it never uses a promise that its
// earlier run may already have used to promote a server.
func Holder(instance fleet.InstanceID, epoch fleet.Epoch) fleet.InstanceID {
	return instance + "@" + fleet.InstanceID(strconv.FormatUint(uint64(epoch), 16))
}

// Rank returns the place of an instance among the live ones for a group by
// rendezvous hashing, counted from zero. An instance that is not listed as
// live counts as one more.
func Rank(group fleet.GroupID, self fleet.InstanceID, live []fleet.InstanceID) int {
	own := weight(group, self)
	rank := 0
	for _, other := range live {
		w := weight(group, other)
		if w > own || (w == own && other < self) {
			rank++
		}
	}
	return rank
}

// Pollers returns the instances that poll a group: the count live ones that
// rank first for it, in the order of rank. It returns all of them if fewer are
// live. When an instance joins or leaves, only the groups change in which it
// is one of the first count.
func Pollers(group fleet.GroupID, live []fleet.InstanceID, count int) []fleet.InstanceID {
	if count <= 0 {
		return nil
	}
	pollers := make([]candidate, 0, min(count, len(live))+1)
	for _, instance := range live {
		add := candidate{instance: instance, weight: weight(group, instance)}
		i, found := slices.BinarySearchFunc(pollers, add, candidate.compare)
		if found || i == count {
			continue
		}
		pollers = slices.Insert(pollers, i, add)
		pollers = pollers[:min(count, len(pollers))]
	}
	instances := make([]fleet.InstanceID, len(pollers))
	for i, poller := range pollers {
		instances[i] = poller.instance
	}
	return instances
}

// candidate is an instance with its weight for one group.
type candidate struct {
	instance fleet.InstanceID
	weight   uint64
}

// compare orders the heavier candidate first, and equal ones by id.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(other.weight, c.weight), cmp.Compare(c.instance, other.instance))
}

func weight(group fleet.GroupID, instance fleet.InstanceID) uint64 {
	return xxhash.Sum64String(strconv.Itoa(len(group)) + ":" + string(group) + string(instance))
}
