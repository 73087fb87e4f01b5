package caller

import (
	"io"
	"net"
	"time"
)

const (
	// lingerBytes limits how much input is read and discarded after the last
	// message.
	lingerBytes = 1 << 20
	// lingerTimeout limits the wait for the caller to close its side.
	lingerTimeout = time.Second
)

// halfCloser is a connection whose write side can be closed separately.
type halfCloser interface {
	CloseWrite() error
}

// linger performs a lingering close: it closes the write side and discards input
// until the caller closes its side. Closing a connection with unread input makes
// TCP send a reset, which could discard the last error message before the caller
// reads it.
func linger(conn net.Conn) {
	half, ok := conn.(halfCloser)
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, conn, lingerBytes)
}
