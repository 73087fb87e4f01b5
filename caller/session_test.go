package caller_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/caller"
)

// TestAuthentication guards against accepting a wrong key, refusing a second valid
// key, and a different error for unknown workspaces.
func TestAuthentication(t *testing.T) {
	d := deploy(t, oneRow("primary"), nil)
	for _, tc := range []struct {
		name, user, key string
		want            [2]string
	}{
		{"FirstKey", testWorkspace, "old key", [2]string{}},
		{"SecondKey", testWorkspace, testKey, [2]string{}},
		{"UnknownWorkspace", "nobody", testKey, [2]string{"28P01", "Outcome: NotRun"}},
		{"WrongKey", testWorkspace, "wrong", [2]string{"28P01", "Outcome: NotRun"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			conn, err := d.tryConnect(func(config *pgx.ConnConfig) { config.User, config.Password = tc.user, tc.key })
			var got [2]string
			if err != nil {
				got = errorFields(t, err)
			} else {
				_ = conn.Close(context.Background())
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}

// awaitFatal waits until the server closes an idle connection and returns the
// SQLSTATE that it sent.
func awaitFatal(t *testing.T, conn *pgx.Conn) string {
	t.Helper()
	var code string
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := conn.PgConn().WaitForNotification(ctx)
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		code = pgErr.Code
	}
	return code
}

// TestWithdrawnKey guards against sessions that stay open after their key was
// withdrawn. Idle ones must end at once, those in a transaction when it ends.
func TestWithdrawnKey(t *testing.T) {
	d := deploy(t, scriptedPrimary, nil)
	idle, inTransaction, otherKey := d.connect(t), d.connect(t), d.connect(t, func(config *pgx.ConnConfig) { config.Password = "old key" })
	mustExec(t, inTransaction, "begin")
	d.policy.revoke("k2")
	d.server.RecheckKeys()
	if diff := cmp.Diff("57P01", awaitFatal(t, idle)); diff != "" {
		t.Errorf("idle session (-want +got):\n%s", diff)
	}
	mustExec(t, inTransaction, "insert into t values (1)")
	mustExec(t, inTransaction, "commit")
	if diff := cmp.Diff("57P01", awaitFatal(t, inTransaction)); diff != "" {
		t.Errorf("session after its transaction (-want +got):\n%s", diff)
	}
	mustExec(t, otherKey, "select 1")
}

// TestUnprovenKeyInTransaction guards against a transaction that goes on although its
// instance can't know any more whether the key was withdrawn, also if the session was
// asked to stop for another reason before.
func TestUnprovenKeyInTransaction(t *testing.T) {
	for _, test := range []struct {
		name string
		stop func(d *deployment)
	}{
		{name: "unproven", stop: func(d *deployment) { d.server.StopUnproven("unproven") }},
		{name: "stopping before", stop: func(d *deployment) { d.server.StopIdle("out of service"); d.server.StopUnproven("unproven") }},
		{name: "withdrawn while stopping", stop: func(d *deployment) {
			d.server.StopIdle("out of service")
			d.policy.revoke("k2")
			d.server.RecheckKeys()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := deploy(t, scriptedPrimary, nil, func(config *caller.Config) {
				config.StopBound, config.WithdrawalTimeout = time.Hour, time.Millisecond
			})
			conn := d.connect(t)
			mustExec(t, conn, "begin")
			mustExec(t, conn, "insert into t values (1)")
			test.stop(d)
			if diff := cmp.Diff("57P01", awaitFatal(t, conn)); diff != "" {
				t.Errorf("session in a transaction (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDrain guards against a shutdown that interrupts a transaction or accepts new
// sessions.
func TestDrain(t *testing.T) {
	d := deploy(t, scriptedPrimary, nil)
	idle, inTransaction := d.connect(t), d.connect(t)
	mustExec(t, inTransaction, "begin")
	drained := make(chan error, 1)
	go func() { drained <- d.server.Drain(context.Background()) }()
	if diff := cmp.Diff("57P01", awaitFatal(t, idle)); diff != "" {
		t.Errorf("idle session (-want +got):\n%s", diff)
	}
	_, err := d.tryConnect()
	if diff := cmp.Diff([2]string{"57P03", "Outcome: NotRun"}, errorFields(t, err)); diff != "" {
		t.Errorf("new session (-want +got):\n%s", diff)
	}
	mustExec(t, inTransaction, "insert into t values (1)")
	mustExec(t, inTransaction, "commit")
	if err := <-drained; err != nil {
		t.Errorf("Drain: %v", err)
	}
}

// TestCancel guards against a cancel request reaching a statement of another
// session. It must be sent for the backend connection in use, and that connection
// must not be reused.
func TestCancel(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	script := func(sql string) reply {
		if strings.HasPrefix(sql, "select slow") {
			close(started)
			<-cancelled
			return reply{code: "57014"}
		}
		return scriptedPrimary(sql)
	}
	d := deploy(t, script, nil)
	conn := d.connect(t, simpleMode)
	go func() {
		<-started
		if err := conn.PgConn().CancelRequest(context.Background()); err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(uint32(1), <-d.primary.cancels); diff != "" {
			t.Errorf("process id of the cancel request (-want +got):\n%s", diff)
		}
		close(cancelled)
	}()
	_, err := conn.Exec(context.Background(), "select slow")
	if diff := cmp.Diff([2]string{"57014", "Outcome: Failed"}, errorFields(t, err)); diff != "" {
		t.Errorf("error (-want +got):\n%s", diff)
	}
	mustExec(t, conn, "select 1")
	if diff := cmp.Diff(uint32(2), d.primary.connections()); diff != "" {
		t.Errorf("connections to the backend server (-want +got):\n%s", diff)
	}
}

// forwarder reports the cancel requests that are forwarded to other instances.
type forwarder struct {
	forwarded chan uint32
}

func (f forwarder) ForwardCancel(_ context.Context, processID uint32, _ []byte) error {
	f.forwarded <- processID
	return nil
}

// TestCancelForwarded guards against losing a cancel request that arrives at an
// instance that doesn't serve the session.
func TestCancelForwarded(t *testing.T) {
	f := forwarder{forwarded: make(chan uint32, 1)}
	d := deploy(t, scriptedPrimary, nil, func(config *caller.Config) { config.CancelForwarder = f })
	conn, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	request, err := (&pgproto3.CancelRequest{ProcessID: 77, SecretKey: []byte{1, 2, 3, 4}}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(request); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(uint32(77), <-f.forwarded); diff != "" {
		t.Errorf("process id of the forwarded cancel request (-want +got):\n%s", diff)
	}
}

// TestHostileInput guards against startup input that blocks a connection or gets a
// wrong SQLSTATE.
func TestHostileInput(t *testing.T) {
	message := func(code uint32, rest string) []byte {
		raw := binary.BigEndian.AppendUint32(nil, uint32(8+len(rest)))
		return append(binary.BigEndian.AppendUint32(raw, code), rest...)
	}
	const version3 = 3 << 16
	for _, tc := range []struct {
		name      string
		input     []byte
		halfClose bool
		want      string
	}{
		{"BadLength", []byte{0, 0, 0, 1, 0, 0, 0, 0}, false, "08P01"},
		{"BadOptions", message(version3, "user\x00u\x00options\x00-x\x00\x00"), false, "08P01"},
		{"HalfClosed", []byte{0, 0}, true, ""},
		{"NoUser", message(version3, "database\x00d\x00\x00"), false, "08P01"},
		{"OldVersion", message(2<<16, ""), false, "08P01"},
		{"Oversized", []byte{0x7f, 0, 0, 0, 0, 3, 0, 0}, false, "08P01"},
		{"Replication", message(version3, "user\x00u\x00replication\x00true\x00\x00"), false, "0A000"},
		{"SettingInjection", message(version3, "user\x00u\x00a;drop table t\x00x\x00\x00"), false, "22023"},
		{"Slow", []byte{0, 0}, false, ""},
		{"Unterminated", message(version3, "user\x00u"), false, "08P01"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := deploy(t, scriptedPrimary, nil, func(config *caller.Config) { config.StartupTimeout = 200 * time.Millisecond })
			conn, err := net.Dial("tcp", d.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Write(tc.input); err != nil {
				t.Fatal(err)
			}
			if tc.halfClose {
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			output, _ := io.ReadAll(conn)
			if diff := cmp.Diff(tc.want, fatalCode(output)); diff != "" {
				t.Errorf("SQLSTATE (-want +got):\n%s", diff)
			}
		})
	}
}

// fatalCode returns the SQLSTATE of an encoded ErrorResponse, or the empty string.
func fatalCode(output []byte) string {
	_, rest, found := bytes.Cut(output[min(5, len(output)):], []byte("\x00C"))
	if !found {
		return ""
	}
	code, _, _ := bytes.Cut(rest, []byte{0})
	return string(code)
}

// readErrorCode reads until the connection ends and returns the SQLSTATE of the first
// error, or the empty string. It reads through the client library, which may have read
// ahead from the socket.
func readErrorCode(frontend *pgproto3.Frontend) string {
	code := ""
	for {
		message, err := frontend.Receive()
		if err != nil {
			return code
		}
		if response, isError := message.(*pgproto3.ErrorResponse); isError && code == "" {
			code = response.Code
		}
	}
}

// TestOversizedMessage guards against buffering a message that exceeds MaxMessage.
func TestOversizedMessage(t *testing.T) {
	d := deploy(t, scriptedPrimary, nil, func(config *caller.Config) { config.MaxMessage = 1000 })
	conn := d.connect(t, simpleMode)
	_, err := conn.Exec(context.Background(), "select '"+strings.Repeat("x", 2000)+"'")
	if diff := cmp.Diff("08P01", errorFields(t, err)[0]); diff != "" {
		t.Errorf("SQLSTATE (-want +got):\n%s", diff)
	}
}

// TestBackendLostInsideRow guards against losing the backend server in the middle
// of a row. A truncated row must not reach the caller, and an error message must
// not be taken for the rest of a row: after part of a large row was sent, the
// session ends without one.
func TestBackendLostInsideRow(t *testing.T) {
	for _, size := range []int{100, 100000} {
		d := deploy(t, func(string) reply { return reply{partialRow: size} }, nil)
		conn := d.connect(t, simpleMode)
		rows, err := conn.Query(context.Background(), "select 1")
		if err != nil {
			t.Fatal(err)
		}
		if rows.Next() {
			t.Errorf("size %d: got a row", size)
		}
		var pgErr *pgconn.PgError
		isAnswered := errors.As(rows.Err(), &pgErr) && pgErr.Code == "40003"
		if diff := cmp.Diff(size == 100, isAnswered); rows.Err() == nil || diff != "" {
			t.Errorf("size %d: error %v (-want +got):\n%s", size, rows.Err(), diff)
		}
	}
}

// TestMalformedMessages guards against malformed messages crashing a session or
// reaching the backend server.
func TestMalformedMessages(t *testing.T) {
	d := deploy(t, scriptedPrimary, nil)
	for name, input := range map[string]string{
		"BindWithoutName": "B\x00\x00\x00\x05xS\x00\x00\x00\x04",
		"CloseBadKind":    "C\x00\x00\x00\x06x\x00S\x00\x00\x00\x04",
		"NegativeSize":    "Q\x00\x00\x00\x03",
		"ParseShort":      "P\x00\x00\x00\x06a\x00S\x00\x00\x00\x04",
		"QueryUnended":    "Q\x00\x00\x00\x05x",
		"UnknownType":     "?\x00\x00\x00\x04",
	} {
		t.Run(name, func(t *testing.T) {
			hijacked, err := d.connect(t).PgConn().Hijack()
			if err != nil {
				t.Fatal(err)
			}
			defer hijacked.Conn.Close()
			if _, err := hijacked.Conn.Write([]byte(input)); err != nil {
				t.Fatal(err)
			}
			_ = hijacked.Conn.(*net.TCPConn).CloseWrite()
			_ = hijacked.Conn.SetDeadline(time.Now().Add(10 * time.Second))
			if diff := cmp.Diff("08P01", readErrorCode(hijacked.Frontend)); diff != "" {
				t.Errorf("SQLSTATE (-want +got):\n%s", diff)
			}
		})
	}
	if diff := cmp.Diff(0, len(d.primary.statements())); diff != "" {
		t.Errorf("statements on the backend server (-want +got):\n%s", diff)
	}
}

// TestNewerProtocol guards against callers assuming that the server supports the
// newer minor version or the protocol options that they request.
func TestNewerProtocol(t *testing.T) {
	d := deploy(t, scriptedPrimary, nil)
	conn, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	start := encode(&pgproto3.StartupMessage{ProtocolVersion: 3<<16 | 2, Parameters: map[string]string{"user": testWorkspace, "_pq_.x": "1"}})
	if _, err := conn.Write(start); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	message, err := pgproto3.NewFrontend(conn, conn).Receive()
	if err != nil {
		t.Fatal(err)
	}
	want := &pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 3 << 16, UnrecognizedOptions: []string{"_pq_.x"}}
	if diff := cmp.Diff(pgproto3.BackendMessage(want), message); diff != "" {
		t.Errorf("first message (-want +got):\n%s", diff)
	}
}

// TestStartupSettings guards against startup settings that aren't applied or
// aren't reported to the caller, and against the caller's application name reaching
// the backend server.
func TestStartupSettings(t *testing.T) {
	d := deploy(t, scriptedPrimary, nil)
	conn := d.connect(t, simpleMode, func(config *pgx.ConnConfig) {
		config.RuntimeParams["TimeZone"] = "Europe/Madrid"
		config.RuntimeParams["application_name"] = "secret name"
		config.RuntimeParams["options"] = "-c work_mem=1MB"
	})
	mustExec(t, conn, "set application_name = 'secret name'")
	mustExec(t, conn, "select 1")
	want := []string{"SET work_mem TO '1MB'", "SET timezone TO 'Europe/Madrid'", "SET application_name TO 'nutmegpier'", "select 1"}
	if diff := cmp.Diff(want, d.primary.statements()); diff != "" {
		t.Errorf("statements on the backend server (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("Europe/Madrid", conn.PgConn().ParameterStatus("TimeZone")); diff != "" {
		t.Errorf("reported time zone (-want +got):\n%s", diff)
	}
}

// TestDrainDeadline guards against a transaction delaying a shutdown beyond the
// deadline of Drain.
func TestDrainDeadline(t *testing.T) {
	d := deploy(t, scriptedPrimary, nil)
	conn := d.connect(t)
	mustExec(t, conn, "begin")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := d.server.Drain(ctx); err == nil {
		t.Error("Drain returned no error although a session was aborted")
	}
	if diff := cmp.Diff("57P01", awaitFatal(t, conn)); diff != "" {
		t.Errorf("session in a transaction (-want +got):\n%s", diff)
	}
}
