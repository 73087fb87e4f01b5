package caller_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/caller"
)

// TestDuplicateStatement guards against a Parse silently replacing a statement, and
// against a failed Parse blocking its statement name.
func TestDuplicateStatement(t *testing.T) {
	d, _, _ := deployStandin(t, backend.Limits{Permits: 2, Slots: 2})
	ctx := context.Background()
	conn := d.connect(t).PgConn()
	prepare := func(name, sql string) string {
		_, err := conn.Prepare(ctx, name, sql, nil)
		var pgErr *pgconn.PgError
		if errors.As(err, &pgErr) {
			return pgErr.Code
		}
		if err != nil {
			t.Fatal(err)
		}
		return ""
	}
	got := []string{prepare("a", "select 1"), prepare("a", "select 2"), prepare("b", "select 1; select 2"), prepare("b", "select 3")}
	d.policy.setDecision(caller.Decision{Serving: true})
	got = append(got, prepare("c", "select 4"))
	d.policy.setDecision(caller.Decision{Serving: true, Admitted: true})
	got = append(got, prepare("c", "select 4"))
	if err := conn.Deallocate(ctx, "a"); err != nil {
		t.Fatal(err)
	}
	got = append(got, prepare("a", "select 5"))
	if diff := cmp.Diff([]string{"", "42P05", "42601", "", "53400", "", ""}, got); diff != "" {
		t.Errorf("SQLSTATEs (-want +got):\n%s", diff)
	}
}

// TestUnexecutedSet guards against replaying a SET that was bound but never
// executed. It also guards against losing an executed one if Bind and Execute are
// sent in separate batches.
func TestUnexecutedSet(t *testing.T) {
	d, _, _ := deployStandin(t, backend.Limits{Permits: 1, Slots: 1})
	first, second := d.connect(t, simpleMode), d.connect(t, simpleMode)
	hijacked, err := first.PgConn().Hijack()
	if err != nil {
		t.Fatal(err)
	}
	defer hijacked.Conn.Close()
	bind := []backend.Encoder{&pgproto3.Parse{Query: "set timezone = 'Europe/Madrid'"}, &pgproto3.Bind{}}
	showTimezone := func() string {
		mustExec(t, second, "select 1")
		return sendAndRead(t, hijacked, &pgproto3.Query{String: "show timezone"})
	}
	before := showTimezone()
	sendAndRead(t, hijacked, append(bind, &pgproto3.Sync{})...)
	afterBind := showTimezone()
	if diff := cmp.Diff(before, afterBind); diff != "" {
		t.Errorf("time zone after Bind without Execute (-want +got):\n%s", diff)
	}
	sendAndRead(t, hijacked, append(bind, &pgproto3.Flush{}, &pgproto3.Execute{}, &pgproto3.Sync{})...)
	if diff := cmp.Diff("Europe/Madrid", showTimezone()); diff != "" {
		t.Errorf("time zone after Execute (-want +got):\n%s", diff)
	}
}

// sendAndRead sends messages and reads the response up to ReadyForQuery. It returns
// the value of the last row.
func sendAndRead(t *testing.T, conn *pgconn.HijackedConn, messages ...backend.Encoder) string {
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

// TestReadAfterPrimaryRead guards against a read on a replica returning older data
// than an earlier read of the session on the primary. A primary reports no position
// for a read.
func TestReadAfterPrimaryRead(t *testing.T) {
	barrier := &countingBarrier{}
	d := deploy(t, scriptedPrimary, oneRow("replica"), func(config *caller.Config) { config.Barrier = barrier })
	conn := d.connect(t, simpleMode, func(config *pgx.ConnConfig) {
		config.RuntimeParams[caller.TokenParameter] = "v1:plant1:1/2:1/2"
	})
	mustExec(t, conn, "select 1")
	mustExec(t, conn, "/* nutmegpier: primary */ select 1")
	mustExec(t, conn, "select 1")
	mustExec(t, conn, "select 1")
	want := []routed{
		{caller.AccessRead, 0, "v1:plant1:1/2:1/2"},
		{caller.AccessWrite, 0, "v1:plant1:1/2:1/2"},
		{caller.AccessRead, 0, "v1:plant1:1/2:1/5"},
		{caller.AccessRead, 0, "v1:plant1:1/2:1/5"},
	}
	if diff := cmp.Diff(want, d.router.routed()); diff != "" {
		t.Errorf("requests to the router (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int32(1), barrier.calls.Load()); diff != "" {
		t.Errorf("barrier calls (-want +got):\n%s", diff)
	}
}

// TestSavepointSettings guards against replaying a SET on another connection after
// it was rolled back to a savepoint. Such a session must keep its connection.
func TestSavepointSettings(t *testing.T) {
	for name, mode := range protocolModes() {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, scriptedPrimary, nil)
			first, second := d.connect(t, mode), d.connect(t, mode)
			inTransaction := []string{"begin", "savepoint a", "set statement_timeout = '7s'", "rollback to a", "commit"}
			for _, sql := range inTransaction {
				mustExec(t, first, sql)
			}
			mustExec(t, second, "select 2")
			mustExec(t, first, "select 1")
			if diff := cmp.Diff(append(inTransaction, "select 2", "select 1"), d.primary.statements()); diff != "" {
				t.Errorf("statements on the backend server (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(uint32(2), d.primary.connections()); diff != "" {
				t.Errorf("connections to the backend server (-want +got):\n%s", diff)
			}
		})
	}
}

// TestExtendedCopy guards against responses and connections getting out of sync
// when COPY runs in the extended protocol, where the server ignores a Sync that
// arrives before the data.
func TestExtendedCopy(t *testing.T) {
	script := func(sql string) reply {
		if strings.HasPrefix(sql, "copy") {
			return reply{copyIn: true, tag: "COPY 1", position: "1/8"}
		}
		return oneRow("primary")(sql)
	}
	for name, syncFirst := range map[string]bool{"SyncAfterData": false, "SyncBeforeData": true} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, script, nil)
			hijacked, err := d.connect(t).PgConn().Hijack()
			if err != nil {
				t.Fatal(err)
			}
			defer hijacked.Conn.Close()
			messages := []backend.Encoder{&pgproto3.Parse{Query: "copy c from stdin"}, &pgproto3.Bind{}, &pgproto3.Execute{}}
			if syncFirst {
				messages = append(messages, &pgproto3.Sync{})
			} else {
				messages = append(messages, &pgproto3.Flush{})
			}
			messages = append(messages, &pgproto3.CopyData{Data: []byte("1\n")}, &pgproto3.CopyDone{}, &pgproto3.Sync{})
			sendAndRead(t, hijacked, messages...)
			got := sendAndRead(t, hijacked, &pgproto3.Query{String: "select 1"})
			if diff := cmp.Diff("primary", got); diff != "" {
				t.Errorf("row after the COPY (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]string{"copy c from stdin", "select 1"}, d.primary.statements()); diff != "" {
				t.Errorf("statements (-want +got):\n%s", diff)
			}
		})
	}
}
