package feed_test

import (
	"maps"
	"slices"
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

// TestChangesAfterLostHistory guards against a relay that sends whole tables to all its
// readers after the store has lost its history, and against a deletion that they miss.
func TestChangesAfterLostHistory(t *testing.T) {
	const instances = 300
	value := make([]byte, 330)
	rows := map[string]feed.Row{}
	for i := range instances {
		key := strconv.Itoa(i)
		rows[key] = feed.Row{Key: key, Revision: feed.Revision(i + 1), Value: value}
	}
	complete := func(revision feed.Revision) feed.Snapshot {
		return feed.Snapshot{Complete: true, Revision: revision, Rows: slices.Collect(maps.Values(rows))}
	}
	source := feed.NewMirror()
	source.Apply(complete(instances), begin)
	rows["3"] = feed.Row{Key: "3", Revision: 400, Value: value}
	rows["7"] = feed.Row{Key: "7", Revision: 401, Value: value}
	delete(rows, "9")
	source.Apply(complete(402), begin)
	snapshot := source.ChangesSince(instances)
	bytes := 0
	got := map[string]bool{}
	for _, row := range snapshot.Rows {
		bytes += len(row.Value)
		got[row.Key] = row.Deleted
	}
	if diff := cmp.Diff(map[string]bool{"3": false, "7": false, "9": true}, got); diff != "" || snapshot.Complete {
		t.Errorf("complete: %t, rows and whether they are deleted (-want +got):\n%s", snapshot.Complete, diff)
	}
	if want := 2 * len(value); bytes != want {
		t.Errorf("%d bytes of values, want %d", bytes, want)
	}
	// A reader of a revision in between may have a row that the copy never had: a later
	// response of the same answer may have shown its deletion.
	source.Apply(complete(410), begin)
	reader := feed.NewMirror()
	reader.Apply(complete(403), begin)
	reader.Apply(feed.Snapshot{Revision: 405, Rows: []feed.Row{{Key: "created and deleted", Revision: 404}, {Key: "9", Revision: 405}}}, begin)
	reader.Apply(source.ChangesSince(405), begin)
	if diff := cmp.Diff(source.Rows(), reader.Rows()); diff != "" {
		t.Errorf("rows of the reader of revision 405 (-want +got):\n%s", diff)
	}
	// So may a reader of the copy's earlier revision, if its own read had several responses.
	if snapshot := source.ChangesSince(402); len(snapshot.Rows) != 1 || !snapshot.Rows[0].Deleted {
		t.Errorf("changes since 402: %+v, want the deletion", snapshot.Rows)
	}
	// The readers of the copy's earlier revision still get changes, and one of a revision
	// between two earlier answers gets all rows.
	for after, want := range map[feed.Revision]bool{300: true, 401: true, 402: false, 403: true, 410: false} {
		if got := source.ChangesSince(after).Complete; got != want {
			t.Errorf("complete since %d: %t, want %t", after, got, want)
		}
	}
}

// TestBaseIsCertain guards against a change that a reader can't apply because it has a
// version of the row that its relay never had.
func TestBaseIsCertain(t *testing.T) {
	source := feed.NewMirror()
	source.Apply(feed.Snapshot{Complete: true, Revision: 5, Rows: []feed.Row{{Key: "a", Revision: 4}}}, begin)
	source.Apply(feed.Snapshot{Revision: 9, Rows: []feed.Row{{Key: "a", Revision: 9}}}, begin)
	got := map[feed.Revision]feed.Revision{}
	for after := feed.Revision(3); after <= 8; after++ {
		got[after] = source.ChangesSince(after).Rows[0].Base.Revision
	}
	if diff := cmp.Diff(map[feed.Revision]feed.Revision{3: 0, 4: 0, 5: 4, 6: 0, 7: 0, 8: 0}, got); diff != "" {
		t.Errorf("base by the reader's revision (-want +got):\n%s", diff)
	}
}
