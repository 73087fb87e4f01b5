package group_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

var strategies = []group.Strategy{group.FreshnessDistance, group.LeastOutstanding, group.Random, group.SampledTwo}

// freshnessModel is an evidence model that records when each position was the
// newest committed one.
type freshnessModel struct {
	*evidenceModel
	// acknowledgedEnds lists the end of the acknowledged log after each step.
	acknowledgedEnds []group.ConfirmedPosition
}

func (m *freshnessModel) advance() error {
	if err := m.step(); err != nil {
		return err
	}
	var newest fleet.Position
	for p := range m.committed {
		if p.Compare(newest) > 0 {
			newest = p
		}
	}
	m.acknowledgedEnds = append(m.acknowledgedEnds, group.ConfirmedPosition{RoundStart: m.now, Position: newest})
	return nil
}

// acknowledgedBy returns the newest position that had been acknowledged at a time.
func (m *freshnessModel) acknowledgedBy(at time.Time) fleet.Position {
	var newest fleet.Position
	for _, sample := range m.acknowledgedEnds {
		if !sample.RoundStart.After(at) {
			newest = sample.Position
		}
	}
	return newest
}

// TestReadCandidatesCoverRequirement guards against a replica that serves a read
// although its history lacks a position that the session has written or read, or
// although its data may be older than the accepted age.
func TestReadCandidatesCoverRequirement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 8))
		m := &freshnessModel{evidenceModel: newSafeModel(3, random.IntN)}
		for range 200 {
			if err := m.advance(); err != nil {
				t.Fatal(err)
			}
			m.checkCandidates(t, random)
		}
	})
}

func (m *freshnessModel) checkCandidates(t *rapid.T, random *rand.Rand) {
	view := m.views[random.IntN(len(m.views))]
	requirement := group.ReadRequirement{MaxAge: time.Duration(random.IntN(60)) * time.Millisecond}
	if len(m.written) > 0 {
		requirement.Written = m.written[random.IntN(len(m.written))]
		requirement.Seen = m.written[random.IntN(len(m.written))]
	}
	selection := group.ReplicaSelection{Random: random, Strategy: strategies[random.IntN(len(strategies))]}
	for _, id := range group.ReadCandidates(m.now, view, requirement, selection) {
		server, _ := view.Server(id)
		history := server.Status.History
		if id != view.Primary && !history.Contains(requirement.Written) {
			t.Fatalf("candidate %s does not contain the written position %v", id, requirement.Written)
		}
		if seen := group.TruncateToForkPoint(view, requirement.Seen); id != view.Primary && !history.Contains(seen) {
			t.Fatalf("candidate %s does not contain the read position %v", id, seen)
		}
		if requirement.MaxAge == 0 {
			continue
		}
		if id == view.Primary {
			for _, s := range m.servers {
				if s.id == id {
					server.Status.Log = s.position(len(s.log))
				}
			}
		}
		if old := m.acknowledgedBy(m.now.Add(-requirement.MaxAge - time.Millisecond)); server.Status.Log.Compare(old) < 0 {
			t.Fatalf("candidate %s ends at %v, but %v was acknowledged more than %v ago", id, server.Status.Log, old, requirement.MaxAge)
		}
	}
	if position, ok := group.DecideBarrier(view, m.now.Add(-20*time.Millisecond)); ok {
		if old := m.acknowledgedBy(m.now.Add(-21 * time.Millisecond)); position.Compare(old) < 0 {
			t.Fatalf("barrier %v, but %v was acknowledged before the arrival", position, old)
		}
	}
}

// healthyView returns a view of three servers with the given log ends in term 1.
func healthyView(now time.Time, ends map[fleet.ServerID]fleet.LogPosition) group.View {
	view := group.NewView("g", []group.Member{
		{DataCentre: "1", Server: "a"}, {DataCentre: "2", Server: "b"}, {DataCentre: "3", Server: "c"},
	})
	for _, id := range []fleet.ServerID{"a", "b", "c"} {
		status := group.ServerStatus{
			Applied: fleet.Position{Log: ends[id], Term: 1}, History: fleet.History{{First: 1, Term: 1}},
			Log: fleet.Position{Log: ends[id], Term: 1}, PromisedTerm: 1, Role: group.RoleReplica, Server: id, Term: 1,
		}
		if id == "a" {
			status.Role = group.RolePrimary
		}
		view = view.Observe(group.Observation{RespondedAt: now, RequestedAt: now.Add(-time.Millisecond), Server: id, Status: status})
	}
	return view
}

