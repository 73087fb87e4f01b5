package event_test

import (
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/event"
)

// TestSnapshotRoundTrip guards against events of a crashed instance that cannot be
// read back from its snapshot, and against damaged snapshots that are accepted.
func TestSnapshotRoundTrip(t *testing.T) {
	at := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	recorder := event.New("i1", 7, func() time.Time { return at }, event.NewLogger(io.Discard, "text", event.LevelInfo), 16)
	recorder.Record(event.PromotionDone, event.Fields{Database: "orders", Server: "orders-2", Term: 3})
	recorder.Record(event.InstanceStopped, event.Fields{})
	want := recorder.Events(event.Filter{})
	compressed, err := event.EncodeSnapshot(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := event.DecodeSnapshot(compressed)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	for name, damaged := range map[string][]byte{"Empty": nil, "Short": compressed[:len(compressed)/2], "NotPacked": []byte("{}")} {
		if events, err := event.DecodeSnapshot(damaged); err == nil {
			t.Errorf("%s: DecodeSnapshot = %v, want an error", name, events)
		}
	}
}
