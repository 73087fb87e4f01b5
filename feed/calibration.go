package feed

import "time"

// Calibration relates the store's steady clock to that of the instance, so
// that an answer that came after a long wait proves more than the time at
// which it was asked for. It isn't safe for concurrent use.
type Calibration struct {
	// earliest is the latest known bound: the instance's time at the store's
	// time zero is not before it.
	earliest time.Time
	known    bool
}

// Observe takes in an answer and returns a time at or before the moment at
// which the store made it. The store made it between sent and received, which
// bounds the difference of the clocks; the bound of another answer holds as
// well, because neither clock jumps. A store clock that went back starts anew.
func (c *Calibration) Observe(sent, received time.Time, storeTime time.Duration) time.Time {
	earliest := sent.Add(-storeTime)
	if !c.known || earliest.After(c.earliest) {
		c.earliest, c.known = earliest, true
	}
	moment := c.earliest.Add(storeTime)
	if moment.After(received) {
		// The clocks do not run alike: trust this answer alone.
		c.earliest = earliest
		return sent
	}
	return moment
}

// Moment returns a time at or before the store's steady time, which somebody
// else has read. It reports false before the first own answer.
func (c *Calibration) LocalTime(received time.Time, storeTime time.Duration) (time.Time, bool) {
	moment := c.earliest.Add(storeTime)
	if moment.After(received) {
		// An answer can't be from later than its arrival.
		moment = received
	}
	return moment, c.known
}

// StoreTime returns the store's steady time at a time of the instance. It is
// ahead by at most the time of the fastest call.
func (c *Calibration) StoreTime(now time.Time) time.Duration {
	return now.Sub(c.earliest)
}
