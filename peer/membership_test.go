package peer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/peer"
)

var (
	start = time.Unix(5000, 0)
	selfA = peer.Member{Epoch: 1, Instance: "a"}
	peerB = peer.Member{Epoch: 2, Instance: "b"}
	peerC = peer.Member{Epoch: 3, Instance: "c"}
)

func always(peer.Member) bool { return true }

// TestEpochsAreToldApart guards against a new run that is mistaken for the earlier
// run at the same address, and against a late message of the earlier run that
// replaces the new one.
func TestEpochsAreToldApart(t *testing.T) {
	m := peer.NewMembership(start, selfA)
	fresh := peer.Member{Epoch: 20, Instance: "b"}
	m.RecordMessage(start, peerB, true, false, nil)
	m.RecordMessage(start, fresh, false, false, nil)
	if diff := cmp.Diff([]peer.Member{selfA, peerB}, m.Live(start)); diff != "" {
		t.Errorf("live after a request (-want +got):\n%s", diff)
	}
	m.RecordMessage(start, fresh, true, false, nil)
	m.RecordMessage(start, peerB, true, false, nil)
	if diff := cmp.Diff([]peer.Member{selfA, fresh}, m.Live(start)); diff != "" {
		t.Errorf("live after a response (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(peer.StateReplaced, m.State(start, peerB)); diff != "" {
		t.Errorf("state of the earlier run (-want +got):\n%s", diff)
	}
}

// TestEviction guards against the eviction of a member that others still hear
// from, that may hold a lease granted by this instance, or that has been silent
// only for a short time.
func TestEviction(t *testing.T) {
	roster := peer.Roster{Generation: 4, Members: []peer.Member{selfA, peerB, peerC}}
	for _, tc := range []struct {
		name     string
		after    time.Duration
		reported time.Duration // silence of C as reported by B
		mayEvict bool
		absent   bool
		want     []peer.Member
	}{
		{"ShortSilence", 5 * time.Second, 5 * time.Second, true, false, nil},
		{"OthersHearIt", 12 * time.Second, time.Second, true, false, nil},
		{"VoucherOutstanding", 12 * time.Second, 12 * time.Second, false, false, nil},
		{"SilentToMajority", 12 * time.Second, 12 * time.Second, true, false, []peer.Member{selfA, peerB}},
		{"AbsentFromList", 12 * time.Second, time.Second, true, true, []peer.Member{selfA, peerB}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			proposals := 0
			// The proposer is either A or B, depending on their ranks, so both
			// are tried.
			for _, pair := range [][2]peer.Member{{selfA, peerB}, {peerB, selfA}} {
				m := peer.NewMembership(start, pair[0])
				m.RecordMessage(start, peerC, true, false, nil)
				m.RecordMessage(start, pair[1], true, false, nil)
				if tc.absent {
					m.RecordList(start, []peer.Listed{{Instance: "a"}, {Instance: "b"}})
				}
				now := start.Add(tc.after)
				m.RecordMessage(now, pair[1], true, false, []peer.Liveness{{Member: peerC, Silence: tc.reported}})
				next, ok := m.Proposal(now, roster, false, func(peer.Member) bool { return tc.mayEvict })
				if !ok {
					continue
				}
				proposals++
				if diff := cmp.Diff(tc.want, next); diff != "" {
					t.Errorf("proposal (-want +got):\n%s", diff)
				}
			}
			if want := min(1, len(tc.want)); proposals != want {
				t.Errorf("%d proposals, want %d", proposals, want)
			}
		})
	}
}

// TestMinorityProposesNoEviction guards against a generation whose joint phase
// can never end, because no majority of the previous generation remains.
func TestMinorityProposesNoEviction(t *testing.T) {
	m := peer.NewMembership(start, selfA)
	m.RecordMessage(start, peerB, true, false, nil)
	m.RecordMessage(start, peerC, true, false, nil)
	m.RecordList(start, []peer.Listed{{Instance: "a"}})
	roster := peer.Roster{Generation: 4, Members: []peer.Member{selfA, peerB, peerC}}
	if next, ok := m.Proposal(start.Add(time.Minute), roster, false, always); ok {
		t.Errorf("proposed %v although no majority of the roster answers", next)
	}
}

// TestLeavingMemberIsRemoved guards against a planned stop that takes as long as
// the eviction delay.
func TestLeavingMemberIsRemoved(t *testing.T) {
	m := peer.NewMembership(start, selfA)
	m.RecordMessage(start, peerB, true, true, nil)
	next, ok := m.Proposal(start, peer.Roster{Generation: 4, Members: []peer.Member{selfA, peerB}}, false, always)
	if diff := cmp.Diff([]peer.Member{selfA}, next); !ok || diff != "" {
		t.Errorf("proposal %v (-want +got):\n%s", ok, diff)
	}
}
