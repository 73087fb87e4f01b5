package usage_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/usage"
)

// TestWindows guards against windows that are not those of the platform: the example is
// from its protocol.
func TestWindows(t *testing.T) {
	schedule := usage.Schedule{Late: 10 * time.Second, Length: 5 * time.Second}
	const window = usage.Window(353445120)
	start := time.Unix(1767225600, 0)
	for _, test := range []struct {
		at   time.Time
		want usage.Window
	}{
		{at: start, want: window},
		{at: start.Add(-time.Nanosecond), want: window - 1},
		{at: start.Add(5*time.Second - time.Nanosecond), want: window},
		{at: time.Unix(0, -1), want: -1},
	} {
		if got := schedule.Window(test.at); got != test.want {
			t.Errorf("window at %v = %d, want %d", test.at, got, test.want)
		}
	}
	if got, want := schedule.Due(window), start.Add(15*time.Second); !got.Equal(want) {
		t.Errorf("due at %v, want %v", got, want)
	}
}

// TestWallClockStep guards against windows that move because the wall clocks of a few
// instances are set to another time.
func TestWallClockStep(t *testing.T) {
	const store = time.Hour
	wall := time.Unix(1_700_000_000, 0)
	offsets := []usage.Offset{0}
	for _, wrong := range []time.Duration{0, 3 * time.Millisecond, -2 * time.Millisecond, time.Hour, -24 * time.Hour} {
		offsets = append(offsets, usage.NewOffset(wall.Add(wrong), store))
	}
	if got := usage.MedianOffset(offsets).TrueTime(store); !got.Equal(wall) {
		t.Errorf("true time = %v, want %v", got, wall)
	}
	published := offsets[1].Publish(0)
	if got := offsets[2].Publish(published); got != published {
		t.Errorf("a drift of 3 ms changes the published offset by %v", time.Duration(got-published))
	}
	if got := offsets[4].Publish(published); got == published {
		t.Error("a step of an hour does not change the published offset")
	}
}

// TestWrongWallClockAfterOutage guards against an instance that counts by its own wrong wall
// clock after an outage of the store, because it sees no renewed row of the others yet,
// and against rows of ended instances that outvote the live ones.
func TestWrongWallClockAfterOutage(t *testing.T) {
	const right, wrong = usage.Offset(time.Hour), usage.Offset(2 * time.Hour)
	for _, test := range []struct {
		name          string
		live, expired []usage.Offset
	}{
		{name: "only this one is renewed", live: []usage.Offset{wrong}, expired: []usage.Offset{right, right, right}},
		{name: "few ended", live: []usage.Offset{right, right, wrong}, expired: []usage.Offset{wrong, wrong}},
		{name: "expired ones without an offset", live: []usage.Offset{right}, expired: []usage.Offset{0, 0, 0}},
	} {
		if got := usage.FleetOffset(test.live, test.expired); got != right {
			t.Errorf("%s: offset %v, want %v", test.name, time.Duration(got), time.Duration(right))
		}
	}
}

