package caller_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// cannedServer answers each Query and each Sync with prepared bytes, so that it
// adds nothing to the allocations that a benchmark counts.
func cannedServer(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveCanned(conn)
		}
	}()
	return listener.Addr().String()
}

func serveCanned(conn net.Conn) {
	defer conn.Close()
	start := pgproto3.NewBackend(conn, conn)
	if _, err := start.ReceiveStartupMessage(); err != nil {
		return
	}
	start.Send(&pgproto3.AuthenticationOk{})
	start.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if start.Flush() != nil {
		return
	}
	simple, extended, parsed := cannedAnswer(false), cannedAnswer(true), encode(&pgproto3.ParseComplete{})
	reader := backend.NewFrameReader(conn, 4096, 1<<20)
	for {
		frame, err := reader.Next()
		if err != nil {
			return
		}
		switch frame.Type {
		case 'P':
			_, err = conn.Write(parsed)
		case 'Q':
			_, err = conn.Write(simple)
		case 'S':
			_, err = conn.Write(extended)
		}
		if err != nil {
			return
		}
	}
}

func cannedAnswer(extended bool) []byte {
	row := &pgproto3.DataRow{Values: [][]byte{[]byte("0123456789")}}
	messages := []backend.Encoder{rowDescription(), row, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'}}
	if extended {
		messages = append([]backend.Encoder{&pgproto3.BindComplete{}}, messages...)
	}
	return encode(messages...)
}

func encode(messages ...backend.Encoder) []byte {
	var raw []byte
	for _, message := range messages {
		raw, _ = message.Encode(raw)
	}
	return raw
}

// roundTrip sends a request and reads the response up to ReadyForQuery.
func roundTrip(b *testing.B, conn io.ReadWriter, reader *backend.FrameReader, request []byte) {
	if _, err := conn.Write(request); err != nil {
		b.Fatal(err)
	}
	for {
		frame, err := reader.Next()
		if err != nil {
			b.Fatal(err)
		}
		if frame.Type == 'Z' {
			return
		}
	}
}

// BenchmarkRelay measures one statement directly and through the proxy. The client
// and the server allocate nothing, so the allocations are those of the relay path.
func BenchmarkRelay(b *testing.B) {
	address := cannedServer(b)
	pool := backend.NewPool(backend.PoolConfig{Connect: func(ctx context.Context, server fleet.ServerID, address string) (*backend.Conn, error) {
		return backend.Connect(ctx, backend.ConnConfig{Address: address, Server: server, User: "proxy"})
	}})
	b.Cleanup(pool.Close)
	pool.SetServer("primary", address, backend.Limits{Permits: 2, Slots: 2})
	d := deploy(b, nil, nil, func(config *caller.Config) { config.Router = &poolRouter{pool: pool, server: "primary"} })
	simple := encode(&pgproto3.Query{String: "select value from t where id = 1"})
	parse := encode(&pgproto3.Parse{Name: "a", Query: "select value from t where id = $1"}, &pgproto3.Sync{})
	extended := encode(&pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{[]byte("1")}}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{})
	for _, path := range []struct {
		name string
		open func() net.Conn
	}{
		{"Direct", func() net.Conn { return openDirect(b, address) }},
		{"Proxy", func() net.Conn { return hijack(b, d.connect(b).PgConn()) }},
	} {
		for _, protocol := range []struct {
			name    string
			request []byte
		}{{"Simple", simple}, {"Extended", extended}} {
			b.Run(path.name+protocol.name, func(b *testing.B) {
				conn := path.open()
				defer conn.Close()
				reader := backend.NewFrameReader(conn, 4096, 1<<20)
				roundTrip(b, conn, reader, parse)
				b.ReportAllocs()
				for b.Loop() {
					roundTrip(b, conn, reader, protocol.request)
				}
			})
		}
	}
}

// BenchmarkRelayParallel measures the throughput of several callers that share one
// pool, directly and through the proxy. Run it with -cpu 1,4,8.
func BenchmarkRelayParallel(b *testing.B) {
	address := cannedServer(b)
	pool := backend.NewPool(backend.PoolConfig{Connect: func(ctx context.Context, server fleet.ServerID, address string) (*backend.Conn, error) {
		return backend.Connect(ctx, backend.ConnConfig{Address: address, Server: server, User: "proxy"})
	}})
	b.Cleanup(pool.Close)
	pool.SetServer("primary", address, backend.Limits{Permits: 64, Slots: 64})
	d := deploy(b, nil, nil, func(config *caller.Config) { config.Router = &poolRouter{pool: pool, server: "primary"} })
	simple := encode(&pgproto3.Query{String: "select value from t where id = 1"})
	for _, path := range []struct {
		name string
		open func() net.Conn
	}{
		{"Direct", func() net.Conn { return openDirect(b, address) }},
		{"Proxy", func() net.Conn { return hijack(b, d.connect(b).PgConn()) }},
	} {
		b.Run(path.name, func(b *testing.B) {
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				conn := path.open()
				defer conn.Close()
				reader := backend.NewFrameReader(conn, 4096, 1<<20)
				for pb.Next() {
					roundTrip(b, conn, reader, simple)
				}
			})
		})
	}
}

func hijack(b *testing.B, conn *pgconn.PgConn) net.Conn {
	hijackedConn, err := conn.Hijack()
	if err != nil {
		b.Fatal(err)
	}
	return hijackedConn.Conn
}

func openDirect(b *testing.B, address string) net.Conn {
	conn, err := pgconn.Connect(context.Background(), "postgres://proxy@"+address+"/d?sslmode=disable")
	if err != nil {
		b.Fatal(err)
	}
	return hijack(b, conn)
}

// BenchmarkIdleSession measures the memory of an idle session without TLS. This
// includes the caller's socket, which is in the same process.
func BenchmarkIdleSession(b *testing.B) {
	d := deploy(b, scriptedPrimary, nil)
	const sessions = 500
	for b.Loop() {
		before := memoryInUse()
		conns := make([]net.Conn, 0, sessions)
		for range sessions {
			client, err := d.tryConnect()
			if err != nil {
				b.Fatal(err)
			}
			conn := hijack(b, client.PgConn())
			roundTrip(b, conn, backend.NewFrameReader(conn, 4096, 1<<20), encode(&pgproto3.Query{String: "select 1"}))
			conns = append(conns, conn)
		}
		b.ReportMetric((memoryInUse()-before)/sessions, "B/session")
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// memoryInUse returns the bytes in use by the heap and by stacks after garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
