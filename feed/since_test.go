package feed_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/feed"
)

// TestChangesSince guards against a copy of a copy that misses a change or
// keeps a deleted row: after complete answers, after more deletions than are
// kept, and if it was not updated for long.
func TestChangesSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, copied := feed.NewMirror(), feed.NewMirror()
		store := map[string]feed.Row{}
		revision := feed.Revision(1)
		source.Apply(feed.Snapshot{Complete: true, Revision: revision}, begin)
		var changes []feed.Row
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"change", "change", "drops", "reload", "answer", "copy"}).Draw(t, "step") {
			case "change":
				revision++
				row := feed.Row{Deleted: rapid.Bool().Draw(t, "drop"), Key: strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "key")), Revision: revision}
				changes = append(changes, row)
				if store[row.Key] = row; row.Deleted {
					delete(store, row.Key)
				}
			case "drops":
				// More deletions than maxTombstones.
				for n := range 300 {
					revision++
					changes = append(changes, feed.Row{Deleted: true, Key: "gone-" + strconv.Itoa(n), Revision: revision})
				}
			case "reload":
				var rows []feed.Row
				for _, row := range store {
					rows = append(rows, row)
				}
				changes = nil
				source.Apply(feed.Snapshot{Complete: true, Revision: revision, Rows: rows}, begin)
			case "answer":
				source.Apply(feed.Snapshot{Revision: revision, Rows: changes}, begin)
				changes = nil
			case "copy":
				copied.Apply(source.ChangesSince(copied.Revision()), begin)
				if diff := cmp.Diff(source.Rows(), copied.Rows(), cmpopts.EquateEmpty()); diff != "" {
					t.Fatalf("rows of the copy (-want +got):\n%s", diff)
				}
			}
		}
	})
}

// TestLocalTimeIsNotAfterAnswer guards against a lease that runs too long
// because a relayed answer is taken as given later than it was.
func TestLocalTimeIsNotAfterAnswer(t *testing.T) {
	var c feed.Calibration
	if _, known := c.LocalTime(begin, time.Second); known {
		t.Error("a local time is known before the first answer of the store")
	}
	// The store answered 10 ms after the call was sent, when its clock was at 1 s.
	c.Observe(begin, begin.Add(30*time.Millisecond), time.Second)
	got, known := c.LocalTime(begin.Add(time.Minute), 3*time.Second)
	if latest := begin.Add(2010 * time.Millisecond); !known || got.After(latest) {
		t.Errorf("local time %v, known %t; the store answered at %v", got, known, latest)
	}
	if got, _ := c.LocalTime(begin.Add(time.Second), 3*time.Second); got.After(begin.Add(time.Second)) {
		t.Errorf("local time %v is after the arrival of the answer", got)
	}
}
