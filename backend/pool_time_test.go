//go:build !race

package backend_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// TestPoolLifecycle guards against requests that wait beyond their deadline, permits
// that are released while in use, and new requests on a draining server.
func TestPoolLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedServer{respond: replyOK}
		starved := make(chan fleet.ServerID, 10)
		pool := backend.NewPool(backend.PoolConfig{Connect: s.connect, OnStarved: func(server fleet.ServerID) { starved <- server }})
		defer pool.Close()
		ctx := context.Background()
		if _, err := pool.Acquire(ctx, time.Now(), poolRequest(time.Second)); kindOf(err) != backend.KindUnavailable {
			t.Errorf("unknown server: %v", err)
		}
		pool.SetServer("s1", "a", backend.Limits{Permits: 1, Slots: 2})
		first, err := pool.Acquire(ctx, time.Now(), poolRequest(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := pool.Acquire(ctx, time.Now(), poolRequest(time.Second)); kindOf(err) != backend.KindDeadline {
			t.Errorf("no permit left: %v", err)
		}
		if diff := cmp.Diff(time.Second, time.Since(start)); diff != "" {
			t.Errorf("wait (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(fleet.ServerID("s1"), <-starved); diff != "" {
			t.Errorf("starved server (-want +got):\n%s", diff)
		}
		if pool.ReleasePermit("s1") {
			t.Error("ReleasePermit() released the permit of a connection in use")
		}
		first.Release(true)
		first.Release(true)
		if !pool.ReleasePermit("s1") {
			t.Error("ReleasePermit() did not release the permit of an idle connection")
		}
		if diff := cmp.Diff(backend.Counts{}, pool.Counts("s1")); diff != "" {
			t.Errorf("counts after ReleasePermit() (-want +got):\n%s", diff)
		}
		pool.SetServer("s1", "a", backend.Limits{Permits: 3, Slots: 2})
		pool.SetMinConnections("s1", 3)
		synctest.Wait()
		if diff := cmp.Diff(backend.Counts{Idle: 3}, pool.Counts("s1")); diff != "" {
			t.Errorf("counts after SetMinConnections() (-want +got):\n%s", diff)
		}
		last, err := pool.Acquire(ctx, time.Now(), poolRequest(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		pool.Drain("s1")
		if _, err := pool.Acquire(ctx, time.Now(), poolRequest(time.Second)); kindOf(err) != backend.KindUnavailable {
			t.Errorf("draining server: %v", err)
		}
		last.Release(true)
		if diff := cmp.Diff(backend.Counts{}, pool.Counts("s1")); diff != "" {
			t.Errorf("counts after the drain (-want +got):\n%s", diff)
		}
	})
}

// TestPoolServerDown guards against requests that wait for an unreachable server
// instead of failing at once, so that they can go to another server, and against a
// server that is never tried again.
func TestPoolServerDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedServer{refuseConnections: true, respond: replyOK}
		pool := backend.NewPool(backend.PoolConfig{Connect: s.connect})
		defer pool.Close()
		pool.SetServer("s1", "a", backend.Limits{Permits: 2, Slots: 2})
		for range 2 {
			start := time.Now()
			if _, err := pool.Acquire(context.Background(), start, poolRequest(time.Minute)); kindOf(err) != backend.KindUnavailable || time.Since(start) > 0 {
				t.Errorf("server down: %v after %v", err, time.Since(start))
			}
		}
		s.mu.Lock()
		s.refuseConnections = false
		s.mu.Unlock()
		time.Sleep(time.Second)
		lease, err := pool.Acquire(context.Background(), time.Now(), poolRequest(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		lease.Release(true)
	})
}
