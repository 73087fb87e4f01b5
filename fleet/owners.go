package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Owners returns the count instances that rank highest for a key in rendezvous
// hashing, in order of rank. It returns all instances if there are fewer. If an
// instance joins or leaves, owners change only for the keys for which it is
// among the first count.
func Owners(key string, live []InstanceID, count int) []InstanceID {
	if count <= 0 {
		return nil
	}
	owners := make([]candidate, 0, min(count, len(live))+1)
	for _, instance := range live {
		entry := candidate{instance: instance, weight: OwnerWeight(key, instance)}
		i, found := slices.BinarySearchFunc(owners, entry, candidate.compare)
		if found || i == count {
			continue
		}
		owners = slices.Insert(owners, i, entry)
		owners = owners[:min(count, len(owners))]
	}
	instances := make([]InstanceID, len(owners))
	for i, owner := range owners {
		instances[i] = owner.instance
	}
	return instances
}

// OwnerWeight returns the weight of an instance for a key. A larger weight
// ranks higher.
func OwnerWeight(key string, instance InstanceID) uint64 {
	return xxhash.Sum64String(strconv.Itoa(len(key)) + ":" + key + string(instance))
}

// OwnerHasher computes the weights of many instances for one key.
type OwnerHasher struct {
	buffer []byte
	prefix int
}

// NewOwnerHasher returns a hasher for a key.
func NewOwnerHasher(key string) *OwnerHasher {
	buffer := append(strconv.AppendInt(nil, int64(len(key)), 10), ':')
	buffer = append(buffer, key...)
	return &OwnerHasher{buffer: buffer, prefix: len(buffer)}
}

// Weight returns what OwnerWeight returns for an instance.
func (h *OwnerHasher) Weight(instance InstanceID) uint64 {
	h.buffer = append(h.buffer[:h.prefix], instance...)
	return xxhash.Sum64(h.buffer)
}

// candidate is an instance with its weight for one key.
type candidate struct {
	instance InstanceID
	weight   uint64
}

// compare orders candidates by descending weight, and by id if the weights are
// equal.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(other.weight, c.weight), cmp.Compare(c.instance, other.instance))
}
