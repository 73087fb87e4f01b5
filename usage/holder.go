package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/primacy"
)

const (
	// settleTime is how long after the end of a window the rows of all instances are
	// usually in the store: the delay of the last statements, the time in which a relay
	// collects rows, and a write.
	settleTime = 1500 * time.Millisecond
	// recoveryTime is how long the rows of instances take after the store has become
	// available again.
	recoveryTime = 2 * time.Second
	// rereadInterval is the time between two reads while rows are missing.
	rereadInterval = 1500 * time.Millisecond
	// minReadRetry and maxReadRetry bound the delay after a failed call to the store.
	minReadRetry = 300 * time.Millisecond
	maxReadRetry = time.Second
	// minSendRetry and maxSendRetry bound the delay after a report that was not
	// accepted.
	minSendRetry = 300 * time.Millisecond
	maxSendRetry = 1500 * time.Millisecond
	// sendSpacing is the minimum time between two reports, so that most calls of the
	// budget are left for promotions.
	sendSpacing = 100 * time.Millisecond
	// maxWindowAge is the number of windows after which a window is no longer reported.
	maxWindowAge = 24
	// maxFixedAtOnce bounds the windows that are fixed in one write, and so its size.
	maxFixedAtOnce = 4
	// maxLedgerBytes is less than the store takes for a row.
	maxLedgerBytes = 60_000
	// maxRemovals bounds the rows of ended runs that are deleted in one write.
	maxRemovals = 20
	// sendReserve is the time before a report is due in which it is sent.
	sendReserve = time.Second
	// fixPart is the part of Schedule.Late after which a window is fixed although rows
	// are missing, so that an instance that was cut off for 7 s can still write its row.
	// The rest is for repeated calls.
	fixPart = 0.8
)

// StepKind is the type of a Step.
type StepKind string

// Kinds of steps.
const (
	// StepFix writes the ledger if it still has the revision, and deletes rows.
	StepFix StepKind = "Fix"
	// StepNone does nothing.
	StepNone StepKind = "None"
	// StepRead reads the ledger and all rows.
	StepRead StepKind = "Read"
	// StepSend sends a report.
	StepSend StepKind = "Send"
)

// Step is what the holder does next.
type Step struct {
	// Dropped are windows that are not reported because they are too old.
	Dropped []Window
	Kind    StepKind
	// Ledger and Revision are those of a StepFix.
	Ledger   Ledger
	Revision feed.Revision
	// Remove lists the rows to delete in a StepFix.
	Remove []StoredRow
	// Report is that of a StepSend.
	Report Report
}

// StoredRow is a row as read from the store.
type StoredRow struct {
	Key      string
	Revision feed.Revision
	Row      Row
}

// Member is a run of an instance of which the membership rows tell.
type Member struct {
	// From and Until are the true times between which the run certainly may have
	// counted.
	From  time.Time
	Run   Run
	Until time.Time
}

// Situation is the input of the holder's next step.
type Situation struct {
	// Leading is true if this instance may report, with the token.
	Leading bool
	Members []Member
	// Now is the instance's monotonic time.
	Now time.Time
	// Promoting is true while a primary is being replaced. Its promotion takes
	// precedence over reports that are not due soon.
	Promoting bool
	Token     primacy.Token
	// TrueNow is the true time.
	TrueNow time.Time
}

// Holder decides on the steps of the instance that reports. It isn't safe for concurrent
// use. One step is executed at a time, and its result is passed to the method that is
// named after it before the next one.
type Holder struct {
	schedule Schedule
	token    primacy.Token
	// since is the window in which this instance became the holder.
	since Window

	// loaded is true if the ledger is known as it is in the store, and begun if there is
	// one there.
	loaded   bool
	begun    bool
	ledger   Ledger
	revision feed.Revision
	// rows are those of all runs as of readAt, a true time.
	rows   []StoredRow
	readAt time.Time
	// lastMerged is the last report that was merged from rows, or nil.
	lastMerged *Report

	// accepted holds the pending reports that were accepted.
	accepted map[Window]bool
	// nextRead and nextSend are the earliest times of the next call, and the retries
	// the delays before it.
	nextRead, nextSend   time.Time
	readRetry, sendRetry time.Duration
	// recoveredAt is when the store became available again, or the first read of this
	// holder, which may have begun because of an outage. It is a true time.
	recoveredAt time.Time
	// fixedTotals are the totals of the windows that this holder fixed, including those
	// that were found to be late.
	fixedTotals map[Window]int64
}

// NewHolder returns a holder that has not read anything.
func NewHolder(schedule Schedule) *Holder {
	return &Holder{schedule: schedule}
}

// reset forgets what was learned under another token.
func (h *Holder) reset(token primacy.Token, since Window) {
	*h = Holder{accepted: map[Window]bool{}, fixedTotals: map[Window]int64{}, schedule: h.schedule, since: since, token: token}
}