// TestReadCandidatesOrder guards against reads on the primary, on servers that are
// leaving, or on a busier replica while another replica qualifies.
func TestReadCandidatesOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	view := healthyView(now, map[fleet.ServerID]fleet.LogPosition{"a": 20, "b": 20, "c": 10})
	busy := []group.Load{{Outstanding: 2, Server: "b"}, {Outstanding: 1, Server: "c"}}
	for _, tc := range []struct {
		name        string
		selection   group.ReplicaSelection
		requirement group.ReadRequirement
		want        []fleet.ServerID
	}{
		{"LeastBusyFirst", group.ReplicaSelection{Loads: busy, Strategy: group.FreshnessDistance}, group.ReadRequirement{}, []fleet.ServerID{"c", "b", "a"}},
		{"NearestFirst", group.ReplicaSelection{Placement: group.Placement{Local: "3"}, Strategy: group.FreshnessDistance}, group.ReadRequirement{}, []fleet.ServerID{"c", "b", "a"}},
		{"OnlyFresh", group.ReplicaSelection{Strategy: group.FreshnessDistance}, group.ReadRequirement{Written: fleet.Position{Log: 15, Term: 1}}, []fleet.ServerID{"b", "a"}},
		{"NotLeaving", group.ReplicaSelection{Placement: group.Placement{Leaving: []fleet.ServerID{"b"}}, Strategy: group.FreshnessDistance}, group.ReadRequirement{}, []fleet.ServerID{"c", "a"}},
		{"NotOutOfService", group.ReplicaSelection{Placement: group.Placement{OutOfService: []fleet.DataCentre{"3"}}, Strategy: group.FreshnessDistance}, group.ReadRequirement{}, []fleet.ServerID{"b", "a"}},
		{"TooOld", group.ReplicaSelection{Strategy: group.FreshnessDistance}, group.ReadRequirement{MaxAge: time.Microsecond}, []fleet.ServerID{}},
		{"UnknownTerm", group.ReplicaSelection{Strategy: group.FreshnessDistance}, group.ReadRequirement{Written: fleet.Position{Log: 1, Term: 2}}, []fleet.ServerID{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, group.ReadCandidates(now, view, tc.requirement, tc.selection)); diff != "" {
				t.Errorf("candidates (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTruncateToForkPoint guards against sessions that wait forever for a
// position that was lost in a change of primary.
func TestTruncateToForkPoint(t *testing.T) {
	view := group.View{EstablishedHistory: fleet.History{{First: 1, Term: 1}, {First: 11, Term: 3}}}
	for _, tc := range []struct {
		position, want fleet.Position
	}{
		{fleet.Position{Log: 10, Term: 1}, fleet.Position{Log: 10, Term: 1}},
		{fleet.Position{Log: 11, Term: 1}, fleet.Position{Log: 10, Term: 1}},
		{fleet.Position{Log: 12, Term: 2}, fleet.Position{Log: 10, Term: 1}},
		{fleet.Position{Log: 99, Term: 3}, fleet.Position{Log: 99, Term: 3}},
		{fleet.Position{Log: 99, Term: 4}, fleet.Position{Log: 99, Term: 4}},
	} {
		if diff := cmp.Diff(tc.want, group.TruncateToForkPoint(view, tc.position)); diff != "" {
			t.Errorf("TruncateToForkPoint(%v) (-want +got):\n%s", tc.position, diff)
		}
		if got, want := group.IsLost(view, tc.position), tc.position != tc.want; got != want {
			t.Errorf("IsLost(%v) = %v, want %v", tc.position, got, want)
		}
	}
	if slices.Contains([]bool{group.IsLost(view, fleet.Position{})}, true) {
		t.Error("IsLost is true for the zero position")
	}
}
