//go:build !race

package group_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

// failoverBound is the longest time from a crash to an established primary:
// silence, two confirming polls, the last heartbeat, four round trips.
const failoverBound = 900*time.Millisecond + 2*50*time.Millisecond + 2*fakeHeartbeat + 8*fakeOneWay

// writer writes through an instance until the context ends, and returns the
// acknowledged positions.
func writer(ctx context.Context, d *deployment, i *fakeInstance) []fleet.Position {
	var acknowledged []fleet.Position
	for ctx.Err() == nil {
		server, _, err := i.AwaitPrimary(ctx)
		if err != nil {
			break
		}
		time.Sleep(fakeOneWay)
		position, ok := d.group.write(server)
		time.Sleep(fakeOneWay)
		if !ok {
			i.ReportFailure(server)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		commitCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		decision, err := i.AwaitCommit(commitCtx, position)
		cancel()
		if err == nil && decision == group.Committed {
			acknowledged = append(acknowledged, position)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return acknowledged
}

// kindOf returns the kind of an error of the package, or nothing.
func kindOf(err error) group.ErrorKind {
	var failed *group.Error
	if !errors.As(err, &failed) {
		return ""
	}
	return failed.Kind
}

// failover runs writers, a fault and a wait, and checks that no acknowledged
// write is missing on the newest primary.
func failover(t *testing.T, servers int, fault func(*deployment), wait time.Duration) (*deployment, time.Time) {
	t.Helper()
	d := deploy(t, servers, 3)
	ctx, cancel := context.WithCancel(t.Context())
	results := make(chan []fleet.Position)
	for _, i := range d.instances {
		go func() { results <- writer(ctx, d, i) }()
	}
	time.Sleep(500 * time.Millisecond)
	begun := time.Now()
	d.group.with(func() { fault(d) })
	time.Sleep(wait)
	cancel()
	view := d.instances[0].section.Load()
	var acknowledged []fleet.Position
	for range d.instances {
		acknowledged = append(acknowledged, <-results...)
	}
	n := len(acknowledged)
	d.group.with(func() {
		primary := d.group.find(view.Primary)
		for _, p := range acknowledged {
			if primary == nil || !primary.contains(p) {
				t.Errorf("acknowledged write %v is missing on primary %q", p, view.Primary)
			}
		}
	})
	if n < 100 {
		t.Errorf("%d writes were acknowledged, want at least 100", n)
	}
	return d, begun
}

// TestControllerFailover guards against a failed primary that is not replaced
// in time, against lost writes and against two primaries in one term.
func TestControllerFailover(t *testing.T) {
	for _, tc := range []struct {
		name    string
		servers int
		fault   func(*deployment)
		within  time.Duration
		primary fleet.ServerID
	}{
		{"Crash", 3, func(d *deployment) { d.group.down["a"] = true }, failoverBound, ""},
		{"CutOff", 3, func(d *deployment) { d.group.cut["a"] = true }, failoverBound, ""},
		{"ChosenDiesBeforePromotion", 5, dieOnPromote, 2 * time.Second, ""},
		{"UnreachableFromInstances", 3, func(d *deployment) {
			d.group.loss = func(_ fleet.InstanceID, s fleet.ServerID) bool { return s == "a" }
		}, 1700 * time.Millisecond, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, begun := failover(t, tc.servers, tc.fault, 4*time.Second)
				records := d.records()
				if len(records) != 1 {
					t.Fatalf("got %d promotions, want 1: %+v", len(records), records)
				}
				record := records[0]
				if record.Server == "a" {
					t.Error("the failed primary was promoted again")
				}
				if gap := record.EstablishedAt.Sub(begun); gap > tc.within {
					t.Errorf("established after %v, want at most %v", gap, tc.within)
				} else {
					t.Logf("detected %v, decided %v, fenced %v, promoted %v, established %v", record.DetectedAt.Sub(begun),
						record.DecidedAt.Sub(begun), record.FencedAt.Sub(begun), record.PromotedAt.Sub(begun), gap)
				}
			})
		})
	}
}

