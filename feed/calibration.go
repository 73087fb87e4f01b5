package feed

import "time"

// Calibration relates the store's monotonic clock to the clock of the instance.
// With it, an answer that came after a long wait shows that the data was
// current when the store answered, and not only when the request was sent. It
// isn't safe for concurrent use.
type Calibration struct {
	// originBound is a lower bound of the instance's time at which the store's
	// clock was zero: the latest one known, which is the tightest.
	originBound time.Time
	calibrated  bool
}

// Observe processes an answer and returns a time at or before the one at which
// the store gave it. The store answered between sent and received, which bounds
// the offset of the clocks. The bound from an earlier answer holds as well,
// because neither clock jumps. If the store's clock was set back, the
// calibration starts anew.
func (c *Calibration) Observe(sent, received time.Time, storeTime time.Duration) time.Time {
	originBound := sent.Add(-storeTime)
	if !c.calibrated || originBound.After(c.originBound) {
		c.originBound, c.calibrated = originBound, true
	}
	answeredAt := c.originBound.Add(storeTime)
	if answeredAt.After(received) {
		// The clocks run at different rates: rely on this answer alone.
		c.originBound = originBound
		return sent
	}
	return answeredAt
}

// LocalTime converts a store time that another instance has read to a time on
// this instance's clock, or an earlier one. Received is when that store time
// arrived. It reports false before this instance's first own answer from the
// store.
func (c *Calibration) LocalTime(received time.Time, storeTime time.Duration) (time.Time, bool) {
	localTime := c.originBound.Add(storeTime)
	if localTime.After(received) {
		// The store can't have answered after the answer arrived.
		localTime = received
	}
	return localTime, c.calibrated
}

// DeadlineTime converts a store time that may lie in the future to a time on this
// instance's clock, or an earlier one. It reports false before this instance's first
// own answer from the store.
func (c *Calibration) DeadlineTime(storeTime time.Duration) (time.Time, bool) {
	return c.originBound.Add(storeTime), c.calibrated
}

// Calibrated reports whether this instance has had an answer from the store.
func (c *Calibration) Calibrated() bool {
	return c.calibrated
}

// StoreTime converts a time of the instance to the store's clock. The result is
// ahead of that clock by at most the time of the fastest call.
func (c *Calibration) StoreTime(now time.Time) time.Duration {
	return now.Sub(c.originBound)
}
