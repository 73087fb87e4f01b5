//go:build !race

package peer_test

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/peer"
)

// totals returns the sums of the rate shares and permits of the running
// instances. The rate is rounded.
func (d *deployment) totals() (rate float64, permits int) {
	for _, id := range []string{"a", "b", "c", "g"} {
		if m := d.running[id]; m != nil {
			rate += m.Share("w").Rate
			permits += m.Permits("s")
		}
	}
	return math.Round(rate*1e6) / 1e6, permits
}

// summary is the state of the deployment that the tests compare. Members is the
// number of members of the largest roster of a valid instance.
type summary struct {
	Members int
	Permits int
	Rate    float64
	Valid   []string
}

func (d *deployment) summary() summary {
	s := summary{}
	s.Rate, s.Permits = d.totals()
	for _, id := range []string{"a", "b", "c", "g"} {
		m := d.running[id]
		if m != nil && m.Valid(time.Now()) {
			s.Valid = append(s.Valid, id)
			s.Members = max(s.Members, len(m.Roster().Members))
		}
	}
	return s
}

func (d *deployment) expect(step string, want summary) {
	d.t.Helper()
	if diff := cmp.Diff(want, d.summary()); diff != "" {
		d.t.Errorf("%s (-want +got):\n%s", step, diff)
	}
}

