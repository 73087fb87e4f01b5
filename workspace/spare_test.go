package workspace_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/workspace"
)

// TestSpareIsNeverOvertaken guards against a pool that hands out more than its
// burst and its rate allow in any span, whoever takes and however late.
func TestSpareIsNeverOvertaken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := workspace.Limit{
			Burst: rapid.Float64Range(1, 200).Draw(t, "burst"),
			Rate:  rapid.Float64Range(1, 200).Draw(t, "rate"),
		}
		type grant struct {
			at    time.Duration
			taken float64
		}
		var pool workspace.Spare
		var grants []grant
		now := time.Hour
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			// A step back is an instance whose idea of the store's time is behind.
			now += time.Duration(rapid.IntRange(-5, 400).Draw(t, "milliseconds")) * time.Millisecond
			next, taken, wait := pool.Take(now, limit, rapid.Float64Range(0, 50).Draw(t, "want"))
			if taken == 0 && wait <= 0 {
				t.Fatalf("nothing was taken from %v and no time to wait was given", pool)
			}
			pool = next
			grants = append(grants, grant{at: pool.At, taken: taken})
		}
		for i := range grants {
			sum := 0.0
			for _, g := range grants[i:] {
				sum += g.taken
				span := (g.at - grants[i].at).Seconds()
				bound := max(1, limit.Burst*workspace.SparePart) + limit.Rate*workspace.SparePart*span
				if sum > bound+1e-6 {
					t.Fatalf("%v requests in %v s, want at most %v", sum, span, bound)
				}
			}
		}
	})
}

// TestSpareWithoutRate guards against requests of a stopped workspace.
func TestSpareWithoutRate(t *testing.T) {
	if _, taken, _ := (workspace.Spare{}).Take(time.Hour, workspace.Limit{Burst: 10}, 5); taken != 0 {
		t.Errorf("took %v of a limit with rate 0", taken)
	}
}
