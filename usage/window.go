// Package usage counts the operations that servers began for each workspace, and
// decides what is reported about each window of true time, when and by whom. It does no
// I/O, starts no goroutines and doesn't read a clock.
package usage

import "time"

// Window numbers the windows of true time. Window k begins k lengths after the start of
// 1970.
type Window int64

// Schedule says when windows begin and when their reports are due.
type Schedule struct {
	// Late is how long after the end of a window its report is due.
	Late time.Duration
	// Length is the length of a window. Zero means that nothing is reported.
	Length time.Duration
}

// Enabled reports whether usage is reported at all.
func (s Schedule) Enabled() bool {
	return s.Length > 0
}

// Window returns the window that contains a true time.
func (s Schedule) Window(at time.Time) Window {
	offset := at.Sub(time.Unix(0, 0))
	window := offset / s.Length
	if offset%s.Length < 0 {
		window--
	}
	return Window(window)
}

// Start returns the true time at which a window begins.
func (s Schedule) Start(window Window) time.Time {
	return time.Unix(0, 0).Add(time.Duration(window) * s.Length)
}

// End returns the true time at which a window ends.
func (s Schedule) End(window Window) time.Time {
	return s.Start(window + 1)
}

// Due returns the true time at which the report of a window is due.
func (s Schedule) Due(window Window) time.Time {
	return s.End(window).Add(s.Late)
}
