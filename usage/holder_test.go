package usage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/usage"
)

// TestLedgerSize guards against a ledger that the store does not take because the endpoint
// has been down for a while: no further window would be fixed until it is up again. The
// reports that are still in time must be in the ledger.
func TestLedgerSize(t *testing.T) {
	const instances, workspaces, windows, maxRowBytes = 295, 190, 30, 65_536
	start := time.Unix(1_000_000, 0)
	first := modelSchedule.Window(start)
	counts := usage.Counts{}
	for i := range workspaces {
		counts[fleet.WorkspaceID(fmt.Sprintf("workspace-%04d", i))] = 100_000
	}
	var members []usage.Member
	for i := range instances {
		run := usage.Run{Epoch: 1, Instance: fleet.InstanceID(fmt.Sprintf("instance-%04d", i))}
		members = append(members, usage.Member{From: start, Run: run, Until: start.Add(time.Hour)})
	}
	var ledger *usage.Ledger
	revision := feed.Revision(0)
	holder := usage.NewHolder(modelSchedule)
	for now := start; now.Before(start.Add(windows * modelSchedule.Length)); now = now.Add(modelTick) {
		step := holder.Next(usage.Situation{Leading: true, Members: members, Now: now, Token: 1, TrueNow: now})
		switch step.Kind {
		case usage.StepFix:
			content, err := step.Ledger.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if len(content) > maxRowBytes {
				t.Fatalf("ledger of %d bytes with %d reports, %v after the start", len(content), len(step.Ledger.Pending), now.Sub(start))
			}
			fixed := map[usage.Window]bool{}
			for _, report := range step.Ledger.Pending {
				fixed[report.Window] = true
			}
			for window := first; window < step.Ledger.Next; window++ {
				if now.Before(modelSchedule.Due(window)) && !fixed[window] {
					t.Errorf("the report of window %d is not in the ledger and not due", window)
				}
			}
			revision++
			ledger = &step.Ledger
			holder.FixDone(step, revision)
		case usage.StepNone:
		case usage.StepRead:
			row := usage.Row{Counts: map[usage.Window]usage.Counts{}, First: first, Open: first, Run: members[0].Run}
			for window := first; window <= modelSchedule.Window(now); window++ {
				row.Counts[window] = counts
			}
			holder.ReadDone(now, ledger, revision, []usage.StoredRow{{Key: "row", Row: row}})
		case usage.StepSend:
			holder.SendDone(now, step.Report.Window, false)
		}
	}
	if ledger == nil || ledger.Next < first+windows-4 {
		t.Errorf("ledger %v, want one of about %d windows", ledger, windows)
	}
}
