//go:build !race

package gateway_test

import (
	"crypto/sha256"
	"encoding/base64"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/owner"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/sheet"
)

const (
	keyLease = 4500 * time.Millisecond
	// withdrawalBound is the time after which nothing runs for a withdrawn key.
	withdrawalBound = 5 * time.Second
)

func digest(key string) [sha256.Size]byte {
	return sha256.Sum256([]byte(key))
}

// keySheet returns a sheet whose workspace w has the given keys.
func keySheet(version fleet.SheetVersion, keys ...string) gateway.SheetUpdate {
	w := sheet.Workspace{Burst: 1000, Rate: 1000, Workspace: "w"}
	for _, key := range keys {
		sum := digest(key)
		w.Keys = append(w.Keys, sheet.Key{Digest: base64.StdEncoding.EncodeToString(sum[:])})
	}
	return gateway.SheetUpdate{Version: version, Sheet: sheet.Sheet{
		// Three instances must use so few connections through their owners.
		Databases:  []sheet.Database{{Connections: 4, Database: "g"}},
		Routes:     []sheet.Route{{Consistency: sheet.ConsistencyPrimary, Database: "db", Group: "g", StatementTimeout: 20_000}},
		Workspaces: []sheet.Workspace{w},
	}}
}

func write(id session.StatementID) session.Statement {
	return session.Statement{ID: id, Kind: session.StatementWrite, Text: "write"}
}

// TestKeyWithdrawnWhileWaiting guards against a statement that is sent to a server long
// after its key was withdrawn, because it was admitted before and then waited: the
// instance that sends it can't learn of the withdrawal, or is not the one that knows
// the key.
func TestKeyWithdrawnWhileWaiting(t *testing.T) {
	const wait = 7 * time.Second
	connect := func(s *testServers) { s.dialTime = wait }
	for _, test := range []struct {
		name      string
		forwarded bool
		// isolated says which instances get no sheet any more.
		isolated func(f *testFleet, caller *testInstance) []*testInstance
		slow     func(*testServers)
		set      bool
	}{
		{name: "connection", isolated: all, slow: connect},
		{name: "connection of the owner", forwarded: true, isolated: all, slow: connect},
		{name: "connection of an owner with the newer sheet", forwarded: true, isolated: justCaller, slow: connect},
		{name: "connection of an owner with the older sheet", forwarded: true, isolated: justOwner, slow: connect},
		{name: "variables", isolated: all, set: true, slow: func(s *testServers) { s.dialTime, s.setupTime = 0, wait }},
	} {
		t.Run(test.name, func(t *testing.T) {
			runFleet(t, 3, keySheet(1, "k"), func(f *testFleet) {
				caller := f.owner()
				if test.forwarded {
					caller = f.other()
				}
				opened := caller.open("k")
				if test.set {
					opened.Do(session.Statement{Kind: session.StatementSet, Name: "a", Value: "1"})
				}
				for _, i := range test.isolated(f, caller) {
					i.isolate()
				}
				withdrawnAt := time.Now()
				f.publish(keySheet(2))
				f.servers.set(test.slow)
				result := opened.Do(write("late"))
				if result.Err == nil || !(result.Err.Kind.NotRun() || result.Err.Kind == session.KindUnauthorized) {
					t.Errorf("outcome %v, want a refusal as not run", result.Err)
				}
				for _, ran := range f.servers.runs("late") {
					if after := ran.at.Sub(withdrawnAt); after > withdrawalBound {
						t.Errorf("the statement was sent %v after the withdrawal", after)
					}
				}
			})
		})
	}
}

func all(f *testFleet, _ *testInstance) []*testInstance { return f.instances }

func justCaller(_ *testFleet, caller *testInstance) []*testInstance {
	return []*testInstance{caller}
}

func justOwner(f *testFleet, _ *testInstance) []*testInstance {
	return []*testInstance{f.owner()}
}

// TestPeerProofIsBounded guards against a proof of another instance that holds for longer
// than any proof can, because the clock of the store was set back.
func TestPeerProofIsBounded(t *testing.T) {
	runFleet(t, 3, keySheet(1, "k"), func(f *testFleet) {
		f.servers.set(func(s *testServers) { s.dialTime = 7 * time.Second })
		storeTime := time.Since(f.store.startedAt)
		batch := session.Batch{Authorization: session.Authorization{SheetVersion: 9}, Commands: []session.Command{{Statement: write("far")}}, Final: true}
		response := f.owner().RunForPeer(owner.Request{
			AuthorizedUntil: storeTime + time.Hour, Batch: batch, Deadline: storeTime + time.Minute, RequirementsDeadline: storeTime + time.Minute,
			Requirements: &session.Requirements{Route: keySheet(1).Sheet.Routes[0], Workspace: "w", Write: true},
		})
		if response.Failure == nil || response.Failure.Kind != session.KindBusy || len(f.servers.runs("far")) > 0 {
			t.Errorf("failure %+v, ran %v, want a refusal as not run", response.Failure, f.servers.runs("far"))
		}
	})
}

// TestKeyProofOutlived guards against a statement of a valid key that is refused because
// it waited for longer than its proof was valid.
func TestKeyProofOutlived(t *testing.T) {
	const wait = 7 * time.Second
	for name, forwarded := range map[string]bool{"own connection": false, "connection of the owner": true} {
		for _, republished := range []bool{false, true} {
			if republished {
				name += ", new sheet"
			}
			t.Run(name, func(t *testing.T) {
				runFleet(t, 3, keySheet(1, "k"), func(f *testFleet) {
					caller := f.owner()
					if forwarded {
						caller = f.other()
					}
					opened := caller.open("k")
					f.servers.set(func(s *testServers) { s.dialTime = wait })
					if republished {
						time.AfterFunc(time.Second, func() { f.publish(keySheet(2, "k", "k-2")) })
					}
					result := opened.Do(write("patient"))
					if result.Err != nil {
						t.Errorf("outcome %v, want success", result.Err)
					}
					if diff := cmp.Diff(1, len(f.servers.runs("patient"))); diff != "" {
						t.Errorf("runs (-want +got):\n%s", diff)
					}
					if attempts := caller.completions[0].Attempts; attempts != 1 && !republished {
						t.Errorf("%d attempts, want 1", attempts)
					}
				})
			})
		}
	}
}

