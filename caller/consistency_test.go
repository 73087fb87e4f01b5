package caller_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// countingBarrier returns a fixed position and counts its calls.
type countingBarrier struct {
	calls atomic.Int32
}

func (b *countingBarrier) Barrier(context.Context, fleet.GroupID, time.Time) (fleet.Position, error) {
	b.calls.Add(1)
	return fleet.Position{Term: 1, Log: 5}, nil
}

// routed holds the fields of a router request that tests compare.
type routed struct {
	Access caller.Access
	MaxAge time.Duration
	Token  string
}

// routed returns the requests to the router so far, reduced to the compared fields.
func (r *fakeRouter) routed() []routed {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []routed
	for _, request := range r.requests {
		list = append(list, routed{Access: request.Access, MaxAge: request.MaxAge, Token: request.Token.String()})
	}
	return list
}

// allRequests returns all requests to the router so far.
func (r *fakeRouter) allRequests() []caller.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.requests)
}

// TestBarrierBeforeFirstRead guards against a session without a token reading data
// from before its start, and against a barrier call for each read.
func TestBarrierBeforeFirstRead(t *testing.T) {
	barrier := &countingBarrier{}
	d := deploy(t, scriptedPrimary, oneRow("replica"), func(config *caller.Config) { config.Barrier = barrier })
	conn := d.connect(t, simpleMode)
	mustExec(t, conn, "/* nutmegpier: max_age=2s */ select 1")
	mustExec(t, conn, "select 1")
	mustExec(t, conn, "set nutmegpier.max_age = '500ms'")
	mustExec(t, conn, "select 1")
	mustExec(t, conn, "insert into t values (1)")
	mustExec(t, conn, "begin read only")
	mustExec(t, conn, "select 1")
	mustExec(t, conn, "commit")
	want := []routed{
		{caller.AccessRead, 2 * time.Second, "v1::0/0:0/0"},
		{caller.AccessRead, 0, "v1:plant1:0/0:1/5"},
		{caller.AccessRead, 0, "v1:plant1:0/0:1/5"},
		{caller.AccessRead, 500 * time.Millisecond, "v1:plant1:0/0:1/5"},
		{caller.AccessWrite, 500 * time.Millisecond, "v1:plant1:0/0:1/5"},
		{caller.AccessRead, 500 * time.Millisecond, "v1:plant1:1/7:1/5"},
	}
	if diff := cmp.Diff(want, d.router.routed()); diff != "" {
		t.Errorf("requests to the router (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int32(1), barrier.calls.Load()); diff != "" {
		t.Errorf("barrier calls (-want +got):\n%s", diff)
	}
}

// TestPinnedConnection guards against a session losing its temporary tables and
// locks, and against another session getting them.
func TestPinnedConnection(t *testing.T) {
	d := deploy(t, scriptedPrimary, nil)
	first, second := d.connect(t, simpleMode), d.connect(t, simpleMode)
	mustExec(t, first, "create temp table x (a int)")
	mustExec(t, second, "select 2")
	mustExec(t, first, "select 1")
	if diff := cmp.Diff(uint32(2), d.primary.connections()); diff != "" {
		t.Errorf("connections to the backend server (-want +got):\n%s", diff)
	}
	_ = second.PgConn().Close(context.Background())
	_ = first.PgConn().Close(context.Background())
	d.awaitSessions(t)
	third := d.connect(t, simpleMode)
	mustExec(t, third, "select 3")
	statements := d.primary.statements()
	want := []string{"DISCARD ALL", "select 3"}
	if diff := cmp.Diff(want, statements[len(statements)-2:]); diff != "" {
		t.Errorf("last statements (-want +got):\n%s", diff)
	}
}

// awaitSessions waits until all sessions have ended.
func (d *deployment) awaitSessions(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); d.server.Sessions() > 0; {
		if time.Now().After(deadline) {
			t.Fatal("sessions are still open after 10 s")
		}
		runtime.Gosched()
	}
}

