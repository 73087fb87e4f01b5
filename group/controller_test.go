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

// failoverBound is the maximum time from a crash to an established primary: the
// detection time, two confirming polls, two heartbeats and four round trips.
const failoverBound = 900*time.Millisecond + 2*50*time.Millisecond + 2*fakeHeartbeat + 8*fakeOneWay

// writeUntilDone writes through an instance until the context ends, and returns
// the acknowledged positions.
func writeUntilDone(ctx context.Context, d *deployment, i *fakeInstance) []fleet.Position {
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

// kindOf returns the kind of a group.Error, or an empty kind for other errors.
func kindOf(err error) group.ErrorKind {
	var groupErr *group.Error
	if !errors.As(err, &groupErr) {
		return ""
	}
	return groupErr.Kind
}

// failover writes through all instances, injects a fault, waits, and checks that
// no acknowledged write is missing on the latest primary. It returns the
// deployment and the time of the fault.
func failover(t *testing.T, servers int, fault func(*deployment), wait time.Duration) (*deployment, time.Time) {
	t.Helper()
	d := deploy(t, servers, 3)
	ctx, cancel := context.WithCancel(t.Context())
	results := make(chan []fleet.Position)
	for _, i := range d.instances {
		go func() { results <- writeUntilDone(ctx, d, i) }()
	}
	time.Sleep(500 * time.Millisecond)
	faultTime := time.Now()
	d.group.withLock(func() { fault(d) })
	time.Sleep(wait)
	cancel()
	view := d.instances[0].section.Load()
	var acknowledged []fleet.Position
	for range d.instances {
		acknowledged = append(acknowledged, <-results...)
	}
	count := len(acknowledged)
	d.group.withLock(func() {
		primary := d.group.find(view.Primary)
		for _, p := range acknowledged {
			if primary == nil || !primary.contains(p) {
				t.Errorf("acknowledged write %v is missing on primary %q", p, view.Primary)
			}
		}
	})
	if count < 100 {
		t.Errorf("%d writes were acknowledged, want at least 100", count)
	}
	return d, faultTime
}

// TestControllerFailover guards against a failed primary that is not replaced in
// time, lost acknowledged writes, and two primaries in one term.
func TestControllerFailover(t *testing.T) {
	for _, tc := range []struct {
		name    string
		servers int
		fault   func(*deployment)
		within  time.Duration
		primary fleet.ServerID
	}{
		{"Crash", 3, func(d *deployment) { d.group.down["a"] = true }, failoverBound, ""},
		{"CutOff", 3, func(d *deployment) { d.group.isolated["a"] = true }, failoverBound, ""},
		{"ChosenDiesBeforePromotion", 5, crashOnPromote, 2 * time.Second, ""},
		{"UnreachableFromInstances", 3, func(d *deployment) {
			d.group.dropCall = func(_ fleet.InstanceID, s fleet.ServerID) bool { return s == "a" }
		}, 1700 * time.Millisecond, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, faultTime := failover(t, tc.servers, tc.fault, 4*time.Second)
				records := d.records()
				if len(records) != 1 {
					t.Fatalf("got %d promotions, want 1: %+v", len(records), records)
				}
				record := records[0]
				if record.Server == "a" {
					t.Error("the failed primary was promoted again")
				}
				if gap := record.EstablishedAt.Sub(faultTime); gap > tc.within {
					t.Errorf("established after %v, want at most %v", gap, tc.within)
				} else {
					t.Logf("detected %v, decided %v, fenced %v, promoted %v, established %v", record.DetectedAt.Sub(faultTime),
						record.DecidedAt.Sub(faultTime), record.FencedAt.Sub(faultTime), record.PromotedAt.Sub(faultTime), gap)
				}
			})
		})
	}
}

