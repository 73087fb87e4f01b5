package pool_test

import (
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/pool"
)

// TestLatencyEstimator guards against an instance with few requests that keeps
// sending reads to an overloaded server as long as the overload lasts (a replica
// that serves alone while the other one lags), against a busy instance whose
// estimate jumps after a single slow answer, and against a server that is never
// tried again.
func TestLatencyEstimator(t *testing.T) {
	const usual, slow = 20 * time.Millisecond, 400 * time.Millisecond
	for _, test := range []struct {
		name     string
		interval time.Duration
		slow     int
		idle     time.Duration
		above    time.Duration
		below    time.Duration
	}{
		{name: "few requests, two slow answers", interval: 700 * time.Millisecond, slow: 2, above: 150 * time.Millisecond, below: slow},
		{name: "many requests, one slow answer", interval: 10 * time.Millisecond, slow: 1, above: usual, below: 80 * time.Millisecond},
		{name: "many requests, all slow", interval: 10 * time.Millisecond, slow: 40, above: 300 * time.Millisecond, below: slow},
		{name: "slow answers, then no requests", interval: 10 * time.Millisecond, slow: 40, idle: 15 * time.Second, above: usual, below: 35 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			var l pool.LatencyEstimator
			now := time.Unix(1000, 0)
			for range 100 {
				now = now.Add(test.interval)
				l.Record(now, usual)
			}
			for range test.slow {
				now = now.Add(test.interval)
				l.Record(now, slow)
			}
			if got := l.Estimate(now.Add(test.idle)); got < test.above || got > test.below {
				t.Errorf("estimate %v, want %v to %v", got, test.above, test.below)
			}
		})
	}
}