// TestKeyWithdrawn guards against an instance that runs statements of a withdrawn key that
// were sent later than the bound, depending on how it learns of the withdrawal, and
// against one that refuses other keys while it can prove that they are valid.
func TestKeyWithdrawn(t *testing.T) {
	const interval, watched = 100 * time.Millisecond, 9 * time.Second
	for _, test := range []struct {
		name string
		// change is made to each instance just before the withdrawal.
		change func(f *testFleet, i *testInstance)
		// lead is the time between the change and the withdrawal.
		lead time.Duration
		// refusesAll says that the other keys can't be proved to be valid.
		refusesAll bool
	}{
		{name: "read from the store", change: func(_ *testFleet, i *testInstance) { i.setNoRelay(true) }},
		{name: "only through a relay", change: func(f *testFleet, i *testInstance) {
			i.link.set(func(l *storeLink) { l.refused = i != f.relay })
		}},
		{name: "slow store", change: func(_ *testFleet, i *testInstance) {
			i.link.set(func(l *storeLink) { l.delay = 300 * time.Millisecond })
		}},
		{name: "store down", refusesAll: true, change: func(_ *testFleet, i *testInstance) {
			i.link.set(func(l *storeLink) { l.refused = true })
		}},
		{name: "store unresponsive", refusesAll: true, change: func(_ *testFleet, i *testInstance) {
			i.link.set(func(l *storeLink) { l.silent = true })
		}},
		// The responses to long polls were sent before the withdrawal.
		{name: "responses as late as after a suspension", lead: 1700 * time.Millisecond, refusesAll: true, change: func(_ *testFleet, i *testInstance) {
			i.link.set(func(l *storeLink) { l.delay = 6 * time.Second })
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			runFleet(t, 3, keySheet(1, "k", "other"), func(f *testFleet) {
				withdrawn, kept := map[*testInstance]*session.Session{}, map[*testInstance]*session.Session{}
				for _, i := range f.instances {
					withdrawn[i], kept[i] = i.open("k"), i.open("other")
					if result := withdrawn[i].Do(write("before")); result.Err != nil {
						t.Fatalf("before the withdrawal: %v", result.Err)
					}
					test.change(f, i)
				}
				time.Sleep(test.lead)
				withdrawnAt := time.Now()
				f.publish(keySheet(2, "other"))
				for time.Since(withdrawnAt) < watched {
					time.Sleep(interval)
					for _, i := range f.instances {
						sent := time.Since(withdrawnAt)
						if result := withdrawn[i].Do(write("w")); result.Err == nil && sent > withdrawalBound {
							t.Errorf("%s ran a statement that was sent %v after the withdrawal", i.address, sent)
						}
						if result := kept[i].Do(write("o")); result.Err != nil && !test.refusesAll {
							t.Errorf("%s, another key, %v after the withdrawal: %v", i.address, sent, result.Err)
						}
					}
				}
			})
		})
	}
}

// TestKeyMoved guards against a session that keeps the workspace, or the refusal, that its
// key had in an earlier sheet, and against a transaction that goes on for another
// workspace.
func TestKeyMoved(t *testing.T) {
	runFleet(t, 3, keySheet(1, "k"), func(f *testFleet) {
		i := f.other()
		idle, inTransaction := i.open("k"), i.open("k")
		inTransaction.Do(session.Statement{Kind: session.StatementBegin})
		inTransaction.Do(write("first"))
		const inForce = 5 * time.Second
		publish := func(update gateway.SheetUpdate) {
			f.publish(update)
			time.Sleep(inForce)
		}
		moved := keySheet(2)
		moved.Sheet.Workspaces = append(moved.Sheet.Workspaces, keySheet(2, "k").Sheet.Workspaces...)
		moved.Sheet.Workspaces[1].Workspace = "w-2"
		publish(moved)
		if result := inTransaction.Do(write("second")); result.Err == nil || result.Err.Kind != session.KindAborted {
			t.Errorf("in a transaction of the former workspace: %v, want kind Aborted", result.Err)
		}
		if result := idle.Do(write("moved")); result.Err != nil {
			t.Errorf("outside a transaction: %v", result.Err)
		}
		if diff := cmp.Diff(fleet.WorkspaceID("w-2"), i.completions[len(i.completions)-1].Requirements.Workspace); diff != "" {
			t.Errorf("workspace (-want +got):\n%s", diff)
		}
		publish(keySheet(3))
		if result := idle.Do(write("withdrawn")); result.Err == nil || result.Err.Kind != session.KindUnauthorized {
			t.Errorf("withdrawn: %v, want kind Unauthorized", result.Err)
		}
		publish(keySheet(4, "k"))
		if result := idle.Do(write("reinstated")); result.Err != nil {
			t.Errorf("reinstated: %v", result.Err)
		}
		for id, want := range map[session.StatementID]int{"first": 1, "second": 0, "moved": 1, "withdrawn": 0, "reinstated": 1} {
			if diff := cmp.Diff(want, len(f.servers.runs(id))); diff != "" {
				t.Errorf("runs of %s (-want +got):\n%s", id, diff)
			}
		}
	})
}