// dieOnPromote crashes the primary, and the first chosen server as it is promoted.
func dieOnPromote(d *deployment) {
	d.group.down["a"] = true
	d.group.onPromote = func(server fleet.ServerID) {
		d.group.onPromote = nil
		d.group.down[server] = true
	}
}

// TestControllerChosenDiesAfterPromotion guards against a promoter that keeps
// to a server which died once promoted.
func TestControllerChosenDiesAfterPromotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := failover(t, 5, func(d *deployment) {
			d.group.down["a"] = true
			d.group.onPromote = func(server fleet.ServerID) {
				d.group.onPromote = nil
				d.group.cut[server] = true
			}
		}, 6*time.Second)
		view := d.instances[0].section.Load()
		d.group.with(func() {
			if !view.Established || d.group.cut[view.Primary] {
				t.Errorf("primary %q of term %d, established %v", view.Primary, view.Term, view.Established)
			}
		})
	})
}

// TestControllerPausedPrimary guards against writes that a primary accepts
// after a pause in which it was replaced.
func TestControllerPausedPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := failover(t, 3, func(d *deployment) {
			d.group.cut["a"] = true
			d.group.loss = func(_ fleet.InstanceID, s fleet.ServerID) bool { return s == "a" }
			d.running.Go(func() {
				time.Sleep(3 * time.Second)
				d.group.with(func() {
					d.group.cut["a"] = false
					d.group.loss = func(fleet.InstanceID, fleet.ServerID) bool { return false }
				})
			})
		}, 5*time.Second)
		d.group.with(func() {
			if got := d.group.find("a").role; got == group.RolePrimary {
				t.Error("the old primary still leads")
			}
		})
	})
}

// TestControllerFalseAlarm guards against a promotion on lost polls alone.
func TestControllerFalseAlarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := failover(t, 3, func(d *deployment) {
			d.group.loss = func(i fleet.InstanceID, s fleet.ServerID) bool {
				return rand.New(rand.NewPCG(uint64(i[0])<<8|uint64(s[0]), uint64(time.Now().UnixMicro()))).IntN(100) < 30
			}
		}, 10*time.Second)
		if got := d.records(); len(got) > 0 {
			t.Errorf("promotions: %+v", got)
		}
	})
}

// TestControllerNoMajority guards against a promotion in a minority.
func TestControllerNoMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 3, 2)
		d.group.with(func() { d.group.down["a"], d.group.down["b"] = true, true })
		time.Sleep(5 * time.Second)
		d.group.with(func() {
			if diff := cmp.Diff(map[fleet.Term]fleet.ServerID{1: "a"}, d.group.promoted); diff != "" {
				t.Errorf("promoted (-want +got):\n%s", diff)
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err := d.instances[0].AwaitPrimary(ctx)
		if kindOf(err) != group.KindNoPrimary {
			t.Errorf("AwaitPrimary error %v, want kind %s", err, group.KindNoPrimary)
		}
	})
}

// TestControllerHandover guards against a planned change of primary that
// waits for the detection time or goes to a server that is leaving.
func TestControllerHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, begun := failover(t, 3, func(d *deployment) {
			d.placement.Store(&group.Placement{Leaving: []fleet.ServerID{"a", "b"}})
		}, 2*time.Second)
		records := d.records()
		if len(records) != 1 {
			t.Fatalf("got %d promotions, want 1: %+v", len(records), records)
		}
		if records[0].Server != "c" || !records[0].Handover {
			t.Errorf("handed over to %s, handover %v", records[0].Server, records[0].Handover)
		}
		if gap := records[0].EstablishedAt.Sub(records[0].DecidedAt); gap > 50*time.Millisecond {
			t.Errorf("gap %v, want at most 50ms", gap)
		}
		t.Logf("requested %v after the change, gap %v", records[0].DetectedAt.Sub(begun), records[0].EstablishedAt.Sub(records[0].DecidedAt))
	})
}

