package backend_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// scriptedServer is a server that answers each query with the messages that respond
// returns.
type scriptedServer struct {
	password string
	respond  func(sql string) []pgproto3.BackendMessage

	mu                sync.Mutex
	queries           []string
	opened            int
	refuseConnections bool
	startupParameters map[string]string
}

// dial connects to the server, unless refuseConnections is set.
func (s *scriptedServer) dial(context.Context, string, string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuseConnections {
		return nil, errors.New("connection refused")
	}
	s.opened++
	client, server := net.Pipe()
	go s.serve(server)
	return client, nil
}

// serve authenticates the client of a connection and answers its queries.
func (s *scriptedServer) serve(conn net.Conn) {
	defer conn.Close()
	b := pgproto3.NewBackend(conn, conn)
	start, err := b.ReceiveStartupMessage()
	if err != nil {
		return
	}
	s.mu.Lock()
	s.startupParameters = start.(*pgproto3.StartupMessage).Parameters
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
		s.queries = append(s.queries, query.String)
		s.mu.Unlock()
		for _, answer := range s.respond(query.String) {
			b.Send(answer)
		}
	}
}

// replyOK returns the response to a query that succeeds without rows.
func replyOK(string) []pgproto3.BackendMessage {
	return []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte("OK")}, &pgproto3.ReadyForQuery{TxStatus: 'I'}}
}

// connect opens a connection to the server, as PoolConfig.Connect does.
func (s *scriptedServer) connect(ctx context.Context, server fleet.ServerID, address string) (*backend.Conn, error) {
	return backend.Connect(ctx, backend.ConnConfig{Address: address, Database: "d", Dial: s.dial, Password: s.password, Server: server, User: "proxy"})
}

func kindOf(err error) backend.Kind {
	var known *backend.Error
	if errors.As(err, &known) {
		return known.Kind
	}
	return ""
}

func poolRequest(timeout time.Duration) backend.PoolRequest {
	now := time.Now()
	return backend.PoolRequest{ArrivedAt: now, Deadline: now.Add(timeout), Server: "s1", Weight: 1, Workspace: "w"}
}

// TestConnState guards against session state reaching another owner, and against the
// reuse of a connection with an unread response.
func TestConnState(t *testing.T) {
	s := &scriptedServer{password: "secret", respond: func(sql string) []pgproto3.BackendMessage {
		messages := replyOK(sql)
		if sql == "twice" {
			messages = append(messages, &pgproto3.ReadyForQuery{TxStatus: 'I'})
		}
		return messages
	}}
	conn, err := s.connect(context.Background(), "s1", "a")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	want := map[string]string{"application_name": "nutmegpier", "database": "d", "user": "proxy"}
	if diff := cmp.Diff(want, s.startupParameters); diff != "" {
		t.Errorf("startup parameters (-want +got):\n%s", diff)
	}
	prepareFor := func(owner uint64, settings string) {
		t.Helper()
		if err := conn.PrepareFor(owner, settings); err != nil {
			t.Fatal(err)
		}
	}
	prepareFor(1, "")
	prepareFor(1, "SET a TO '1'")
	prepareFor(2, "SET a TO '1'")
	prepareFor(2, "")
	conn.MarkStateChanged()
	prepareFor(2, "")
	prepareFor(3, "SET a TO '2'")
	if diff := cmp.Diff([]string{"SET a TO '1'", "RESET ALL", "DISCARD ALL", "SET a TO '2'"}, s.queries); diff != "" {
		t.Errorf("statements (-want +got):\n%s", diff)
	}
	if !conn.Reusable() {
		t.Error("connection isn't reusable after its statements")
	}
	if err := conn.Exec("twice"); err != nil {
		t.Fatal(err)
	}
	if conn.Reusable() {
		t.Error("connection with an unread response is reusable")
	}
	otherServer := &scriptedServer{password: "other", respond: replyOK}
	_, err = backend.Connect(context.Background(), backend.ConnConfig{Dial: otherServer.dial, Password: "secret", User: "proxy"})
	if diff := cmp.Diff(backend.KindServer, kindOf(err)); diff != "" {
		t.Errorf("wrong password (-want +got):\n%s", diff)
	}
}
