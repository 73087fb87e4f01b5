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

// recording is a writer that keeps all bytes written to it.
type recording struct {
	mu      sync.Mutex
	content []byte
}

// Write appends the bytes to the content. It never fails.
func (r *recording) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.content = append(r.content, p...)
	return len(p), nil
}

// contains reports whether the text is in the recorded bytes.
func (r *recording) contains(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Contains(r.content, []byte(text))
}

// route identifies the network connections from an instance to an address.
type route struct {
	address string
	from    fleet.InstanceID
}

// network provides a dialer for each instance. It can cut the routes of an instance and
// records all bytes that the instances send.
type network struct {
	mu    sync.Mutex
	conns map[*recordedConn]route
	cut   map[route]bool
	sent  recording
}

func newNetwork() *network {
	return &network{conns: make(map[*recordedConn]route), cut: make(map[route]bool)}
}

// dialer returns the dial function of an instance. It fails if the route is cut.
func (n *network) dialer(from fleet.InstanceID) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, networkType, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, networkType, address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.cut[route{address, from}] {
			conn.Close()
			return nil, errors.New("the route is cut")
		}
		recorded := &recordedConn{Conn: conn, network: n}
		n.conns[recorded] = route{address, from}
		return recorded, nil
	}
}

// setCut cuts the route from an instance to an address, or restores it. A cut closes
// the open connections of the route.
func (n *network) setCut(from fleet.InstanceID, address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[route{address, from}] = cut
	for conn, used := range n.conns {
		if cut && used == (route{address, from}) {
			conn.Conn.Close()
		}
	}
}

// recordedConn is a connection whose sent bytes are recorded by the network.
type recordedConn struct {
	net.Conn

	network *network
}

// Close removes the connection from the network and closes it.
func (c *recordedConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// Write records the bytes and sends them.
func (c *recordedConn) Write(p []byte) (int, error) {
	_, _ = c.network.sent.Write(p)
	return c.Conn.Write(p)
}

// SyscallConn returns the socket, which the check of idle connections needs. The
// connections that a real instance dials provide it, too.
func (c *recordedConn) SyscallConn() (syscall.RawConn, error) {
	socket, isSocket := c.Conn.(syscall.Conn)
	if !isSocket {
		return nil, errors.New("the connection has no socket")
	}
	return socket.SyscallConn()
}
