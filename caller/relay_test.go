package caller_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/nutmegpier/nutmegpier/caller"
)

// failure returns SQLSTATE and detail of an error of the server.
func failure(t *testing.T, err error) [2]string {
	t.Helper()
	var known *pgconn.PgError
	if !errors.As(err, &known) {
		t.Fatalf("error %v isn't an answer of the server", err)
	}
	return [2]string{known.Code, known.Detail}
}

// modes are the ways in which pgx sends a statement.
func modes() map[string]func(*pgx.ConnConfig) {
	return map[string]func(*pgx.ConnConfig){"Extended": extendedMode, "Simple": simpleMode}
}

// writes answers writes with a commit position and reads with a row.
func writes(sql string) reply {
	lower := strings.ToLower(sql)
	switch {
	case strings.HasPrefix(lower, "insert"):
		return reply{position: "1/7", tag: "INSERT 0 1"}
	case strings.HasPrefix(lower, "commit"):
		return reply{position: "1/9"}
	}
	return oneRow("primary")(sql)
}

// readOnly refuses writes as a replica does.
func readOnly(sql string) reply {
	if strings.HasPrefix(strings.ToLower(sql), "select write") {
		return reply{code: "25006"}
	}
	return reply{rows: []string{"replica"}, tag: "SELECT 1", position: "1/3"}
}

