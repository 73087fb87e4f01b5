package budget_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/budget"
)

// TestOrderOfClosing guards against closing a caller with a session, or one that holds
// little, while another without a session or with more is left, and against closing a
// caller whose request a server works on.
func TestOrderOfClosing(t *testing.T) {
	b := budget.New(budget.Limits{Bytes: 100, Connections: 9})
	var ids []budget.ConnID
	for _, bytes := range []int{30, 40, 10} {
		id, _ := b.Open()
		if len(ids) < 2 {
			b.Start(id)
		}
		b.Charge(id, bytes)
		ids = append(ids, id)
	}
	small, large, starting := ids[0], ids[1], ids[2]
	asking, _ := b.Open()
	b.Start(asking)
	if diff := cmp.Diff(budget.Decision{Close: []budget.ConnID{starting}}, b.Charge(asking, 25)); diff != "" {
		t.Errorf("with a connection without a session (-want +got):\n%s", diff)
	}
	b.SetRunning(small, true)
	if diff := cmp.Diff(budget.Decision{Close: []budget.ConnID{large}}, b.Charge(asking, 10)); diff != "" {
		t.Errorf("with a larger one (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(budget.Decision{Refused: true}, b.Charge(asking, 40)); diff != "" {
		t.Errorf("with the rest running (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(budget.Use{Bytes: 30, Connections: 1}, b.Use()); diff != "" {
		t.Errorf("use (-want +got):\n%s", diff)
	}
}

// TestAcceptLimit guards against connections without a session that keep callers out,
// against sessions that are closed for a new connection, and against sessions that begin
// on a connection that is about to be closed.
func TestAcceptLimit(t *testing.T) {
	b := budget.New(budget.Limits{Bytes: 1, Connections: 2})
	first, _ := b.Open()
	second, _ := b.Open()
	third, decision := b.Open()
	if diff := cmp.Diff(budget.Decision{Close: []budget.ConnID{first}}, decision); diff != "" {
		t.Errorf("connection without a session (-want +got):\n%s", diff)
	}
	started := []bool{b.Start(first), b.Start(second), b.Start(third)}
	if diff := cmp.Diff([]bool{false, true, true}, started); diff != "" {
		t.Errorf("sessions that may begin (-want +got):\n%s", diff)
	}
	if _, decision := b.Open(); !decision.Refused {
		t.Error("a connection over the limit was accepted")
	}
}

// TestTotals guards against totals that exceed the limits or drift from the sum of what
// the connections hold.
func TestTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := budget.Limits{Bytes: 1000, Connections: 5}
		b := budget.New(limits)
		held := map[budget.ConnID]int{}
		apply := func(id budget.ConnID, decision budget.Decision) {
			for _, closed := range decision.Close {
				delete(held, closed)
			}
			if decision.Refused {
				delete(held, id)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := budget.ConnID(rapid.IntRange(1, 20).Draw(t, "id"))
			_, open := held[id]
			switch rapid.SampledFrom([]string{"open", "start", "charge", "release", "close"}).Draw(t, "action") {
			case "open":
				opened, decision := b.Open()
				if !decision.Refused {
					held[opened] = 0
				}
				apply(opened, decision)
			case "start":
				b.Start(id)
			case "charge":
				bytes := rapid.IntRange(0, 600).Draw(t, "bytes")
				decision := b.Charge(id, bytes)
				if open {
					held[id] += bytes
				}
				apply(id, decision)
			case "release":
				b.Release(id, held[id])
				if open {
					held[id] = 0
				}
			case "close":
				b.Close(id)
				delete(held, id)
			}
			want := budget.Use{Connections: len(held)}
			for _, bytes := range held {
				want.Bytes += bytes
			}
			if diff := cmp.Diff(want, b.Use()); diff != "" {
				t.Fatalf("use (-want +got):\n%s", diff)
			}
			if want.Bytes > limits.Bytes || want.Connections > limits.Connections {
				t.Fatalf("%+v exceeds %+v", want, limits)
			}
		}
	})
}
