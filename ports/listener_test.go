package ports_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/ports"
)

// TestListenerLimit guards against connections without a request that keep others out,
// and against closing a connection whose request is being answered.
func TestListenerLimit(t *testing.T) {
	inner := &pipeListener{}
	closed := 0
	listener := ports.NewListener(inner, 2, func() { closed++ })
	accept := func() net.Conn {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	active, silent := accept(), accept()
	listener.ConnState(active, http.StateActive)
	third := accept()
	if _, err := silent.Write([]byte("x")); err == nil {
		t.Error("the connection without a request was not closed")
	}
	listener.ConnState(third, http.StateActive)
	listener.ConnState(active, http.StateIdle)
	fourth := accept()
	if _, err := active.Write([]byte("x")); err == nil {
		t.Error("the idle connection was not closed")
	}
	listener.ConnState(fourth, http.StateActive)
	inner.onAccept = func() { listener.ConnState(third, http.StateClosed) }
	accept()
	if diff := cmp.Diff(2, closed); diff != "" {
		t.Errorf("closed connections (-want +got):\n%s", diff)
	}
}

// TestAuthenticatedConnections guards against closing a connection of another instance that
// is idle between two requests, because there are many instances.
func TestAuthenticatedConnections(t *testing.T) {
	closed := 0
	listener := ports.NewListener(&pipeListener{}, 2, func() { closed++ })
	listener.Authenticated = true
	var conns []net.Conn
	for range 8 {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		listener.ConnState(conn, http.StateActive)
		listener.ConnState(conn, http.StateIdle)
		conns = append(conns, conn)
	}
	for i, conn := range conns {
		if _, err := conn.Write([]byte("x")); err != nil {
			t.Errorf("connection %d was closed: %v", i, err)
		}
	}
	for range 3 {
		if _, err := listener.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(1, closed); diff != "" {
		t.Errorf("closed connections without a request (-want +got):\n%s", diff)
	}
}

// pipeListener accepts connections in memory whose other end discards all data.
type pipeListener struct {
	net.Listener
	// onAccept is called before each accept, unless it is nil.
	onAccept func()
}

// Accept returns a new connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	if l.onAccept != nil {
		l.onAccept()
	}
	conn, other := net.Pipe()
	go func() {
		for buffer := make([]byte, 16); ; {
			if _, err := other.Read(buffer); err != nil {
				return
			}
		}
	}()
	return conn, nil
}
