package backend_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// TestPoolConcurrentUse guards against data races between requests, changes of
// permits and drains of one pool, and against a connection that is leased twice at a
// time. It runs in real time, because the tests in virtual time run without the race
// detector.
func TestPoolConcurrentUse(t *testing.T) {
	s := &scriptedServer{respond: replyOK}
	pool := backend.NewPool(backend.PoolConfig{Connect: s.connect, OnStarved: func(fleet.ServerID) {}})
	defer pool.Close()
	pool.SetServer("s1", "a", backend.Limits{Permits: 3, Slots: 2})
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for range 50 {
				lease, err := pool.Acquire(context.Background(), time.Now(), poolRequest(time.Minute))
				if err != nil {
					t.Errorf("Acquire() = %v", err)
					return
				}
				if counts := pool.Counts("s1"); counts.InUse > 2 {
					t.Errorf("%d connections in use, want at most 2", counts.InUse)
				}
				lease.Release(true)
			}
		})
	}
	workers.Go(func() {
		for permits := range 50 {
			pool.SetServer("s1", "a", backend.Limits{Permits: 1 + permits%3, Slots: 2})
			pool.SetMinConnections("s1", permits%3)
			pool.ReleasePermit("s1")
			pool.SetServer("s1", "a", backend.Limits{Permits: 3, Slots: 2})
		}
	})
	workers.Wait()
}
