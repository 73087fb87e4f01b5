package event

import (
	"cmp"
	"slices"
)

// Merge merges lists of events into one, ordered so that causes come before
// effects. An event that occurs in several lists appears once.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, compare)
	return slices.CompactFunc(merged, func(a, b Event) bool { return compare(a, b) == 0 })
}

// compare orders events. Two events are equal only if they are the same event, because
// an instance uses no stamp twice within one epoch.
func compare(a, b Event) int {
	return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Epoch, b.Epoch))
}
