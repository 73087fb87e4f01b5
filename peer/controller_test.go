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

// sums adds up what the running instances hold. Rates are rounded.
func (d *deployment) sums() (rate float64, permits int) {
	for _, id := range []string{"a", "b", "c", "g"} {
		if m := d.running[id]; m != nil {
			rate += m.Share("w").Rate
			permits += m.Permits("s")
		}
	}
	return math.Round(rate*1e6) / 1e6, permits
}

type summary struct {
	Members int
	Permits int
	Rate    float64
	Valid   []string
}

func (d *deployment) summary() summary {
	s := summary{}
	s.Rate, s.Permits = d.sums()
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

// settle lets virtual time pass.
func (d *deployment) settle(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

func bubble(t *testing.T, test func(t *testing.T, d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, "a", "b", "c")
		defer d.haltAll()
		d.settle(15 * time.Second)
		d.publish(d.running["a"], 1, testLimits(1))
		d.settle(5 * time.Second)
		d.expect("start", summary{Members: 3, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c"}})
		test(t, d)
	})
}

// TestStoreOutage guards against an outage of the table that stops traffic,
// and against an instance that cannot start or gets no shares meanwhile.
func TestStoreOutage(t *testing.T) {
	bubble(t, func(t *testing.T, d *deployment) {
		d.set(func() { d.down = true })
		d.settle(time.Minute)
		d.expect("outage", summary{Members: 3, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c"}})
		guest := d.start("g", 9)
		d.settle(5 * time.Second)
		if decision := guest.AdmitOrRequestShares(t.Context(), "w"); !decision.Admitted {
			t.Errorf("the guest refuses although its peers have shares: %+v", decision)
		}
		d.expect("guest", summary{Members: 3, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c", "g"}})
		d.set(func() { d.down = false })
		d.settle(15 * time.Second)
		d.expect("store is back", summary{Members: 4, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c", "g"}})
	})
}

// TestSlowStore guards against a lease that counts from the answer of a slow table.
func TestSlowStore(t *testing.T) {
	bubble(t, func(_ *testing.T, d *deployment) {
		d.set(func() { d.slow = 900 * time.Millisecond; d.cut["c"] = true })
		d.settle(4 * time.Second)
		d.expect("slow store", summary{Members: 3, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c"}})
		d.set(func() { d.slow = 5 * time.Second })
		d.settle(5 * time.Second)
		if d.running["c"].Valid(time.Now()) {
			t.Error("an instance without peers is valid although no read was answered in time")
		}
	})
}

// TestLostAnswer guards against a roster write that took effect without an
// answer and is then missed.
func TestLostAnswer(t *testing.T) {
	bubble(t, func(_ *testing.T, d *deployment) {
		d.set(func() { d.loseAnswer = true })
		d.start("g", 9)
		d.settle(10 * time.Second)
		d.expect("lost answers", summary{Members: 4, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c", "g"}})
	})
}

// TestPartitionedMember guards against a member without store and peers that
// goes on, and against shares that stay lost after its eviction.
func TestPartitionedMember(t *testing.T) {
	bubble(t, func(t *testing.T, d *deployment) {
		d.set(func() { d.cut["c"] = true; d.noStore["c"] = true })
		d.settle(3500 * time.Millisecond)
		if d.running["c"].Valid(time.Now()) || d.running["c"].Admit(time.Now(), "w").Admitted {
			t.Error("an instance without store and peers still serves")
		}
		d.settle(30 * time.Second)
		rate := d.running["a"].Share("w").Rate + d.running["b"].Share("w").Rate
		if diff := cmp.Diff(30.0, rate); diff != "" {
			t.Errorf("rate of the others (-want +got):\n%s", diff)
		}
		d.set(func() { clear(d.cut); clear(d.noStore) })
		d.settle(20 * time.Second)
		d.expect("healed", summary{Members: 3, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c"}})
	})
}

// TestPausedMember guards against an instance that admits right after a pause.
func TestPausedMember(t *testing.T) {
	bubble(t, func(t *testing.T, d *deployment) {
		paused := d.running["c"]
		d.halt("c")
		d.settle(20 * time.Second)
		if paused.Valid(time.Now()) || paused.Admit(time.Now(), "w").Admitted || paused.Permits("s") > 0 {
			t.Error("an instance serves after a pause longer than its lease")
		}
	})
}

// TestRestart guards against a new run that acts with the shares of the
// earlier one, and against waiting for the eviction time in this case.
func TestRestart(t *testing.T) {
	bubble(t, func(t *testing.T, d *deployment) {
		fresh := d.start("c", 33)
		if share := fresh.Share("w"); share.Rate > 0 {
			t.Errorf("a new run holds %+v before it is a member", share)
		}
		d.settle(9 * time.Second)
		d.expect("restarted", summary{Members: 3, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c"}})
		if !fresh.Roster().Has(peer.Member{Epoch: 33, Instance: "c"}) {
			t.Errorf("the roster %+v lacks the new run", fresh.Roster())
		}
	})
}

// TestRestartOfAll guards against a roster that stays frozen after all
// instances restarted at once.
func TestRestartOfAll(t *testing.T) {
	bubble(t, func(_ *testing.T, d *deployment) {
		d.haltAll()
		for i, id := range []string{"a", "b", "c"} {
			d.start(id, fleet.Epoch(100+i))
		}
		d.settle(30 * time.Second)
		d.expect("restarted", summary{Members: 3, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c"}})
	})
}

// TestLeave guards against a planned stop that loses shares for the lease time.
func TestLeave(t *testing.T) {
	bubble(t, func(t *testing.T, d *deployment) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		begin := time.Now()
		if err := d.running["b"].Leave(ctx); err != nil {
			t.Fatal(err)
		}
		t.Logf("left after %v", time.Since(begin))
		d.halt("b")
		d.settle(time.Second)
		d.expect("left", summary{Members: 2, Permits: 7, Rate: 30, Valid: []string{"a", "c"}})
	})
}

// TestDemandMovesShares guards against refusals at a busy instance while its
// idle peers hold most of the rate.
func TestDemandMovesShares(t *testing.T) {
	bubble(t, func(t *testing.T, d *deployment) {
		refused := 0
		for range 200 {
			d.settle(40 * time.Millisecond)
			if !d.running["b"].AdmitOrRequestShares(t.Context(), "w").Admitted {
				refused++
			}
		}
		if refused > 0 {
			t.Errorf("%d of 200 requests at 25/s refused, limit 30/s", refused)
		}
		d.running["b"].ReportDemand("s", 2, 3)
		d.settle(2 * time.Second)
		if got := d.running["b"].Permits("s"); got < 5 {
			t.Errorf("%d permits, want at least 5", got)
		}
		d.expect("moved", summary{Members: 3, Permits: 7, Rate: 30, Valid: []string{"a", "b", "c"}})
	})
}

// TestUnansweredCallsDelayNobody guards against a peer that swallows calls and
// so delays the exchanges with the others beyond the lease, or a request.
func TestUnansweredCallsDelayNobody(t *testing.T) {
	bubble(t, func(t *testing.T, d *deployment) {
		d.set(func() { d.down = true; d.cut["c"] = true })
		for range 60 {
			d.settle(100 * time.Millisecond)
			for _, id := range []string{"a", "b"} {
				if !d.running[id].Valid(time.Now()) {
					t.Fatalf("%s is not valid although it hears a majority", id)
				}
				// Ten times the share, so that both ask their peers.
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
