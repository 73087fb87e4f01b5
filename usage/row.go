package usage

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Counts are numbers of units by workspace.
type Counts map[fleet.WorkspaceID]int64

// Add adds the counts of another map.
func (c Counts) Add(other Counts) {
	for workspace, count := range other {
		c[workspace] += count
	}
}

// Total returns the sum over all workspaces.
func (c Counts) Total() int64 {
	total := int64(0)
	for _, count := range c {
		total += count
	}
	return total
}

// Run is one run of the process of an instance.
type Run struct {
	Epoch    fleet.Epoch
	Instance fleet.InstanceID
}

// Row holds the counts of one run of an instance.
type Row struct {
	Counts map[Window]Counts
	// Final says that the run counts nothing more, because the instance stops.
	Final bool
	// First is the window in which the run began to count.
	First Window
	// Open is the first window that is not complete yet.
	Open Window
	Run  Run
}

// Merge returns the row with the later counts of two rows of a run, which only increase.
func (r Row) Merge(other Row) Row {
	merged := Row{Counts: map[Window]Counts{}, Final: r.Final || other.Final, First: min(r.First, other.First), Open: max(r.Open, other.Open), Run: r.Run}
	for _, row := range []Row{r, other} {
		for window, counts := range row.Counts {
			if merged.Counts[window] == nil {
				merged.Counts[window] = Counts{}
			}
			for workspace, count := range counts {
				merged.Counts[window][workspace] = max(merged.Counts[window][workspace], count)
			}
		}
	}
	return merged
}

// storedRow is the form of a Row in the store, where it is compressed. The names of the workspaces, which are most
// of it, are written once for all windows.
type storedRow struct {
	// Counts are in the order of Workspaces.
	Counts     map[Window][]int64 `json:",omitempty"`
	Final      bool               `json:",omitempty"`
	First      Window
	Open       Window
	Run        Run
	Workspaces []fleet.WorkspaceID `json:",omitempty"`
}

// Encode returns the form of the row in the store.
func (r Row) Encode() ([]byte, error) {
	stored := storedRow{Counts: make(map[Window][]int64, len(r.Counts)), Final: r.Final, First: r.First, Open: r.Open, Run: r.Run}
	workspaces := Counts{}
	for _, counts := range r.Counts {
		maps.Copy(workspaces, counts)
	}
	stored.Workspaces = slices.Sorted(maps.Keys(workspaces))
	for window, counts := range r.Counts {
		for _, workspace := range stored.Workspaces {
			stored.Counts[window] = append(stored.Counts[window], counts[workspace])
		}
	}
	content, err := json.Marshal(stored)
	if err == nil {
		content, err = compress(content)
	}
	if err != nil {
		return nil, &Error{Err: err, Kind: KindMalformed, Op: "encode row"}
	}
	return content, nil
}

// DecodeRow parses the form of a row in the store.
func DecodeRow(content []byte) (Row, error) {
	const op = "decode row"
	content, err := decompress(content)
	if err != nil {
		return Row{}, &Error{Err: err, Kind: KindMalformed, Op: op}
	}
	var stored storedRow
	if err := json.Unmarshal(content, &stored); err != nil {
		return Row{}, &Error{Err: err, Kind: KindMalformed, Op: op}
	}
	row := Row{Counts: make(map[Window]Counts, len(stored.Counts)), Final: stored.Final, First: stored.First, Open: stored.Open, Run: stored.Run}
	for window, counts := range stored.Counts {
		if len(counts) != len(stored.Workspaces) {
			return Row{}, &Error{Err: errors.New("the numbers of counts and workspaces differ"), Kind: KindMalformed, Op: op}
		}
		row.Counts[window] = Counts{}
		for i, count := range counts {
			if count != 0 {
				row.Counts[window][stored.Workspaces[i]] = count
			}
		}
	}
	return row, nil
}

// Report is what is reported about a window.
type Report struct {
	Counts Counts
	// Missing are the instances whose counts may be incomplete.
	Missing []fleet.InstanceID `json:",omitempty"`
	Window  Window
}

// Ledger is the state of the reports in the store. A change of holder continues with it.
type Ledger struct {
	// Next is the first window whose counts are not fixed yet.
	Next Window
	// Pending are the reports whose counts are fixed, and which are not known to be
	// accepted, in order of their windows.
	Pending []Report `json:",omitempty"`
}

// Encode returns the form of the ledger in the store.
func (l Ledger) Encode() ([]byte, error) {
	content, err := json.Marshal(l)
	if err != nil {
		return nil, &Error{Err: err, Kind: KindMalformed, Op: "encode ledger"}
	}
	return content, nil
}

// size returns the length of the ledger's form in the store.
func (l Ledger) size() int {
	content, err := l.Encode()
	if err != nil {
		return 0
	}
	return len(content)
}

// DecodeLedger parses the form of a ledger in the store.
func DecodeLedger(content []byte) (Ledger, error) {
	var ledger Ledger
	if err := json.Unmarshal(content, &ledger); err != nil {
		return Ledger{}, &Error{Err: err, Kind: KindMalformed, Op: "decode ledger"}
	}
	return ledger, nil
}

// merge returns the report about a window from the rows of all runs. There may be two rows
// of a run, its own and the one that its keeper has written. The counts of a run only
// increase, so that the larger one is the later one.
func merge(window Window, rows []Row, expected []Run) Report {
	counts, open := map[Run]Counts{}, map[Run]Window{}
	for _, row := range rows {
		if row.Final {
			row.Open = max(row.Open, window+1)
		}
		open[row.Run] = max(open[row.Run], row.Open)
		if counts[row.Run] == nil {
			counts[row.Run] = Counts{}
		}
		for workspace, count := range row.Counts[window] {
			counts[row.Run][workspace] = max(counts[row.Run][workspace], count)
		}
	}
	report := Report{Counts: Counts{}, Window: window}
	missing := map[fleet.InstanceID]bool{}
	for run, counted := range counts {
		report.Counts.Add(counted)
		if open[run] == window {
			// The run has ended or failed within the window.
			missing[run.Instance] = true
		}
	}
	for _, run := range expected {
		if open[run] <= window {
			missing[run.Instance] = true
		}
	}
	report.Missing = slices.Sorted(maps.Keys(missing))
	return report
}
