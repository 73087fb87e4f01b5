package event

import (
	"cmp"
	"slices"
)

// Merge puts the events of several instances in one list, causes before
// effects. Events that occur in several lists appear once.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, compare)
	return slices.CompactFunc(merged, func(a, b Event) bool { return compare(a, b) == 0 })
}

// compare orders events; an instance gives no stamp twice within one epoch.
func compare(a, b Event) int {
	return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Epoch, b.Epoch))
}
