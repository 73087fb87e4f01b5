package workspace_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

var queueStart = time.Unix(1000, 0)

// TestQueueSharesByWeight guards against a workspace with a long backlog that gets more
// requests in a round than its weight, at the expense of the others.
func TestQueueSharesByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[fleet.WorkspaceID]int{}
		queue := workspace.NewQueue[int](1000)
		round := 0
		for _, name := range []fleet.WorkspaceID{"a", "b", "c", "d"} {
			weights[name] = rapid.IntRange(1, 4).Draw(t, "weight")
			round += weights[name]
			backlog := 3 * weights[name]
			if name == "a" {
				backlog *= 8
			}
			for range backlog {
				queue.Push(workspace.Entry[int]{Deadline: queueStart.Add(time.Hour), Weight: weights[name], Workspace: name})
			}
		}
		for range 3 {
			got := map[fleet.WorkspaceID]int{}
			for range round {
				entry, found, _ := queue.Pop(queueStart)
				if !found {
					t.Fatal("queue is empty")
				}
				got[entry.Workspace]++
			}
			if diff := cmp.Diff(weights, got); diff != "" {
				t.Fatalf("entries of one round (-want +got):\n%s", diff)
			}
		}
	})
}

// TestQueueLosesNothing guards against entries that are lost or returned
// twice, or returned after their deadline.
func TestQueueLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := workspace.NewQueue[int](1000)
		now := queueStart
		waiting := map[int]time.Time{}
		take := func(entries []workspace.Entry[int], isExpired bool) {
			for _, entry := range entries {
				deadline, known := waiting[entry.Value]
				if !known || isExpired == now.Before(deadline) {
					t.Fatalf("entry %d: known %v, expired %v, deadline %v at %v", entry.Value, known, isExpired, deadline, now)
				}
				delete(waiting, entry.Value)
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				deadline := now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "patience")) * time.Second)
				name := fleet.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"))
				waiting[i] = deadline
				queue.Push(workspace.Entry[int]{Deadline: deadline, Value: i, Weight: rapid.IntRange(0, 3).Draw(t, "weight"), Workspace: name})
			case 2:
				entry, found, expired := queue.Pop(now)
				take(expired, true)
				if found {
					take([]workspace.Entry[int]{entry}, false)
				}
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "pass")) * time.Second)
				take(queue.Expire(now), true)
			case 4:
				victim := rapid.IntRange(0, 60).Draw(t, "victim")
				want := 0
				if _, known := waiting[victim]; known {
					want = 1
				}
				if got := queue.Remove(func(value int) bool { return value == victim }); got != want {
					t.Fatalf("Remove(%d) = %d, want %d", victim, got, want)
				}
				delete(waiting, victim)
			}
			if diff := cmp.Diff(len(waiting), queue.Len()); diff != "" {
				t.Fatalf("length (-want +got):\n%s", diff)
			}
		}
	})
}

// TestQueuePriority guards against a request that waits behind requests of lower
// priority of its workspace, and against high-priority requests that delay another
// workspace.
func TestQueuePriority(t *testing.T) {
	q := workspace.NewQueue[string](10)
	for _, entry := range []workspace.Entry[string]{
		{Priority: 2, Value: "a later", Workspace: "a"},
		{Priority: 0, Value: "a urgent", Workspace: "a"},
		{Priority: 2, Value: "b", Workspace: "b"},
		{Priority: 0, Value: "a urgent too", Workspace: "a"},
	} {
		entry.Deadline = start.Add(time.Hour)
		if !q.Push(entry) {
			t.Fatalf("%q was refused", entry.Value)
		}
	}
	var got []string
	for q.Len() > 0 {
		entry, _, _ := q.Pop(start)
		got = append(got, entry.Value)
	}
	if diff := cmp.Diff([]string{"a urgent", "b", "a urgent too", "a later"}, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}
