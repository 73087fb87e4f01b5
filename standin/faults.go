package standin

import (
	"strings"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

// Crash simulates a crash: it resets all connections and accepts none until
// Restart. Open transactions are rolled back. The listener stays open, so that
// no other process can take the address; new connections are reset.
func (s *Server) Crash() {
	s.group.mu.Lock()
	s.running = false
	s.writer = nil
	s.draining = false
	s.broadcast()
	s.group.mu.Unlock()
	s.closeSessions(func(*session) bool { return true })
}

// Restart restarts a crashed server. With keepLog, its log, role and promise are
// as before. Otherwise it starts as an empty replica that grants no promise until
// it has caught up with a primary.
func (s *Server) Restart(keepLog bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.running = true
	s.lastContact = time.Now()
	if !keepLog {
		s.applied = 0
		s.log = nil
		s.logLost = true
		s.rebuild = true
		s.role = group.RoleReplica
		s.term = 0
	}
	s.broadcast()
}

// SetPaused pauses or resumes the server. A paused server accepts TCP
// connections, but answers no request and neither sends, receives nor applies log
// entries.
func (s *Server) SetPaused(paused bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.paused = paused
	s.broadcast()
}

// BlockClients simulates a network partition between the server and the clients
// whose application name starts with one of the prefixes. Their requests wait
// until they are unblocked. Each call replaces the prefixes; a call without any
// unblocks all clients.
func (s *Server) BlockClients(prefixes ...string) {
	s.sessionsMu.Lock()
	s.blocksClient = func(name string) bool {
		for _, p := range prefixes {
			if strings.HasPrefix(name, p) {
				return true
			}
		}
		return false
	}
	s.sessionsMu.Unlock()
	s.group.mu.Lock()
	s.broadcast()
	s.group.mu.Unlock()
}

// DropCommitResponses makes the server reset the connection instead of sending
// the response to each of the next n commits. The commits still take effect.
func (s *Server) DropCommitResponses(n int) {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	s.commitResponsesToDrop = n
}

// SetApplyLag sets the time between the receipt of a log entry and its
// application on this server.
func (s *Server) SetApplyLag(lag time.Duration) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.applyLag = lag
	s.broadcast()
}

// SetStatementDelay sets a delay that is added to each statement. The statement
// occupies its slot during the delay.
func (s *Server) SetStatementDelay(delay time.Duration) {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	s.delay = delay
}

// consumeCommitDrop reports whether the response to a commit is to be dropped, and
// counts it.
func (s *Server) consumeCommitDrop() bool {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	if s.commitResponsesToDrop == 0 {
		return false
	}
	s.commitResponsesToDrop--
	return true
}

// isClientBlocked reports whether BlockClients applies to a client.
func (s *Server) isClientBlocked(applicationName string) bool {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	return s.blocksClient != nil && s.blocksClient(applicationName)
}

func (s *Server) statementDelay() time.Duration {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	return s.delay
}

// closeSessions resets the connections of the sessions for which matches returns
// true.
func (s *Server) closeSessions(matches func(*session) bool) {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	for _, c := range s.sessions {
		if matches(c) {
			c.cancelContext()
			resetConn(c.conn)
		}
	}
}

// DisconnectClients resets the connections whose application name starts with
// the prefix.
func (s *Server) DisconnectClients(prefix string) {
	s.closeSessions(func(c *session) bool { return strings.HasPrefix(c.applicationName(), prefix) })
}

// IsolateServer simulates a network partition between a server on one side, and
// on the other side the other servers and the clients whose application name
// starts with one of the prefixes.
func (g *Group) IsolateServer(id fleet.ServerID, prefixes ...string) {
	g.PartitionServer(id, true)
	if s := g.Server(id); s != nil {
		s.BlockClients(prefixes...)
	}
}
