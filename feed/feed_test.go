package feed_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/feed"
)

var begin = time.Unix(1_000_000, 0)

// TestOlderAnswers guards against an answer that comes late and takes a newer
// state back.
func TestOlderAnswers(t *testing.T) {
	m := feed.NewMirror()
	m.Apply(feed.Snapshot{Complete: true, Revision: 5, Rows: []feed.Row{{Key: "a", Revision: 5, Value: []byte("new")}}}, begin)
	m.Apply(feed.Snapshot{Complete: true, Revision: 4, Rows: []feed.Row{{Key: "a", Revision: 4, Value: []byte("old")}}}, begin.Add(time.Second))
	row, _ := m.Row("a")
	if diff := cmp.Diff("new", string(row.Value)); diff != "" {
		t.Errorf("value (-want +got):\n%s", diff)
	}
	if !m.VerifiedAt().Equal(begin) {
		t.Errorf("proof %v, want %v", m.VerifiedAt(), begin)
	}
}

// TestDeletedRows guards against a row that was dropped while the store forgot
// its history, and that stays in the copy.
func TestDeletedRows(t *testing.T) {
	m := feed.NewMirror()
	m.Apply(feed.Snapshot{Complete: true, Revision: 5, Rows: []feed.Row{{Key: "a", Revision: 4}, {Key: "b", Revision: 5}}}, begin)
	changed := m.Apply(feed.Snapshot{Complete: true, Revision: 9, Rows: []feed.Row{{Key: "b", Revision: 5}}}, begin)
	if diff := cmp.Diff([]feed.Row{{Deleted: true, Key: "a", Revision: 4}}, changed); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
	if _, found := m.Row("a"); found {
		t.Error("the dropped row is still there")
	}
}

// TestObserveIsNotAfterAnswer guards against a lease that runs longer
// than the answer proves, whatever the delays of the calls.
func TestObserveIsNotAfterAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c feed.Calibration
		zero := begin.Add(-time.Duration(rapid.Int64Range(0, 1e15).Draw(t, "zero")))
		now := begin
		for range rapid.IntRange(1, 30).Draw(t, "calls") {
			sent := now
			moment := sent.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "there")) * time.Millisecond)
			received := moment.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "back")) * time.Millisecond)
			now = received.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			proved := c.Observe(sent, received, moment.Sub(zero))
			if proved.After(moment) || proved.Before(sent) {
				t.Fatalf("proved %v, the store answered at %v to a call of %v", proved, moment, sent)
			}
		}
	})
}
