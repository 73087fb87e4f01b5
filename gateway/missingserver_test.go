//go:build !race

package gateway_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/workspace"
)

const (
	// entryLifetime is how long the entry of a server stays after its last heartbeat.
	entryLifetime = 3600 * time.Millisecond
	// missingEntryGrace is how long an entry is missing until its server counts as gone.
	missingEntryGrace = 2500 * time.Millisecond
	// promotionBound is the time in which a crashed primary is replaced: 360 ms until its
	// health checks have failed, and some calls to the store and the servers.
	promotionBound = time.Second
)

// trioSheet returns a sheet for a group of three servers, each of which accepts enough
// connections of all instances.
func trioSheet(syncReplicas int) gateway.SheetUpdate {
	update := keySheet(1, "k")
	update.Sheet.Databases[0].Connections, update.Sheet.Databases[0].SyncReplicas = 40, syncReplicas
	update.Sheet.Routes[0].StatementTimeout = 600
	return update
}

// runTrio starts instances on a group of three servers, of which one replica must hold a
// commit before it is acknowledged, and runs a test.
func runTrio(t *testing.T, test func(*testFleet)) {
	t.Helper()
	startFleet(t, 3, trioSheet(1), "", func(f *testFleet) {
		f.register("s-3")
		const startTime = 12 * time.Second
		time.Sleep(startTime)
		test(f)
	})
}

// setDown makes servers crash or return.
func (f *testFleet) setDown(down bool, servers ...fleet.ServerID) {
	f.servers.set(func(s *testServers) {
		if s.down == nil {
			s.down = map[fleet.ServerID]bool{}
		}
		for _, id := range servers {
			s.down[id] = down
		}
	})
}

// setDeaf makes a replica receive no more commits, of which 100 follow.
func (f *testFleet) setDeaf(id fleet.ServerID) {
	f.servers.set(func(s *testServers) {
		s.deaf = map[fleet.ServerID]fleet.Position{id: s.position}
		s.position.Log += 100
	})
}

// promoted returns the servers that became primary.
func (f *testFleet) promoted() (promoted []fleet.ServerID) {
	f.servers.set(func(s *testServers) { promoted = s.promoted })
	return promoted
}

// writeWithin writes through each instance until that succeeds, and fails if it takes too
// long.
func (f *testFleet) writeWithin(instances []*testInstance, bound time.Duration, want fleet.ServerID) {
	f.t.Helper()
	var writers sync.WaitGroup
	for _, i := range instances {
		writers.Go(func() { f.writeThrough(i, bound, want) })
	}
	writers.Wait()
}

func (f *testFleet) writeThrough(i *testInstance, bound time.Duration, want fleet.ServerID) {
	const pause = 50 * time.Millisecond
	for start := time.Now(); ; time.Sleep(pause) {
		id := session.StatementID(i.address + time.Since(start).String())
		opened := i.open("k")
		result := opened.Do(write(id))
		opened.Close()
		if result.Err == nil {
			if runs := f.servers.runs(id); len(runs) != 1 || runs[0].server != want {
				f.t.Errorf("the write through %s ran at %+v, want %s", i.address, runs, want)
			}
			return
		}
		if time.Since(start) > bound {
			f.t.Errorf("no write through %s succeeded for %v: %v", i.address, bound, result.Err)
			return
		}
	}
}

// TestPrimaryAndReplicaCrash guards against the promotion of a replica that lacks
// acknowledged commits: the primary and the only replica that has them crash, the primary
// returns, and the entry of that replica has expired. It also guards against a primary
// that is not used again although it has returned.
func TestPrimaryAndReplicaCrash(t *testing.T) {
	runTrio(t, func(f *testFleet) {
		f.setDeaf("s-3")
		f.setDown(true, "s-1", "s-2")
		time.AfterFunc(3*time.Second, func() { f.setDown(false, "s-1") })
		f.writeWithin(f.instances, 4*time.Second, "s-1")
		time.Sleep(entryLifetime - 3*time.Second)
		f.deregister("s-2")
		time.Sleep(4 * time.Second)
		f.setDown(false, "s-2")
		f.register("s-2")
		f.writeWithin(f.instances, time.Second, "s-1")
		if diff := cmp.Diff([]fleet.ServerID(nil), f.promoted()); diff != "" {
			t.Errorf("promoted servers (-want +got):\n%s", diff)
		}
	})
}

