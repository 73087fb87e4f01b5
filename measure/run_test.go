package measure_test

import (
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/demo"
	"github.com/nutmegpier/nutmegpier/measure"
)

// TestRunCollectsFigures guards against a scenario that sends no requests or has no
// baseline, and against reads of the baseline that are not sent to the primary.
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

// TestRunFindsNoOverAdmission guards against admissions above the burst and the rate,
// and against a scenario that compares no requests with the central bucket.
func TestRunFindsNoOverAdmission(t *testing.T) {
	result, err := measure.Run(t.Context(), measure.Options{
		Deployments: demo.Deployments()[:1],
		Duration:    300 * time.Millisecond,
		Instances:   2,
		Repeat:      1,
		Scenarios:   []string{"WrongfulRefusals"},
		Seed:        1,
	})
	if err != nil {
		t.Fatal(err)
	}
	arrivals := 0.0
	for _, variant := range result.Scenarios {
		for _, figure := range variant.Figures {
			if figure.Name == "OverAdmitted" && figure.Samples[0] != 0 {
				t.Errorf("%s: %v requests were admitted above the limit, want 0", variant.Variant, figure.Samples[0])
			}
			if figure.Name == "Arrivals" {
				arrivals += figure.Samples[0]
			}
		}
	}
	if arrivals == 0 {
		t.Error("no requests were sent")
	}
}

// TestRunRejectsOptions guards against options with which a run would take too long or
// measure nothing.
func TestRunRejectsOptions(t *testing.T) {
	good := measure.Options{Duration: time.Second, Instances: 1, Repeat: 1}
	for name, edit := range map[string]func(*measure.Options){
		"Duration":  func(o *measure.Options) { o.Duration = time.Hour },
		"Instances": func(o *measure.Options) { o.Instances = 0 },
		"Repeat":    func(o *measure.Options) { o.Repeat = 0 },
		"Scenario":  func(o *measure.Options) { o.Scenarios = []string{"Unknown"} },
	} {
		options := good
		edit(&options)
		if _, err := measure.Run(t.Context(), options); err == nil {
			t.Errorf("%s: Run accepted %+v, want an error", name, options)
		}
	}
}
