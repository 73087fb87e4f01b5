package pool

import (
	"math"
	"time"
)

const (
	// firstLatency is assumed of a server that has not answered for long.
	firstLatency = 25 * time.Millisecond
	// latencyWeight is the weight of one answer among many: the estimate follows
	// a change within some tens of answers.
	latencyWeight = 0.1
	// latencySpan is the time after which one answer tells more than all before
	// it. At 68 instances each has two requests a second for a group, and tens
	// of answers take longer than a server is overloaded.
	latencySpan = 2 * time.Second
	// latencyMemory is the time in which an estimate without answers returns
	// to firstLatency, so that a server that was slow is tried again.
	latencyMemory = 3 * time.Second
)

// LatencyEstimator estimates how long a server takes for a request. The zero value has
// seen no answer.
type LatencyEstimator struct {
	at       time.Time
	estimate time.Duration
}

// Estimate returns the estimate at a time.
func (l *LatencyEstimator) Estimate(now time.Time) time.Duration {
	if l.at.IsZero() {
		return firstLatency
	}
	left := math.Exp(-now.Sub(l.at).Seconds() / latencyMemory.Seconds())
	return firstLatency + time.Duration(left*float64(l.estimate-firstLatency))
}

// Note takes in how long an answer took.
func (l *LatencyEstimator) Record(now time.Time, latency time.Duration) {
	weight := 1.0
	if !l.at.IsZero() {
		weight = max(latencyWeight, 1-math.Exp(-now.Sub(l.at).Seconds()/latencySpan.Seconds()))
	}
	before := l.Estimate(now)
	l.estimate = before + time.Duration(weight*float64(latency-before))
	l.at = now
}