// Next returns the next step.
func (h *Holder) Next(s Situation) Step {
	if !s.Leading {
		h.token, h.loaded = 0, false
		return Step{Kind: StepNone}
	}
	if s.Token != h.token {
		h.reset(s.Token, h.schedule.Window(s.TrueNow))
	}
	h.since = min(h.since, h.schedule.Window(s.TrueNow))
	if !h.loaded {
		return h.read(s)
	}
	if report, found := h.nextReport(s); found {
		return Step{Kind: StepSend, Report: report}
	}
	return h.fix(s)
}

// read returns a StepRead unless a failed call was too recent.
func (h *Holder) read(s Situation) Step {
	if s.Now.Before(h.nextRead) {
		return Step{Kind: StepNone}
	}
	return Step{Kind: StepRead}
}

// nextReport returns the report to send now: the oldest that is not overdue yet, or else
// the oldest.
func (h *Holder) nextReport(s Situation) (Report, bool) {
	if s.Now.Before(h.nextSend) {
		return Report{}, false
	}
	var chosen *Report
	for i, report := range h.ledger.Pending {
		if h.accepted[report.Window] {
			continue
		}
		inTime := s.TrueNow.Before(h.schedule.Due(report.Window))
		if chosen == nil || inTime {
			chosen = &h.ledger.Pending[i]
		}
		if inTime {
			break
		}
	}
	if chosen == nil {
		return Report{}, false
	}
	slack := h.schedule.Due(chosen.Window).Sub(s.TrueNow)
	if s.Promoting && slack > h.schedule.Late/4 {
		return Report{}, false
	}
	return *chosen, true
}

// fix returns the step that fixes the windows that have ended, or the read that it needs.
func (h *Holder) fix(s Situation) Step {
	next := Ledger{Next: h.ledger.Next}
	for _, report := range h.ledger.Pending {
		if !h.accepted[report.Window] {
			next.Pending = append(next.Pending, report)
		}
	}
	oldest := h.schedule.Window(s.TrueNow) - maxWindowAge
	step := Step{Kind: StepFix, Revision: h.revision}
	for len(next.Pending) > 0 && next.Pending[0].Window < oldest {
		step.Dropped = append(step.Dropped, next.Pending[0].Window)
		next.Pending = next.Pending[1:]
	}
	if next.Next < oldest {
		step.Dropped = append(step.Dropped, next.Next)
		next.Next = oldest
	}
	if !h.begun {
		next.Next = h.firstWindow(s.Members)
	}
	firstToFix := next.Next
	for next.Next < firstToFix+maxFixedAtOnce {
		settled := h.schedule.End(next.Next).Add(settleTime)
		if s.TrueNow.Before(settled) {
			break
		}
		if h.readAt.Before(settled) {
			return h.read(s)
		}
		report := h.merged(next.Next, s.Members)
		if len(report.Missing) > 0 && s.TrueNow.Before(h.fixAt(next.Next)) {
			if next.Next > firstToFix {
				break
			}
			if s.TrueNow.Before(h.readAt.Add(rereadInterval)) {
				return Step{Kind: StepNone}
			}
			return h.read(s)
		}
		if len(report.Missing) > 0 && h.readAt.Before(h.fixAt(next.Next)) && s.TrueNow.Sub(h.readAt) >= rereadInterval {
			return h.read(s)
		}
		next.Pending = append(next.Pending, report)
		next.Next++
	}
	if next.Next == firstToFix || s.Now.Before(h.nextRead) {
		return Step{Kind: StepNone}
	}
	for len(next.Pending) > 1 && next.size() > maxLedgerBytes {
		step.Dropped = append(step.Dropped, next.Pending[0].Window)
		next.Pending = next.Pending[1:]
	}
	step.Ledger, step.Remove = next, h.endedRuns(s.TrueNow)
	return step
}

// merged returns the report about a window from the rows of the last read. It is kept until
// the next one, because merging the rows of 295 instances takes milliseconds.
func (h *Holder) merged(window Window, members []Member) Report {
	if h.lastMerged == nil || h.lastMerged.Window != window {
		report := merge(window, h.decodedRows(), h.expected(window, members))
		h.lastMerged = &report
	}
	return *h.lastMerged
}

// fixAt returns the true time at which a window is fixed although rows are missing. If the
// store has just become available, the rows of other instances follow, and are waited for
// unless the report would be late by that.
func (h *Holder) fixAt(window Window) time.Time {
	at := h.schedule.End(window).Add(time.Duration(fixPart * float64(h.schedule.Late)))
	latest := h.schedule.Due(window).Add(-sendReserve)
	recovered := h.recoveredAt.Add(recoveryTime)
	if h.recoveredAt.Before(latest) && recovered.After(latest) {
		recovered = latest
	}
	if at.Before(recovered) {
		return recovered
	}
	return at
}

