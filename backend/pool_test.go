package backend_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// script is a server that accepts connections and answers each query with the
// messages of reply.
type script struct {
	password string
	reply    func(sql string) []pgproto3.BackendMessage

	mu      sync.Mutex
	log     []string
	opened  int
	refused bool
	started map[string]string
}

func (s *script) dial(context.Context, string, string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused {
		return nil, errors.New("connection refused")
	}
	s.opened++
	client, server := net.Pipe()
	go s.serve(server)
	return client, nil
}

func (s *script) serve(conn net.Conn) {
	defer conn.Close()
	b := pgproto3.NewBackend(conn, conn)
	start, err := b.ReceiveStartupMessage()
	if err != nil {
		return
	}
	s.mu.Lock()
	s.started = start.(*pgproto3.StartupMessage).Parameters
	s.mu.Unlock()
	if s.password != "" {
		b.Send(&pgproto3.AuthenticationCleartextPassword{})
		_ = b.Flush()
		_ = b.SetAuthType(pgproto3.AuthTypeCleartextPassword)
		message, err := b.Receive()
		if password, ok := message.(*pgproto3.PasswordMessage); err != nil || !ok || password.Password != s.password {
			b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: "no"})
			_ = b.Flush()
			return
		}
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for b.Flush() == nil {
		message, err := b.Receive()
		if err != nil {
			return
		}
		query, ok := message.(*pgproto3.Query)
		if !ok {
			continue
		}
		s.mu.Lock()
		s.log = append(s.log, query.String)
		s.mu.Unlock()
		for _, answer := range s.reply(query.String) {
			b.Send(answer)
		}
	}
}

func done(string) []pgproto3.BackendMessage {
	return []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte("OK")}, &pgproto3.ReadyForQuery{TxStatus: 'I'}}
}

func (s *script) connect(ctx context.Context, server fleet.ServerID, address string) (*backend.Conn, error) {
	return backend.Connect(ctx, backend.ConnConfig{Address: address, Database: "d", Dial: s.dial, Password: s.password, Server: server, User: "proxy"})
}

func kindOf(err error) backend.Kind {
	var known *backend.Error
	if errors.As(err, &known) {
		return known.Kind
	}
	return ""
}

func poolRequest(patience time.Duration) backend.PoolRequest {
	now := time.Now()
	return backend.PoolRequest{ArrivedAt: now, Deadline: now.Add(patience), Server: "s1", Weight: 1, Workspace: "w"}
}

