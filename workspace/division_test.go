package workspace_test

import (
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/workspace"
)

// TestStoppedWorkspace guards against requests of a workspace whose rate was set
// to zero, from what its share and pool held before.
func TestStoppedWorkspace(t *testing.T) {
	d := workspace.NewDistributedLimiter("i")
	members := []workspace.Member{{Age: time.Hour, Instance: "i", Phase: workspace.PhaseHolding}}
	d.Renew(begin, begin.Add(time.Hour))
	d.Divide(begin, []workspace.Limit{{Burst: 100, Rate: 100, Workspace: "w"}}, members)
	now := begin.Add(10 * time.Second)
	if !d.Admit(now, "w").Admitted {
		t.Fatal("a workspace inside its limit was refused")
	}
	d.Divide(now, []workspace.Limit{{Burst: 100, Workspace: "w"}}, members)
	if d.Admit(now, "w").Admitted {
		t.Error("the share admits a request")
	}
	if given, _ := d.TakeFromPool(now, "w", 5); given > 0 {
		t.Errorf("the pool gives %v requests", given)
	}
}
