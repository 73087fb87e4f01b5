// Package ports limits the connections to the HTTP ports of an instance.
package ports

import (
	"net"
	"net/http"
	"sync"
)

// Listener limits the number of open connections of an HTTP server, or, if Authenticated is
// set, of those that have not sent a request yet. At the limit, a new connection replaces the oldest one that has not sent a request yet, or else the
// one that has been idle between two requests for the longest, on which the peer is the
// least likely to be sending a request. If there is none, the new one is closed.
type Listener struct {
	net.Listener
	// Authenticated says that the server closes a connection whose first request is not
	// authenticated. The others are then not limited: a relay or an owner has several
	// connections of each instance, and to close one in use makes an outcome unknown. It
	// must be set before the first Accept.
	Authenticated bool
	// closed is called for each connection that is closed because there are too many.
	closed func()
	limit  int

	// mu guards the fields below.
	mu     sync.Mutex
	number uint64
	open   map[net.Conn]portConn
}

// portConn is an open connection of an HTTP server.
type portConn struct {
	// number orders connections by the time when they were accepted or became idle.
	number uint64
	state  http.ConnState
}

// NewListener returns a listener with at most limit open connections. The server
// must call ConnState. closed is called for each connection that is closed because there
// are too many; it must not block.
func NewListener(listener net.Listener, limit int, closed func()) *Listener {
	return &Listener{Listener: listener, closed: closed, limit: limit, open: map[net.Conn]portConn{}}
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit(conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
}

// admit adds a connection, and closes another one for it at the limit. It reports false
// if the connection must be closed.
func (l *Listener) admit(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counted() >= l.limit {
		l.closed()
		replaced := l.oldest(http.StateNew)
		if replaced == nil && !l.Authenticated {
			replaced = l.oldest(http.StateIdle)
		}
		if replaced == nil {
			return false
		}
		_ = replaced.Close()
		delete(l.open, replaced)
	}
	l.number++
	l.open[conn] = portConn{number: l.number, state: http.StateNew}
	return true
}

// counted returns the number of connections that count towards the limit. mu must be held.
func (l *Listener) counted() int {
	if !l.Authenticated {
		return len(l.open)
	}
	count := 0
	for _, entry := range l.open {
		if entry.state == http.StateNew {
			count++
		}
	}
	return count
}

// oldest returns the oldest connection in a state, or nil. mu must be held.
func (l *Listener) oldest(state http.ConnState) net.Conn {
	var oldest net.Conn
	for conn, entry := range l.open {
		if entry.state == state && (oldest == nil || entry.number < l.open[oldest].number) {
			oldest = conn
		}
	}
	return oldest
}

// ConnState is called by the server when the state of a connection changes.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, found := l.open[conn]
	switch {
	case !found:
	case state == http.StateClosed, state == http.StateHijacked:
		delete(l.open, conn)
	default:
		entry.state = state
		if state == http.StateIdle {
			l.number++
			entry.number = l.number
		}
		l.open[conn] = entry
	}
}
