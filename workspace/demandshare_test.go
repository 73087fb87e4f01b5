package workspace_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/workspace"
)

// TestDemandSharesAddUpToOne guards against instances that know the same demands but
// together use more than a limit.
func TestDemandSharesAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 80).Draw(t, "demands")
		sum := 0.0
		for _, own := range demands {
			share := workspace.DemandShare(own, demands)
			if share <= 0 {
				t.Fatalf("an instance with demand %v of %v has no share", own, demands)
			}
			sum += share
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("the shares of %v add up to %v", demands, sum)
		}
	})
}
