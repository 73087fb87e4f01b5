package usage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/usage"
)

// TestRowSize guards against rows of 295 instances that the holder can't read in time: it
// reads all of them up to five times in a window, in 1.5 s and over 20 Mbit/s, of which
// they may take a fifth. On the wire they are longer by a third.
func TestRowSize(t *testing.T) {
	const instances, workspaces, windows = 295, 190, 5
	const maxReadBytes = 20_000_000 / 8 * 15 / 10 / 5
	rng := rand.New(rand.NewPCG(1, 1))
	row := usage.Row{Counts: map[usage.Window]usage.Counts{}, First: 353445120, Open: 353445124, Run: usage.Run{Epoch: 1 << 60, Instance: "instance-0001"}}
	for window := row.First; window < row.First+windows; window++ {
		row.Counts[window] = usage.Counts{}
		for i := range workspaces {
			row.Counts[window][fleet.WorkspaceID(fmt.Sprintf("workspace-%04d", i))] = 1 + rng.Int64N(3)
		}
	}
	content, err := row.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if size := instances * len(content) * 4 / 3; size > maxReadBytes {
		t.Errorf("rows of %d bytes, so that a read has %d, want at most %d", len(content), size, maxReadBytes)
	}
	t.Logf("row of %d bytes", len(content))
	decoded, err := usage.DecodeRow(content)
	if diff := cmp.Diff(row, decoded); err != nil || diff != "" {
		t.Errorf("error %v, row (-want +got):\n%s", err, diff)
	}
	if _, err := usage.DecodeRow(content[:len(content)/2]); err == nil {
		t.Error("half of a row was decoded")
	}
}