// TestBegun guards against refused statements and statements of the proxy that are
// counted, and against statements without a response that are not.
func TestBegun(t *testing.T) {
	command := func(kind session.StatementKind, id session.StatementID) session.Command {
		return session.Command{Statement: session.Statement{ID: id, Kind: kind}}
	}
	read := []session.Command{command(session.StatementRead, "1")}
	for _, test := range []struct {
		name     string
		commands []session.Command
		kind     session.Kind
		want     int64
	}{
		{name: "read", commands: read, want: 1},
		{name: "write", commands: []session.Command{command(session.StatementWrite, "1")}, want: 1},
		{name: "execute", commands: []session.Command{command(session.StatementExecute, "1")}, want: 1},
		{name: "commit", commands: []session.Command{command(session.StatementCommit, "1")}, want: 1},
		{name: "begin", commands: []session.Command{command(session.StatementBegin, "")}},
		{name: "rollback", commands: []session.Command{command(session.StatementRollback, "")}},
		{name: "read of the proxy", commands: []session.Command{command(session.StatementRead, "")}},
		{name: "failed", commands: read, kind: session.KindFailed, want: 1},
		{name: "timed out", commands: read, kind: session.KindTimeout, want: 1},
		{name: "lost", commands: read, kind: session.KindUnknown, want: 1},
		{name: "busy", commands: read, kind: session.KindBusy},
		{name: "lagging", commands: read, kind: session.KindLagging},
		{name: "read only", commands: read, kind: session.KindReadOnly},
		{name: "no such statement", commands: read, kind: session.KindNoStatement},
		{name: "aborted", commands: read, kind: session.KindAborted},
	} {
		t.Run(test.name, func(t *testing.T) {
			var failure *session.RunError
			if test.kind != "" {
				failure = &session.RunError{Kind: test.kind}
			}
			if got := usage.Begun(session.Batch{Commands: test.commands}, failure); got != test.want {
				t.Errorf("%d counted, want %d", got, test.want)
			}
		})
	}
}

// TestUnits guards against a transaction that counts more than once as an operation, or
// less than all of its statements.
func TestUnits(t *testing.T) {
	statements, operations := int64(0), int64(0)
	for i, begun := range []int64{1, 0, 1, 1} {
		statements += usage.UnitStatement.Count(begun, i == 0)
		operations += usage.UnitOperation.Count(begun, i == 0)
	}
	if statements != 3 || operations != 1 {
		t.Errorf("%d statements and %d operations, want 3 and 1", statements, operations)
	}
}

// fixOf lets a holder read at the end of a window and then at a later time, and returns its
// step.
func fixOf(t *testing.T, schedule usage.Schedule, window usage.Window, after time.Duration, members []usage.Member, rows ...usage.Row) usage.Step {
	t.Helper()
	holder := usage.NewHolder(schedule)
	s := usage.Situation{Leading: true, Members: members, Now: time.Unix(5, 0), Token: 1}
	var stored []usage.StoredRow
	for _, row := range rows {
		stored = append(stored, usage.StoredRow{Row: row})
	}
	for _, at := range []time.Duration{0, after} {
		s.TrueNow = schedule.End(window).Add(at)
		if step := holder.Next(s); step.Kind != usage.StepRead {
			t.Fatalf("%v after the end of the window: %+v, want a read", at, step)
		}
		holder.ReadDone(s.TrueNow, &usage.Ledger{Next: window}, 7, stored)
	}
	return holder.Next(s)
}

