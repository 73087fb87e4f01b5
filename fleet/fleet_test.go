package fleet_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// TestHistoryContainsStopsAtForkPoint guards against a position whose entry was
// lost in a change of primary being taken as part of the newer history.
func TestHistoryContainsStopsAtForkPoint(t *testing.T) {
	history := fleet.History{{Term: 1, First: 1}, {Term: 3, First: 11}}
	for _, tc := range []struct {
		name     string
		position fleet.Position
		want     bool
	}{
		{"LastBeforeFork", fleet.Position{Term: 1, Log: 10}, true},
		{"LostAtFork", fleet.Position{Term: 1, Log: 11}, false},
		{"NewestTerm", fleet.Position{Term: 3, Log: 500}, true},
		{"SkippedTerm", fleet.Position{Term: 2, Log: 1}, false},
		{"Zero", fleet.Position{}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, history.Contains(tc.position)); diff != "" {
				t.Errorf("Contains(%v) (-want +got):\n%s", tc.position, diff)
			}
		})
	}
}

// TestParseErrors guards against malformed reports of servers being parsed as a
// valid, lower position.
func TestParseErrors(t *testing.T) {
	for _, text := range []string{"", "1", "a/1", "1/b", "-1/2", "1/2/3"} {
		if got, err := fleet.ParsePosition(text); err == nil {
			t.Errorf("ParsePosition(%q) = %v, want an error", text, got)
		}
	}
	for _, text := range []string{"1", "1:0", "2:1,1:5", "1:5,2:4", "x:1", "1:y"} {
		if got, err := fleet.ParseHistory(text); err == nil {
			t.Errorf("ParseHistory(%q) = %v, want an error", text, got)
		}
	}
}

// TestTextRoundTrip guards against text forms that lose part of a value.
func TestTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := fleet.Position{
			Term: fleet.Term(rapid.Uint64().Draw(t, "term")),
			Log:  fleet.LogPosition(rapid.Uint64().Draw(t, "log")),
		}
		got, err := fleet.ParsePosition(want.String())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("position (-want +got):\n%s", diff)
		}
		var history fleet.History
		var term, first uint64 = 0, 1
		for range rapid.IntRange(0, 5).Draw(t, "terms") {
			term += uint64(rapid.IntRange(1, 9).Draw(t, "termStep"))
			first += uint64(rapid.IntRange(0, 9).Draw(t, "firstStep"))
			history = append(history, fleet.TermStart{Term: fleet.Term(term), First: fleet.LogPosition(first)})
		}
		parsed, err := fleet.ParseHistory(history.String())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(history, parsed); diff != "" {
			t.Errorf("history (-want +got):\n%s", diff)
		}
	})
}
