package caller

import (
	"errors"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/budget"
)

const (
	// freeMessageBytes is the size of a message, or of the messages up to a Sync, that
	// is not charged to the budget, so that ordinary requests take no lock.
	freeMessageBytes = 4 << 10
	// chargeFactor is the number of copies of a message that a session holds: the read
	// buffer and the SQL text or the batch.
	chargeFactor = 2
)

// chargeMessage charges a message to the budget before it is read, and closes the
// connections that the budget chooses for it. It returns an error if the session must
// end.
func (s *session) chargeMessage(size int) error {
	if s.server.config.Budget == nil || size <= freeMessageBytes && len(s.batch.data) <= freeMessageBytes {
		return nil
	}
	decision := s.server.config.Budget.Charge(s.connID, size*chargeFactor)
	s.server.closeConns(decision, closeBytes)
	if decision.Refused {
		s.server.countClosed(s.conn, closeBytes)
		return errNoBytes()
	}
	s.charged += size * chargeFactor
	return nil
}

// dropReadBuffer frees the read buffer of a large message that was copied, so that it is
// not held while the request waits and runs.
func (s *session) dropReadBuffer(size int) {
	if size > freeMessageBytes && s.reader.Buffered() == 0 {
		s.reader = backend.NewFrameReader(s.conn, readBufferSize, s.server.config.MaxMessage)
	}
}

// releaseMessages releases the bytes of the messages that were answered.
func (s *session) releaseMessages() {
	if s.charged > 0 && len(s.batch.messages) == 0 {
		s.server.config.Budget.Release(s.connID, s.charged)
		s.charged = 0
	}
}

// setRunning records whether a server works on a request of the session, which is then
// not closed for its bytes. It reports false if the session was chosen to be closed
// before, so that the request must not run.
func (s *session) setRunning(running bool) bool {
	return s.charged == 0 || s.server.config.Budget.SetRunning(s.connID, running)
}

// closeConns closes the connections that the budget chose.
func (s *Server) closeConns(decision budget.Decision, reason closeReason) {
	for _, id := range decision.Close {
		s.mu.Lock()
		conn := s.conns[id]
		s.mu.Unlock()
		if conn != nil {
			s.countClosed(conn, reason)
			_ = conn.Close()
		}
	}
}

// errNoBytes returns the error of a session that is ended because of its bytes.
func errNoBytes() error {
	return &Error{Op: "read", Kind: KindCapacity, Err: errors.New("callers hold too much memory")}
}
