package caller_test

import (
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/caller"
)

// TestMaxSessions guards against more connections than the limit, also of
// callers that don't authenticate, and against a place that isn't freed.
func TestMaxSessions(t *testing.T) {
	d := deploy(t, writes, nil, func(config *caller.Config) { config.MaxSessions = 2 })
	first := d.connect(t, simpleMode)
	silent, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	// The first byte is an answer to the request for GSS encryption, so the
	// connection is counted.
	if _, err := silent.Write([]byte{0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x30}); err != nil {
		t.Fatal(err)
	}
	if _, err := silent.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_, err = d.tryConnect()
	if diff := cmp.Diff([2]string{"53300", "Outcome: NotRun"}, failure(t, err)); diff != "" {
		t.Errorf("connection over the limit (-want +got):\n%s", diff)
	}
	mustExec(t, first, "select 1")
	_ = first.PgConn().Close(context.Background())
	for deadline := time.Now().Add(10 * time.Second); ; runtime.Gosched() {
		conn, err := d.tryConnect()
		if err == nil {
			_ = conn.Close(context.Background())
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the place isn't free: %v", err)
		}
	}
	if diff := cmp.Diff(uint32(1), d.primary.connections()); diff != "" {
		t.Errorf("connections to the backend server (-want +got):\n%s", diff)
	}
}
