package caller_test

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/budget"
	"github.com/nutmegpier/nutmegpier/caller"
)

// TestMessageBudget guards against incomplete messages that keep the budget for bytes
// from a complete one, and against refusing a single message within the limits.
func TestMessageBudget(t *testing.T) {
	const maxMessage = 64 << 10
	bytes := budget.New(budget.Limits{Bytes: 2 * maxMessage, Connections: math.MaxInt})
	d := deploy(t, scriptedPrimary, nil, func(config *caller.Config) {
		config.Budget, config.MaxMessage = bytes, maxMessage
	})
	incomplete, err := d.connect(t).PgConn().Hijack()
	if err != nil {
		t.Fatal(err)
	}
	defer incomplete.Conn.Close()
	if _, err := incomplete.Conn.Write([]byte("Q\x00\x00\xff\x00select")); err != nil {
		t.Fatal(err)
	}
	awaitUse(t, bytes, 2*(0xff00-4))
	// The incomplete message is the larger one, so its session is closed.
	mustExec(t, d.connect(t, simpleMode), "select 1 -- "+strings.Repeat("x", maxMessage/2))
	_ = incomplete.Conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := incomplete.Conn.Read(make([]byte, 1)); err == nil {
		t.Error("the session with an incomplete message got an answer, want it closed")
	}
	awaitUse(t, bytes, 0)
	// A prepared statement counts 512 bytes besides its text.
	largest := "select 1 -- " + strings.Repeat("x", maxMessage-1024)
	mustExec(t, d.connect(t, simpleMode), largest)
	awaitUse(t, bytes, 0)
	if _, err := d.connect(t).Prepare(context.Background(), "", largest); err != nil {
		t.Errorf("Parse of the largest size: %v", err)
	}
	awaitUse(t, bytes, 0)
}

// awaitUse waits until the connections hold this number of bytes.
func awaitUse(t *testing.T, b *budget.Budget, want int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); b.Use().Bytes != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("bytes held (-want +got):\n%s", cmp.Diff(want, b.Use().Bytes))
		}
	}
}
