package measure

import (
	"math/rand/v2"
	"time"
)

// Arrivals generates the arrival times of a Poisson process for open-loop load: the
// times do not depend on how long earlier requests took.
type Arrivals struct {
	elapsed time.Duration
	random  *rand.Rand
	rate    float64
}

// NewArrivals returns an arrival process with the given rate in requests per second.
// The same seed gives the same times.
func NewArrivals(rate float64, seed uint64) *Arrivals {
	return &Arrivals{random: rand.New(rand.NewPCG(seed, 0)), rate: rate}
}

// Next returns the time of the next request since the start of the run.
func (a *Arrivals) Next() time.Duration {
	interval := a.random.ExpFloat64() / a.rate
	a.elapsed += time.Duration(interval * float64(time.Second))
	return a.elapsed
}
