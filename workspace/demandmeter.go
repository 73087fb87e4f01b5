package workspace

import (
	"math"
	"time"
)

// meterWindow smooths the demand: long against the time between two requests of
// one workspace on one instance (about half a second), so that chance moves
// little.
const meterWindow = 6 * time.Second

// demandMeter is an exponential average of requests a second.
type demandMeter struct {
	counted time.Time
	rate    float64
}

func (m *demandMeter) add(now time.Time, requests float64) {
	if elapsed := now.Sub(m.counted); elapsed > 0 {
		m.rate *= math.Exp(-elapsed.Seconds() / meterWindow.Seconds())
		m.counted = now
	}
	m.rate += requests / meterWindow.Seconds()
}