// TestFencedPrimary guards against a write failing during a failover although it
// certainly didn't run, and against a wrong outcome if no primary becomes
// available.
func TestFencedPrimary(t *testing.T) {
	var refusals atomic.Int32
	script := func(sql string) reply {
		if strings.HasPrefix(sql, "insert") && refusals.Add(-1) >= 0 {
			return reply{code: "25006"}
		}
		return scriptedPrimary(sql)
	}
	for name, mode := range protocolModes() {
		t.Run(name, func(t *testing.T) {
			refusals.Store(3)
			d := deploy(t, script, nil, func(config *caller.Config) { config.RequestTimeout = 300 * time.Millisecond })
			conn := d.connect(t, mode)
			mustExec(t, conn, "insert into t values (1)")
			refusals.Store(1000)
			_, err := conn.Exec(context.Background(), "insert into t values (1)")
			if diff := cmp.Diff([2]string{"25006", "Outcome: NotRun"}, errorFields(t, err)); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
			refusals.Store(0)
			mustExec(t, conn, "insert into t values (1)")
		})
	}
}

// TestCleartextOverTLS guards against the server requesting a cleartext key without
// TLS, and checks authentication over TLS.
func TestCleartextOverTLS(t *testing.T) {
	certificate := selfSigned(t)
	d := deploy(t, scriptedPrimary, nil, func(config *caller.Config) {
		config.AllowCleartext = true
		config.TLS = func() *tls.Config { return &tls.Config{Certificates: []tls.Certificate{certificate}} }
	})
	for _, key := range []string{testKey, "wrong"} {
		conn, err := d.tryConnect(func(config *pgx.ConnConfig) {
			config.Password = key
			config.TLSConfig = &tls.Config{InsecureSkipVerify: true}
		})
		if key == "wrong" {
			if diff := cmp.Diff("28P01", errorFields(t, err)[0]); diff != "" {
				t.Errorf("SQLSTATE (-want +got):\n%s", diff)
			}
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		mustExec(t, conn, "select 1")
		_ = conn.Close(context.Background())
	}
	mustExec(t, d.connect(t), "select 1")
}

func selfSigned(t *testing.T) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// TestFlushBeforeSync guards against replies that are held back until Sync although
// the caller sent a Flush, and against confusing two SQL texts that use the unnamed
// statement in one batch.
func TestFlushBeforeSync(t *testing.T) {
	d := deploy(t, scriptedPrimary, nil)
	hijacked, err := d.connect(t).PgConn().Hijack()
	if err != nil {
		t.Fatal(err)
	}
	defer hijacked.Conn.Close()
	_ = hijacked.Conn.SetDeadline(time.Now().Add(20 * time.Second))
	exchangeTypes := func(last byte, messages ...backend.Encoder) string {
		if _, err := hijacked.Conn.Write(encode(messages...)); err != nil {
			t.Fatal(err)
		}
		var types []byte
		for {
			message, err := hijacked.Frontend.Receive()
			if err != nil {
				t.Fatalf("after message types %q: %v", types, err)
			}
			encoded, err := message.Encode(nil)
			if err != nil {
				t.Fatal(err)
			}
			types = append(types, encoded[0])
			if encoded[0] == last {
				return string(types)
			}
		}
	}
	read := []backend.Encoder{&pgproto3.Parse{Query: "select 1"}, &pgproto3.Bind{}, &pgproto3.Execute{}}
	write := []backend.Encoder{&pgproto3.Parse{Query: "insert into t values (1)"}, &pgproto3.Bind{}, &pgproto3.Execute{}}
	for _, tc := range []struct {
		name string
		last byte
		send []backend.Encoder
		want string
	}{
		{"Flush", 'C', append(append([]backend.Encoder{}, read...), &pgproto3.Flush{}), "12DC"},
		{"SyncAfterFlush", 'Z', []backend.Encoder{&pgproto3.Sync{}}, "Z"},
		{"TwoTexts", 'Z', append(append(append([]backend.Encoder{}, write...), read...), &pgproto3.Sync{}), "12C12DSCZ"},
		{"UnknownStatement", 'Z', []backend.Encoder{&pgproto3.Bind{PreparedStatement: "none"}, &pgproto3.Execute{}, &pgproto3.Sync{}}, "EZ"},
		{"EmptySync", 'Z', []backend.Encoder{&pgproto3.Sync{}}, "Z"},
	} {
		if diff := cmp.Diff(tc.want, exchangeTypes(tc.last, tc.send...)); diff != "" {
			t.Errorf("%s: message types (-want +got):\n%s", tc.name, diff)
		}
	}
}
