package measure_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/measure"
)

func resultWith(samples ...float64) *measure.Result {
	return &measure.Result{
		Format: measure.ResultFormat,
		Scenarios: []measure.ScenarioResult{{
			Scenario: "FailoverGap",
			Variant:  "Product",
			Figures: []measure.Figure{{
				Better:  measure.DirectionLower,
				Name:    "Gap",
				Samples: samples,
				Unit:    measure.UnitMilliseconds,
			}},
		}},
	}
}

// TestCompareTellsChangeFromNoise guards against noise that is reported as a change, and
// against a clear change that is reported as noise.
func TestCompareTellsChangeFromNoise(t *testing.T) {
	for _, tc := range []struct {
		name          string
		before, after []float64
		want          measure.Verdict
	}{
		{"Better", []float64{20, 21, 22, 23, 24}, []float64{10, 11, 12, 13, 14}, measure.VerdictBetter},
		{"Equal", []float64{5, 5, 5, 5}, []float64{5, 5, 5, 5}, measure.VerdictNoise},
		{"Noise", []float64{10, 12, 14, 16, 18}, []float64{11, 13, 15, 17, 19}, measure.VerdictNoise},
		{"TooFew", []float64{10, 11}, []float64{20, 21}, measure.VerdictTooFew},
		{"Worse", []float64{10, 11, 12, 13}, []float64{20, 21, 22, 23}, measure.VerdictWorse},
	} {
		t.Run(tc.name, func(t *testing.T) {
			comparisons := measure.Compare(resultWith(tc.before...), resultWith(tc.after...))
			if len(comparisons) != 1 {
				t.Fatalf("got %d comparisons, want 1", len(comparisons))
			}
			if diff := cmp.Diff(tc.want, comparisons[0].Verdict); diff != "" {
				t.Errorf("verdict with p = %.3f (-want +got):\n%s", comparisons[0].P, diff)
			}
		})
	}
}

// TestResultRoundTrip guards against fields that are lost in the result file, so that
// the result could not be compared later.
func TestResultRoundTrip(t *testing.T) {
	want := resultWith(1, 2, 3)
	want.Started = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	var buffer bytes.Buffer
	if err := want.Write(&buffer); err != nil {
		t.Fatal(err)
	}
	got, err := measure.ReadResult(&buffer)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}

// TestReadResultRejectsOtherFormats guards against comparing files that are damaged or
// have another format version or unknown fields.
func TestReadResultRejectsOtherFormats(t *testing.T) {
	for _, text := range []string{"", "{}", `{"Format": 2}`, `{"Format": 1, "Unknown": 3}`} {
		if _, err := measure.ReadResult(bytes.NewBufferString(text)); err == nil {
			t.Errorf("ReadResult(%q) succeeded, want an error", text)
		}
	}
}

// TestArrivalsAreSeeded guards against runs with the same seed whose arrival times
// differ, and against a wrong arrival rate.
func TestArrivalsAreSeeded(t *testing.T) {
	generate := func() []time.Duration {
		arrivals := measure.NewArrivals(1000, 7)
		var list []time.Duration
		for range 10_000 {
			list = append(list, arrivals.Next())
		}
		return list
	}
	first := generate()
	if diff := cmp.Diff(first, generate()); diff != "" {
		t.Errorf("arrival times of two runs with the same seed (-first +second):\n%s", diff)
	}
	if last := first[len(first)-1]; last < 9*time.Second || last > 11*time.Second {
		t.Errorf("10000 arrivals at 1000/s took %v, want about 10 s", last)
	}
}