// advance lets virtual time pass.
func (d *deployment) advance(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

// runInBubble runs a test in virtual time on a deployment of three instances that
// have shares of the first sheet.
func runInBubble(t *testing.T, test func(t *testing.T, d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, "a", "b", "c")
		defer d.haltAll()
		d.advance(15 * time.Second)
		d.publish(d.running["a"], 1, testLimits(1))
		d.advance(5 * time.Second)
		d.expect("start", summary{Members: 3, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c"}})
		test(t, d)
	})
}

// TestStoreOutage guards against a store outage that stops traffic, and against
// an instance that cannot start or gets no shares during the outage.
func TestStoreOutage(t *testing.T) {
	runInBubble(t, func(t *testing.T, d *deployment) {
		d.update(func() { d.storeDown = true })
		d.advance(time.Minute)
		d.expect("outage", summary{Members: 3, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c"}})
		newcomer := d.start("g", 9)
		d.advance(5 * time.Second)
		if decision := newcomer.AdmitOrRequestShares(t.Context(), "w"); !decision.Admitted {
			t.Errorf("an instance outside the roster refuses a request although its peers have shares: %+v", decision)
		}
		d.expect("guest", summary{Members: 3, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c", "g"}})
		d.update(func() { d.storeDown = false })
		d.advance(15 * time.Second)
		d.expect("store is back", summary{Members: 4, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c", "g"}})
	})
}

// TestSlowStore guards against a lease that counts from the response of a slow
// store instead of from the request.
func TestSlowStore(t *testing.T) {
	runInBubble(t, func(_ *testing.T, d *deployment) {
		d.update(func() { d.storeDelay = 900 * time.Millisecond; d.partitioned["c"] = true })
		d.advance(4 * time.Second)
		d.expect("slow store", summary{Members: 3, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c"}})
		d.update(func() { d.storeDelay = 5 * time.Second })
		d.advance(5 * time.Second)
		if d.running["c"].Valid(time.Now()) {
			t.Error("an instance without peers is valid although no store read succeeded within the timeout")
		}
	})
}

// TestLostAnswer guards against instances that miss a roster because the response
// to its write was lost although the write took effect.
func TestLostAnswer(t *testing.T) {
	runInBubble(t, func(_ *testing.T, d *deployment) {
		d.update(func() { d.loseWriteResponses = true })
		d.start("g", 9)
		d.advance(10 * time.Second)
		d.expect("lost answers", summary{Members: 4, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c", "g"}})
	})
}

// TestPartitionedMember guards against a member that keeps serving without access
// to the store and its peers, and against shares that stay lost after its
// eviction.
func TestPartitionedMember(t *testing.T) {
	runInBubble(t, func(t *testing.T, d *deployment) {
		d.update(func() { d.partitioned["c"] = true; d.withoutStore["c"] = true })
		d.advance(3500 * time.Millisecond)
		if d.running["c"].Valid(time.Now()) || d.running["c"].Admit(time.Now(), "w").Admitted {
			t.Error("an instance without access to the store and its peers still serves")
		}
		d.advance(30 * time.Second)
		rate := d.running["a"].Share("w").Rate + d.running["b"].Share("w").Rate
		if diff := cmp.Diff(30.0, rate); diff != "" {
			t.Errorf("rate of the others (-want +got):\n%s", diff)
		}
		d.update(func() { clear(d.partitioned); clear(d.withoutStore) })
		d.advance(20 * time.Second)
		d.expect("healed", summary{Members: 3, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c"}})
	})
}

// TestPausedMember guards against an instance that admits requests right after a
// pause of its process, although its lease expired meanwhile.
func TestPausedMember(t *testing.T) {
	runInBubble(t, func(t *testing.T, d *deployment) {
		paused := d.running["c"]
		d.halt("c")
		d.advance(20 * time.Second)
		if paused.Valid(time.Now()) || paused.Admit(time.Now(), "w").Admitted || paused.Permits("s") > 0 {
			t.Error("an instance serves after a pause longer than its lease")
		}
	})
}

// TestRestart guards against a new run that uses the shares of the earlier run,
// and against a delay of the new roster by the eviction delay.
func TestRestart(t *testing.T) {
	runInBubble(t, func(t *testing.T, d *deployment) {
		fresh := d.start("c", 33)
		if share := fresh.Share("w"); share.Rate > 0 {
			t.Errorf("a new run holds %+v before it is a member", share)
		}
		d.advance(9 * time.Second)
		d.expect("restarted", summary{Members: 3, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c"}})
		if !fresh.Roster().Has(peer.Member{Epoch: 33, Instance: "c"}) {
			t.Errorf("the roster %+v lacks the new run", fresh.Roster())
		}
	})
}

// TestRestartOfAll guards against a roster that can no longer change after all
// instances restarted at once.
func TestRestartOfAll(t *testing.T) {
	runInBubble(t, func(_ *testing.T, d *deployment) {
		d.haltAll()
		for i, id := range []string{"a", "b", "c"} {
			d.start(id, fleet.Epoch(100+i))
		}
		d.advance(30 * time.Second)
		d.expect("restarted", summary{Members: 3, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c"}})
	})
}

// TestLeave guards against a planned stop after which shares stay unused for the
// duration of a lease.
func TestLeave(t *testing.T) {
	runInBubble(t, func(t *testing.T, d *deployment) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		begin := time.Now()
		if err := d.running["b"].Leave(ctx); err != nil {
			t.Fatal(err)
		}
		t.Logf("left after %v", time.Since(begin))
		d.halt("b")
		d.advance(time.Second)
		d.expect("left", summary{Members: 2, Permits: 7, Rate: 30, Valid: []string{"a", "c"}})
	})
}

// TestDemandMovesShares guards against refusals at a busy instance while its
// idle peers hold most of the rate.
func TestDemandMovesShares(t *testing.T) {
	runInBubble(t, func(t *testing.T, d *deployment) {
		refused := 0
		for range 200 {
			d.advance(40 * time.Millisecond)
			if !d.running["b"].AdmitOrRequestShares(t.Context(), "w").Admitted {
				refused++
			}
		}
		if refused > 0 {
			t.Errorf("%d of 200 requests at 25/s refused, limit 30/s", refused)
		}
		d.running["b"].ReportDemand("s", 2, 3)
		d.advance(2 * time.Second)
		if got := d.running["b"].Permits("s"); got < 5 {
			t.Errorf("%d permits, want at least 5", got)
		}
		d.expect("moved", summary{Members: 3, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c"}})
	})
}

// TestUnansweredCallsDelayNobody guards against a peer that does not respond and
// thereby delays the exchanges with other peers beyond the lease, or delays a
// client request.
func TestUnansweredCallsDelayNobody(t *testing.T) {
	runInBubble(t, func(t *testing.T, d *deployment) {
		d.update(func() { d.storeDown = true; d.partitioned["c"] = true })
		for range 60 {
			d.advance(100 * time.Millisecond)
			for _, id := range []string{"a", "b"} {
				if !d.running[id].Valid(time.Now()) {
					t.Fatalf("%s is not valid although it exchanges messages with a majority", id)
				}
				// Ten times the share, so that both request shares from their
				// peers.
				for range 10 {
					begin := time.Now()
					d.running[id].AdmitOrRequestShares(t.Context(), "w")
					if waited := time.Since(begin); waited > 200*time.Millisecond {
						t.Errorf("a request at %s waited %v for shares", id, waited)
					}
				}
			}
		}
	})
}
