package pool

import (
	"math"
	"time"
)

const (
	// defaultLatency is the estimate for a server that has not answered for a long
	// time.
	defaultLatency = 25 * time.Millisecond
	// minLatencyWeight is the weight of a new sample when answers are frequent:
	// the estimate then follows a change within some tens of answers.
	minLatencyWeight = 0.1
	// weightTimeConstant is the time constant with which the weight of a new
	// sample grows with the time since the last one. After this time, one answer
	// counts more than all earlier ones. With 68 instances, each sends two requests
	// per second to a group, and tens of answers would take longer than a server is
	// overloaded.
	weightTimeConstant = 2 * time.Second
	// decayTimeConstant is the time constant with which an estimate without new
	// samples returns to defaultLatency, so that a server that was slow is tried
	// again.
	decayTimeConstant = 3 * time.Second
)

// LatencyEstimator estimates the latency of a server as an exponentially weighted
// moving average. The zero value has no samples.
type LatencyEstimator struct {
	updatedAt time.Time
	estimate  time.Duration
}

// Estimate returns the estimated latency at time now.
func (l *LatencyEstimator) Estimate(now time.Time) time.Duration {
	if l.updatedAt.IsZero() {
		return defaultLatency
	}
	remaining := math.Exp(-now.Sub(l.updatedAt).Seconds() / decayTimeConstant.Seconds())
	return defaultLatency + time.Duration(remaining*float64(l.estimate-defaultLatency))
}

// Record adds the latency of one answer.
func (l *LatencyEstimator) Record(now time.Time, latency time.Duration) {
	weight := 1.0
	if !l.updatedAt.IsZero() {
		weight = max(minLatencyWeight, 1-math.Exp(-now.Sub(l.updatedAt).Seconds()/weightTimeConstant.Seconds()))
	}
	previous := l.Estimate(now)
	l.estimate = previous + time.Duration(weight*float64(latency-previous))
	l.updatedAt = now
}
