package standin_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/nutmegpier/nutmegpier/standin"
)

// testTimeout is the longest time that a test waits for a condition.
const testTimeout = 30 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func newGroup(t *testing.T, options standin.Options) *standin.Group {
	t.Helper()
	g, err := standin.NewGroup(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

// connect opens a connection with an application name and a query mode.
func connect(t *testing.T, s *standin.Server, name string, mode pgx.QueryExecMode) *pgx.Conn {
	t.Helper()
	config, err := pgx.ParseConfig("postgres://proxy:secret@" + s.Addr() + "/orders?sslmode=disable&application_name=" + name)
	if err != nil {
		t.Fatal(err)
	}
	config.DefaultQueryExecMode = mode
	conn, err := pgx.ConnectConfig(testContext(t), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func exec(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := conn.Exec(testContext(t), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// tabRow is a row of the table tabs that the tests use.
type tabRow struct {
	Name  string
	Count int
	Price float64
	Ready bool
}

func queryRows(t *testing.T, conn *pgx.Conn, sql string, args ...any) []tabRow {
	t.Helper()
	result, err := conn.Query(testContext(t), sql, args...)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	got, err := pgx.CollectRows(result, pgx.RowToStructByPos[tabRow])
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return got
}

const schema = "CREATE TABLE tabs (id serial PRIMARY KEY, name text UNIQUE, count int, price float8, ready boolean)"

// TestSimpleMode guards against statements of ordinary clients that fail in the
// simple query mode, and against a position that is not reported.
func TestSimpleMode(t *testing.T) {
	g := newGroup(t, standin.Options{})
	testClient(t, g, pgx.QueryExecModeSimpleProtocol)
}

func testClient(t *testing.T, g *standin.Group, mode pgx.QueryExecMode) {
	t.Helper()
	conn := connect(t, g.Servers()[0], "client", mode)
	exec(t, conn, schema)
	exec(t, conn, "INSERT INTO tabs (name, count, price, ready) VALUES ($1, $2, $3, $4)", "A-Z", 26, 1.5, true)
	tx, err := conn.Begin(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	exec(t, conn, "INSERT INTO tabs (name, count, price, ready) VALUES ($1, $2, $3, $4)", "1-31", 31, 2.25, false)
	exec(t, conn, "UPDATE tabs SET count = count + $1 WHERE name = $2", 1, "1-31")
	if err := tx.Commit(testContext(t)); err != nil {
		t.Fatal(err)
	}
	want := []tabRow{{"1-31", 32, 2.25, false}, {"A-Z", 26, 1.5, true}}
	if diff := cmp.Diff(want, queryRows(t, conn, "SELECT name, count, price, ready FROM tabs ORDER BY name")); diff != "" {
		t.Errorf("rows (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(want[:1], queryRows(t, conn, "SELECT name, count, price, ready FROM tabs WHERE name = $1 AND count > $2", "1-31", 3)); diff != "" {
		t.Errorf("selected rows (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("1/4", conn.PgConn().ParameterStatus("group_position")); diff != "" {
		t.Errorf("position (-want +got):\n%s", diff)
	}
}

// TestExtendedMode guards against statements of ordinary clients that fail in the
// default query mode, which prepares and describes each statement.
func TestExtendedMode(t *testing.T) {
	g := newGroup(t, standin.Options{})
	testClient(t, g, pgx.QueryExecModeCacheStatement)
	testClientTypes(t, connect(t, g.Servers()[0], "client", pgx.QueryExecModeCacheStatement))
}

func testClientTypes(t *testing.T, conn *pgx.Conn) {
	t.Helper()
	var number int64
	var name string
	var ready bool
	var mean float64
	ctx := testContext(t)
	if err := conn.QueryRow(ctx, "SELECT count(*), avg(price)::float8, $1::text, true::bool FROM tabs LIMIT $2", "x", 1).Scan(&number, &mean, &name, &ready); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]any{int64(2), 1.875, "x", true}, []any{number, mean, name, ready}); diff != "" {
		t.Errorf("values (-want +got):\n%s", diff)
	}
	if err := conn.QueryRow(ctx, "INSERT INTO tabs (name, count) VALUES ($1, $2) RETURNING id, name", "Jan-Dec", 12).Scan(&number, &name); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]any{int64(3), "Jan-Dec"}, []any{number, name}); diff != "" {
		t.Errorf("returned values (-want +got):\n%s", diff)
	}
	if err := conn.QueryRow(ctx, "SELECT pg_backend_pid(), current_setting('application_name')").Scan(&number, &name); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]any{int64(conn.PgConn().PID()), "client"}, []any{number, name}); diff != "" {
		t.Errorf("session values (-want +got):\n%s", diff)
	}
	_, err := conn.Exec(ctx, "INSERT INTO tabs (name) VALUES ($1)", "Jan-Dec")
	if diff := cmp.Diff("23505", sqlState(err)); diff != "" {
		t.Errorf("code of a duplicate (-want +got):\n%s", diff)
	}
}
