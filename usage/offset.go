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

// FleetOffset returns the median of the offsets of the live instances, this one included.
// If the leases of most instances have expired, those have a vote as well: after an outage
// of the store, an instance may see its own row renewed before all others, and its wall
// clock may be wrong.
func FleetOffset(live, expired []Offset) Offset {
	if len(expired) > len(live) {
		live = slices.Concat(live, expired)
	}
	return MedianOffset(live)
}

const (
	// settledTime is how long the true time must not have changed before it is used for
	// reports. An instance that starts first knows only its own wall clock.
	settledTime = 3 * time.Second
	// maxSettledChange is the change of the true time that does not count.
	maxSettledChange = time.Second
)

// TrueClock follows the true time on the clock of an instance. It isn't safe for
// concurrent use. The zero value does not know the true time.
type TrueClock struct {
	changedAt time.Time
	known     bool
	untilTrue time.Duration
}

// Observe records the true time at a time of the instance's clock.
func (c *TrueClock) Observe(now, trueNow time.Time) {
	untilTrue := trueNow.Sub(now)
	if !c.known || (untilTrue-c.untilTrue).Abs() > maxSettledChange {
		c.changedAt = now
	}
	c.untilTrue, c.known = untilTrue, true
}

// At returns the true time at a time of the instance's clock.
func (c *TrueClock) At(now time.Time) (trueTime time.Time, known bool) {
	return now.Add(c.untilTrue), c.known
}

// Settled reports whether the true time was the same for some time, so that it can be
// relied on for decisions that are not revised.
func (c *TrueClock) Settled(now time.Time) bool {
	return c.known && now.Sub(c.changedAt) >= settledTime
}