// crashOnPromote crashes the primary, and then the first server chosen to replace
// it, just before its promotion takes effect.
func crashOnPromote(d *deployment) {
	d.group.down["a"] = true
	d.group.onPromote = func(server fleet.ServerID) {
		d.group.onPromote = nil
		d.group.down[server] = true
	}
}

// TestControllerChosenDiesAfterPromotion guards against a promoter that keeps
// choosing a server that was cut off from the others when it was promoted.
func TestControllerChosenDiesAfterPromotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := failover(t, 5, func(d *deployment) {
			d.group.down["a"] = true
			d.group.onPromote = func(server fleet.ServerID) {
				d.group.onPromote = nil
				d.group.isolated[server] = true
			}
		}, 6*time.Second)
		view := d.instances[0].section.Load()
		d.group.withLock(func() {
			if !view.Established || d.group.isolated[view.Primary] {
				t.Errorf("primary %q of term %d, established %v; want an established primary that is not cut off", view.Primary, view.Term, view.Established)
			}
		})
	})
}

// TestControllerPausedPrimary guards against a primary that still accepts writes
// after a pause during which it was replaced.
func TestControllerPausedPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := failover(t, 3, func(d *deployment) {
			d.group.isolated["a"] = true
			d.group.dropCall = func(_ fleet.InstanceID, s fleet.ServerID) bool { return s == "a" }
			d.running.Go(func() {
				time.Sleep(3 * time.Second)
				d.group.withLock(func() {
					d.group.isolated["a"] = false
					d.group.dropCall = func(fleet.InstanceID, fleet.ServerID) bool { return false }
				})
			})
		}, 5*time.Second)
		d.group.withLock(func() {
			if got := d.group.find("a").role; got == group.RolePrimary {
				t.Error("server a is still a primary after it was replaced")
			}
		})
	})
}

// TestControllerFalseAlarm guards against a promotion because of lost polls alone,
// while the replicas are in contact with the primary.
func TestControllerFalseAlarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := failover(t, 3, func(d *deployment) {
			d.group.dropCall = func(i fleet.InstanceID, s fleet.ServerID) bool {
				return rand.New(rand.NewPCG(uint64(i[0])<<8|uint64(s[0]), uint64(time.Now().UnixMicro()))).IntN(100) < 30
			}
		}, 10*time.Second)
		if got := d.records(); len(got) > 0 {
			t.Errorf("promotions on lost polls alone: %+v", got)
		}
	})
}

// TestControllerNoMajority guards against a promotion while only a minority of
// the servers is reachable.
func TestControllerNoMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 3, 2)
		d.group.withLock(func() { d.group.down["a"], d.group.down["b"] = true, true })
		time.Sleep(5 * time.Second)
		d.group.withLock(func() {
			if diff := cmp.Diff(map[fleet.Term]fleet.ServerID{1: "a"}, d.group.promoted); diff != "" {
				t.Errorf("promoted servers by term (-want +got):\n%s", diff)
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

// TestControllerHandover guards against a handover that waits for the detection
// time, or whose target is a server that is leaving.
func TestControllerHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, changeTime := failover(t, 3, func(d *deployment) {
			d.placement.Store(&group.Placement{Leaving: []fleet.ServerID{"a", "b"}})
		}, 2*time.Second)
		records := d.records()
		if len(records) != 1 {
			t.Fatalf("got %d promotions, want 1: %+v", len(records), records)
		}
		if records[0].Server != "c" || !records[0].Handover {
			t.Errorf("promoted %s, handover %v; want a handover to c", records[0].Server, records[0].Handover)
		}
		if gap := records[0].EstablishedAt.Sub(records[0].DecidedAt); gap > 50*time.Millisecond {
			t.Errorf("established %v after the decision, want at most 50ms", gap)
		}
		t.Logf("started %v after the placement change, established %v after the decision", records[0].DetectedAt.Sub(changeTime), records[0].EstablishedAt.Sub(records[0].DecidedAt))
	})
}

