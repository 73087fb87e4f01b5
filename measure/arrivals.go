package measure

import (
	"math/rand/v2"
	"time"
)

// Arrivals is a Poisson process of request times. It is open loop: the times
// do not depend on how long earlier requests took.
type Arrivals struct {
	elapsed time.Duration
	random  *rand.Rand
	rate    float64
}

// NewArrivals returns a process with the given rate in requests a second.
func NewArrivals(rate float64, seed uint64) *Arrivals {
	return &Arrivals{random: rand.New(rand.NewPCG(seed, 0)), rate: rate}
}

// Next returns the time of the next request, counted from the start of the run.
func (a *Arrivals) Next() time.Duration {
	gap := a.random.ExpFloat64() / a.rate
	a.elapsed += time.Duration(gap * float64(time.Second))
	return a.elapsed
}
