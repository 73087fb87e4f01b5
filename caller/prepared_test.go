package caller_test

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/caller"
)

// TestDuplicateStatement guards against a Parse that replaces a statement
// without notice, and against a failed Parse that occupies its name.
func TestDuplicateStatement(t *testing.T) {
	d, _, _ := deployStandin(t, backend.Limits{Permits: 2, Slots: 2})
	ctx := context.Background()
	conn := d.connect(t).PgConn()
	prepare := func(name, sql string) string {
		_, err := conn.Prepare(ctx, name, sql, nil)
		var known *pgconn.PgError
		if errors.As(err, &known) {
			return known.Code
		}
		if err != nil {
			t.Fatal(err)
		}
		return ""
	}
	got := []string{prepare("a", "select 1"), prepare("a", "select 2"), prepare("b", "select 1; select 2"), prepare("b", "select 3")}
	d.policy.decide(caller.Decision{Serving: true})
	got = append(got, prepare("c", "select 4"))
	d.policy.decide(caller.Decision{Serving: true, Admitted: true})
	got = append(got, prepare("c", "select 4"))
	if err := conn.Deallocate(ctx, "a"); err != nil {
		t.Fatal(err)
	}
	got = append(got, prepare("a", "select 5"))
	if diff := cmp.Diff([]string{"", "42P05", "42601", "", "53400", "", ""}, got); diff != "" {
		t.Errorf("SQLSTATEs (-want +got):\n%s", diff)
	}
}

// TestUnexecutedSet guards against a setting being replayed although its SET
// was bound but never executed, and against an executed one being forgotten
// when Bind and Execute come in batches of their own.
func TestUnexecutedSet(t *testing.T) {
	d, _, _ := deployStandin(t, backend.Limits{Permits: 1, Slots: 1})
	first, second := d.connect(t, simpleMode), d.connect(t, simpleMode)
	hijacked, err := first.PgConn().Hijack()
	if err != nil {
		t.Fatal(err)
	}
	defer hijacked.Conn.Close()
	bind := []backend.Encoder{&pgproto3.Parse{Query: "set timezone = 'Europe/Madrid'"}, &pgproto3.Bind{}}
	show := func() string {
		mustExec(t, second, "select 1")
		return ask(t, hijacked, &pgproto3.Query{String: "show timezone"})
	}
	before := show()
	ask(t, hijacked, append(bind, &pgproto3.Sync{})...)
	bound := show()
	if diff := cmp.Diff(before, bound); diff != "" {
		t.Errorf("after Bind alone (-want +got):\n%s", diff)
	}
	ask(t, hijacked, append(bind, &pgproto3.Flush{}, &pgproto3.Execute{}, &pgproto3.Sync{})...)
	if diff := cmp.Diff("Europe/Madrid", show()); diff != "" {
		t.Errorf("after Execute (-want +got):\n%s", diff)
	}
}

// ask sends messages, and returns the last value of the rows until ReadyForQuery.
func ask(t *testing.T, conn *pgconn.HijackedConn, messages ...backend.Encoder) string {
	t.Helper()
	if _, err := conn.Conn.Write(encode(messages...)); err != nil {
		t.Fatal(err)
	}
	value := ""
	for {
		message, err := conn.Frontend.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch m := message.(type) {
		case *pgproto3.DataRow:
			value = string(m.Values[0])
		case *pgproto3.ErrorResponse:
			t.Fatalf("error %s: %s", m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return value
		}
	}
}

// TestReadAfterPrimaryRead guards against a read on a replica that is older
// than an earlier read of the session on the primary, which reports no position.
func TestReadAfterPrimaryRead(t *testing.T) {
	barrier := &fixedBarrier{}
	d := deploy(t, writes, oneRow("replica"), func(config *caller.Config) { config.Barrier = barrier })
	conn := d.connect(t, simpleMode, func(config *pgx.ConnConfig) {
		config.RuntimeParams[caller.TokenParameter] = "v1:plant1:1/2:1/2"
	})
	mustExec(t, conn, "select 1")
	mustExec(t, conn, "/* nutmegpier: primary */ select 1")
	mustExec(t, conn, "select 1")
	mustExec(t, conn, "select 1")
	want := []seen{
		{caller.AccessRead, 0, "v1:plant1:1/2:1/2"},
		{caller.AccessWrite, 0, "v1:plant1:1/2:1/2"},
		{caller.AccessRead, 0, "v1:plant1:1/2:1/5"},
		{caller.AccessRead, 0, "v1:plant1:1/2:1/5"},
	}
	if diff := cmp.Diff(want, d.router.seen()); diff != "" {
		t.Errorf("requests to the router (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int32(1), barrier.calls.Load()); diff != "" {
		t.Errorf("barriers (-want +got):\n%s", diff)
	}
}
