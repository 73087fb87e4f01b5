package caller_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/nutmegpier/nutmegpier/caller"
)

// ran reports whether a statement that contains the text ran on the server.
func (f *fakeServer) ran(text string) bool {
	return strings.Contains(strings.Join(f.statements(), "\n"), text)
}

// TestWithdrawnKeyInProtocols guards against a statement of a withdrawn key that runs
// because of the way in which it was sent: before the sessions are told of the withdrawal,
// and in a transaction that did not end in time.
func TestWithdrawnKeyInProtocols(t *testing.T) {
	ctx := context.Background()
	send := map[string]func(*pgconn.PgConn) error{
		"simple":   func(c *pgconn.PgConn) error { return c.Exec(ctx, "select late").Close() },
		"extended": func(c *pgconn.PgConn) error { return c.ExecParams(ctx, "select late", nil, nil, nil, nil).Read().Err },
		"prepared": func(c *pgconn.PgConn) error { return c.ExecPrepared(ctx, "late", nil, nil, nil).Read().Err },
		"commit":   func(c *pgconn.PgConn) error { return c.Exec(ctx, "commit /* late */").Close() },
	}
	for name, sendLate := range send {
		for _, inTransaction := range []bool{false, true} {
			if name == "commit" && !inTransaction {
				continue
			}
			if inTransaction {
				name += " in a transaction"
			}
			t.Run(name, func(t *testing.T) {
				d := deploy(t, scriptedPrimary, nil, func(config *caller.Config) { config.WithdrawalTimeout = time.Millisecond })
				conn := d.connect(t).PgConn()
				if _, err := conn.Prepare(ctx, "late", "select late", nil); err != nil {
					t.Fatal(err)
				}
				if inTransaction {
					if err := conn.Exec(ctx, "begin; insert into t values (1)").Close(); err != nil {
						t.Fatal(err)
					}
				}
				d.policy.revoke("k2")
				if inTransaction {
					d.server.RecheckKeys()
					awaitClosed(t, conn)
				}
				if err := sendLate(conn); err == nil {
					t.Error("the statement succeeded")
				}
				if d.primary.ran("late") {
					t.Errorf("statements that ran: %q", d.primary.statements())
				}
			})
		}
	}
}

// awaitClosed waits until the server closes the connection.
func awaitClosed(t *testing.T, conn *pgconn.PgConn) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for conn.WaitForNotification(ctx) == nil {
	}
	if ctx.Err() != nil {
		t.Fatal("the session was not ended")
	}
}

// TestWithdrawnKeyWhileWaiting guards against a statement that goes on waiting for a
// connection after its key was withdrawn, and runs when it gets one.
func TestWithdrawnKeyWhileWaiting(t *testing.T) {
	d := deploy(t, scriptedPrimary, nil, func(config *caller.Config) { config.WithdrawalTimeout = time.Millisecond })
	conn := d.connect(t)
	d.router.waiting = make(chan struct{})
	ended := make(chan error)
	go func() {
		_, err := conn.Exec(context.Background(), "select late")
		ended <- err
	}()
	<-d.router.waiting
	d.policy.revoke("k2")
	d.server.RecheckKeys()
	if diff := cmp.Diff("Outcome: NotRun", errorFields(t, <-ended)[1]); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if d.primary.ran("late") {
		t.Error("the statement ran")
	}
}

// TestWithdrawnKeyPipelined guards against statements that run for a withdrawn key because
// they were sent together with an earlier one.
func TestWithdrawnKeyPipelined(t *testing.T) {
	ctx := context.Background()
	var once sync.Once
	var d *deployment
	d = deploy(t, func(sql string) reply {
		if strings.HasPrefix(sql, "insert") {
			once.Do(func() { d.policy.revoke("k2") })
		}
		return scriptedPrimary(sql)
	}, nil)
	conn := d.connect(t, func(config *pgx.ConnConfig) { config.DefaultQueryExecMode = pgx.QueryExecModeExec }).PgConn()
	pipeline := conn.StartPipeline(ctx)
	pipeline.SendQueryParams("insert into t values (1)", nil, nil, nil, nil)
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	must(pipeline.Sync())
	pipeline.SendQueryParams("select late", nil, nil, nil, nil)
	must(pipeline.Sync())
	_ = pipeline.Close()
	if diff := cmp.Diff([]bool{true, false}, []bool{d.primary.ran("insert"), d.primary.ran("late")}); diff != "" {
		t.Errorf("whether the first and the second statement ran (-want +got):\n%s", diff)
	}
}
