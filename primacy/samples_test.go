package primacy_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/primacy"
)

// TestRequiredPosition guards against a read that misses its session's own
// commit, also if that is the first commit of a new primary whose log was last
// observed in the previous term, and against a read from a log that is older
// than the route allows.
func TestRequiredPosition(t *testing.T) {
	at := func(term fleet.Term, log fleet.LogPosition) fleet.Position {
		return fleet.Position{Term: term, Log: log}
	}
	for _, test := range []struct {
		name  string
		seen  []fleet.Position
		own   fleet.Position
		want  fleet.Position
		found bool
	}{
		{name: "nothing seen", own: at(1, 5)},
		{name: "seen", seen: []fleet.Position{at(1, 5)}, want: at(1, 5), found: true},
		{name: "own commit is newer", seen: []fleet.Position{at(1, 5)}, own: at(1, 9), want: at(1, 9), found: true},
		{name: "own commit is older", seen: []fleet.Position{at(1, 5)}, own: at(1, 3), want: at(1, 5), found: true},
		{name: "own commit is the first of a new primary", seen: []fleet.Position{at(1, 222)}, own: at(2, 223), want: at(2, 223), found: true},
		{name: "own commit of an earlier term", seen: []fleet.Position{at(2, 8)}, own: at(1, 9), want: at(2, 8), found: true},
		{name: "oldest of two", seen: []fleet.Position{at(1, 5), at(1, 7)}, want: at(1, 5), found: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var samples primacy.PositionSamples
			for i, position := range test.seen {
				samples.Add(position, now.Add(time.Duration(i)*100*time.Millisecond))
			}
			got, found := samples.RequiredPosition(now.Add(-time.Second), test.own)
			if found != test.found {
				t.Fatalf("found %v, want %v", found, test.found)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("requirement (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFirstSince guards against a position that was observed before the
// requested time, and against one of an earlier term, which may have been
// rolled back.
func TestFirstSince(t *testing.T) {
	var samples primacy.PositionSamples
	samples.Add(fleet.Position{Term: 1, Log: 5}, now)
	if _, found := samples.FirstSince(now.Add(time.Millisecond)); found {
		t.Error("found a position that was observed before the requested time")
	}
	samples.Add(fleet.Position{Term: 2, Log: 4}, now.Add(time.Second))
	oldest, _ := samples.FirstSince(now.Add(-time.Second))
	if diff := cmp.Diff(fleet.Position{Term: 2, Log: 4}, oldest); diff != "" {
		t.Errorf("oldest position (-want +got):\n%s", diff)
	}
}