// TestWriteWaitsForCommit guards against a write that is acknowledged before
// a majority holds it, and against a wrong outcome in the answer.
func TestWriteWaitsForCommit(t *testing.T) {
	for name, mode := range modes() {
		for _, tc := range []struct {
			outcome caller.Outcome
			want    [2]string
		}{
			{caller.OutcomeCommitted, [2]string{}},
			{caller.OutcomeNotRun, [2]string{"08006", "Outcome: NotRun"}},
			{caller.OutcomeUnknown, [2]string{"40003", "Outcome: Unknown"}},
		} {
			t.Run(name+string(tc.outcome), func(t *testing.T) {
				awaits := make(chan chan caller.Outcome)
				d := deploy(t, writes, nil)
				d.policy.awaits = awaits
				conn := d.connect(t, mode)
				done := make(chan error, 1)
				go func() {
					_, err := conn.Exec(context.Background(), "insert into t values (1)")
					done <- err
				}()
				decide := <-awaits
				select {
				case err := <-done:
					t.Fatalf("answered before the evidence: %v", err)
				default:
				}
				decide <- tc.outcome
				err := <-done
				var got [2]string
				if err != nil {
					got = failure(t, err)
				}
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Errorf("error (-want +got):\n%s", diff)
				}
				wantToken := ""
				if tc.outcome == caller.OutcomeCommitted {
					wantToken = "v1:plant1:1/7:0/0"
				}
				if diff := cmp.Diff(wantToken, conn.PgConn().ParameterStatus(caller.TokenParameter)); diff != "" {
					t.Errorf("token (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// TestTokenHandover guards against a session position that is lost or changed
// when it is handed over, and against tokens of other groups.
func TestTokenHandover(t *testing.T) {
	d := deploy(t, writes, readOnly)
	token := func(text string) func(*pgx.ConnConfig) {
		return func(config *pgx.ConnConfig) { config.RuntimeParams[caller.TokenParameter] = text }
	}
	conn := d.connect(t, token("v1:plant1:1/2:0/0"))
	if _, err := conn.Exec(context.Background(), "select 1"); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("v1:plant1:1/2:1/3", conn.PgConn().ParameterStatus(caller.TokenParameter)); diff != "" {
		t.Errorf("token after a read (-want +got):\n%s", diff)
	}
	options := d.connect(t, func(config *pgx.ConnConfig) {
		config.RuntimeParams["options"] = "-c nutmegpier.session=v1:plant1:4/4:3/3"
	})
	if diff := cmp.Diff("v1:plant1:4/4:3/3", options.PgConn().ParameterStatus(caller.TokenParameter)); diff != "" {
		t.Errorf("token of options (-want +got):\n%s", diff)
	}
	for _, text := range []string{"v1:plant2:1/2:0/0", "v2:plant1:1/2:0/0", "v1:plant1:1", "v1:plant1:x/2:0/0"} {
		_, err := d.tryConnect(token(text))
		if diff := cmp.Diff([2]string{"22023", "Outcome: NotRun"}, failure(t, err)); diff != "" {
			t.Errorf("token %q (-want +got):\n%s", text, diff)
		}
	}
}

// TestRerunOnPrimary guards against a read that turns out to write failing on
// a replica although nothing ran.
func TestRerunOnPrimary(t *testing.T) {
	for name, mode := range modes() {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, writes, readOnly)
			conn := d.connect(t, mode)
			var got string
			if err := conn.QueryRow(context.Background(), "select write()").Scan(&got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff("primary", got); diff != "" {
				t.Errorf("row (-want +got):\n%s", diff)
			}
		})
	}
}

// TestBackendLost guards against a wrong outcome when the backend server dies,
// and against statements of a lost transaction running on their own.
func TestBackendLost(t *testing.T) {
	hangUp := func(sql string) reply {
		if sql == "commit" || strings.Contains(sql, "die") {
			return reply{hangUp: true}
		}
		return writes(sql)
	}
	for name, mode := range modes() {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			d := deploy(t, hangUp, nil)
			conn := d.connect(t, mode)
			_, err := conn.Exec(ctx, "insert into die values (1)")
			if diff := cmp.Diff([2]string{"40003", "Outcome: Unknown"}, failure(t, err)); diff != "" {
				t.Errorf("autocommit write (-want +got):\n%s", diff)
			}
			mustExec(t, conn, "begin")
			_, err = conn.Exec(ctx, "insert into die values (1)")
			if diff := cmp.Diff([2]string{"08006", "Outcome: NotRun"}, failure(t, err)); diff != "" {
				t.Errorf("in a transaction (-want +got):\n%s", diff)
			}
			_, err = conn.Exec(ctx, "insert into t values (2)")
			if diff := cmp.Diff([2]string{"25P02", "Outcome: NotRun"}, failure(t, err)); diff != "" {
				t.Errorf("after the loss (-want +got):\n%s", diff)
			}
			mustExec(t, conn, "rollback")
			mustExec(t, conn, "begin")
			_, err = conn.Exec(ctx, "commit")
			if diff := cmp.Diff([2]string{"40003", "Outcome: Unknown"}, failure(t, err)); diff != "" {
				t.Errorf("commit (-want +got):\n%s", diff)
			}
			mustExec(t, conn, "insert into t values (3)")
		})
	}
}

func mustExec(t *testing.T, conn *pgx.Conn, sql string) {
	t.Helper()
	if _, err := conn.Exec(context.Background(), sql); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

// TestSessionsShareConnection guards against settings of one session showing
// in another that uses the same backend connection.
func TestSessionsShareConnection(t *testing.T) {
	for name, mode := range modes() {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, oneRow("primary"), nil)
			first, second := d.connect(t, mode), d.connect(t, mode)
			mustExec(t, first, "set work_mem = '1MB'")
			mustExec(t, second, "select 2")
			mustExec(t, first, "select 1")
			mustExec(t, first, "begin")
			mustExec(t, first, "set work_mem = '2MB'")
			mustExec(t, first, "rollback")
			mustExec(t, first, "select 3")
			want := []string{
				"set work_mem = '1MB'",
				"RESET ALL", "select 2",
				"set work_mem = '1MB'", "select 1",
				"begin", "set work_mem = '2MB'", "rollback", "select 3",
			}
			if diff := cmp.Diff(want, withoutEmpty(d.primary.statements())); diff != "" {
				t.Errorf("statements on the backend server (-want +got):\n%s", diff)
			}
		})
	}
}

func withoutEmpty(statements []string) []string {
	var kept []string
	for _, sql := range statements {
		if sql != "" {
			kept = append(kept, sql)
		}
	}
	return kept
}

