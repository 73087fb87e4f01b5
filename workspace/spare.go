package workspace

import (
	"math"
	"time"
)

// SparePart is the part of a limit that is not divided between instances but
// taken from a common pool by whoever needs it. Shares follow the demand within
// seconds; the pool serves what comes faster. The rest must do while the pool
// can't be reached: limits are about 1.6 times the usual demand, and 0.8 of
// that is still more than it.
const SparePart = 0.2

// Spare is the common pool of one workspace's limit, as it lies in the store.
// It fills at a rate and is written under a condition, so no two instances take
// the same part.
type Spare struct {
	// At is the store's steady time up to which Level is counted.
	At time.Duration
	// Level is in requests.
	Level float64
}

// Take takes up to want requests at a time of the store. It returns the pool
// as it is to be written, and what was taken. Less than one request is not
// taken; wait is then the time until there is one, or zero if there never is.
func (s Spare) Take(now time.Duration, limit Limit, want float64) (next Spare, taken float64, wait time.Duration) {
	rate, capacity := limit.Rate*SparePart, math.Max(1, limit.Burst*SparePart)
	if limit.Rate <= 0 {
		return s, 0, 0
	}
	if s == (Spare{}) {
		// Nobody has taken anything yet.
		s = Spare{At: now, Level: capacity}
	}
	if elapsed := now - s.At; elapsed > 0 {
		s.Level += rate * elapsed.Seconds()
		s.At = now
	}
	s.Level = math.Min(s.Level, capacity)
	if s.Level < 1 {
		return s, 0, time.Duration((1 - s.Level) / rate * float64(time.Second))
	}
	taken = math.Min(math.Max(1, want), s.Level)
	s.Level -= taken
	return s, taken, 0
}
