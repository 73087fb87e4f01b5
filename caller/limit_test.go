package caller_test

import (
	"bytes"
	"context"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/caller"
)

// TestMaxSessions guards against more connections than MaxSessions, including
// unauthenticated ones, and against a closed connection still being counted.
func TestMaxSessions(t *testing.T) {
	d := deploy(t, scriptedPrimary, nil, func(config *caller.Config) { config.MaxSessions = 2 })
	first := d.connect(t, simpleMode)
	unauthenticated, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer unauthenticated.Close()
	// Send a GSSENCRequest. Once its one-byte reply arrives, the server counts the
	// connection.
	if _, err := unauthenticated.Write([]byte{0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x30}); err != nil {
		t.Fatal(err)
	}
	if _, err := unauthenticated.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_, err = d.tryConnect()
	if diff := cmp.Diff([2]string{"53300", "Outcome: NotRun"}, errorFields(t, err)); diff != "" {
		t.Errorf("connection over MaxSessions (-want +got):\n%s", diff)
	}
	mustExec(t, first, "select 1")
	_ = first.PgConn().Close(context.Background())
	for deadline := time.Now().Add(10 * time.Second); ; runtime.Gosched() {
		conn, err := d.tryConnect()
		if err == nil {
			_ = conn.Close(context.Background())
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("connection still refused after another one was closed: %v", err)
		}
	}
	if diff := cmp.Diff(uint32(1), d.primary.connections()); diff != "" {
		t.Errorf("connections to the backend server (-want +got):\n%s", diff)
	}
}

// TestMemoryLimits guards against small messages without a Sync, or prepared
// statements, using unlimited memory.
func TestMemoryLimits(t *testing.T) {
	d := deploy(t, scriptedPrimary, nil, func(config *caller.Config) { config.MaxMessage = 4 << 20 })
	hijacked, err := d.connect(t).PgConn().Hijack()
	if err != nil {
		t.Fatal(err)
	}
	defer hijacked.Conn.Close()
	_ = hijacked.Conn.SetDeadline(time.Now().Add(20 * time.Second))
	// These messages exceed the limit on their number, but not the one on their
	// size.
	_, _ = hijacked.Conn.Write(bytes.Repeat(encode(&pgproto3.Describe{ObjectType: 'P'}), 1<<17+1))
	if diff := cmp.Diff("08P01", readErrorCode(hijacked.Frontend)); diff != "" {
		t.Errorf("SQLSTATE after many messages (-want +got):\n%s", diff)
	}
	conn := d.connect(t).PgConn()
	var codes []string
	for _, name := range []string{"a", "b", "c"} {
		_, err := conn.Prepare(context.Background(), name, "select '"+strings.Repeat("x", 3<<19)+"'", nil)
		code := ""
		if err != nil {
			code = errorFields(t, err)[0]
		}
		codes = append(codes, code)
	}
	if diff := cmp.Diff([]string{"", "", "0A000"}, codes); diff != "" {
		t.Errorf("SQLSTATEs of large statements (-want +got):\n%s", diff)
	}
}

// TestSlowCaller guards against callers that hold a backend connection because they
// don't read the response or send only part of a message.
func TestSlowCaller(t *testing.T) {
	script := func(sql string) reply {
		if strings.HasPrefix(sql, "select large") {
			return reply{rows: []string{strings.Repeat("x", 32<<20)}}
		}
		return oneRow("primary")(sql)
	}
	for name, tc := range map[string]struct {
		input string
		want  []bool
	}{
		"HalfMessage": {"Q\x00\x00\x00\x20select", nil},
		"NeverReads":  {string(encode(&pgproto3.Query{String: "select large"})), []bool{false}},
	} {
		t.Run(name, func(t *testing.T) {
			released := make(chan bool, 10)
			d := deploy(t, script, nil, func(config *caller.Config) {
				config.IdleTimeout = 300 * time.Millisecond
				config.WriteTimeout = 300 * time.Millisecond
				config.Router = &notifyingRouter{Router: config.Router, released: released}
			})
			hijacked, err := d.connect(t).PgConn().Hijack()
			if err != nil {
				t.Fatal(err)
			}
			defer hijacked.Conn.Close()
			if _, err := hijacked.Conn.Write([]byte(tc.input)); err != nil {
				t.Fatal(err)
			}
			d.awaitSessions(t)
			close(released)
			var got []bool
			for healthy := range released {
				got = append(got, healthy)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("health of the released connections (-want +got):\n%s", diff)
			}
		})
	}
}

// notifyingRouter wraps a router and reports each release of a connection, with its
// health.
type notifyingRouter struct {
	caller.Router
	released chan bool
}

// Acquire acquires a connection from the wrapped router.
func (r *notifyingRouter) Acquire(ctx context.Context, request caller.Request) (caller.Lease, error) {
	lease, err := r.Router.Acquire(ctx, request)
	if err != nil {
		return nil, err
	}
	return &notifyingLease{Lease: lease, released: r.released}, nil
}

type notifyingLease struct {
	caller.Lease
	released chan bool
}

// Release releases the connection and reports it.
func (l *notifyingLease) Release(healthy bool) {
	l.Lease.Release(healthy)
	l.released <- healthy
}

// TestIdleTransaction guards against a caller that opens a transaction and then
// sends nothing, which would hold a backend connection that others need.
func TestIdleTransaction(t *testing.T) {
	d := deploy(t, scriptedPrimary, nil, func(config *caller.Config) { config.TransactionTimeout = 50 * time.Millisecond })
	conn := d.connect(t)
	mustExec(t, conn, "begin")
	hijacked, err := conn.PgConn().Hijack()
	if err != nil {
		t.Fatal(err)
	}
	defer hijacked.Conn.Close()
	message, err := hijacked.Frontend.Receive()
	if err != nil {
		t.Fatal(err)
	}
	errorResponse, isError := message.(*pgproto3.ErrorResponse)
	if !isError {
		t.Fatalf("got %T, want an ErrorResponse", message)
	}
	if diff := cmp.Diff([2]string{"25P03", "Outcome: NotRun"}, [2]string{errorResponse.Code, errorResponse.Detail}); diff != "" {
		t.Errorf("error (-want +got):\n%s", diff)
	}
}