// TestPoolLifecycle guards against requests that wait beyond their deadline,
// permits given up while in use, and work on a server that is leaving.
func TestPoolLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{reply: done}
		starved := make(chan fleet.ServerID, 10)
		pool := backend.NewPool(backend.PoolConfig{Connect: s.connect, Starved: func(server fleet.ServerID) { starved <- server }})
		defer pool.Close()
		ctx := context.Background()
		if _, err := pool.Acquire(ctx, time.Now(), poolRequest(time.Second)); kindOf(err) != backend.KindUnavailable {
			t.Errorf("unknown server: %v", err)
		}
		pool.SetServer("s1", "a", backend.Limits{Permits: 1, Slots: 2})
		first, err := pool.Acquire(ctx, time.Now(), poolRequest(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := pool.Acquire(ctx, time.Now(), poolRequest(time.Second)); kindOf(err) != backend.KindDeadline {
			t.Errorf("no permit left: %v", err)
		}
		if diff := cmp.Diff(time.Second, time.Since(start)); diff != "" {
			t.Errorf("wait (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(fleet.ServerID("s1"), <-starved); diff != "" {
			t.Errorf("starved server (-want +got):\n%s", diff)
		}
		if pool.GivePermit("s1") {
			t.Error("gave the permit of a connection in use")
		}
		first.Release(true)
		first.Release(true)
		if !pool.GivePermit("s1") {
			t.Error("kept the permit of an idle connection")
		}
		if diff := cmp.Diff(backend.Counts{}, pool.Counts("s1")); diff != "" {
			t.Errorf("counts after giving the permit (-want +got):\n%s", diff)
		}
		pool.SetServer("s1", "a", backend.Limits{Permits: 3, Slots: 2})
		pool.Warm("s1", 3)
		synctest.Wait()
		if diff := cmp.Diff(backend.Counts{Idle: 3}, pool.Counts("s1")); diff != "" {
			t.Errorf("counts after warm-up (-want +got):\n%s", diff)
		}
		last, err := pool.Acquire(ctx, time.Now(), poolRequest(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		pool.Drain("s1")
		if _, err := pool.Acquire(ctx, time.Now(), poolRequest(time.Second)); kindOf(err) != backend.KindUnavailable {
			t.Errorf("draining server: %v", err)
		}
		last.Release(true)
		if diff := cmp.Diff(backend.Counts{}, pool.Counts("s1")); diff != "" {
			t.Errorf("counts after the drain (-want +got):\n%s", diff)
		}
	})
}

// TestPoolServerDown guards against requests that wait for a server that can't
// be reached instead of going elsewhere, and against it not being tried again.
func TestPoolServerDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{refused: true, reply: done}
		pool := backend.NewPool(backend.PoolConfig{Connect: s.connect})
		defer pool.Close()
		pool.SetServer("s1", "a", backend.Limits{Permits: 2, Slots: 2})
		for range 2 {
			start := time.Now()
			if _, err := pool.Acquire(context.Background(), start, poolRequest(time.Minute)); kindOf(err) != backend.KindUnavailable || time.Since(start) > 0 {
				t.Errorf("server down: %v after %v", err, time.Since(start))
			}
		}
		s.mu.Lock()
		s.refused = false
		s.mu.Unlock()
		time.Sleep(time.Second)
		lease, err := pool.Acquire(context.Background(), time.Now(), poolRequest(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		lease.Release(true)
	})
}

// TestConnState guards against session state reaching another owner, and
// against a connection being reused that is out of step.
func TestConnState(t *testing.T) {
	s := &script{password: "secret", reply: func(sql string) []pgproto3.BackendMessage {
		answer := done(sql)
		if sql == "twice" {
			answer = append(answer, &pgproto3.ReadyForQuery{TxStatus: 'I'})
		}
		return answer
	}}
	conn, err := s.connect(context.Background(), "s1", "a")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	want := map[string]string{"application_name": "nutmegpier", "database": "d", "user": "proxy"}
	if diff := cmp.Diff(want, s.started); diff != "" {
		t.Errorf("start-up parameters (-want +got):\n%s", diff)
	}
	adopt := func(owner uint64, profile string) {
		t.Helper()
		if err := conn.Adopt(owner, profile); err != nil {
			t.Fatal(err)
		}
	}
	adopt(1, "")
	adopt(1, "SET a TO '1'")
	adopt(2, "SET a TO '1'")
	adopt(2, "")
	conn.Touch()
	adopt(2, "")
	adopt(3, "SET a TO '2'")
	if diff := cmp.Diff([]string{"SET a TO '1'", "RESET ALL", "DISCARD ALL", "SET a TO '2'"}, s.log); diff != "" {
		t.Errorf("statements (-want +got):\n%s", diff)
	}
	if !conn.Reusable() {
		t.Error("connection isn't reusable after its statements")
	}
	if err := conn.Exec("twice"); err != nil {
		t.Fatal(err)
	}
	if conn.Reusable() {
		t.Error("connection with an unread answer is reusable")
	}
	wrong := &script{password: "other", reply: done}
	_, err = backend.Connect(context.Background(), backend.ConnConfig{Dial: wrong.dial, Password: "secret", User: "proxy"})
	if diff := cmp.Diff(backend.KindServer, kindOf(err)); diff != "" {
		t.Errorf("wrong password (-want +got):\n%s", diff)
	}
}
