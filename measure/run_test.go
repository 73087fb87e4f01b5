package measure_test

import (
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/demo"
	"github.com/nutmegpier/nutmegpier/measure"
)

// TestRunCollectsFigures guards against a scenario that runs without requests
// or loses its baseline.
func TestRunCollectsFigures(t *testing.T) {
	result, err := measure.Run(t.Context(), measure.Options{
		Deployments: demo.Deployments()[:1],
		Duration:    300 * time.Millisecond,
		Instances:   3,
		Repeat:      1,
		Scenarios:   []string{"ReplicaShare"},
		Seed:        1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Scenarios) != 2 {
		t.Fatalf("got %d variants, want 2", len(result.Scenarios))
	}
	for _, variant := range result.Scenarios {
		share := -1.0
		for _, figure := range variant.Figures {
			if figure.Name == "ReplicaShare" {
				share = figure.Samples[0]
			}
		}
		if variant.Variant == "PrimaryReads" && share != 0 {
			t.Errorf("share of replicas is %v%% with reads sent to the primary, want 0", share)
		}
		if share < 0 || share > 100 {
			t.Errorf("%s: share of replicas is %v%%, want 0 to 100", variant.Variant, share)
		}
	}
}
