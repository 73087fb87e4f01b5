package caller_test

import (
	"context"
	"math"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/budget"
	"github.com/nutmegpier/nutmegpier/caller"
)

// TestConnectionBudget guards against connections without a session that keep callers
// out, against sessions that are closed for a new connection, and against refusals
// without an error.
func TestConnectionBudget(t *testing.T) {
	connections := budget.New(budget.Limits{Bytes: math.MaxInt, Connections: 2})
	d := deploy(t, scriptedPrimary, nil, func(config *caller.Config) { config.Budget = connections })
	silent, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	first, second := d.connect(t, simpleMode), d.connect(t, simpleMode)
	_ = silent.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = silent.Read(make([]byte, 1))
	if timeout, isNet := err.(net.Error); err == nil || (isNet && timeout.Timeout()) {
		t.Errorf("connection without a session at the limit: %v, want it closed", err)
	}
	_, err = d.tryConnect()
	if diff := cmp.Diff([2]string{"53300", "Outcome: NotRun"}, errorFields(t, err)); diff != "" {
		t.Errorf("connection over the budget (-want +got):\n%s", diff)
	}
	mustExec(t, first, "select 1")
	mustExec(t, second, "select 1")
	if diff := cmp.Diff(uint64(2), d.server.ClosedConnections()); diff != "" {
		t.Errorf("closed connections (-want +got):\n%s", diff)
	}
	_ = first.Close(context.Background())
	for deadline := time.Now().Add(10 * time.Second); connections.Use().Connections > 1; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a closed connection is still counted")
		}
	}
	mustExec(t, d.connect(t, simpleMode), "select 1")
}
