package backend_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/standin"
)

// newControls starts a group of stand-in servers and returns a control for each.
func newControls(t *testing.T) (context.Context, *standin.Group, []*backend.Control) {
	t.Helper()
	g, err := standin.NewGroup(standin.Options{Authentication: standin.AuthenticationSCRAM, Password: "secret", User: "proxy"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	var controls []*backend.Control
	for _, s := range g.Servers() {
		c, err := backend.NewControl(backend.ControlConfig{
			Address:  s.Addr(),
			Database: string(g.ID()),
			Dial:     (&net.Dialer{}).DialContext,
			Password: "secret",
			User:     "proxy",
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close(context.Background()) })
		controls = append(controls, c)
	}
	return ctx, g, controls
}

// TestControl guards against calls whose arguments or results differ between the
// two sides of the control connection.
func TestControl(t *testing.T) {
	ctx, g, controls := newControls(t)
	got, err := controls[0].Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	first := fleet.Position{Log: 1, Term: 1}
	want := group.ServerStatus{
		Applied: first, ConnectionLimit: 20, History: fleet.History{{First: 1, Term: 1}}, Log: first,
		PromisedTerm: 1, Role: group.RolePrimary, Server: "orders-1", Term: 1,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
	const holder = "it's a, b"
	for _, c := range controls {
		granted, status, err := c.Fence(ctx, 2, holder, time.Millisecond)
		if err != nil || !granted || status.PromisedTo != holder {
			t.Fatalf("Fence() = %v, %+v, %v", granted, status, err)
		}
	}
	if granted, _, err := controls[1].Fence(ctx, 2, "b", 0); err != nil || granted {
		t.Errorf("Fence() of a term promised to another holder = %v, %v, want a refusal", granted, err)
	}
	_, err = controls[1].Promote(ctx, 2, "b")
	var backendErr *backend.Error
	if !errors.As(err, &backendErr) || backendErr.Kind != backend.KindServer {
		t.Errorf("Promote() without a promise: error = %v, want kind %s", err, backend.KindServer)
	}
	if _, err := controls[1].Promote(ctx, 2, holder); err != nil {
		t.Fatal(err)
	}
	status, err := controls[2].Wait(ctx, fleet.Position{Log: 2, Term: 2}, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(fleet.Position{Log: 2, Term: 2}, status.Log); diff != "" {
		t.Errorf("end of the log after Wait() (-want +got):\n%s", diff)
	}
	if err := g.WaitApplied(ctx); err != nil {
		t.Fatal(err)
	}
}

// TestControlReconnects guards against a control that does not reconnect after its
// server has crashed, and against a wait that blocks a status call.
func TestControlReconnects(t *testing.T) {
	ctx, g, controls := newControls(t)
	waitCtx, cancel := context.WithCancel(ctx)
	waited := make(chan error)
	go func() {
		_, err := controls[0].Wait(waitCtx, fleet.Position{Log: 100, Term: 1}, time.Hour)
		waited <- err
	}()
	if _, err := controls[0].Status(ctx); err != nil {
		t.Errorf("Status() during a wait: %v", err)
	}
	cancel()
	if err := <-waited; err == nil {
		t.Error("Wait() succeeded although it was cancelled")
	}
	g.Servers()[0].Crash()
	var backendErr *backend.Error
	if _, err := controls[0].Status(ctx); !errors.As(err, &backendErr) || backendErr.Kind != backend.KindConnection {
		t.Errorf("Status() of a crashed server: error = %v, want kind %s", err, backend.KindConnection)
	}
	g.Servers()[0].Restart(true)
	if _, err := controls[0].Status(ctx); err != nil {
		t.Errorf("Status() after the restart: %v", err)
	}
}

// TestControlDrain guards against a drain that blocks status calls, so that its
// server counts as unresponsive.
func TestControlDrain(t *testing.T) {
	ctx, g, controls := newControls(t)
	primary := g.Servers()[0]
	if err := g.Exec(ctx, "CREATE TABLE tabs (name TEXT)"); err != nil {
		t.Fatal(err)
	}
	var conns []*pgconn.PgConn
	for range 2 {
		conn, err := pgconn.Connect(ctx, "postgres://proxy:secret@"+primary.Addr()+"/"+string(g.ID())+"?sslmode=disable")
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close(ctx)
		conns = append(conns, conn)
	}
	if _, err := conns[0].Exec(ctx, "BEGIN; INSERT INTO tabs VALUES ('drained')").ReadAll(); err != nil {
		t.Fatal(err)
	}
	granted := make(chan bool)
	go func() {
		ok, _, _ := controls[0].Fence(ctx, 2, "a", time.Hour)
		granted <- ok
	}()
	// The refusal shows that the drain has begun. Until then this write waits for the
	// open transaction.
	if _, err := conns[1].Exec(ctx, "INSERT INTO tabs VALUES ('refused')").ReadAll(); err == nil {
		t.Error("a write during the drain succeeded")
	}
	status, err := controls[0].Status(ctx)
	if err != nil || status.PromisedTerm != 1 {
		t.Errorf("Status() during the drain = %+v, %v, want promised term 1", status, err)
	}
	if _, err := conns[0].Exec(ctx, "COMMIT").ReadAll(); err != nil {
		t.Errorf("COMMIT during the drain: %v", err)
	}
	if !<-granted {
		t.Error("the fence was refused")
	}
}

// statusNames are the columns of a status row.
const statusNames = "server role term promised_term promised_to log_term log_position applied_term applied_position " +
	"primary_contact_ms history connections connection_limit"

// FuzzParseStatusRow guards against a malformed row that crashes the parser or is
// accepted as an inconsistent status.
func FuzzParseStatusRow(f *testing.F) {
	f.Add("s1|Primary|2|2|a|2|11|2|11|0|1:1,2:10|3|20")
	f.Add("s1|Replica|2|3||1|9|1|8|950|1:1|0|0")
	f.Add("s1|Leader|2|2|a|2|11|2|11|0|1:1,2:10|3|20")
	f.Add("s1|Primary|-1|2|a|2|11|2|12|0|1:1|3|99999999999")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		values := strings.Split(text, "|")
		status, err := backend.ParseStatusRow(strings.Fields(statusNames), values)
		if err != nil {
			return
		}
		if status.Applied.Log > status.Log.Log || status.PrimaryContact < 0 || status.Connections < 0 || status.Server == "" {
			t.Errorf("accepted the inconsistent status %+v", status)
		}
	})
}

// TestParseStatusRowErrors guards against error messages that don't tell which part
// of the row is wrong.
func TestParseStatusRowErrors(t *testing.T) {
	for _, tc := range []struct{ row, want string }{
		{"s1|Primary|2|2|a|2|11|2|11|0|1:1,2:10|3", "status row has 13 columns and 12 values, want 13"},
		{"s1|Leader|2|2|a|2|11|2|11|0|1:1,2:10|3|20", `status column role: unknown role "Leader"`},
		{"s1|Primary|2|2|a|2|11|2|12|0|1:1,2:10|3|20", "applied position 2/12 is beyond the log end 2/11"},
		{"s1|Primary|2|2|a|2|11|2|11|0|1:1|3|20", "history 1:1 does not end in the log's term 2"},
	} {
		_, err := backend.ParseStatusRow(strings.Fields(statusNames), strings.Split(tc.row, "|"))
		got := ""
		if err != nil {
			got = err.Error()
		}
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("error for %q (-want +got):\n%s", tc.row, diff)
		}
	}
}
