package workspace_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/workspace"
)

var start = time.Unix(1000, 0)

// TestLimiterNeverExceedsItsShare guards against tokens that are added because the
// clock jumps or goes backwards, outside the validity, or above the capacity.
func TestLimiterNeverExceedsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := workspace.Share{
			Capacity: rapid.Float64Range(0, 20).Draw(t, "capacity"),
			Level:    rapid.Float64Range(0, 40).Draw(t, "level"),
			Rate:     rapid.Float64Range(0, 10).Draw(t, "rate"),
		}
		limiter := workspace.NewLimiter()
		limiter.Renew(start, start.Add(time.Minute))
		limiter.Set(start, "w", share)
		now, newest, validUntil, minted, admitted := start, start, start.Add(time.Minute), 0.0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-3000, 5000).Draw(t, "step")) * time.Millisecond)
			if now.After(newest) {
				if end := minTime(now, validUntil); end.After(newest) {
					minted += share.Rate * end.Sub(newest).Seconds()
				}
				newest = now
			}
			if rapid.IntRange(0, 9).Draw(t, "renew") == 0 {
				validUntil = newest.Add(3 * time.Second)
				limiter.Renew(newest, validUntil)
			}
			for range rapid.IntRange(0, 5).Draw(t, "requests") {
				if limiter.Admit(now, "w").Admitted {
					admitted++
					if !now.Before(validUntil) {
						t.Fatalf("admitted at %v, valid until %v", now, validUntil)
					}
				}
			}
			if held := limiter.Share(now, "w"); held.Level > held.Capacity {
				t.Fatalf("level %v above the capacity %v", held.Level, held.Capacity)
			}
			if limit := share.Capacity + minted + 1e-6; float64(admitted) > limit {
				t.Fatalf("%d admitted, limit %v", admitted, limit)
			}
		}
	})
}

// TestRetryAfter guards against a retry time at which the request is refused again.
func TestRetryAfter(t *testing.T) {
	limiter := workspace.NewLimiter()
	limiter.Renew(start, start.Add(time.Hour))
	limiter.Set(start, "w", workspace.Share{Capacity: 2, Level: 0.25, Rate: 3})
	refused := limiter.Admit(start, "w")
	if diff := cmp.Diff(workspace.Decision{RetryAfter: 250 * time.Millisecond}, refused); diff != "" {
		t.Errorf("decision (-want +got):\n%s", diff)
	}
	if !limiter.Admit(start.Add(refused.RetryAfter), "w").Admitted {
		t.Error("the retry after RetryAfter is refused")
	}
}

// TestShareArithmeticKeepsTheSum guards against Split, Merge and Scale creating or
// losing a part of a limit.
func TestShareArithmeticKeepsTheSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := workspace.Limit{
			Burst: rapid.Float64Range(0, 1000).Draw(t, "burst"),
			Rate:  rapid.Float64Range(0, 1000).Draw(t, "rate"), Workspace: "w",
		}
		full := workspace.FullShare(limit)
		given, kept := full.Split(rapid.Float64Range(-1, 2).Draw(t, "fraction"))
		if sum := workspace.Merge(given, kept); !nearlyEqual(sum, full) {
			t.Fatalf("%+v + %+v = %+v, want %+v", given, kept, sum, full)
		}
		to := workspace.Limit{Burst: limit.Burst * 2, Rate: limit.Rate / 2, Workspace: "w"}
		sum := workspace.Merge(given.Scale(limit, to), kept.Scale(limit, to))
		if want := (workspace.Share{Capacity: to.Burst, Level: limit.Burst, Rate: to.Rate}); !nearlyEqual(sum, want) {
			t.Fatalf("scaled sum %+v, want %+v", sum, want)
		}
		if small := workspace.Minimum(given, kept); small.Level > small.Capacity || small.Rate > given.Rate {
			t.Fatalf("minimum of %+v and %+v is %+v", given, kept, small)
		}
	})
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func nearlyEqual(a, b workspace.Share) bool {
	return math.Abs(a.Capacity-b.Capacity) < 1e-6 && math.Abs(a.Level-b.Level) < 1e-6 && math.Abs(a.Rate-b.Rate) < 1e-6
}

// TestTake guards against a pool that gives more than it holds or less than a whole
// token, and against an empty pool without a retry time.
func TestTake(t *testing.T) {
	limiter := workspace.NewLimiter()
	limiter.Renew(start, start.Add(time.Minute))
	limiter.Set(start, "w", workspace.Share{Capacity: 3.5, Level: 3.5, Rate: 2})
	type take struct {
		Taken      float64
		RetryAfter time.Duration
	}
	var got []take
	for _, want := range []float64{0.3, 2, 5, 1} {
		taken, retryAfter := limiter.Take(start, "w", want)
		got = append(got, take{taken, retryAfter})
	}
	taken, retryAfter := limiter.Take(start.Add(time.Second), "w", 5)
	got = append(got, take{taken, retryAfter})
	want := []take{{Taken: 1}, {Taken: 2}, {RetryAfter: 250 * time.Millisecond}, {RetryAfter: 250 * time.Millisecond}, {Taken: 2.5}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("results of Take (-want +got):\n%s", diff)
	}
}

// TestGrantsNeverExceedTheShare guards against a pool that gives more tokens than it holds
// and refills, by requests of different urgency that can wait for different times, and
// against a refusal without a retry time.
func TestGrantsNeverExceedTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := workspace.Limit{Burst: rapid.Float64Range(1, 50).Draw(t, "burst"), Rate: rapid.Float64Range(1, 100).Draw(t, "rate"), Workspace: "w"}
		d := workspace.NewDistributedLimiter("i")
		d.Renew(start, start.Add(time.Hour))
		d.Divide(start, []workspace.Limit{limit}, []workspace.Member{{Age: time.Hour, Instance: "i", Phase: workspace.PhaseHolding}})
		now, taken := start, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "step")) * time.Millisecond)
			take := workspace.TakeRequest{
				Class:     workspace.Class(rapid.IntRange(0, 3).Draw(t, "class")),
				Extra:     float64(rapid.IntRange(0, 5).Draw(t, "extra")),
				MaxWait:   time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Millisecond,
				Want:      float64(rapid.IntRange(0, 5).Draw(t, "want")),
				Workspace: "w",
			}
			grant := d.Grant(now, []workspace.TakeRequest{take})[0]
			taken += grant.Taken
			if grant.Taken < take.Want && grant.RetryAfter <= 0 {
				t.Fatalf("%+v answered with %+v", take, grant)
			}
			usable := now.Add(grant.Delay).Sub(start).Seconds()
			if most := limit.Burst + 1 + limit.Rate*usable; grant.Delay == 0 && taken > most+limit.Rate*0.2 || grant.Delay > 0 && taken > most+1e-6 {
				t.Fatalf("%v tokens given that can be used after %.3f s, want at most %v", taken, usable, most)
			}
		}
	})
}
