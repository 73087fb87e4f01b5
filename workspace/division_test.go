package workspace_test

import (
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/workspace"
)

// TestStoppedWorkspace guards against admitting requests of a workspace after its rate
// was set to zero, from tokens that its share and pool still held.
func TestStoppedWorkspace(t *testing.T) {
	d := workspace.NewDistributedLimiter("i")
	members := []workspace.Member{{Age: time.Hour, Instance: "i", Phase: workspace.PhaseHolding}}
	d.Renew(start, start.Add(time.Hour))
	d.Divide(start, []workspace.Limit{{Burst: 100, Rate: 100, Workspace: "w"}}, members)
	now := start.Add(10 * time.Second)
	if !d.Admit(now, "w").Admitted {
		t.Fatal("a request within the limit was refused")
	}
	d.Divide(now, []workspace.Limit{{Burst: 100, Workspace: "w"}}, members)
	if d.Admit(now, "w").Admitted {
		t.Error("the share admits a request after the rate was set to zero")
	}
	if given, _ := d.TakeFromPool(now, "w", 5); given > 0 {
		t.Errorf("the pool gives %v tokens after the rate was set to zero", given)
	}
}
