//go:build !race

package gateway_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/session"
)

// testServers are the servers of one group in memory. Their logs are equal, except for
// those of deaf servers.
type testServers struct {
	mu sync.Mutex
	// deaf holds the servers that receive no commits, with the ends of their logs.
	deaf map[fleet.ServerID]fleet.Position
	// dialFailure, if set, is the failure of each new connection.
	dialFailure *session.RunError
	// dialTime is the time to open a connection, workTime that of a statement, and
	// setupTime that of setting the state of a connection.
	dialTime, setupTime, workTime time.Duration
	// down holds the servers that have crashed.
	down map[fleet.ServerID]bool
	// onStatus, if set, is called at each request for a status.
	onStatus func()
	position fleet.Position
	primary  fleet.ServerID
	// promoted lists the servers that became primary.
	promoted []fleet.ServerID
	// ran lists the statements of callers in the order of their arrival.
	ran []ranStatement
}

// ranStatement is a statement that a server has run.
type ranStatement struct {
	at     time.Time
	id     session.StatementID
	kind   session.StatementKind
	server fleet.ServerID
}

var (
	_ pool.Dialer      = &testServers{}
	_ gateway.Control  = &testServers{}
	_ gateway.Promoter = &testServers{}
)

func newTestServers() *testServers {
	return &testServers{dialTime: 12 * time.Millisecond, position: fleet.Position{Log: 1, Term: 1}, primary: "s-1", workTime: 3 * time.Millisecond}
}

// set changes the state of the servers.
func (s *testServers) set(change func(*testServers)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// runs returns the statements that ran with an ID.
func (s *testServers) runs(id session.StatementID) []ranStatement {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []ranStatement
	for _, ran := range s.ran {
		if ran.id == id {
			runs = append(runs, ran)
		}
	}
	return runs
}

// Dial implements pool.Dialer.
func (s *testServers) Dial(_ time.Time, server pool.Server, _ fleet.WorkspaceID) (pool.Conn, *session.RunError) {
	s.mu.Lock()
	dialTime, failure := s.dialTime, s.dialFailure
	if s.down[server.ID] {
		failure = &session.RunError{Kind: session.KindUnknown, Text: "connection refused"}
	}
	s.mu.Unlock()
	time.Sleep(dialTime)
	if failure != nil {
		return nil, failure
	}
	return &testConn{server: server.ID, servers: s}, nil
}

// Healthy, Status and StepDown implement gateway.Control.
func (s *testServers) Healthy(_ context.Context, server pool.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.down[server.ID]
}

func (s *testServers) Status(_ time.Time, conn pool.Conn) (gateway.ServerStatus, error) {
	if pooled, isPooled := conn.(*pool.PooledConn); isPooled {
		conn = pooled.Conn
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.onStatus != nil {
		s.onStatus()
	}
	status := gateway.ServerStatus{Position: s.position, Role: primacy.RoleReplica, Term: s.position.Term}
	server := conn.(*testConn).server
	if s.down[server] {
		return gateway.ServerStatus{}, errors.New("connection reset")
	}
	if server == s.primary {
		status.Role = primacy.RolePrimary
	}
	if end, isDeaf := s.deaf[server]; isDeaf {
		status.Position, status.Term = end, end.Term
	}
	return status, nil
}

func (s *testServers) StepDown(time.Time, pool.Conn, fleet.Term) error { return nil }

// Promote implements gateway.Promoter.
func (s *testServers) Promote(_ context.Context, _ fleet.GroupID, server fleet.ServerID, _ fleet.InstanceID, _ primacy.Token) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary != server && !s.down[server] {
		s.primary = server
		s.promoted = append(s.promoted, server)
		s.position.Term++
	}
	return nil
}

// testConn is a connection to one server.
type testConn struct {
	inTransaction bool
	server        fleet.ServerID
	servers       *testServers
}

func (c *testConn) Alive() bool {
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	return !c.servers.down[c.server]
}

func (c *testConn) Close()         {}
func (c *testConn) Reusable() bool { return !c.inTransaction }

func (c *testConn) Run(_ time.Time, commands []session.Command) (session.Reply, *session.RunError) {
	s := c.servers
	for _, command := range commands {
		s.mu.Lock()
		if s.down[c.server] {
			s.mu.Unlock()
			return session.Reply{}, &session.RunError{Kind: session.KindUnknown, Text: "connection reset"}
		}
		duration := s.workTime
		switch command.Kind {
		case session.StatementBegin, session.StatementBeginRead:
			c.inTransaction = true
		case session.StatementCommit, session.StatementRollback:
			c.inTransaction = false
		case session.StatementPrepare, session.StatementReset, session.StatementSet:
			duration = s.setupTime
		}
		if command.ID != "" {
			s.ran = append(s.ran, ranStatement{at: time.Now(), id: command.ID, kind: command.Kind, server: c.server})
		}
		if command.Kind == session.StatementWrite {
			s.position.Log++
		}
		s.mu.Unlock()
		time.Sleep(duration)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return session.Reply{Position: s.position}, nil
}