// TestReplicaWithoutEntry guards against the loss of commits that only a replica without an
// entry has received, because it reaches the primary but not the store.
func TestReplicaWithoutEntry(t *testing.T) {
	runTrio(t, func(f *testFleet) {
		f.deregister("s-2")
		time.Sleep(10 * time.Second)
		f.setDeaf("s-3")
		f.setDown(true, "s-1")
		const cut = 5 * time.Second
		time.AfterFunc(cut, func() { f.register("s-2") })
		f.writeWithin(f.instances, cut+time.Second, "s-2")
		if diff := cmp.Diff([]fleet.ServerID{"s-2"}, f.promoted()); diff != "" {
			t.Errorf("promoted servers (-want +got):\n%s", diff)
		}
	})
}

// TestPrimaryCrashes guards against a change of primary that takes longer because of
// servers that may hold acknowledged commits: the primary crashes alone, after a replica
// was lost for good, and after one was replaced at another address.
func TestPrimaryCrashes(t *testing.T) {
	for _, test := range []struct {
		name   string
		before func(*testFleet)
		want   fleet.ServerID
	}{
		{name: "alone", before: func(*testFleet) {}, want: "s-2"},
		{name: "after a replica was lost", before: func(f *testFleet) {
			f.setDown(true, "s-2")
			time.Sleep(entryLifetime)
			f.deregister("s-2")
			time.Sleep(6 * time.Second)
		}, want: "s-3"},
		{name: "after a replica was replaced", before: func(f *testFleet) {
			f.setDown(true, "s-2")
			time.Sleep(entryLifetime)
			f.deregister("s-2")
			f.register("s-4")
			time.Sleep(6 * time.Second)
		}, want: "s-3"},
	} {
		t.Run(test.name, func(t *testing.T) {
			runTrio(t, func(f *testFleet) {
				f.writeWithin(f.instances, 0, "s-1")
				test.before(f)
				f.setDown(true, "s-1")
				f.writeWithin(f.instances, promotionBound, test.want)
			})
		})
	}
}

// TestLostServersDoNotHoldUpAGroup guards against a group without a primary for ever,
// because its primary and a replica that may hold acknowledged commits are lost for good.
func TestLostServersDoNotHoldUpAGroup(t *testing.T) {
	runTrio(t, func(f *testFleet) {
		f.setDeaf("s-3")
		f.setDown(true, "s-1", "s-2")
		time.AfterFunc(entryLifetime, func() { f.deregister("s-1", "s-2") })
		const bound = 20 * time.Second
		f.writeWithin(f.instances, bound, "s-3")
	})
}

// TestRestartAfterPrimaryWasLost guards against instances that have all restarted and
// replace a lost primary only with their second regular heartbeat, because they have never
// seen its entry.
func TestRestartAfterPrimaryWasLost(t *testing.T) {
	startFleet(t, 0, trioSheet(0), "", func(f *testFleet) {
		names := []string{"i-0", "i-1", "i-2"}
		ctx, kill := context.WithCancel(f.t.Context())
		for _, name := range names {
			f.start(ctx, name)
		}
		time.Sleep(12 * time.Second)
		kill()
		f.setDown(true, "s-1")
		f.deregister("s-1")
		time.Sleep(time.Second)
		for _, name := range names {
			f.start(f.t.Context(), name)
		}
		const readTime = 500 * time.Millisecond
		time.Sleep(readTime)
		const bound = missingEntryGrace - readTime + time.Second
		f.writeWithin(f.instances[len(names):], bound, "s-2")
	})
}

// TestNewInstancesDoNotDelayAPromotion guards against a lost primary that is replaced later
// because instances which have just started, and don't know of it, count as ones that can
// use it.
func TestNewInstancesDoNotDelayAPromotion(t *testing.T) {
	startFleet(t, 3, trioSheet(0), "", func(f *testFleet) {
		time.Sleep(12 * time.Second)
		f.deregister("s-1")
		const startTime = 2 * time.Second
		time.Sleep(startTime)
		for _, name := range []string{"j-0", "j-1", "j-2", "j-3"} {
			f.start(f.t.Context(), name)
		}
		time.Sleep(missingEntryGrace - startTime + promotionBound)
		if diff := cmp.Diff([]fleet.ServerID{"s-2"}, f.promoted()); diff != "" {
			t.Errorf("promoted servers (-want +got):\n%s", diff)
		}
	})
}

