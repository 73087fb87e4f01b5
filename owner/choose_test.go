package owner_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/owner"
)

// TestLarge guards against a relay or owner with a slow link while others with enough
// processor time have a fast one, and against links that exclude all instances with
// enough processor time.
func TestLarge(t *testing.T) {
	for _, test := range []struct {
		name       string
		atLeast    int
		candidates []owner.Candidate
		want       []fleet.InstanceID
	}{
		{
			name: "slow link", atLeast: 1,
			candidates: []owner.Candidate{{Instance: "a", LinkMegabits: 200, ProcessorShare: 0.8}, {Instance: "b", LinkMegabits: 10, ProcessorShare: 0.8}, {Instance: "c", LinkMegabits: 200, ProcessorShare: 0.1}},
			want:       []fleet.InstanceID{"a"},
		},
		{
			name: "links not known", atLeast: 1,
			candidates: []owner.Candidate{{Instance: "a", ProcessorShare: 0.8}, {Instance: "b", LinkMegabits: 100, ProcessorShare: 0.5}},
			want:       []fleet.InstanceID{"a", "b"},
		},
		{
			name: "large ones have slow links", atLeast: 1,
			candidates: []owner.Candidate{{Instance: "a", LinkMegabits: 10, ProcessorShare: 0.8}, {Instance: "b", LinkMegabits: 200, ProcessorShare: 0.1}},
			want:       []fleet.InstanceID{"a"},
		},
		{
			name: "too few", atLeast: 2,
			candidates: []owner.Candidate{{Instance: "a", ProcessorShare: 0.8}, {Instance: "b", ProcessorShare: 0.1}},
			want:       []fleet.InstanceID{"a", "b"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var got []fleet.InstanceID
			for _, candidate := range owner.Large(test.candidates, test.atLeast) {
				got = append(got, candidate.Instance)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("large instances (-want +got):\n%s", diff)
			}
		})
	}
}