// TestControllerLearnsOfHandover guards against an instance that keeps using the
// old primary until its next regular poll although a write was refused there.
func TestControllerLearnsOfHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 3, 3)
		d.placement.Store(&group.Placement{Leaving: []fleet.ServerID{"a"}})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		for _, ok := d.group.write("a"); ok && ctx.Err() == nil; _, ok = d.group.write("a") {
			time.Sleep(time.Millisecond)
		}
		refusedAt := time.Now()
		for _, i := range d.instances {
			i.ReportRefusal()
		}
		// A poll that was in progress when the write was refused completes first.
		time.Sleep(6 * fakeOneWay)
		for _, i := range d.instances {
			server, term, err := i.AwaitPrimary(ctx)
			if err != nil || server == "a" || term < 2 {
				t.Errorf("instance %s: primary %s of term %d, error %v; want another primary than a", i.id, server, term, err)
			}
		}
		if got, want := time.Since(refusedAt), 40*time.Millisecond; got > want {
			t.Errorf("all instances knew the new primary after %v, want at most %v", got, want)
		}
	})
}

// TestControllerBarrierSharesRounds guards against one round of status requests
// for each session.
func TestControllerBarrierSharesRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 3, 1)
		before := d.group.statusRequestCount()
		arrivedAt := time.Now()
		results := make(chan error)
		for range 100 {
			go func() {
				_, err := d.instances[0].Barrier(t.Context(), arrivedAt)
				results <- err
			}()
		}
		for range 100 {
			if err := <-results; err != nil {
				t.Error(err)
			}
		}
		if took := time.Since(arrivedAt); took > 4*fakeOneWay {
			t.Errorf("barriers took %v, want at most two round trips", took)
		}
		if got := d.group.statusRequestCount() - before; got > 9 {
			t.Errorf("%d status requests for 100 sessions, want at most 9", got)
		}
	})
}

// TestControllerAwaitFresh guards against a read that is sent to a replica
// before the session's write has arrived there.
func TestControllerAwaitFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 3, 1)
		i := d.instances[0]
		position, _ := d.group.write("a")
		selection := group.ReplicaSelection{Strategy: group.FreshnessDistance}
		requirement := group.ReadRequirement{Written: position}
		servers, err := i.AwaitFresh(t.Context(), requirement, selection, 100*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(fleet.ServerID("a"), servers[len(servers)-1]); diff != "" || len(servers) < 2 {
			t.Errorf("candidates %v, want replicas and the primary last", servers)
		}
		d.group.withLock(func() {
			if !d.group.find(servers[0]).contains(position) {
				t.Errorf("the log of replica %s does not contain %v", servers[0], position)
			}
		})
	})
}

// TestControllerWriteOnCutOffPrimary guards against a write on a cut-off primary
// that is acknowledged, or whose outcome stays unknown after a later term is
// established.
func TestControllerWriteOnCutOffPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := deploy(t, 3, 2)
		d.group.withLock(func() { d.group.isolated["a"] = true })
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
		requirement := group.ReadRequirement{Written: position}
		if _, err = d.instances[0].AwaitFresh(t.Context(), requirement, group.ReplicaSelection{}, time.Second); kindOf(err) != group.KindWriteLost {
			t.Errorf("read after a lost write: %v, want %s", err, group.KindWriteLost)
		}
	})
}

// TestControllerHealsPromiseAhead guards against a replica that promised a later
// term to a promoter that gave up, and therefore never again accepts an entry from
// the current primary.
func TestControllerHealsPromiseAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _ := failover(t, 3, func(d *deployment) { d.group.find("b").fence(5, "gone") }, 3*time.Second)
		view := d.instances[0].section.Load()
		server, _ := view.Server("b")
		if view.Primary != "a" || server.Status.Term != view.Term || view.Term <= 5 {
			t.Errorf("primary %s of term %d, b follows term %d; want both in one term above 5", view.Primary, view.Term, server.Status.Term)
		}
	})
}
