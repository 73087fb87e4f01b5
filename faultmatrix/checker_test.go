package faultmatrix_test

import (
	"strings"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/sheet"
)

// validHistory is a small history without a violation.
func validHistory() *history {
	write := func(session int, op, outcome string, version int, calledAt, returnedAt time.Duration) operation {
		return operation{calledAt: calledAt, kind: kindWrite, op: op, outcome: outcome, returnedAt: returnedAt, session: session, version: version, writer: op}
	}
	read := func(session int, firstRead bool, version int, writer string, calledAt, returnedAt time.Duration) operation {
		return operation{calledAt: calledAt, firstRead: firstRead, kind: kindRead, op: "read", returnedAt: returnedAt, session: session, version: version, writer: writer}
	}
	return &history{
		journal: []journalRow{{op: "a", version: 1}, {op: "u", version: 2}, {op: "b", version: 3}},
		operations: []operation{
			write(1, "a", outcomeCommitted, 1, 0, 10),
			read(2, true, 1, "a", 11, 12),
			write(2, "u", outcomeUnknown, 0, 13, 14),
			write(3, "n", outcomeNotRun, 0, 13, 14),
			read(1, false, 1, "a", 15, 16),
			write(1, "b", outcomeCommitted, 3, 20, 30),
			read(1, false, 3, "b", 31, 32),
			read(3, true, 3, "b", 40, 50),
		},
		sums: []int{stockTotal},
	}
}

// TestCheckersCatchFaults guards against checkers that accept every history. Each
// violation added to a valid history must be reported as that kind of violation.
func TestCheckersCatchFaults(t *testing.T) {
	t.Parallel()
	if err := validHistory().check(); err != nil {
		t.Fatalf("check() of a valid history: %v", err)
	}
	for _, tc := range []struct {
		name    string
		corrupt func(h *history)
		want    string
	}{
		{"DoubledWrite", func(h *history) { h.journal = append(h.journal, journalRow{op: "a", version: 4}) }, "doubled write"},
		{"FalseNotRun", func(h *history) { h.journal = append(h.journal, journalRow{op: "n", version: 4}) }, "false outcome"},
		{"LostWrite", func(h *history) { h.journal = h.journal[:2] }, "lost write"},
		{"MixedTransaction", func(h *history) { h.sums = append(h.sums, stockTotal-1) }, "mixed transaction"},
		{"MixedWrites", func(h *history) { h.journal[1].version = 1 }, "mixed writes"},
		{"OwnWriteMissed", func(h *history) { h.operations[6].version, h.operations[6].writer = 2, "u" }, "own write missed"},
		{"StaleRead", func(h *history) { h.operations[7].version, h.operations[7].writer = 1, "a" }, "stale read"},
		{"ReadOfTheFuture", func(h *history) { h.operations[1].version, h.operations[1].writer = 3, "b" }, "not linearizable"},
		{"ReorderedWrites", func(h *history) {
			h.operations = []operation{h.operations[0], h.operations[5]}
			h.operations[0].version, h.operations[1].version = 2, 1
			h.journal = []journalRow{{op: "a", version: 2}, {op: "b", version: 1}}
		}, "not linearizable"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := validHistory()
			tc.corrupt(h)
			if err := h.check(); err == nil || !strings.HasPrefix(err.Error(), tc.want) {
				t.Errorf("check() = %v, want %s", err, tc.want)
			}
		})
	}
}

// TestExcessCatchesOverAdmission guards against a check of the rate limit that
// accepts too many admissions.
func TestExcessCatchesOverAdmission(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	limits := sheet.Workspace{Burst: 5, Rate: 10}
	var admitted []admission
	for i := range 20 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		admitted = append(admitted, admission{answeredAt: at.Add(time.Millisecond), sentAt: at})
	}
	if got := excess(admitted, limits); got > 0 {
		t.Errorf("excess = %v, want at most 0: the admissions are within the limits", got)
	}
	for range 6 {
		admitted = append(admitted, admitted[10])
	}
	if got := excess(admitted, limits); got <= 0 {
		t.Errorf("excess = %v, want more than 0: six admissions were added at one time", got)
	}
}

// TestRecordingFindsKey guards against a search that misses a key whose bytes are
// split over two writes.
func TestRecordingFindsKey(t *testing.T) {
	t.Parallel()
	r := &recording{}
	for _, part := range []string{"SET application_name TO 'press npk", "_secret'"} {
		_, _ = r.Write([]byte(part))
	}
	if !r.contains("npk_secret") {
		t.Error("the recording does not contain the key that was written to it")
	}
}
