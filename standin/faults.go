package standin

import (
	"strings"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

// Crash ends all connections at once and takes none until Restart. Open
// transactions are rolled back. The listener stays open, so that the address
// is not given to another process; connections to it are reset.
func (s *Server) Crash() {
	s.group.mu.Lock()
	s.running = false
	s.writer = nil
	s.draining = false
	s.broadcast()
	s.group.mu.Unlock()
	s.closeSessions(func(*session) bool { return true })
}

// Restart starts a crashed server again. With keepLog its log, role and
// promise are as before. Without, it starts as an empty replica that gives no
// promise until it caught up with a primary.
func (s *Server) Restart(keepLog bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.running = true
	s.contact = time.Now()
	if !keepLog {
		s.applied = 0
		s.log = nil
		s.lost = true
		s.rebuild = true
		s.role = group.RoleReplica
		s.term = 0
	}
	s.broadcast()
}

// Pause stops the server or lets it go on. A paused server accepts TCP
// connections, answers nothing and replicates nothing.
func (s *Server) SetPaused(paused bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.paused = paused
	s.broadcast()
}

// BlockClients cuts the server off from the clients whose application name
// starts with one of the prefixes. Their requests wait until the cut is
// healed, by a call without a prefix.
func (s *Server) BlockClients(prefixes ...string) {
	s.sessionsMu.Lock()
	s.cutClients = func(name string) bool {
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

// DropCommitResponses closes the connection instead of answering, after the
// next n commits took effect.
func (s *Server) DropCommitResponses(n int) {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	s.loseCommits = n
}

// SetApplyLag sets the time between receipt and application of an entry.
func (s *Server) SetApplyLag(lag time.Duration) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.applyLag = lag
	s.broadcast()
}

// SetStatementDelay makes each statement take longer. It holds its slot meanwhile.
func (s *Server) SetStatementDelay(delay time.Duration) {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	s.delay = delay
}

// takeLostCommit reports whether the answer to a commit is to be lost.
func (s *Server) takeLostCommit() bool {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	if s.loseCommits == 0 {
		return false
	}
	s.loseCommits--
	return true
}

// isCut reports whether the server is cut off from a client.
func (s *Server) isCut(applicationName string) bool {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	return s.cutClients != nil && s.cutClients(applicationName)
}

func (s *Server) statementDelay() time.Duration {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	return s.delay
}

// closeSessions closes the connections of the chosen sessions.
func (s *Server) closeSessions(chosen func(*session) bool) {
	s.sessionsMu.Lock()
	defer s.sessionsMu.Unlock()
	for _, c := range s.sessions {
		if chosen(c) {
			c.cancelAll()
			reset(c.conn)
		}
	}
}

// DisconnectClients closes the connections whose application name starts with
// the prefix.
func (s *Server) DisconnectClients(prefix string) {
	s.closeSessions(func(c *session) bool { return strings.HasPrefix(c.applicationName(), prefix) })
}

// IsolateServer cuts a server off from the other servers and from the clients
// with one of the prefixes.
func (g *Group) IsolateServer(id fleet.ServerID, prefixes ...string) {
	g.PartitionServer(id, true)
	if s := g.Server(id); s != nil {
		s.BlockClients(prefixes...)
	}
}
