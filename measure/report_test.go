package measure_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/nutmegpier/nutmegpier/measure"
)

// TestReportHoldsFiguresAndPlots guards against a report without the figures of a
// variant or without the plot.
func TestReportHoldsFiguresAndPlots(t *testing.T) {
	result := resultWith(1, 2, 4)
	baseline := result.Scenarios[0]
	baseline.Variant = "Baseline"
	result.Scenarios = append(result.Scenarios, baseline)
	for i := range result.Scenarios {
		result.Scenarios[i].Series = []measure.Series{{
			Name:   "Gaps",
			Points: []measure.Point{{X: 0, Y: 1}, {X: 1, Y: 2}},
		}}
	}
	var page bytes.Buffer
	if err := measure.WriteReport(&page, result); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]int{"<svg": 1, "<td>Product</td>": 1, "<td>Baseline</td>": 1, ">Gaps<": 1} {
		if got := strings.Count(page.String(), text); got != want {
			t.Errorf("report contains %q %d times, want %d", text, got, want)
		}
	}
}
