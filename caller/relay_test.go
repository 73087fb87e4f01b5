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

// errorFields returns the SQLSTATE and the detail of an error sent by the server.
func errorFields(t *testing.T, err error) [2]string {
	t.Helper()
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		t.Fatalf("got error %v, want one sent by the server", err)
	}
	return [2]string{pgErr.Code, pgErr.Detail}
}

// protocolModes returns the protocols in which pgx can send a statement.
func protocolModes() map[string]func(*pgx.ConnConfig) {
	return map[string]func(*pgx.ConnConfig){"Extended": extendedMode, "Simple": simpleMode}
}

// scriptedPrimary is the script of a primary: it answers writes with a commit
// position and reads with a row.
func scriptedPrimary(sql string) reply {
	lower := strings.ToLower(sql)
	switch {
	case strings.HasPrefix(lower, "insert"):
		return reply{position: "1/7", tag: "INSERT 0 1"}
	case strings.HasPrefix(lower, "commit"):
		return reply{position: "1/9"}
	}
	return oneRow("primary")(sql)
}

// scriptedReplica is the script of a replica: it refuses writes and answers reads
// with a row.
func scriptedReplica(sql string) reply {
	if strings.HasPrefix(strings.ToLower(sql), "select write") {
		return reply{code: "25006"}
	}
	return reply{rows: []string{"replica"}, tag: "SELECT 1", position: "1/3"}
}

