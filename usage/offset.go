package usage

import (
	"slices"
	"time"
)

// offsetHysteresis is the change of a wall clock below which an instance does not
// publish its offset again, so that its row changes less. It is small compared with a
// window.
const offsetHysteresis = 20 * time.Millisecond

// Offset is an offset of a wall clock from the store's clock: what must be added to the
// store's time to get the time since the start of 1970. Zero means unknown.
type Offset time.Duration

// NewOffset returns the offset of a wall clock.
func NewOffset(wall time.Time, store time.Duration) Offset {
	return Offset(wall.Sub(time.Unix(0, 0)) - store)
}

// Publish returns the offset that an instance publishes, given the one that it published
// before.
func (o Offset) Publish(previous Offset) Offset {
	if previous != 0 && time.Duration(o-previous).Abs() < offsetHysteresis {
		return previous
	}
	return Offset(time.Duration(o).Round(time.Millisecond))
}

// TrueTime returns the true time that corresponds to a time of the store.
func (o Offset) TrueTime(store time.Duration) time.Time {
	return time.Unix(0, 0).Add(time.Duration(o) + store)
}

// MedianOffset returns the median of the known offsets, the lower one of two. It is zero
// if none is known. A step of a minority of the clocks does not change it by more than
// the others differ.
func MedianOffset(offsets []Offset) Offset {
	known := slices.DeleteFunc(slices.Clone(offsets), func(o Offset) bool { return o == 0 })
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
