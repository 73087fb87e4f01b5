package event_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
)

var update = flag.Bool("update", false, "write docs/events.md")

var startTime = time.Date(2026, 3, 2, 6, 30, 0, 0, time.UTC)

func newRecorder(instance fleet.InstanceID, now *time.Time, out io.Writer, capacity int) *event.Recorder {
	return event.New(instance, 1, func() time.Time { return *now }, event.NewLogger(out, "json", event.LevelDebug), capacity)
}

func names(events []event.Event) []event.Name {
	var all []event.Name
	for _, e := range events {
		all = append(all, e.Name)
	}
	return all
}

// TestCatalogue guards against numbers or names that are used twice, and against a
// reference page that is out of date with the catalogue.
func TestCatalogue(t *testing.T) {
	last := event.Number(0)
	seen := map[event.Name]bool{}
	for _, e := range event.Catalogue() {
		if e.Number <= last || seen[e.Name] || e.Meaning == "" {
			t.Errorf("entry %d %s is out of order, repeated or without meaning", e.Number, e.Name)
		}
		last, seen[e.Name] = e.Number, true
	}
	if *update {
		if err := os.WriteFile("../docs/events.md", []byte(event.Reference()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile("../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(event.Reference(), string(page)); diff != "" {
		t.Errorf("docs/events.md (-want +got):\n%s", diff)
	}
}

// TestEventsKeepsLatest guards against a ring buffer that loses the order or the
// newest events, and against debug events that push out the other events.
func TestEventsKeepsLatest(t *testing.T) {
	now := startTime
	r := newRecorder("a", &now, io.Discard, 3)
	for _, text := range []string{"1", "2", "3", "4", "5"} {
		r.Record(event.SheetInForce, event.Fields{Text: text})
	}
	var got []string
	for _, e := range r.Events(event.Filter{}) {
		got = append(got, e.Text)
	}
	for range 9 {
		r.Record(event.RequestRefused, event.Fields{})
	}
	if diff := cmp.Diff(6, len(r.Events(event.Filter{}))); diff != "" {
		t.Errorf("number of events after many debug events (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"3", "4", "5"}, got); diff != "" {
		t.Errorf("texts (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, len(r.Events(event.Filter{Limit: 1, Number: event.SheetInForce}))); diff != "" {
		t.Errorf("number of events with a limit of 1 (-want +got):\n%s", diff)
	}
	if got := r.Events(event.Filter{Workspace: "other"}); got != nil {
		t.Errorf("events of an unknown workspace: %v, want none", got)
	}
}

// TestMergeOrdersCauses guards against a merged timeline that shows an effect
// before its cause when an instance's clock is behind.
func TestMergeOrdersCauses(t *testing.T) {
	now, behind := startTime, startTime.Add(-time.Minute)
	a, b := newRecorder("a", &now, io.Discard, 9), newRecorder("b", &behind, io.Discard, 9)
	a.Record(event.PromotionStarted, event.Fields{Database: "orders", Term: 2})
	b.Observe(a.Stamp())
	b.Record(event.PrimaryChanged, event.Fields{Database: "orders", Server: "s\x1b2", Term: 2})
	merged := event.Merge(b.Events(event.Filter{}), a.Events(event.Filter{}), a.Events(event.Filter{}))
	if diff := cmp.Diff([]event.Name{"PromotionStarted", "PrimaryChanged"}, names(merged)); diff != "" {
		t.Errorf("names (-want +got):\n%s", diff)
	}
	want := strings.Join([]string{
		"             a           b           event",
		"06:30:00.000 * 403       |           PromotionStarted database=orders term=2",
		"06:29:00.000 |           * 407       PrimaryChanged database=orders server=s 2 term=2",
		"",
	}, "\n")
	if diff := cmp.Diff(want, event.Render(merged)); diff != "" {
		t.Errorf("rendered timeline (-want +got):\n%s", diff)
	}
}

// TestRecordRedactsKeys guards against a caller's key in the log or the timeline.
func TestRecordRedactsKeys(t *testing.T) {
	now, out := startTime, &bytes.Buffer{}
	r := newRecorder("a", &now, out, 9)
	const key = "npk_ab12_s3cr3ts3cr3t"
	r.Record(event.AuthenticationFailed, event.Fields{
		Database: fleet.GroupID(key), Server: fleet.ServerID(key), Session: key,
		Text: "password=" + key + " refused, also NPK_ab12_s3cr3t", Workspace: fleet.WorkspaceID(key),
	})
	timeline, err := json.Marshal(r.Events(event.Filter{}))
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"log": out.String(), "timeline": string(timeline)} {
		if strings.Contains(text, "s3cr3t") || !strings.Contains(text, "npk_[redacted] refused") {
			t.Errorf("%s is not redacted: %s", name, text)
		}
	}
}

// TestStampsIncrease guards against stamps that decrease when the wall clock is set
// back, or that are not greater than an observed stamp. Observed stamps go through
// their text form.
func TestStampsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := startTime
		r := newRecorder("a", &now, io.Discard, 1)
		last := r.Stamp()
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = startTime.Add(time.Duration(rapid.Int64Range(-5, 5).Draw(t, "clock")))
			observed := event.Stamp{Count: rapid.Uint32().Draw(t, "count"), Wall: startTime.UnixNano() + rapid.Int64Range(-5, 5).Draw(t, "wall")}
			parsed, err := event.ParseStamp(observed.String())
			if err != nil {
				t.Fatal(err)
			}
			r.Observe(parsed)
			next := r.Stamp()
			if next.Compare(last) <= 0 || next.Compare(observed) <= 0 {
				t.Fatalf("stamp is %v, want more than the previous %v and the observed %v", next, last, observed)
			}
			last = next
		}
	})
}
