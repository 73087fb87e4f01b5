package primacy_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/primacy"
)

var now = time.Unix(1_000_000, 0)

// changingGroup returns a group whose change of primary began a second ago.
func changingGroup(reason primacy.Reason) primacy.Situation {
	return primacy.Situation{
		GenerationSeenAt: now.Add(-time.Second),
		Members:          []primacy.Member{{Left: 2, Live: true}},
		Record:           primacy.Record{Generation: 2, Phase: primacy.PhaseChanging, Primary: "old", Reason: reason, Term: 1},
	}
}

// replica returns a replica whose status is of the given age.
func replica(id fleet.ServerID, log fleet.LogPosition, age time.Duration) primacy.Server {
	return primacy.Server{
		Eligible: true, ID: id, Position: fleet.Position{Term: 1, Log: log}, Registered: true,
		Role: primacy.RoleReplica, StatusAt: now.Add(-age), Term: 1,
	}
}

// recordServers returns the servers as the record lists them.
func recordServers(servers ...primacy.Server) []primacy.GroupServer {
	var recorded []primacy.GroupServer
	for _, server := range servers {
		recorded = append(recorded, primacy.GroupServer{Address: server.Address, Born: server.Born, ID: server.ID})
	}
	return recorded
}

// TestPromotionCandidate guards against a promotion target that lacks commits
// of another server that has answered, that is draining, or whose position was
// reported before the change. With synchronous replicas, it guards against the loss of
// an acknowledged commit that only a draining server has received.
func TestPromotionCandidate(t *testing.T) {
	draining := replica("c", 9, 0)
	draining.Eligible = false
	for _, test := range []struct {
		name    string
		reason  primacy.Reason
		servers []primacy.Server
		sync    int
		want    fleet.ServerID
	}{
		{name: "longest log", reason: primacy.ReasonFailure, servers: []primacy.Server{replica("a", 5, 0), replica("b", 7, 0)}, want: "b"},
		{name: "position from before the change", reason: primacy.ReasonFailure, servers: []primacy.Server{replica("a", 5, 0), replica("b", 7, 2*time.Second)}, want: "a"},
		{name: "draining server", reason: primacy.ReasonFailure, servers: []primacy.Server{replica("a", 5, 0), draining}, want: "a"},
		{name: "none answers", reason: primacy.ReasonFailure, servers: []primacy.Server{replica("a", 5, 2*time.Second)}},
		{name: "not enough for a synchronous commit", reason: primacy.ReasonFailure, sync: 1, servers: []primacy.Server{replica("a", 5, 0), replica("b", 7, 2*time.Second)}},
		{name: "enough for a synchronous commit", reason: primacy.ReasonFailure, sync: 1, servers: []primacy.Server{replica("a", 5, 0), replica("b", 7, 0)}, want: "b"},
		{name: "draining server has the last synchronous commit", reason: primacy.ReasonFailure, sync: 1, servers: []primacy.Server{replica("a", 5, 0), draining}, want: "c"},
		{name: "draining server has the last synchronous commit in a handover", reason: primacy.ReasonHandover, sync: 1, servers: []primacy.Server{replica("a", 5, 0), draining}, want: "c"},
		{name: "draining server has no longer log", reason: primacy.ReasonFailure, sync: 1, servers: []primacy.Server{draining, replica("d", 9, 0)}, want: "d"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := changingGroup(test.reason)
			s.Servers, s.SyncReplicas = test.servers, test.sync
			s.Record.Servers = recordServers(append(slices.Clone(test.servers), primacy.Server{ID: "old"})...)
			step := primacy.Decide(now, s)
			if diff := cmp.Diff(test.want, step.Record.Target); diff != "" {
				t.Errorf("target (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPrimaryUnreachable guards against a primary that is replaced because a
// minority of instances can't reach it, and against an unreachable one that is
// never replaced.
func TestPrimaryUnreachable(t *testing.T) {
	for _, test := range []struct {
		name    string
		members []primacy.Member
		want    primacy.StepKind
	}{
		{name: "nobody", members: []primacy.Member{{Live: true}, {Live: true}}, want: primacy.StepNone},
		{name: "one of three", members: []primacy.Member{{Live: true, Unreachable: true}, {Live: true}, {Live: true}}, want: primacy.StepNone},
		{name: "two of three", members: []primacy.Member{{Live: true, Unreachable: true}, {Live: true, Unreachable: true}, {Live: true}}, want: primacy.StepWrite},
		{name: "the only live instance", members: []primacy.Member{{Live: true, Unreachable: true}, {}, {}}, want: primacy.StepWrite},
		{name: "only bystanders don't report it", members: []primacy.Member{{Live: true, Unreachable: true}, {Bystander: true, Live: true}, {Bystander: true, Live: true}}, want: primacy.StepWrite},
		{name: "only bystanders report it", members: []primacy.Member{{Live: true}, {Bystander: true, Live: true, Unreachable: true}, {Bystander: true, Live: true, Unreachable: true}}, want: primacy.StepNone},
		{name: "unreachable only for instances with expired leases", members: []primacy.Member{{Live: true}, {Unreachable: true}, {Unreachable: true}}, want: primacy.StepNone},
	} {
		t.Run(test.name, func(t *testing.T) {
			step := primacy.Decide(now, primacy.Situation{
				Members: test.members,
				Record:  primacy.Record{Generation: 1, Phase: primacy.PhaseServing, Primary: "old", Term: 1},
				Servers: []primacy.Server{replica("a", 5, 0), {Eligible: true, ID: "old", Registered: true}},
			})
			if diff := cmp.Diff(test.want, step.Kind); diff != "" {
				t.Errorf("step (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReplaceableByDrainingServer guards against a handover between two draining servers,
// which would not end, and against a failed primary that is not replaced although a
// draining server has all synchronous commits.
func TestReplaceableByDrainingServer(t *testing.T) {
	draining := replica("a", 5, 0)
	draining.Eligible = false
	for _, test := range []struct {
		name        string
		sync        int
		unreachable bool
		want        primacy.StepKind
	}{
		{name: "handover", sync: 1, want: primacy.StepNone},
		{name: "failure with synchronous replicas", sync: 1, unreachable: true, want: primacy.StepWrite},
		{name: "failure without synchronous replicas", unreachable: true, want: primacy.StepNone},
	} {
		t.Run(test.name, func(t *testing.T) {
			step := primacy.Decide(now, primacy.Situation{
				Members:      []primacy.Member{{Live: true, Unreachable: test.unreachable}},
				Record:       primacy.Record{Generation: 1, Phase: primacy.PhaseServing, Primary: "old", Servers: recordServers(draining, primacy.Server{ID: "old"}), Term: 1},
				Servers:      []primacy.Server{draining, {ID: "old", Registered: true}},
				SyncReplicas: test.sync,
			})
			if diff := cmp.Diff(test.want, step.Kind); diff != "" {
				t.Errorf("step (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHandoverWaitsForTheLog guards against a handover that loses commits which
// the old primary has acknowledged, and against one to a draining server while another
// one catches up.
func TestHandoverWaitsForTheLog(t *testing.T) {
	s := changingGroup(primacy.ReasonHandover)
	s.GenerationSeenAt, s.SyncReplicas = now.Add(-100*time.Millisecond), 1
	old, draining := replica("old", 9, 0), replica("b", 9, 0)
	old.Role, draining.Eligible = primacy.RolePrimary, false
	s.Servers = []primacy.Server{replica("a", 8, 0), draining, old}
	if step := primacy.Decide(now, s); step.Kind != primacy.StepStatus {
		t.Errorf("step %+v, want StepStatus until the replica has all of the log", step)
	}
	s.Servers[0] = replica("a", 9, 0)
	if step := primacy.Decide(now, s); step.Record.Target != "a" {
		t.Errorf("step %+v, want a write with target a", step)
	}
}

// TestPromotionEvidence guards against a promotion that counts as done before it has
// taken effect, because the target still reports to be the primary of an earlier term. It
// also guards against one that never counts as done, because the target is the recorded
// primary, which has returned under another ID.
func TestPromotionEvidence(t *testing.T) {
	target := replica("a", 5, 0)
	earlierTerm := target
	earlierTerm.Role = primacy.RolePrimary
	sameTerm, laterTerm, outdated := earlierTerm, earlierTerm, earlierTerm
	sameTerm.Term, laterTerm.Term, outdated.Term = 2, 3, 3
	outdated.StatusAt = now.Add(-2 * time.Second)
	for _, test := range []struct {
		name   string
		target primacy.Server
		want   fleet.Term
	}{
		{name: "replica", target: target},
		{name: "primary of an earlier term", target: earlierTerm},
		{name: "status from before the change", target: outdated},
		{name: "recorded primary under another ID", target: sameTerm, want: 2},
		{name: "primary of a later term", target: laterTerm, want: 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := changingGroup(primacy.ReasonFailure)
			s.LastOrderAt = now.Add(-100 * time.Millisecond)
			s.Record.Target, s.Record.Term = "a", 2
			s.Servers = []primacy.Server{test.target}
			step := primacy.Decide(now, s)
			if test.want == 0 {
				if diff := cmp.Diff(primacy.Step{Kind: primacy.StepStatus}, step); diff != "" {
					t.Errorf("step (-want +got):\n%s", diff)
				}
				return
			}
			if step.Record.Phase != primacy.PhaseServing || step.Record.Primary != "a" || step.Record.Term != test.want {
				t.Errorf("step %+v, want a record that serves with a in term %d", step, test.want)
			}
		})
	}
}

// TestDivergedServer guards against the promotion of a server that was cut off while
// another one led the record's term. Its log may have commits that were rolled back then,
// and reads of that term would turn out to have been stale. The recorded primary is used
// again if it returns instead.
func TestDivergedServer(t *testing.T) {
	history := fleet.History{{First: 1, Term: 1}, {First: 6, Term: 2}}
	returned := replica("old", 9, 0)
	returned.Position.Term, returned.Role, returned.Term = 2, primacy.RolePrimary, 2
	steppedDown := returned
	steppedDown.Role = primacy.RoleReplica
	following := replica("b", 5, 0)
	following.Term = 2
	changing := primacy.Record{Generation: 2, History: history, Phase: primacy.PhaseChanging, Primary: "old", Reason: primacy.ReasonFailure, Term: 2}
	renamed := returned
	renamed.ID = "c"
	silentLeader := renamed
	silentLeader.StatusAt, silentLeader.Term = now.Add(-2*time.Second), 3
	promoted := replica("a", 6, 0)
	promoted.Role, promoted.Term = primacy.RolePrimary, 3
	targetA, targetB, targetC, targetOld := changing, changing, changing, changing
	targetA.Target, targetA.Orders = "a", 1
	targetB.Target, targetB.Orders = "b", 1
	targetC.Target, targetC.Orders = "c", 1
	targetOld.Target, targetOld.Orders = "old", 1
	serving := primacy.Record{Generation: 3, History: history, Phase: primacy.PhaseServing, Primary: "old", Term: 2}
	blocked := primacy.Step{Blocked: true, Kind: primacy.StepStatus}
	for _, test := range []struct {
		name        string
		servers     []primacy.Server
		unreachable bool
		want        primacy.Step
	}{
		{name: "log goes on beyond the fork point", servers: []primacy.Server{replica("a", 6, 0)}, want: blocked},
		{name: "log ends at the fork point", servers: []primacy.Server{replica("a", 5, 0)}, want: primacy.Step{Kind: primacy.StepWrite, Record: targetA}},
		{name: "another one follows the term", servers: []primacy.Server{replica("a", 6, 0), following}, want: primacy.Step{Kind: primacy.StepWrite, Record: targetB}},
		{name: "primary has returned", servers: []primacy.Server{replica("a", 6, 0), returned}, want: primacy.Step{Kind: primacy.StepWrite, Record: serving}},
		{name: "primary has returned under another ID", servers: []primacy.Server{replica("a", 6, 0), following, renamed}, want: primacy.Step{Kind: primacy.StepWrite, Record: targetC}},
		{name: "primary has returned after another promotion", servers: []primacy.Server{promoted, returned}, want: primacy.Step{Kind: primacy.StepWrite, Record: targetA}},
		{name: "primary has returned after a promotion of a server that is silent", servers: []primacy.Server{replica("a", 6, 0), silentLeader, returned}, want: primacy.Step{Kind: primacy.StepWrite, Record: targetOld}},
		{name: "promoted by an operator", servers: []primacy.Server{promoted}, want: primacy.Step{Kind: primacy.StepWrite, Record: targetA}},
		{name: "primary has returned for few instances", servers: []primacy.Server{replica("a", 6, 0), returned}, unreachable: true, want: blocked},
		{name: "primary has returned as a replica", servers: []primacy.Server{replica("a", 6, 0), steppedDown}, want: primacy.Step{Kind: primacy.StepWrite, Record: targetOld}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := changingGroup(primacy.ReasonFailure)
			s.Members[0].Unreachable = test.unreachable
			s.Record, s.Servers = changing, test.servers
			if diff := cmp.Diff(test.want, primacy.Decide(now, s)); diff != "" {
				t.Errorf("step (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHistory guards against a record whose history has commits that the primary lacks,
// because it is taken over from the record before.
func TestHistory(t *testing.T) {
	before := fleet.History{{First: 1, Term: 1}, {First: 6, Term: 2}}
	for _, test := range []struct {
		name     string
		position fleet.Position
		term     fleet.Term
		want     fleet.History
	}{
		{name: "log of the last term", position: fleet.Position{Term: 2, Log: 9}, term: 3, want: fleet.History{{First: 1, Term: 1}, {First: 6, Term: 2}, {First: 10, Term: 3}}},
		{name: "log of an earlier term", position: fleet.Position{Term: 1, Log: 4}, term: 3, want: fleet.History{{First: 1, Term: 1}, {First: 5, Term: 3}}},
		{name: "log of an unknown term", position: fleet.Position{Term: 3, Log: 9}, term: 4, want: fleet.History{{First: 10, Term: 4}}},
		{name: "recorded primary under another ID", position: fleet.Position{Term: 2, Log: 9}, term: 2, want: before},
		{name: "commits in the new term", position: fleet.Position{Term: 3, Log: 9}, term: 3, want: fleet.History{{First: 1, Term: 3}}},
		{name: "empty log", term: 3, want: fleet.History{{First: 1, Term: 3}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := changingGroup(primacy.ReasonFailure)
			s.Record.History, s.Record.Target, s.Record.Term = before, "a", 2
			target := replica("a", 0, 0)
			target.Position, target.Role, target.Term = test.position, primacy.RolePrimary, test.term
			s.Servers = []primacy.Server{target}
			if diff := cmp.Diff(test.want, primacy.Decide(now, s).Record.History); diff != "" {
				t.Errorf("history (-want +got):\n%s", diff)
			}
		})
	}
}
