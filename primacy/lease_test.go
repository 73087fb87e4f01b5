package primacy_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/primacy"
)

// TestChangingFor guards against a change of primary whose start is taken from one of its
// later records, so that requests always wait for its end.
func TestChangingFor(t *testing.T) {
	lease := &primacy.PrimaryLease{}
	serving := primacy.Record{Generation: 1, Phase: primacy.PhaseServing, Primary: "a", Term: 1}
	changing := primacy.Record{Generation: 2, Phase: primacy.PhaseChanging, Primary: "a", Term: 1}
	target := changing
	target.Target = "b"
	var got []time.Duration
	for i, record := range []primacy.Record{serving, changing, target, {Generation: 3, Phase: primacy.PhaseServing, Primary: "b", Term: 2}} {
		seen := now.Add(time.Duration(i) * time.Second)
		lease.Observe(seen, record, feed.Revision(i+1), seen)
		got = append(got, lease.ChangingFor(seen.Add(100*time.Millisecond)))
	}
	if diff := cmp.Diff([]time.Duration{0, 100 * time.Millisecond, 1100 * time.Millisecond, 0}, got); diff != "" {
		t.Errorf("times since the start (-want +got):\n%s", diff)
	}
}

// TestOlderRecord guards against a target of a promotion that is forgotten because an older
// copy of the record, from before it was chosen, arrives late. The leader would choose a
// second target.
func TestOlderRecord(t *testing.T) {
	lease := &primacy.PrimaryLease{}
	changing := primacy.Record{Generation: 2, Phase: primacy.PhaseChanging, Primary: "a", Term: 1}
	target := changing
	target.Target, target.Orders = "b", 1
	lease.Observe(now, changing, 5, time.Time{})
	lease.Observe(now, target, 6, time.Time{})
	lease.Observe(now, changing, 5, now)
	if diff := cmp.Diff(target, lease.Record()); diff != "" {
		t.Errorf("record (-want +got):\n%s", diff)
	}
	if lease.Active(now) {
		t.Error("the older copy extended the lease")
	}
}
