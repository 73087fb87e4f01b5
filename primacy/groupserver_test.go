package primacy_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/primacy"
)

// at returns a replica with its address and start time.
func at(server primacy.Server, address string, born int64) primacy.Server {
	server.Address, server.Born = address, born
	return server
}

// asPrimary returns a server as primary.
func asPrimary(server primacy.Server) primacy.Server {
	server.Role = primacy.RolePrimary
	return server
}

// absent returns a server without a registration.
func absent(id fleet.ServerID, gone bool) primacy.Server {
	return primacy.Server{Gone: gone, ID: id}
}

// unregistered returns a server that has answered without being registered.
func unregistered(server primacy.Server) primacy.Server {
	server.Registered = false
	return server
}

// TestMissingServers guards against the loss of commits that were acknowledged by the
// primary and one replica when both are missing: a third server was promoted as soon as
// the registration of that replica had lapsed. It also guards against a group that waits
// for missing servers although their commits are on others, or for ever.
func TestMissingServers(t *testing.T) {
	old, a, b := at(replica("old", 9, 0), "1", 1), at(replica("a", 9, 0), "2", 1), at(replica("b", 7, 0), "3", 1)
	recorded := recordServers(a, b, old)
	goneAt := func(log fleet.LogPosition) []primacy.GroupServer {
		servers := recordServers(a, b, old)
		servers[0].GoneAt = fleet.Position{Log: log, Term: 1}
		return servers
	}
	serving := primacy.Step{Kind: primacy.StepWrite, Record: primacy.Record{Generation: 3, Phase: primacy.PhaseServing, Primary: "old", Servers: recorded, Term: 1}}
	waits := primacy.Step{Kind: primacy.StepStatus, Missing: []fleet.ServerID{"a"}, Unproven: true}
	promotes := func(id fleet.ServerID) primacy.Step {
		return primacy.Step{Kind: primacy.StepWrite, Record: primacy.Record{Target: id}}
	}
	unproven := promotes("b")
	unproven.Missing, unproven.Unproven = waits.Missing, true
	silent := func(server primacy.Server) primacy.Server {
		server.StatusAt = now.Add(-time.Minute)
		return server
	}
	neverAnswered := at(primacy.Server{Eligible: true, ID: "c", Registered: true}, "4", 1)
	for _, test := range []struct {
		name        string
		recorded    []primacy.GroupServer
		servers     []primacy.Server
		waited      time.Duration
		unreachable bool
		want        primacy.Step
	}{
		{name: "replica is gone", servers: []primacy.Server{absent("a", true), b, absent("old", true)}, want: waits},
		{name: "replica is not known yet", servers: []primacy.Server{absent("a", false), b, absent("old", false)}, want: waits},
		{name: "replica does not answer", servers: []primacy.Server{silent(a), b, silent(old)}, want: waits},
		{name: "replica has answered", servers: []primacy.Server{a, b, absent("old", true)}, want: promotes("a")},
		{name: "primary has returned", servers: []primacy.Server{absent("a", true), b, asPrimary(old)}, want: serving},
		{name: "primary has returned as a replica", servers: []primacy.Server{absent("a", true), b, old}, want: promotes("old")},
		{name: "primary has returned under another ID", servers: []primacy.Server{absent("a", true), b, at(replica("c", 9, 0), "1", 2), absent("old", true)}, want: promotes("c")},
		{name: "primary has started again without its log", servers: []primacy.Server{absent("a", true), b, asPrimary(at(replica("old", 0, 0), "1", 2))}, want: waits},
		{name: "primary answers few instances and has more commits", unreachable: true, servers: []primacy.Server{absent("a", true), b, asPrimary(old)}, want: waits},
		{name: "primary answers few instances and has no more commits", unreachable: true, servers: []primacy.Server{absent("a", true), b, asPrimary(at(replica("old", 7, 0), "1", 1))}, want: promotes("b")},
		{name: "commits of a gone replica are on the other one", recorded: goneAt(7), servers: []primacy.Server{absent("a", true), b, absent("old", true)}, want: promotes("b")},
		{name: "commits of a gone replica are not on the other one", recorded: goneAt(8), servers: []primacy.Server{absent("a", true), b, absent("old", true)}, want: waits},
		{name: "gone replica has returned and does not answer", recorded: goneAt(7), servers: []primacy.Server{silent(a), b, absent("old", true)}, want: waits},
		{name: "replica is not registered and has no more commits", servers: []primacy.Server{unregistered(at(replica("a", 7, 0), "2", 1)), b, absent("old", true)}, want: promotes("b")},
		{name: "replica is not registered and has more commits", servers: []primacy.Server{unregistered(a), b, absent("old", true)}, want: waits},
		{name: "replica is not registered and has no log", servers: []primacy.Server{unregistered(at(replica("a", 0, 0), "2", 1)), b, absent("old", true)}, want: waits},
		{name: "primary is not registered and has no more commits", unreachable: true, servers: []primacy.Server{absent("a", true), b, unregistered(asPrimary(at(replica("old", 7, 0), "1", 1)))}, want: promotes("b")},
		{name: "replica replaced at its address", servers: []primacy.Server{absent("a", true), b, at(replica("c", 8, 0), "2", 2), absent("old", true)}, want: promotes("c")},
		{name: "replica replaced at its address, without its log", servers: []primacy.Server{absent("a", true), b, at(replica("c", 0, 0), "2", 2), absent("old", true)}, want: waits},
		{name: "replica replaced at another address", servers: []primacy.Server{absent("a", true), b, at(replica("c", 8, 0), "4", 2), absent("old", true)}, want: waits},
		{name: "replica has started again with its log", servers: []primacy.Server{at(a, "2", 2), b, absent("old", true)}, want: promotes("a")},
		{name: "replica has started again without its log", servers: []primacy.Server{at(replica("a", 0, 0), "2", 2), b, absent("old", true)}, want: waits},
		{name: "new replica does not answer", servers: []primacy.Server{a, b, silent(at(replica("c", 8, 0), "4", 1)), absent("old", true)}, want: primacy.Step{Kind: primacy.StepStatus, Missing: []fleet.ServerID{"c"}, Unproven: true}},
		{name: "two new replicas do not answer", servers: []primacy.Server{b, silent(at(replica("c", 8, 0), "4", 1)), absent("a", true), absent("old", true)}, want: primacy.Step{Kind: primacy.StepStatus, Missing: []fleet.ServerID{"a", "c"}, Unproven: true}},
		{name: "entry whose server has never answered", servers: []primacy.Server{a, b, neverAnswered, absent("old", true)}, want: promotes("a")},
		{name: "servers were never recorded", recorded: []primacy.GroupServer{}, servers: []primacy.Server{a, b}, want: primacy.Step{Kind: primacy.StepStatus, Unproven: true}},
		{name: "waited for long", waited: 15 * time.Second, servers: []primacy.Server{absent("a", true), b, absent("old", true)}, want: unproven},
		{name: "waited for long, and the primary has returned", waited: 15 * time.Second, servers: []primacy.Server{absent("a", true), b, asPrimary(old)}, want: serving},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := changingGroup(primacy.ReasonFailure)
			if test.waited != 0 {
				s.GenerationSeenAt = now.Add(-test.waited)
			}
			s.Members[0].Unreachable = test.unreachable
			s.Record.Servers, s.Servers, s.SyncReplicas = recorded, test.servers, 1
			if test.recorded != nil {
				s.Record.Servers = test.recorded
			}
			step := primacy.Decide(now, s)
			if test.want.Record.Target != "" {
				step.Record = primacy.Record{Target: step.Record.Target}
			}
			if diff := cmp.Diff(test.want, step); diff != "" {
				t.Errorf("step (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRecordedServers guards against servers that may hold acknowledged commits and leave
// the record because their registration is missing, and against ones that stay in it
// although they are gone and others have their commits.
func TestRecordedServers(t *testing.T) {
	old, a, b := asPrimary(at(replica("old", 9, 0), "1", 1)), at(replica("a", 9, 0), "2", 1), at(replica("b", 7, 0), "3", 1)
	all := recordServers(a, b, old)
	goneAt := func(log fleet.LogPosition) []primacy.GroupServer {
		servers := recordServers(a, b, old)
		servers[0].GoneAt = fleet.Position{Log: log, Term: 1}
		return servers
	}
	status := primacy.Step{Kind: primacy.StepStatus}
	writes := func(servers []primacy.GroupServer) primacy.Step {
		return primacy.Step{Kind: primacy.StepWrite, Record: primacy.Record{Servers: servers}}
	}
	silentPrimary := old
	silentPrimary.StatusAt = now.Add(-time.Second)
	odd := at(primacy.Server{ID: "c", Registered: true}, "4", 1)
	elsewhere, inPlace, emptyInPlace := at(replica("c", 8, 0), "4", 1), at(replica("c", 8, 0), "2", 2), at(replica("c", 0, 0), "2", 2)
	for _, test := range []struct {
		name     string
		recorded []primacy.GroupServer
		servers  []primacy.Server
		async    bool
		want     primacy.Step
	}{
		{name: "first record", servers: []primacy.Server{a, b, old}, want: writes(all)},
		{name: "unchanged", recorded: all, servers: []primacy.Server{a, b, old}, want: primacy.Step{Kind: primacy.StepNone}},
		{name: "no synchronous replicas", servers: []primacy.Server{a, b, old}, async: true, want: primacy.Step{Kind: primacy.StepNone}},
		{name: "primary has not answered", servers: []primacy.Server{a, b, silentPrimary}, want: status},
		{name: "primary leads another term", servers: []primacy.Server{a, b, replica("old", 9, 0)}, want: status},
		{name: "new server", recorded: all, servers: []primacy.Server{a, b, elsewhere, old}, want: writes(recordServers(a, b, elsewhere, old))},
		{name: "entry whose server has never answered", recorded: all, servers: []primacy.Server{a, b, odd, old}, want: status},
		{name: "not registered, but running", recorded: all, servers: []primacy.Server{unregistered(a), b, old}, want: status},
		{name: "registration missing", recorded: all, servers: []primacy.Server{absent("a", false), b, old}, want: status},
		{name: "gone", recorded: all, servers: []primacy.Server{absent("a", true), b, old}, want: writes(goneAt(9))},
		{name: "gone, the other replica lacks commits", recorded: goneAt(8), servers: []primacy.Server{absent("a", true), b, old}, want: status},
		{name: "gone, the other replica has its commits", recorded: goneAt(7), servers: []primacy.Server{absent("a", true), b, old}, want: writes(recordServers(b, old))},
		{name: "gone, only the primary has its commits", recorded: goneAt(8), servers: []primacy.Server{absent("a", true), absent("b", false), old}, want: status},
		{name: "back", recorded: goneAt(7), servers: []primacy.Server{a, b, old}, want: writes(all)},
		{name: "replaced at its address", recorded: all, servers: []primacy.Server{absent("a", false), b, inPlace, old}, want: writes(append(goneAt(9)[:2:2], recordServers(inPlace, old)...))},
		{name: "replaced at its address by one with its commits", recorded: goneAt(8), servers: []primacy.Server{absent("a", false), b, inPlace, old}, want: writes(recordServers(b, inPlace, old))},
		{name: "replaced at its address, without its log", recorded: all, servers: []primacy.Server{absent("a", false), b, emptyInPlace, old}, want: writes(recordServers(a, b, emptyInPlace, old))},
		{name: "replaced at another address", recorded: goneAt(8), servers: []primacy.Server{absent("a", true), b, elsewhere, old}, want: writes(recordServers(b, elsewhere, old))},
		{name: "started again", recorded: all, servers: []primacy.Server{at(a, "2", 2), b, old}, want: writes(recordServers(at(a, "2", 2), b, old))},
		{name: "started again and has not answered since", recorded: all, servers: []primacy.Server{at(replica("a", 9, time.Second), "2", 2), b, old}, want: status},
		{name: "started again without its log", recorded: all, servers: []primacy.Server{at(replica("a", 0, 0), "2", 2), b, old}, want: status},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := primacy.Situation{
				Members: []primacy.Member{{Live: true}},
				Record:  primacy.Record{Generation: 1, Phase: primacy.PhaseServing, Primary: "old", Servers: test.recorded, Term: 1},
				Servers: test.servers, SyncReplicas: 1,
			}
			if test.async {
				s.SyncReplicas = 0
			}
			step := primacy.Decide(now, s)
			if step.Kind == primacy.StepWrite {
				want := s.Record
				want.Servers = test.want.Record.Servers
				test.want.Record = want
			}
			if diff := cmp.Diff(test.want, step, cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("step (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHandoverWithoutTarget guards against handovers that follow each other without a
// pause, each of which interrupts writes, because no replica is known to have all commits.
func TestHandoverWithoutTarget(t *testing.T) {
	old, b := asPrimary(at(replica("old", 9, 0), "1", 1)), at(replica("b", 7, 0), "3", 1)
	old.Eligible = false
	s := changingGroup(primacy.ReasonHandover)
	s.GenerationSeenAt, s.SyncReplicas = now.Add(-1500*time.Millisecond), 1
	s.Record.Servers = recordServers(at(replica("a", 9, 0), "2", 1), b, old)
	s.Servers = []primacy.Server{absent("a", false), b, old}
	step := primacy.Decide(now, s)
	if step.Record.Phase != primacy.PhaseServing || step.Record.Primary != "old" {
		t.Fatalf("step %+v, want a record that serves with old", step)
	}
	s.Record, s.GenerationSeenAt = step.Record, now
	for _, test := range []struct {
		after time.Duration
		want  primacy.Phase
	}{{after: 4 * time.Second}, {after: 5 * time.Second, want: primacy.PhaseChanging}} {
		if got := primacy.Decide(now.Add(test.after), s).Record.Phase; got != test.want {
			t.Errorf("after %v the phase is written as %q, want %q", test.after, got, test.want)
		}
	}
}
