package caller

import (
	"io"
	"net"
	"time"
)

const (
	// lingerBytes bounds what is read and dropped after the last message.
	lingerBytes = 1 << 20
	// lingerTimeout bounds the wait for a caller to close its side.
	lingerTimeout = time.Second
)

// halfCloser is a connection whose sending side can be closed on its own.
type halfCloser interface {
	CloseWrite() error
}

// linger ends the sending side and drops what the caller still sends, until the
// caller closes its side. If a connection with unread input were closed at
// once, TCP would reset it, and the last error could be lost on its way.
func linger(conn net.Conn) {
	half, ok := conn.(halfCloser)
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, conn, lingerBytes)
}
