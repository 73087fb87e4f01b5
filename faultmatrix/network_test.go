package faultmatrix_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// recording keeps all bytes written to it.
type recording struct {
	mu      sync.Mutex
	content []byte
}

// Write keeps the bytes.
func (r *recording) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.content = append(r.content, p...)
	return len(p), nil
}

// holds reports whether the text is in the bytes.
func (r *recording) holds(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Contains(r.content, []byte(text))
}

// path is the way from an instance to an address.
type path struct {
	address string
	from    fleet.InstanceID
}

// network gives each instance a dialer whose paths can be cut, and records
// what is sent.
type network struct {
	mu    sync.Mutex
	conns map[*recordedConn]path
	cut   map[path]bool
	sent  recording
}

func newNetwork() *network {
	return &network{conns: make(map[*recordedConn]path), cut: make(map[path]bool)}
}

// dialer returns the dial function of an instance.
func (n *network) dialer(from fleet.InstanceID) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, kind, address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.cut[path{address, from}] {
			conn.Close()
			return nil, errors.New("the network path is cut")
		}
		recorded := &recordedConn{Conn: conn, network: n}
		n.conns[recorded] = path{address, from}
		return recorded, nil
	}
}

// setCut cuts the path from an instance to an address, or heals it. Open
// connections on a cut path are closed.
func (n *network) setCut(from fleet.InstanceID, address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[path{address, from}] = cut
	for conn, used := range n.conns {
		if cut && used == (path{address, from}) {
			conn.Conn.Close()
		}
	}
}

// recordedConn is a connection of a network.
type recordedConn struct {
	net.Conn

	network *network
}

// Close closes the connection.
func (c *recordedConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// Write records and sends.
func (c *recordedConn) Write(p []byte) (int, error) {
	_, _ = c.network.sent.Write(p)
	return c.Conn.Write(p)
}

// SyscallConn gives the socket to the check of idle connections, as the dialer
// of a real instance does.
func (c *recordedConn) SyscallConn() (syscall.RawConn, error) {
	socket, isSocket := c.Conn.(syscall.Conn)
	if !isSocket {
		return nil, errors.New("the connection has no socket")
	}
	return socket.SyscallConn()
}
