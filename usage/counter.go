package usage

import (
	"maps"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// keptWindows is the number of complete windows that a row holds, counted back from
	// the open one: as many as end before the report of the oldest is due, and one for
	// a late holder.
	keptWindows = 3
	// maxKeptWindows bounds the windows of a row that can't be written.
	maxKeptWindows = 12
)

// Counter counts what servers began for the callers of this instance. It isn't safe for
// concurrent use.
type Counter struct {
	counts map[Window]Counts
	// first and open are those of the row. They are zero before the first call of
	// Advance.
	first Window
	open  Window
	run   Run
	// written is the first window that was not complete in the last row that is known
	// to be in the store.
	written Window
	// late counts units of windows that were complete already.
	late int64
}

// NewCounter returns a counter without counts.
func NewCounter(run Run) *Counter {
	return &Counter{counts: map[Window]Counts{}, run: run}
}

// Add counts units of a workspace in a window. They still count for a window that is
// complete, but may be too late for its report.
func (c *Counter) Add(window Window, workspace fleet.WorkspaceID, units int64) {
	if units == 0 {
		return
	}
	if window < c.open {
		c.late += units
	}
	counts := c.counts[window]
	if counts == nil {
		counts = Counts{}
		c.counts[window] = counts
	}
	counts[workspace] += units
}

// Advance makes all windows before the given one complete and discards old ones. If the
// true time was set back by more than a window, because it was wrong before, what was
// counted in later windows counts in the open one.
func (c *Counter) Advance(open Window) {
	if c.first == 0 {
		c.first, c.written = open, open
	}
	if open < c.open-1 {
		c.first, c.written, c.open = min(c.first, open), open, open
		for window, counts := range c.counts {
			if window > open+1 {
				delete(c.counts, window)
				for workspace, units := range counts {
					c.Add(open, workspace, units)
				}
			}
		}
	}
	c.open = max(c.open, open)
	maps.DeleteFunc(c.counts, func(w Window, _ Counts) bool {
		return w < c.open-maxKeptWindows || (w < c.open-keptWindows && w < c.written)
	})
}

// Row returns the row with the current counts.
func (c *Counter) Row(final bool) Row {
	row := Row{Counts: make(map[Window]Counts, len(c.counts)), Final: final, First: c.first, Open: c.open, Run: c.run}
	for window, counts := range c.counts {
		row.Counts[window] = maps.Clone(counts)
	}
	return row
}

// UnwrittenRow returns the row without the windows that are complete in the last row that
// is known to be in the store.
func (c *Counter) UnwrittenRow() Row {
	row := c.Row(false)
	maps.DeleteFunc(row.Counts, func(w Window, _ Counts) bool { return w < c.written })
	return row
}

// RecordWritten records that a row of this counter is in the store.
func (c *Counter) RecordWritten(row Row) {
	c.written = max(c.written, row.Open)
}

// Unwritten reports whether the last row in the store lacks complete windows.
func (c *Counter) Unwritten() bool {
	return c.written < c.open
}

// Late returns the number of units that were counted in windows that were complete.
func (c *Counter) Late() int64 {
	return c.late
}
