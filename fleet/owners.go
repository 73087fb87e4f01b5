package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Owners returns the count instances that rank first for a key by rendezvous
// hashing, in the order of rank. It returns all of them if fewer are live. When
// an instance joins or leaves, only those keys change owners for which it is
// one of the first count.
func Owners(key string, live []InstanceID, count int) []InstanceID {
	if count <= 0 {
		return nil
	}
	owners := make([]candidate, 0, min(count, len(live))+1)
	for _, instance := range live {
		add := candidate{instance: instance, weight: OwnerWeight(key, instance)}
		i, found := slices.BinarySearchFunc(owners, add, candidate.compare)
		if found || i == count {
			continue
		}
		owners = slices.Insert(owners, i, add)
		owners = owners[:min(count, len(owners))]
	}
	instances := make([]InstanceID, len(owners))
	for i, owner := range owners {
		instances[i] = owner.instance
	}
	return instances
}

// OwnerWeight is the weight of an instance for a key: the heavier one ranks
// first.
func OwnerWeight(key string, instance InstanceID) uint64 {
	return xxhash.Sum64String(strconv.Itoa(len(key)) + ":" + key + string(instance))
}

// candidate is an instance with its weight for one key.
type candidate struct {
	instance InstanceID
	weight   uint64
}

// compare orders the heavier candidate first, and equal ones by id.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(other.weight, c.weight), cmp.Compare(c.instance, other.instance))
}
