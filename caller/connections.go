package caller

import (
	"net"
	"time"

	"github.com/nutmegpier/nutmegpier/budget"
)

const (
	// maxRefusals limits the connections over the budget that are being refused at the
	// same time. Further ones are closed without an error message.
	maxRefusals = 16
	// refusalEventInterval is the minimum time between two events about refused
	// connections, so that a flood of connections doesn't displace other events.
	refusalEventInterval = time.Second
)

// closeReason says why a connection was refused or closed.
type closeReason string

// Reasons.
const (
	closeBytes       closeReason = "Bytes"
	closeConnections closeReason = "Connections"
)

// ClosedConnections returns the number of connections that were refused or closed
// because of the budget.
func (s *Server) ClosedConnections() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closedConns
}

// admitConn adds a connection to the budget, and closes the one that it replaces. It
// reports false if the connection must be refused.
func (s *Server) admitConn(conn net.Conn) (budget.ConnID, bool) {
	if s.config.Budget == nil {
		return 0, true
	}
	s.mu.Lock()
	id, decision := s.config.Budget.Open()
	if !decision.Refused {
		s.conns[id] = conn
	}
	s.mu.Unlock()
	s.closeConns(decision, closeConnections)
	if decision.Refused {
		s.countClosed(conn, closeConnections)
	}
	return id, !decision.Refused
}

// forgetConn removes a connection from the budget.
func (s *Server) forgetConn(id budget.ConnID) {
	if s.config.Budget == nil {
		return
	}
	s.config.Budget.Close(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, id)
}

// startConn records that a connection has a session, after which it is no longer
// replaced. It reports false if it was replaced already.
func (s *Server) startConn(id budget.ConnID) bool {
	return s.config.Budget == nil || s.config.Budget.Start(id)
}

// refuseOverBudget refuses a connection over the budget with an error, unless too many
// are being refused.
func (s *Server) refuseOverBudget(conn net.Conn) {
	defer conn.Close()
	s.mu.Lock()
	excess := s.refusals >= maxRefusals
	if !excess {
		s.refusals++
	}
	s.mu.Unlock()
	if excess {
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refusals--
	}()
	s.refuseOverLimit(conn)
}

// countClosed counts a connection that is refused or closed because of the budget, and
// records an event unless there was one within refusalEventInterval.
func (s *Server) countClosed(conn net.Conn, reason closeReason) {
	now := s.config.Now()
	s.mu.Lock()
	s.closedConns++
	due := s.refusalEventAt.IsZero() || now.Sub(s.refusalEventAt) >= refusalEventInterval
	if due {
		s.refusalEventAt = now
	}
	s.mu.Unlock()
	if due {
		s.record(Event{Name: EventCallerRefused, Text: string(reason) + " " + conn.RemoteAddr().String()})
	}
}
