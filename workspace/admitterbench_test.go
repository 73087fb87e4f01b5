package workspace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// BenchmarkAdmitFromPool measures a request that takes one token from a pool of another
// instance, at both instances, without the network.
func BenchmarkAdmitFromPool(b *testing.B) {
	f := newTokenFleet(workspace.Limit{Burst: 1e12, Rate: 1e12, Workspace: "w"})
	for b.Loop() {
		f.now = f.now.Add(time.Second)
		_, _, step := f.admitter.Admit(f.now, workspace.Request{WaitUntil: f.now.Add(time.Second), Workspace: "w"})
		for _, call := range step.Calls {
			f.admitter.Answered(f.now, call.ID, f.owners[call.Owner].Grant(f.now, call.Takes))
		}
	}
}

// BenchmarkDivide measures a change of the members of a fleet of 295 instances with 190
// workspaces.
func BenchmarkDivide(b *testing.B) {
	var members []workspace.Member
	for i := range 295 {
		members = append(members, workspace.Member{DataCentre: fleet.DataCentre(fmt.Sprintf("d%d", i%6)), Instance: fleet.InstanceID(fmt.Sprintf("i%03d", i)), Phase: workspace.PhaseHolding, ProcessorShare: 0.2 + 0.6*float64(i%2)})
	}
	var limits []workspace.Limit
	for w := range 190 {
		limits = append(limits, workspace.Limit{Burst: 20, Rate: 20, Workspace: fleet.WorkspaceID(fmt.Sprintf("w%d", w))})
	}
	d := workspace.NewDistributedLimiter("i000")
	for n := 0; b.Loop(); n++ {
		d.Divide(start.Add(time.Duration(n)*time.Second), limits, members[:294+n%2])
	}
}

// BenchmarkAdmitBesideWaiting measures the decision on a request while requests of 150 other
// workspaces wait for tokens.
func BenchmarkAdmitBesideWaiting(b *testing.B) {
	limits := []workspace.Limit{{Burst: 1e9, Rate: 1e9, Workspace: "w"}}
	for i := range 150 {
		limits = append(limits, workspace.Limit{Burst: 50, Rate: 50, Workspace: fleet.WorkspaceID(fmt.Sprintf("x%d", i))})
	}
	members := []workspace.Member{{Instance: "a", Phase: workspace.PhaseHolding}}
	for i := range 40 {
		members = append(members, workspace.Member{Instance: fleet.InstanceID(fmt.Sprintf("i%d", i)), Phase: workspace.PhaseHolding})
	}
	limiter := workspace.NewDistributedLimiter("a")
	limiter.Divide(start, limits, members)
	limiter.Renew(start, start.Add(time.Hour))
	admitter := workspace.NewAdmitter("a", limiter, func() float64 { return 0.5 })
	now := start.Add(time.Second)
	for _, limit := range limits[1:] {
		for range 3 {
			admitter.Admit(now, workspace.Request{WaitUntil: now.Add(time.Hour), Workspace: limit.Workspace})
		}
	}
	for b.Loop() {
		now = now.Add(time.Nanosecond)
		admitter.Admit(now, workspace.Request{WaitUntil: now.Add(time.Hour), Workspace: "w"})
	}
}
