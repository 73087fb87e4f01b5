package workspace

import (
	"math"
	"time"
)

// demandMeterWindow is the time constant of the average. It is long compared with the
// time between two requests of one workspace on one instance (about half a second),
// so that random variation has little effect.
const demandMeterWindow = 6 * time.Second

// demandMeter is an exponentially weighted moving average of requests per second.
type demandMeter struct {
	updatedAt time.Time
	rate      float64
}

// add counts requests at time now. Adding zero only brings the rate up to date.
func (m *demandMeter) add(now time.Time, requests float64) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 {
		m.rate *= math.Exp(-elapsed.Seconds() / demandMeterWindow.Seconds())
		m.updatedAt = now
	}
	m.rate += requests / demandMeterWindow.Seconds()
}
