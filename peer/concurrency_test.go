package peer_test

import (
	"sync"
	"testing"
	"time"
)

const (
	// concurrencyTimeout is the timeout of one wait in real time. A controller
	// reaches the expected state in a few seconds, but takes longer with the race
	// detector on a busy machine.
	concurrencyTimeout = 60 * time.Second
	// concurrencyPollInterval is the time between two checks of a condition.
	concurrencyPollInterval = 20 * time.Millisecond
)

// await waits until a condition is met.
func (d *deployment) await(step string, condition func() bool) {
	d.t.Helper()
	timeout := time.NewTimer(concurrencyTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(concurrencyPollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-timeout.C:
			d.t.Fatalf("%s: condition not met within %v", step, concurrencyTimeout)
		case <-ticker.C:
		}
	}
}

// TestControllersConcurrently guards against data races between running
// controllers and concurrent requests. It runs in real time, because the tests in
// virtual time are excluded from builds with the race detector.
func TestControllersConcurrently(t *testing.T) {
	d := newDeployment(t, "a", "b", "c")
	defer d.haltAll()
	members := []*member{d.running["a"], d.running["b"], d.running["c"]}
	d.await("roster", func() bool {
		for _, m := range members {
			if !m.Valid(time.Now()) || len(m.Roster().Members) != len(members) {
				return false
			}
		}
		return true
	})
	d.publish(members[0], 1, testLimits(1))
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for _, m := range members {
		readers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					m.Admit(time.Now(), "w")
					m.Permits("s")
					m.Share("w")
				}
			}
		})
	}
	d.await("shares", func() bool {
		rate := 0.0
		for _, m := range members {
			rate += m.Share("w").Rate
		}
		return rate > 0
	})
	d.update(func() { d.storeDown = true })
	d.update(func() { d.storeDown = false })
	d.halt("c")
	d.await("eviction", func() bool { return len(members[0].Roster().Members) == 2 && members[0].Valid(time.Now()) })
	close(stop)
	readers.Wait()
}
