package caller_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/caller"
)

// TestBlockMovesToNewPrimary guards against a transaction block that fails at its
// first write because the primary changed after its BEGIN. A block must move to the
// new primary then, but not if a statement already ran in it.
func TestBlockMovesToNewPrimary(t *testing.T) {
	var refusals atomic.Int32
	script := func(sql string) reply {
		if strings.HasPrefix(sql, "insert") && refusals.Add(-1) >= 0 {
			return reply{code: "25006"}
		}
		return scriptedPrimary(sql)
	}
	for name, mode := range protocolModes() {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, script, nil, func(config *caller.Config) { config.RequestTimeout = 2 * time.Second })
			conn := d.connect(t, mode)
			ctx := context.Background()

			refusals.Store(1)
			mustExec(t, conn, "begin")
			mustExec(t, conn, "insert into t values (1)")
			mustExec(t, conn, "commit")

			refusals.Store(1)
			mustExec(t, conn, "begin")
			mustExec(t, conn, "select 1")
			_, err := conn.Exec(ctx, "insert into t values (1)")
			if diff := cmp.Diff([2]string{"25006", "Outcome: Failed"}, errorFields(t, err)); diff != "" {
				t.Errorf("error after a read in the block (-want +got):\n%s", diff)
			}
			mustExec(t, conn, "rollback")
		})
	}
}

// TestBlockMovesAfterRefusedBegin guards against a transaction block that fails while
// it moves to the new primary, because the server to which it moves refuses its BEGIN:
// until the router knows the new primary, that is the old one, which is being fenced.
func TestBlockMovesAfterRefusedBegin(t *testing.T) {
	var writeRefusals, beginRefusals atomic.Int32
	script := func(sql string) reply {
		switch {
		case strings.HasPrefix(sql, "insert") && writeRefusals.Add(-1) >= 0:
			beginRefusals.Store(2)
			return reply{code: "25006"}
		case strings.HasPrefix(sql, "begin") && beginRefusals.Add(-1) >= 0:
			return reply{code: "25006"}
		}
		return scriptedPrimary(sql)
	}
	for name, mode := range protocolModes() {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, script, nil, func(config *caller.Config) { config.RequestTimeout = 2 * time.Second })
			conn := d.connect(t, mode)
			writeRefusals.Store(1)
			mustExec(t, conn, "begin")
			mustExec(t, conn, "insert into t values (1)")
			mustExec(t, conn, "commit")
		})
	}
}