// TestOddEntryOfPrimary guards against the replacement of a primary that serves, because
// another writer has overwritten its entry until its next heartbeat.
func TestOddEntryOfPrimary(t *testing.T) {
	startFleet(t, 1, trioSheet(0), "", func(f *testFleet) {
		time.Sleep(12 * time.Second)
		f.store.put(serverTable, "s-1", []byte("odd"))
		const heartbeatInterval = 1200 * time.Millisecond
		time.Sleep(heartbeatInterval)
		f.register("s-1")
		f.writeWithin(f.instances, time.Second, "s-1")
		if diff := cmp.Diff([]fleet.ServerID(nil), f.promoted()); diff != "" {
			t.Errorf("promoted servers (-want +got):\n%s", diff)
		}
	})
}

// TestRestartAfterStoreOutage guards against the replacement of a primary that serves: the
// only instance has restarted after an outage of the store, in which the entries of the
// servers expired, and the entry of a replica that lacks acknowledged commits is back
// first.
func TestRestartAfterStoreOutage(t *testing.T) {
	for name, syncReplicas := range map[string]int{"without synchronous replicas": 0, "with a synchronous replica": 1} {
		t.Run(name, func(t *testing.T) {
			startFleet(t, 0, trioSheet(syncReplicas), "", func(f *testFleet) {
				f.register("s-3")
				ctx, kill := context.WithCancel(f.t.Context())
				f.start(ctx, "i-0")
				time.Sleep(12 * time.Second)
				f.setDeaf("s-3")
				kill()
				f.deregister("s-1", "s-2")
				time.Sleep(time.Second)
				f.start(f.t.Context(), "i-0")
				const returnTime = 1900 * time.Millisecond
				time.Sleep(returnTime)
				f.register("s-1", "s-2")
				f.writeWithin(f.instances[1:], 2*time.Second, "s-1")
				time.Sleep(5 * time.Second)
				if diff := cmp.Diff([]fleet.ServerID(nil), f.promoted()); diff != "" {
					t.Errorf("promoted servers (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestPrimaryReturnsLate guards against a primary that is used again only with the next
// regular heartbeats of the instances, because its entry had expired meanwhile.
func TestPrimaryReturnsLate(t *testing.T) {
	runTrio(t, func(f *testFleet) {
		f.setDeaf("s-3")
		f.setDown(true, "s-1", "s-2")
		time.AfterFunc(entryLifetime, func() { f.deregister("s-1", "s-2") })
		const outage = 7 * time.Second
		time.AfterFunc(outage, func() {
			f.setDown(false, "s-1")
			f.register("s-1")
		})
		f.writeWithin(f.instances, outage+time.Second, "s-1")
	})
}

// TestNoStatusBeforeInstancesLeft guards against a promotion target that is chosen by
// positions from a time when an instance could still acknowledge commits: the leader asked
// for them early because another server was registered as primary.
func TestNoStatusBeforeInstancesLeft(t *testing.T) {
	startFleet(t, 1, trioSheet(1), "", func(f *testFleet) {
		f.register("s-3")
		time.Sleep(12 * time.Second)
		claimant, err := json.Marshal(gateway.BackendServer{Address: "s-2", Born: 1, DataCentre: "z1", Group: "g", ID: "s-2", Primary: true, Slots: 4})
		if err != nil {
			t.Fatal(err)
		}
		f.store.put(serverTable, "s-2", claimant)
		other, err := json.Marshal(gateway.MemberRow{At: time.Since(f.store.startedAt), DataCentre: "z1", Epoch: 1, Phase: workspace.PhaseHolding, Unreachable: []fleet.ServerID{"s-1"}})
		if err != nil {
			t.Fatal(err)
		}
		f.store.putIn("instances-0", instanceTable, "silent", other)
		f.setDown(true, "s-1")
		var writer sync.WaitGroup
		writer.Go(func() {
			f.writeThrough(f.instances[0], promotionBound+primacy.LeaseTime+primacy.LeaseMargin, "s-2")
		})
		const detectionTime = time.Second
		time.Sleep(detectionTime)
		early := 0
		f.servers.set(func(s *testServers) { s.onStatus = func() { early++ } })
		time.Sleep(3 * time.Second)
		f.servers.set(func(s *testServers) { s.onStatus = nil })
		if early > 0 {
			t.Errorf("%d requests for a status while an instance may use the primary, want none", early)
		}
		writer.Wait()
	})
}
