package standin_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/standin"
)

// TestCopy guards against values that COPY changes on input or output, and against
// copied rows that are not replicated.
func TestCopy(t *testing.T) {
	g := newGroup(t, standin.Options{})
	execOnPrimary(t, g, schema)
	ctx := testContext(t)
	conn := connect(t, g.Servers()[0], "client", simpleMode).PgConn()
	data := "A-Z\t26\t1.5\tt\n1\\t31\t\\N\t2.25\tf\n"
	tag, err := conn.CopyFrom(ctx, strings.NewReader(data), "COPY tabs (name, count, price, ready) FROM STDIN")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("COPY 2", tag.String()); diff != "" {
		t.Errorf("tag (-want +got):\n%s", diff)
	}
	if err := g.WaitApplied(ctx); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	replica := connect(t, g.Servers()[1], "client", simpleMode).PgConn()
	if _, err := replica.CopyTo(ctx, &out, "COPY (SELECT name, count, price, ready FROM tabs ORDER BY id) TO STDOUT"); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(data, out.String()); diff != "" {
		t.Errorf("data (-want +got):\n%s", diff)
	}
	_, err = conn.CopyFrom(ctx, strings.NewReader("A-Z\t1\t1\tt\n"), "COPY tabs (name, count, price, ready) FROM STDIN")
	if diff := cmp.Diff("23505", sqlState(err)); diff != "" {
		t.Errorf("code of a duplicate (-want +got):\n%s", diff)
	}
}

// TestPortalRowLimit guards against portals that lose or repeat rows when a client
// fetches them in parts, and against messages that are not skipped after an error.
func TestPortalRowLimit(t *testing.T) {
	g := newGroup(t, standin.Options{})
	execOnPrimary(t, g, schema+"; INSERT INTO tabs (name) VALUES ('a'), ('b'), ('c')")
	conn := connect(t, g.Servers()[0], "client", simpleMode)
	hijacked, err := conn.PgConn().Hijack()
	if err != nil {
		t.Fatal(err)
	}
	defer hijacked.Conn.Close()
	f := hijacked.Frontend
	f.Send(&pgproto3.Parse{Query: "SELECT name FROM tabs ORDER BY name"})
	f.Send(&pgproto3.Bind{})
	f.Send(&pgproto3.Execute{MaxRows: 2})
	f.Send(&pgproto3.Execute{MaxRows: 2})
	f.Send(&pgproto3.Execute{Portal: "absent"})
	f.Send(&pgproto3.Parse{Query: "DELETE FROM tabs"})
	f.Send(&pgproto3.Sync{})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	var got []string
	for {
		message, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch m := message.(type) {
		case *pgproto3.DataRow:
			got = append(got, string(m.Values[0]))
		case *pgproto3.ErrorResponse:
			got = append(got, m.Code)
		case *pgproto3.PortalSuspended:
			got = append(got, "suspended")
		case *pgproto3.CommandComplete:
			got = append(got, string(m.CommandTag))
		}
		if _, ready := message.(*pgproto3.ReadyForQuery); ready {
			break
		}
	}
	if diff := cmp.Diff([]string{"a", "b", "suspended", "c", "SELECT 1", "34000"}, got); diff != "" {
		t.Errorf("messages (-want +got):\n%s", diff)
	}
}

// TestSessionState guards against settings that survive a reset, and against
// prepared statements that survive DISCARD ALL.
func TestSessionState(t *testing.T) {
	g := newGroup(t, standin.Options{})
	conn := connect(t, g.Servers()[0], "client", simpleMode)
	show := func(name string) string {
		t.Helper()
		var value string
		if err := conn.QueryRow(testContext(t), "SHOW "+name).Scan(&value); err != nil {
			t.Fatal(err)
		}
		return value
	}
	exec(t, conn, "SET application_name = 'it''s'")
	exec(t, conn, "SET statement_timeout TO 500")
	if diff := cmp.Diff([]string{"it's", "500", "it's"}, []string{show("application_name"), show("statement_timeout"), conn.PgConn().ParameterStatus("application_name")}); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
	if _, err := conn.Prepare(testContext(t), "s1", "SELECT 1"); err != nil {
		t.Fatal(err)
	}
	exec(t, conn, "DISCARD ALL")
	if diff := cmp.Diff([]string{"client", "0"}, []string{show("application_name"), show("statement_timeout")}); diff != "" {
		t.Errorf("settings after DISCARD ALL (-want +got):\n%s", diff)
	}
	_, err := conn.PgConn().ExecPrepared(testContext(t), "s1", nil, nil, nil).Close()
	if diff := cmp.Diff("26000", sqlState(err)); diff != "" {
		t.Errorf("code of a discarded statement (-want +got):\n%s", diff)
	}
}

// TestTransactionStates guards against failed transactions that are committed, and
// against a simple query of several statements that takes effect only in part.
func TestTransactionStates(t *testing.T) {
	g := newGroup(t, standin.Options{})
	execOnPrimary(t, g, schema)
	conn := connect(t, g.Servers()[0], "client", simpleMode)
	ctx := testContext(t)
	run := func(sql string) string {
		t.Helper()
		results, err := conn.PgConn().Exec(ctx, sql).ReadAll()
		if err != nil {
			return sqlState(err)
		}
		return lastTag(results)
	}
	var got []string
	for _, sql := range []string{
		"INSERT INTO tabs (name) VALUES ('part'); INSERT INTO absent VALUES (1)",
		"BEGIN", "SAVEPOINT s", "INSERT INTO tabs (name) VALUES ('undone')", "ROLLBACK TO s",
		"INSERT INTO tabs (name) VALUES ('kept')", "COMMIT",
		"BEGIN", "INSERT INTO tabs (name) VALUES ('kept')", "SELECT 1", "COMMIT",
		"BEGIN READ ONLY", "DELETE FROM tabs", "ROLLBACK",
		"BEGIN", "INSERT INTO tabs (name) VALUES ('rolled back')", "ROLLBACK",
	} {
		got = append(got, run(sql))
	}
	want := []string{
		"42P01",
		"BEGIN", "SAVEPOINT", "INSERT 0 1", "ROLLBACK",
		"INSERT 0 1", "COMMIT",
		"BEGIN", "23505", "25P02", "ROLLBACK",
		"BEGIN", "25006", "ROLLBACK",
		"BEGIN", "INSERT 0 1", "ROLLBACK",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
	if err := g.WaitApplied(ctx); err != nil {
		t.Fatal(err)
	}
	for _, s := range g.Servers() {
		if diff := cmp.Diff([]string{"kept"}, queryNames(t, connect(t, s, "client", pgx.QueryExecModeCacheStatement))); diff != "" {
			t.Errorf("rows of %s (-want +got):\n%s", s.ID(), diff)
		}
	}
}

func lastTag(results []*pgconn.Result) string {
	if len(results) == 0 {
		return ""
	}
	return results[len(results)-1].CommandTag.String()
}
