package faultmatrix_test

import (
	"strings"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/sheet"
)

// soundHistory is a small history without a violation.
func soundHistory() *history {
	write := func(session int, op, outcome string, version int, call, returned time.Duration) operation {
		return operation{call: call, kind: kindWrite, op: op, outcome: outcome, returned: returned, session: session, version: version, writer: op}
	}
	read := func(session int, fresh bool, version int, writer string, call, returned time.Duration) operation {
		return operation{call: call, fresh: fresh, kind: kindRead, op: "read", returned: returned, session: session, version: version, writer: writer}
	}
	return &history{
		journal: []entry{{op: "a", version: 1}, {op: "u", version: 2}, {op: "b", version: 3}},
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
		sums: []int{total},
	}
}

// TestCheckersCatchFaults guards against checkers that pass everything: each
// deliberate fault in a recorded history must be found, and found as itself.
func TestCheckersCatchFaults(t *testing.T) {
	t.Parallel()
	if err := soundHistory().check(); err != nil {
		t.Fatalf("history without a violation: %v", err)
	}
	for _, tc := range []struct {
		name   string
		damage func(h *history)
		want   string
	}{
		{"DoubledWrite", func(h *history) { h.journal = append(h.journal, entry{op: "a", version: 4}) }, "doubled write"},
		{"FalseNotRun", func(h *history) { h.journal = append(h.journal, entry{op: "n", version: 4}) }, "false outcome"},
		{"LostWrite", func(h *history) { h.journal = h.journal[:2] }, "lost write"},
		{"MixedTransaction", func(h *history) { h.sums = append(h.sums, total-1) }, "mixed transaction"},
		{"MixedWrites", func(h *history) { h.journal[1].version = 1 }, "mixed writes"},
		{"OwnWriteMissed", func(h *history) { h.operations[6].version, h.operations[6].writer = 2, "u" }, "own write missed"},
		{"StaleRead", func(h *history) { h.operations[7].version, h.operations[7].writer = 1, "a" }, "stale read"},
		{"ReadOfTheFuture", func(h *history) { h.operations[1].version, h.operations[1].writer = 3, "b" }, "not linearizable"},
		{"ReorderedWrites", func(h *history) {
			h.operations = []operation{h.operations[0], h.operations[5]}
			h.operations[0].version, h.operations[1].version = 2, 1
			h.journal = []entry{{op: "a", version: 2}, {op: "b", version: 1}}
		}, "not linearizable"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := soundHistory()
			tc.damage(h)
			if err := h.check(); err == nil || !strings.HasPrefix(err.Error(), tc.want) {
				t.Errorf("check() = %v, want %s", err, tc.want)
			}
		})
	}
}

// TestExcessCatchesOverAdmission guards against a check of the rate that
// passes too many admissions.
func TestExcessCatchesOverAdmission(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	limits := sheet.Workspace{Burst: 5, Rate: 10}
	var admitted []admission
	for number := range 20 {
		at := start.Add(time.Duration(number) * 100 * time.Millisecond)
		admitted = append(admitted, admission{answered: at.Add(time.Millisecond), sent: at})
	}
	if got := excess(admitted, limits); got > 0 {
		t.Errorf("excess = %v within the limits", got)
	}
	for range 6 {
		admitted = append(admitted, admitted[10])
	}
	if got := excess(admitted, limits); got <= 0 {
		t.Errorf("excess = %v with six more admissions at one time", got)
	}
}

// TestRecordingFindsKey guards against a search for keys that misses one which
// is split over two writes.
func TestRecordingFindsKey(t *testing.T) {
	t.Parallel()
	r := &recording{}
	for _, part := range []string{"SET application_name TO 'press npk", "_secret'"} {
		_, _ = r.Write([]byte(part))
	}
	if !r.holds("npk_secret") {
		t.Error("the key was not found")
	}
}
