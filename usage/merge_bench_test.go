package usage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/usage"
)

// BenchmarkWaitForRows measures a decision of the holder while it waits for the row of one
// of 295 instances. It is made ten times a second by an instance with 0.2 cores.
func BenchmarkWaitForRows(b *testing.B) {
	const instances, workspaces = 295, 190
	start := time.Unix(1_000_000, 0)
	window := modelSchedule.Window(start)
	var members []usage.Member
	var rows []usage.StoredRow
	for i := range instances {
		run := usage.Run{Epoch: 1, Instance: fleet.InstanceID(fmt.Sprintf("instance-%04d", i))}
		members = append(members, usage.Member{From: start, Run: run, Until: start.Add(time.Hour)})
		if i == 0 {
			continue
		}
		counts := usage.Counts{}
		for w := range workspaces {
			counts[fleet.WorkspaceID(fmt.Sprintf("workspace-%04d", w))] = 1
		}
		rows = append(rows, usage.StoredRow{Key: string(run.Instance), Row: usage.Row{Counts: map[usage.Window]usage.Counts{window: counts}, First: window, Open: window + 1, Run: run}})
	}
	now := modelSchedule.End(window).Add(2 * time.Second)
	situation := usage.Situation{Leading: true, Members: members, Now: now, Token: 1, TrueNow: now}
	holder := usage.NewHolder(modelSchedule)
	holder.Next(situation)
	holder.ReadDone(now, &usage.Ledger{Next: window}, 1, rows)
	for b.Loop() {
		if step := holder.Next(situation); step.Kind != usage.StepNone {
			b.Fatalf("step %s, want none", step.Kind)
		}
	}
}
