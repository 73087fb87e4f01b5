package backend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

var startTime = time.Unix(1000, 0)

// poolModel is a reference model that performs the actions of a PoolState and checks
// that they are allowed.
type poolModel struct {
	idle, inUse, opening int
	now                  time.Time
	state                *backend.PoolState
	t                    *rapid.T
	waiting              map[backend.WaiterID]time.Time
}

func (m *poolModel) perform(actions []backend.Action) {
	for _, action := range actions {
		deadline, known := m.waiting[action.Waiter]
		switch action.Kind {
		case backend.ActionCloseIdle:
			m.idle--
		case backend.ActionExpire:
			if !known || m.now.Before(deadline) {
				m.t.Fatalf("waiter %d expired before its deadline", action.Waiter)
			}
			delete(m.waiting, action.Waiter)
		case backend.ActionGrant:
			if !known || !m.now.Before(deadline) {
				m.t.Fatalf("waiter %d was granted twice or late", action.Waiter)
			}
			delete(m.waiting, action.Waiter)
			m.idle--
			m.inUse++
		case backend.ActionOpen:
			m.opening++
		case backend.ActionRefuse:
			delete(m.waiting, action.Waiter)
		}
	}
}

// TestPoolStateKeepsLimits guards against more connections than permits, more
// connections in use than slots, and waiters that are lost or granted twice, also
// while the limits change.
func TestPoolStateKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := backend.Limits{Permits: rapid.IntRange(1, 6).Draw(t, "permits"), Slots: rapid.IntRange(1, 4).Draw(t, "slots")}
		m := &poolModel{now: startTime, state: backend.NewPoolState(limits, 2, 100), t: t, waiting: map[backend.WaiterID]time.Time{}}
		maxOpen, maxInUse := limits.Permits, limits.Slots
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := backend.WaiterID(i + 1)
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				if m.state.TryGrant() {
					m.idle--
					m.inUse++
					break
				}
				m.waiting[id] = m.now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "patience")) * time.Second)
				name := fleet.WorkspaceID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"))
				actions, queued := m.state.Enqueue(m.now, workspace.Entry[backend.WaiterID]{Deadline: m.waiting[id], Value: id, Weight: 1, Workspace: name})
				if !queued {
					t.Fatal("queue is full")
				}
				m.perform(actions)
			case 2:
				if m.inUse > 0 {
					healthy := rapid.Bool().Draw(t, "healthy")
					m.inUse--
					if healthy {
						m.idle++
					}
					m.perform(m.state.Release(m.now, healthy))
				}
			case 3:
				if m.opening > 0 {
					ok := rapid.IntRange(0, 3).Draw(t, "ok") > 0
					m.opening--
					if ok {
						m.idle++
					}
					m.perform(m.state.Opened(m.now, ok))
				}
			case 4:
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "pass")) * time.Second)
				m.perform(m.state.Tick(m.now))
			case 5:
				limits = backend.Limits{Permits: rapid.IntRange(0, 6).Draw(t, "permits"), Slots: rapid.IntRange(1, 4).Draw(t, "slots")}
				m.perform(m.state.SetLimits(m.now, limits))
			case 6:
				actions, released := m.state.ReleasePermit(m.now)
				m.perform(actions)
				if released {
					limits.Permits--
				}
				if released && m.idle+m.inUse+m.opening > limits.Permits {
					t.Fatal("a permit in use was released")
				}
			case 7:
				m.perform(m.state.SetMinConnections(m.now, rapid.IntRange(0, 3).Draw(t, "warm")))
			case 8:
				if rapid.IntRange(0, 9).Draw(t, "drain") == 0 {
					m.perform(m.state.Drain())
					m.perform(m.state.SetLimits(m.now, limits))
				}
			}
			// Connections that exceed a lowered limit may stay, but their number
			// must not grow.
			maxOpen = max(limits.Permits, min(maxOpen, m.idle+m.inUse+m.opening))
			maxInUse = max(limits.Slots, min(maxInUse, m.inUse))
			if total := m.idle + m.inUse + m.opening; total > maxOpen || m.inUse > maxInUse || m.opening > 2 || total > m.state.HeldPermits() {
				t.Fatalf("%d idle, %d in use, %d opening exceed %+v", m.idle, m.inUse, m.opening, limits)
			}
			want := backend.Counts{Idle: m.idle, InUse: m.inUse, Opening: m.opening, Waiting: len(m.waiting)}
			if diff := cmp.Diff(want, m.state.Counts()); diff != "" {
				t.Fatalf("counts (-want +got):\n%s", diff)
			}
			if len(m.waiting) > 0 && m.idle > 0 && m.inUse < limits.Slots {
				t.Fatalf("%d requests wait although an idle connection and a slot are free", len(m.waiting))
			}
		}
	})
}

// TestPoolStateIsFair guards against a workspace that sends eight times its share of
// requests taking the shares of the others.
func TestPoolStateIsFair(t *testing.T) {
	weights := map[fleet.WorkspaceID]int{"greedy": 1, "large": 3, "small": 1}
	state := backend.NewPoolState(backend.Limits{Permits: 1, Slots: 1}, 1, 1000)
	owner := map[backend.WaiterID]fleet.WorkspaceID{}
	var id backend.WaiterID
	for _, name := range []fleet.WorkspaceID{"greedy", "large", "small"} {
		backlog := 4 * weights[name]
		if name == "greedy" {
			backlog *= 8
		}
		for range backlog {
			id++
			owner[id] = name
			state.Enqueue(startTime, workspace.Entry[backend.WaiterID]{Deadline: startTime.Add(time.Hour), Value: id, Weight: weights[name], Workspace: name})
		}
	}
	actions := state.Opened(startTime, true)
	for round := range 4 {
		got := map[fleet.WorkspaceID]int{}
		for range 5 {
			if len(actions) == 0 || actions[0].Kind != backend.ActionGrant {
				t.Fatalf("no grant in %v", actions)
			}
			got[owner[actions[0].Waiter]]++
			actions = state.Release(startTime, true)
		}
		if diff := cmp.Diff(weights, got); diff != "" {
			t.Errorf("grants of round %s (-want +got):\n%s", fmt.Sprint(round), diff)
		}
	}
}