// TestMissingInstances guards against a window that is fixed before the rows of all live
// instances are there, and against one that is never fixed because an instance has
// crashed, or that loses or doubles the counts that its keeper has written.
func TestMissingInstances(t *testing.T) {
	const window = 100
	schedule := usage.Schedule{Late: 10 * time.Second, Length: 5 * time.Second}
	run := func(name fleet.InstanceID) usage.Run { return usage.Run{Epoch: 1, Instance: name} }
	member := func(name fleet.InstanceID) usage.Member {
		return usage.Member{From: schedule.Start(0), Run: run(name), Until: schedule.End(window)}
	}
	row := func(name fleet.InstanceID, open usage.Window, count int64) usage.Row {
		return usage.Row{Counts: map[usage.Window]usage.Counts{window: {"w": count}}, First: 1, Open: open, Run: run(name)}
	}
	final := row("c", window, 5)
	final.Final = true
	for _, test := range []struct {
		name  string
		after time.Duration
		rows  []usage.Row
		want  usage.Report
	}{
		{name: "complete", after: 2 * time.Second, rows: []usage.Row{row("a", window+1, 3), row("b", window+1, 4), final}, want: usage.Report{Counts: usage.Counts{"w": 12}, Window: window}},
		{name: "not complete for 7 s", after: 7 * time.Second, rows: []usage.Row{row("a", window+1, 3)}},
		{name: "not complete", after: 2 * time.Second, rows: []usage.Row{row("a", window+1, 3)}},
		{name: "not complete for long", after: 8 * time.Second, rows: []usage.Row{row("a", window+1, 3)}, want: usage.Report{Counts: usage.Counts{"w": 3}, Missing: []fleet.InstanceID{"b"}, Window: window}},
		{
			name: "written by the keeper", after: 8 * time.Second, rows: []usage.Row{row("a", window+1, 3), row("b", window, 2), row("b", window-1, 1)},
			want: usage.Report{Counts: usage.Counts{"w": 5}, Missing: []fleet.InstanceID{"b"}, Window: window},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			step := fixOf(t, schedule, window, test.after, []usage.Member{member("a"), member("b")}, test.rows...)
			var got usage.Report
			if step.Kind == usage.StepFix {
				got = step.Ledger.Pending[0]
			}
			if len(got.Missing) == 0 {
				got.Missing = nil
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("report (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCounterKeepsUnwritten guards against counts that are discarded while the store can't
// be reached, and against rows that grow with time.
func TestCounterKeepsUnwritten(t *testing.T) {
	counter := usage.NewCounter(usage.Run{Epoch: 1, Instance: "i"})
	const start, last = usage.Window(50), usage.Window(58)
	for window := start; window <= last; window++ {
		counter.Advance(window)
		counter.Add(window, "w", 1)
	}
	if got := len(counter.UnwrittenRow().Counts); got != 9 || !counter.Unwritten() {
		t.Errorf("%d windows are kept while none is written, want 9", got)
	}
	counter.RecordWritten(counter.Row(false))
	counter.Advance(last + 1)
	if got := len(counter.Row(false).Counts); got != 3 {
		t.Errorf("%d complete windows are kept, want 3", got)
	}
	if got := counter.UnwrittenRow().Counts; len(got) != 1 || got[last]["w"] != 1 {
		t.Errorf("counts that are not written = %v, want those of the last window", got)
	}
}

// TestRowEncoding guards against counts that are attributed to another workspace after a
// row was in the store, and against a damaged row that ends the holder.
func TestRowEncoding(t *testing.T) {
	want := usage.Row{
		Counts: map[usage.Window]usage.Counts{7: {"a": 1, "c": 3}, 8: {"b": 2}}, Final: true, First: 6, Open: 8,
		Run: usage.Run{Epoch: 1 << 63, Instance: "i"},
	}
	content, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := usage.DecodeRow(content)
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("error %v, row (-want +got):\n%s", err, diff)
	}
	for _, damaged := range []string{"", "[]", `{"Counts":{"7":[1,2]},"Workspaces":["a"]}`, `{"Counts":{"x":[1]},"Workspaces":["a"]}`} {
		if _, err := usage.DecodeRow([]byte(damaged)); err == nil {
			t.Errorf("%q was decoded", damaged)
		}
	}
}

// TestCounterAfterWrongTime guards against an instance that counts nothing for an hour,
// because its wall clock was an hour fast before it knew the others.
func TestCounterAfterWrongTime(t *testing.T) {
	const wrong, open = usage.Window(800), usage.Window(80)
	counter := usage.NewCounter(usage.Run{Epoch: 1, Instance: "i"})
	counter.Advance(wrong)
	counter.Add(wrong, "w", 2)
	counter.Advance(open)
	counter.Add(open, "w", 1)
	counter.Advance(open + 1)
	want := usage.Row{Counts: map[usage.Window]usage.Counts{open: {"w": 3}}, First: open, Open: open + 1, Run: usage.Run{Epoch: 1, Instance: "i"}}
	if diff := cmp.Diff(want, counter.Row(false)); diff != "" {
		t.Errorf("row (-want +got):\n%s", diff)
	}
}
