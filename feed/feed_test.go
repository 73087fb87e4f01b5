package feed_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/feed"
)

var begin = time.Unix(1_000_000, 0)

// TestOlderAnswers guards against an answer that arrives late and replaces a
// newer state.
func TestOlderAnswers(t *testing.T) {
	m := feed.NewMirror()
	m.Apply(feed.Snapshot{Complete: true, Revision: 5, Rows: []feed.Row{{Key: "a", Revision: 5, Value: []byte("new")}}}, begin)
	m.Apply(feed.Snapshot{Complete: true, Revision: 4, Rows: []feed.Row{{Key: "a", Revision: 4, Value: []byte("old")}}}, begin.Add(time.Second))
	row, _ := m.Row("a")
	if diff := cmp.Diff("new", string(row.Value)); diff != "" {
		t.Errorf("value (-want +got):\n%s", diff)
	}
	if !m.VerifiedAt().Equal(begin) {
		t.Errorf("verified at %v, want %v", m.VerifiedAt(), begin)
	}
}

// TestDeletedRows guards against a row that stays in the copy because it was
// deleted while the store had lost its change history, so that only a complete
// answer shows the deletion.
func TestDeletedRows(t *testing.T) {
	m := feed.NewMirror()
	m.Apply(feed.Snapshot{Complete: true, Revision: 5, Rows: []feed.Row{{Key: "a", Revision: 4}, {Key: "b", Revision: 5}}}, begin)
	changed := m.Apply(feed.Snapshot{Complete: true, Revision: 9, Rows: []feed.Row{{Key: "b", Revision: 5}}}, begin)
	if diff := cmp.Diff([]feed.Row{{Deleted: true, Key: "a", Revision: 4}}, changed); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
	if _, found := m.Row("a"); found {
		t.Error("the deleted row is still in the copy")
	}
}

// TestNewerRow guards against a row that is removed because it is missing from an older
// copy than the one that showed it.
func TestNewerRow(t *testing.T) {
	m := feed.NewMirror()
	m.Apply(feed.Snapshot{Complete: true, Revision: 5, Rows: []feed.Row{{Key: "a", Revision: 4}}}, begin)
	deleted := m.Apply(feed.Snapshot{Complete: true, Revision: 9}, begin)[0]
	written := m.Apply(feed.Snapshot{Revision: 11, Rows: []feed.Row{{Key: "b", Revision: 10}}}, begin)[0]
	got := map[string][]bool{}
	for known := feed.Revision(8); known <= 12; known++ {
		got["deleted"] = append(got["deleted"], m.IsNewer(deleted, known))
		got["written"] = append(got["written"], m.IsNewer(written, known))
	}
	want := map[string][]bool{"deleted": {true, true, true, true, false}, "written": {true, true, false, false, false}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("newer than the revisions 8 to 12 (-want +got):\n%s", diff)
	}
}

// TestObserveIsNotAfterAnswer guards against a lease that runs too long because
// an answer is taken as given later than it was, whatever the delays of the
// calls.
func TestObserveIsNotAfterAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c feed.Calibration
		storeOrigin := begin.Add(-time.Duration(rapid.Int64Range(0, 1e15).Draw(t, "zero")))
		now := begin
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			sent := now
			answeredAt := sent.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "there")) * time.Millisecond)
			received := answeredAt.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "back")) * time.Millisecond)
			now = received.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			bound := c.Observe(sent, received, answeredAt.Sub(storeOrigin))
			if bound.After(answeredAt) || bound.Before(sent) {
				t.Fatalf("Observe returned %v, but the store answered at %v to a call sent at %v", bound, answeredAt, sent)
			}
		}
	})
}