// TestErrorStatesOutcome guards against errors that don't say whether the
// request ran, and against a failed batch upsetting later ones.
func TestErrorStatesOutcome(t *testing.T) {
	script := func(sql string) reply {
		if strings.Contains(sql, "bad") {
			return reply{code: "22012"}
		}
		return writes(sql)
	}
	for name, mode := range modes() {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, script, nil)
			conn := d.connect(t, mode)
			for range 2 {
				_, err := conn.Exec(context.Background(), "insert bad")
				if diff := cmp.Diff([2]string{"22012", "Outcome: Failed"}, failure(t, err)); diff != "" {
					t.Errorf("error (-want +got):\n%s", diff)
				}
				mustExec(t, conn, "insert into t values (1)")
			}
			_, err := conn.Exec(context.Background(), "listen news")
			if diff := cmp.Diff([2]string{"0A000", "Outcome: NotRun"}, failure(t, err)); diff != "" {
				t.Errorf("listen (-want +got):\n%s", diff)
			}
			d.policy.decide(caller.Decision{Serving: true, RetryAfter: 30 * time.Millisecond})
			_, err = conn.Exec(context.Background(), "select 1")
			if diff := cmp.Diff([2]string{"53400", "Outcome: NotRun"}, failure(t, err)); diff != "" {
				t.Errorf("over the rate (-want +got):\n%s", diff)
			}
			d.policy.decide(caller.Decision{Admitted: true})
			_, err = conn.Exec(context.Background(), "select 1")
			if diff := cmp.Diff([2]string{"57P03", "Outcome: NotRun"}, failure(t, err)); diff != "" {
				t.Errorf("not serving (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCopy guards against COPY data that is lost or changed, also when it is
// larger than the buffers.
func TestCopy(t *testing.T) {
	d := deploy(t, writes, nil)
	conn := d.connect(t)
	ctx := context.Background()
	data := strings.Repeat("0123456789\n", 20000)
	if _, err := conn.PgConn().CopyFrom(ctx, strings.NewReader(data), "copy c from stdin"); err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	if _, err := conn.PgConn().CopyTo(ctx, &got, "copy c to stdout"); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(data, got.String()); diff != "" {
		t.Errorf("data came back changed: %d bytes of %d", got.Len(), len(data))
	}
	mustExec(t, conn, "select 1")
}

// TestPipeline guards against answers of pipelined statements getting out of
// step, also when the same name is used for several statements.
func TestPipeline(t *testing.T) {
	d := deploy(t, writes, nil)
	ctx := context.Background()
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeExec, pgx.QueryExecModeDescribeExec} {
		conn := d.connect(t, func(config *pgx.ConnConfig) { config.DefaultQueryExecMode = mode })
		batch := &pgx.Batch{}
		for range 5 {
			batch.Queue("insert into t values (1)")
			batch.Queue("select 1")
		}
		results := conn.SendBatch(ctx, batch)
		for range 5 {
			if _, err := results.Exec(); err != nil {
				t.Fatal(err)
			}
			var got string
			if err := results.QueryRow().Scan(&got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff("primary", got); diff != "" {
				t.Errorf("row (-want +got):\n%s", diff)
			}
		}
		if err := results.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestLongPipeline guards against a pipeline that blocks because neither side
// reads: the fake's connections have no buffers at all.
func TestLongPipeline(t *testing.T) {
	script := func(sql string) reply {
		return reply{rows: []string{strings.Repeat("y", 1000)}, tag: "SELECT 1"}
	}
	d := deploy(t, script, nil, func(config *caller.Config) { config.WriteTimeout = 5 * time.Second })
	conn := d.connect(t, func(config *pgx.ConnConfig) { config.DefaultQueryExecMode = pgx.QueryExecModeExec })
	batch := &pgx.Batch{}
	const statements = 1000
	for range statements {
		batch.Queue("select '" + strings.Repeat("x", 100) + "'")
	}
	results := conn.SendBatch(context.Background(), batch)
	for range statements {
		if _, err := results.Exec(); err != nil {
			t.Fatal(err)
		}
	}
	if err := results.Close(); err != nil {
		t.Fatal(err)
	}
}
