package pool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/nutmegpier/nutmegpier/pool"
)

// fixedSpeed is a learned speed that doesn't change.
type fixedSpeed struct{ concurrency int }

func (s fixedSpeed) Concurrency(time.Time) int           { return s.concurrency }
func (s fixedSpeed) ServiceTime(time.Time) time.Duration { return 5 * time.Millisecond }

// TestGauges guards against gauges that hide why requests wait or were refused, and against
// a bound of statements in service that ignores the learned speed of the server.
func TestGauges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pool.New(newReplayServer(4), time.Now)
		p.SetServers(time.Now(), []pool.Server{{Address: "a", ID: "s", Idle: 12, Limit: 12, Slots: 4, Speed: fixedSpeed{concurrency: 3}}})
		if tryTransaction(p, "a", 0) == nil {
			t.Fatal("no transaction could begin")
		}
		for range 5 {
			go func() {
				conn, failure := p.Acquire("s", pool.Request{Deadline: time.Now().Add(200 * time.Millisecond), Workspace: "w"})
				if failure == nil {
					time.Sleep(time.Second)
					p.Release("s", conn)
				}
			}()
		}
		time.Sleep(150 * time.Millisecond)
		synctest.Wait()
		ignored := cmpopts.IgnoreFields(pool.Gauges{}, "ExpectedWaitMilliseconds")
		want := pool.Gauges{
			HandshakeMilliseconds: 12, InService: 3, InTransactions: 1, Limit: 12, OldestWaitMilliseconds: 150, Open: 4,
			Refusals: map[pool.RefusalReason]int64{}, ServiceMilliseconds: 5, Waiting: 2,
		}
		if diff := cmp.Diff(want, p.Gauges(time.Now())["s"], ignored); diff != "" {
			t.Errorf("gauges while requests wait (-want +got):\n%s", diff)
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		if diff := cmp.Diff(map[pool.RefusalReason]int64{pool.RefusedAtDeadline: 2}, p.Gauges(time.Now())["s"].Refusals); diff != "" {
			t.Errorf("refusals (-want +got):\n%s", diff)
		}
		time.Sleep(time.Second)
	})
}
