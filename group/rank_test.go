package group_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

func manyInstances(n int) []fleet.InstanceID {
	var live []fleet.InstanceID
	for i := range n {
		live = append(live, fleet.InstanceID(fmt.Sprintf("i%d", i)))
	}
	return live
}

// TestPollers guards against instances that disagree on the pollers of a group,
// and against a poller that is replaced although it stays live.
func TestPollers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := manyInstances(rapid.IntRange(0, 12).Draw(t, "live"))
		count := rapid.IntRange(0, 4).Draw(t, "count")
		id := fleet.GroupID(rapid.StringN(1, 8, 8).Draw(t, "group"))
		pollers := group.Pollers(id, live, count)
		if got, want := len(pollers), min(count, len(live)); got != want {
			t.Fatalf("%d pollers, want %d", got, want)
		}
		for rank, poller := range pollers {
			if got := group.Rank(id, poller, live); got != rank {
				t.Fatalf("poller %d has rank %d", rank, got)
			}
		}
		shuffled := rapid.Permutation(live).Draw(t, "order")
		if diff := cmp.Diff(pollers, group.Pollers(id, append(shuffled, live...), count)); diff != "" {
			t.Fatalf("pollers for the live list in another order and with duplicates (-want +got):\n%s", diff)
		}
		if len(live) == 0 {
			return
		}
		gone := rapid.SampledFrom(live).Draw(t, "gone")
		rest := slices.DeleteFunc(slices.Clone(live), func(i fleet.InstanceID) bool { return i == gone })
		for _, poller := range pollers {
			if poller != gone && !slices.Contains(group.Pollers(id, rest, count), poller) {
				t.Fatalf("%s no longer polls after %s left", poller, gone)
			}
		}
	})
}

// TestPollersSpread guards against an instance that polls far more or far fewer
// groups than the others.
func TestPollersSpread(t *testing.T) {
	const groups, instances, count = 3900, 34, 2
	polled := map[fleet.InstanceID]int{}
	live := manyInstances(instances)
	for n := range groups {
		for _, poller := range group.Pollers(fleet.GroupID(fmt.Sprintf("g%d", n)), live, count) {
			polled[poller]++
		}
	}
	mean := groups * count / instances
	for _, instance := range live {
		if polled[instance] < mean*3/4 || polled[instance] > mean*5/4 {
			t.Errorf("%s polls %d groups, the mean is %d", instance, polled[instance], mean)
		}
	}
}

// BenchmarkPollers measures the selection of the pollers of one group, by the
// number of instances.
func BenchmarkPollers(b *testing.B) {
	for _, instances := range []int{9, 340, 3400} {
		live := manyInstances(instances)
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				group.Pollers("orders", live, 2)
			}
		})
	}
}