// TestControllerLearnsOfHandover guards against an instance that goes on with
// the old primary until its next poll, although a write was refused.
func TestControllerLearnsOfHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 3, 3)
		d.placement.Store(&group.Placement{Leaving: []fleet.ServerID{"a"}})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		for _, ok := d.group.write("a"); ok && ctx.Err() == nil; _, ok = d.group.write("a") {
			time.Sleep(time.Millisecond)
		}
		refused := time.Now()
		for _, i := range d.instances {
			i.ReportRefusal()
		}
		// A poll that was under way when the write was refused comes first.
		time.Sleep(6 * fakeOneWay)
		for _, i := range d.instances {
			server, term, err := i.AwaitPrimary(ctx)
			if err != nil || server == "a" || term < 2 {
				t.Errorf("instance %s: primary %s of term %d, %v", i.id, server, term, err)
			}
		}
		if got, want := time.Since(refused), 40*time.Millisecond; got > want {
			t.Errorf("the last instance knew the next primary after %v, want at most %v", got, want)
		}
	})
}

// TestControllerBarrierSharesRounds guards against one round for each session.
func TestControllerBarrierSharesRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 3, 1)
		before := d.group.requests()
		arrived := time.Now()
		results := make(chan error)
		for range 100 {
			go func() {
				_, err := d.instances[0].Barrier(t.Context(), arrived)
				results <- err
			}()
		}
		for range 100 {
			if err := <-results; err != nil {
				t.Error(err)
			}
		}
		if took := time.Since(arrived); took > 4*fakeOneWay {
			t.Errorf("took %v, want at most two round trips", took)
		}
		if got := d.group.requests() - before; got > 9 {
			t.Errorf("%d status requests for 100 sessions, want at most 9", got)
		}
	})
}

// TestControllerAwaitFresh guards against a read that is sent to a replica
// before the session's write arrived there.
func TestControllerAwaitFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 3, 1)
		i := d.instances[0]
		position, _ := d.group.write("a")
		choice := group.ReplicaSelection{Strategy: group.FreshnessDistance}
		need := group.ReadRequirement{Written: position}
		servers, err := i.AwaitFresh(t.Context(), need, choice, 100*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(fleet.ServerID("a"), servers[len(servers)-1]); diff != "" || len(servers) < 2 {
			t.Errorf("candidates %v, want replicas and the primary last", servers)
		}
		d.group.with(func() {
			if !d.group.find(servers[0]).contains(position) {
				t.Errorf("replica %s lacks %v", servers[0], position)
			}
		})
	})
}

// TestControllerWriteOnCutOffPrimary guards against a write on a cut-off
// primary that is acknowledged, or left open once a later term is established.
func TestControllerWriteOnCutOffPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 3, 2)
		d.group.with(func() { d.group.cut["a"] = true })
		position, _ := d.group.write("a")
		short, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		decision, err := d.instances[0].AwaitCommit(short, position)
		if decision != group.Pending || kindOf(err) != group.KindOutcomeUnknown {
			t.Errorf("decision %s, error %v before a later term, want %s and %s", decision, err, group.Pending, group.KindOutcomeUnknown)
		}
		decision, err = d.instances[0].AwaitCommit(t.Context(), position)
		if decision != group.NotRun || err != nil {
			t.Errorf("decision %s, error %v after a later term, want %s", decision, err, group.NotRun)
		}
		need := group.ReadRequirement{Written: position}
		if _, err = d.instances[0].AwaitFresh(t.Context(), need, group.ReplicaSelection{}, time.Second); kindOf(err) != group.KindWriteLost {
			t.Errorf("read after a lost write: %v, want %s", err, group.KindWriteLost)
		}
	})
}

// TestControllerHealsPromiseAhead guards against a replica that promised a
// term to a promoter which gave up, and takes no entry ever after.
func TestControllerHealsPromiseAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := failover(t, 3, func(d *deployment) { d.group.find("b").fence(5, "gone") }, 3*time.Second)
		view := d.instances[0].section.Load()
		server, _ := view.Server("b")
		if view.Primary != "a" || server.Status.Term != view.Term || view.Term <= 5 {
			t.Errorf("primary %s of term %d, b follows term %d", view.Primary, view.Term, server.Status.Term)
		}
	})
}