// TestWriteWaitsForCommit guards against acknowledging a write before a majority
// has it, and against reporting a wrong outcome.
func TestWriteWaitsForCommit(t *testing.T) {
	for name, mode := range protocolModes() {
		for _, tc := range []struct {
			outcome caller.Outcome
			want    [2]string
		}{
			{caller.OutcomeCommitted, [2]string{}},
			{caller.OutcomeNotRun, [2]string{"08006", "Outcome: NotRun"}},
			{caller.OutcomeUnknown, [2]string{"40003", "Outcome: Unknown"}},
		} {
			t.Run(name+string(tc.outcome), func(t *testing.T) {
				pendingCommits := make(chan chan caller.Outcome)
				d := deploy(t, scriptedPrimary, nil)
				d.policy.pendingCommits = pendingCommits
				conn := d.connect(t, mode)
				done := make(chan error, 1)
				go func() {
					_, err := conn.Exec(context.Background(), "insert into t values (1)")
					done <- err
				}()
				answerCommit := <-pendingCommits
				select {
				case err := <-done:
					t.Fatalf("response received before the commit outcome was known: %v", err)
				default:
				}
				answerCommit <- tc.outcome
				err := <-done
				var got [2]string
				if err != nil {
					got = errorFields(t, err)
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

// TestTokenHandover guards against a session token losing or changing its position
// when the caller passes it to a new session, and against accepting tokens of other
// groups.
func TestTokenHandover(t *testing.T) {
	d := deploy(t, scriptedPrimary, scriptedReplica)
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
		t.Errorf("token from the options parameter (-want +got):\n%s", diff)
	}
	for _, text := range []string{"v1:plant2:1/2:0/0", "v2:plant1:1/2:0/0", "v1:plant1:1", "v1:plant1:x/2:0/0"} {
		_, err := d.tryConnect(token(text))
		if diff := cmp.Diff([2]string{"22023", "Outcome: NotRun"}, errorFields(t, err)); diff != "" {
			t.Errorf("token %q (-want +got):\n%s", text, diff)
		}
	}
}

// TestRerunOnPrimary guards against failing a read that turns out to write. The
// replica refuses it and nothing ran, so it must be rerun on the primary.
func TestRerunOnPrimary(t *testing.T) {
	for name, mode := range protocolModes() {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, scriptedPrimary, scriptedReplica)
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

// TestBackendLost guards against a wrong outcome when the connection to the backend
// server is lost, and against running the remaining statements of a lost
// transaction outside it.
func TestBackendLost(t *testing.T) {
	disconnect := func(sql string) reply {
		if sql == "commit" || strings.Contains(sql, "die") {
			return reply{disconnect: true}
		}
		return scriptedPrimary(sql)
	}
	for name, mode := range protocolModes() {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			d := deploy(t, disconnect, nil)
			conn := d.connect(t, mode)
			_, err := conn.Exec(ctx, "insert into die values (1)")
			if diff := cmp.Diff([2]string{"40003", "Outcome: Unknown"}, errorFields(t, err)); diff != "" {
				t.Errorf("autocommit write whose connection is lost (-want +got):\n%s", diff)
			}
			mustExec(t, conn, "begin")
			_, err = conn.Exec(ctx, "insert into die values (1)")
			if diff := cmp.Diff([2]string{"08006", "Outcome: NotRun"}, errorFields(t, err)); diff != "" {
				t.Errorf("write in a transaction whose connection is lost (-want +got):\n%s", diff)
			}
			_, err = conn.Exec(ctx, "insert into t values (2)")
			if diff := cmp.Diff([2]string{"25P02", "Outcome: NotRun"}, errorFields(t, err)); diff != "" {
				t.Errorf("statement after the connection was lost (-want +got):\n%s", diff)
			}
			mustExec(t, conn, "rollback")
			mustExec(t, conn, "begin")
			_, err = conn.Exec(ctx, "commit")
			if diff := cmp.Diff([2]string{"40003", "Outcome: Unknown"}, errorFields(t, err)); diff != "" {
				t.Errorf("COMMIT whose connection is lost (-want +got):\n%s", diff)
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

// TestSessionsShareConnection guards against settings of one session affecting
// another session that uses the same backend connection.
func TestSessionsShareConnection(t *testing.T) {
	for name, mode := range protocolModes() {
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

// TestErrorStatesOutcome guards against errors that don't state whether the request
// ran, and against a failed request affecting later ones.
func TestErrorStatesOutcome(t *testing.T) {
	script := func(sql string) reply {
		if strings.Contains(sql, "bad") {
			return reply{code: "22012"}
		}
		return scriptedPrimary(sql)
	}
	for name, mode := range protocolModes() {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, script, nil)
			conn := d.connect(t, mode)
			for range 2 {
				_, err := conn.Exec(context.Background(), "insert bad")
				if diff := cmp.Diff([2]string{"22012", "Outcome: Failed"}, errorFields(t, err)); diff != "" {
					t.Errorf("error (-want +got):\n%s", diff)
				}
				mustExec(t, conn, "insert into t values (1)")
			}
			_, err := conn.Exec(context.Background(), "listen news")
			if diff := cmp.Diff([2]string{"0A000", "Outcome: NotRun"}, errorFields(t, err)); diff != "" {
				t.Errorf("LISTEN (-want +got):\n%s", diff)
			}
			d.policy.setDecision(caller.Decision{Serving: true, RetryAfter: 30 * time.Millisecond})
			_, err = conn.Exec(context.Background(), "select 1")
			if diff := cmp.Diff([2]string{"53400", "Outcome: NotRun"}, errorFields(t, err)); diff != "" {
				t.Errorf("request over the rate (-want +got):\n%s", diff)
			}
			d.policy.setDecision(caller.Decision{Admitted: true})
			_, err = conn.Exec(context.Background(), "select 1")
			if diff := cmp.Diff([2]string{"57P03", "Outcome: NotRun"}, errorFields(t, err)); diff != "" {
				t.Errorf("request while the instance isn't serving (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCopy guards against losing or changing COPY data, also if it is larger than
// the buffers.
func TestCopy(t *testing.T) {
	d := deploy(t, scriptedPrimary, nil)
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
		t.Errorf("COPY data differs: got %d bytes, want %d", got.Len(), len(data))
	}
	mustExec(t, conn, "select 1")
}

// TestPipeline guards against responses of pipelined statements getting out of
// order, also if one name is used for several statements.
func TestPipeline(t *testing.T) {
	d := deploy(t, scriptedPrimary, nil)
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

// TestLongPipeline guards against a deadlock in which the proxy and the server both
// write and neither reads. The pipes to the fake server have no buffers.
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
