package peer_test

import (
	"sync"
	"testing"
	"time"
)

const (
	// concurrencyBound bounds one wait in real time. A controller settles in
	// a few seconds; the race detector on a busy machine takes longer.
	concurrencyBound = 60 * time.Second
	// concurrencyInterval is the time between two looks at the controllers.
	concurrencyInterval = 20 * time.Millisecond
)

// await looks at the controllers until a condition holds.
func (d *deployment) await(step string, holds func() bool) {
	d.t.Helper()
	bound := time.NewTimer(concurrencyBound)
	defer bound.Stop()
	ticker := time.NewTicker(concurrencyInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-bound.C:
			d.t.Fatalf("%s: not within %v", step, concurrencyBound)
		case <-ticker.C:
		}
	}
}

// TestControllersConcurrently guards against data races between the
// controllers and the requests that read them, in real time. The tests in
// virtual time run without the race detector.
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
	d.set(func() { d.down = true })
	d.set(func() { d.down = false })
	d.halt("c")
	d.await("eviction", func() bool { return len(members[0].Roster().Members) == 2 && members[0].Valid(time.Now()) })
	close(stop)
	readers.Wait()
}