// expected returns the runs that may have counted in a window.
func (h *Holder) expected(window Window, members []Member) []Run {
	var runs []Run
	for _, member := range members {
		if member.From.Before(h.schedule.End(window)) && member.Until.After(h.schedule.Start(window)) {
			runs = append(runs, member.Run)
		}
	}
	return runs
}

func (h *Holder) decodedRows() []Row {
	rows := make([]Row, len(h.rows))
	for i, row := range h.rows {
		rows[i] = row.Row
	}
	return rows
}

// endedRuns returns rows whose counts are no longer needed.
func (h *Holder) endedRuns(trueNow time.Time) []StoredRow {
	var ended []StoredRow
	current := h.schedule.Window(trueNow)
	for _, row := range h.rows {
		old := row.Row.Open < current-maxWindowAge || (row.Row.Final && row.Row.Open < h.ledger.Next-1)
		if old && len(ended) < maxRemovals {
			ended = append(ended, row)
		}
	}
	return ended
}

// ReadDone records the result of a StepRead that was sent at a true time. A nil ledger
// means that there is none. It returns the number of units of fixed windows that were not
// known when these were fixed.
func (h *Holder) ReadDone(sent time.Time, ledger *Ledger, revision feed.Revision, rows []StoredRow) (late int64) {
	if h.readRetry > 0 || h.recoveredAt.IsZero() {
		h.recoveredAt = sent
	}
	h.readRetry, h.nextRead = 0, time.Time{}
	h.rows, h.readAt, h.lastMerged = rows, sent, nil
	h.loaded, h.revision = true, revision
	h.begun = ledger != nil
	if ledger == nil {
		ledger = &Ledger{Next: h.since}
	}
	h.ledger = *ledger
	maps.DeleteFunc(h.accepted, func(w Window, _ bool) bool {
		return !slices.ContainsFunc(h.ledger.Pending, func(r Report) bool { return r.Window == w })
	})
	return h.lateUnits()
}

// firstWindow returns the first window to report if nothing was reported yet: that in
// which the first run began.
func (h *Holder) firstWindow(members []Member) Window {
	first := h.since
	for _, row := range h.rows {
		if row.Row.Open >= h.since-maxWindowAge {
			first = min(first, row.Row.First)
		}
	}
	for _, member := range members {
		first = min(first, h.schedule.Window(member.From))
	}
	return max(first, h.since-maxWindowAge)
}

// lateUnits returns the number of units of fixed windows in the rows that were not there
// when the rows were read before.
func (h *Holder) lateUnits() int64 {
	late := int64(0)
	for window, known := range h.fixedTotals {
		if window < h.ledger.Next-keptWindows {
			delete(h.fixedTotals, window)
			continue
		}
		total := merge(window, h.decodedRows(), nil).Counts.Total()
		if total > known {
			late += total - known
			h.fixedTotals[window] = total
		}
	}
	return late
}

// ReadFailed records that a StepRead failed. Reports that are known to be fixed can still
// be sent.
func (h *Holder) ReadFailed(now time.Time) {
	h.readRetry = min(max(2*h.readRetry, minReadRetry), maxReadRetry)
	h.nextRead = now.Add(h.readRetry)
}

// FixDone records that the ledger of a StepFix was written.
func (h *Holder) FixDone(step Step, revision feed.Revision) {
	for _, report := range step.Ledger.Pending {
		if report.Window >= h.ledger.Next {
			h.fixedTotals[report.Window] = report.Counts.Total()
		}
	}
	h.ledger, h.revision, h.begun = step.Ledger, revision, true
	removed := map[string]bool{}
	for _, row := range step.Remove {
		removed[row.Key] = true
	}
	h.rows = slices.DeleteFunc(h.rows, func(row StoredRow) bool { return removed[row.Key] })
}

// FixFailed records that a StepFix was not applied, or that its outcome is unknown. The
// store must be read before anything is sent.
func (h *Holder) FixFailed(now time.Time) {
	h.loaded = false
	h.ReadFailed(now)
}

// SendDone records whether a report was accepted.
func (h *Holder) SendDone(now time.Time, window Window, accepted bool) {
	if accepted {
		h.accepted[window] = true
		h.sendRetry, h.nextSend = 0, now.Add(sendSpacing)
		return
	}
	h.sendRetry = min(max(2*h.sendRetry, minSendRetry), maxSendRetry)
	h.nextSend = now.Add(h.sendRetry)
}

// Unaccepted returns the windows whose counts are fixed and whose reports were not
// accepted.
func (h *Holder) Unaccepted() []Window {
	var windows []Window
	for _, report := range h.ledger.Pending {
		if !h.accepted[report.Window] {
			windows = append(windows, report.Window)
		}
	}
	return windows
}
