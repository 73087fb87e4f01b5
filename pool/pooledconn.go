package pool

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/session"
)

// PooledConn is a connection that belongs to a pool, in use or idle.
type PooledConn struct {
	Conn
	State *session.ConnState

	broken bool
	// grantedAt is when the connection was last granted.
	grantedAt time.Time
	// inService is true while a statement of the connection occupies the server: from
	// the grant to the end of its statement, or to the release outside a transaction.
	inService bool
	// inServiceAtStart is the number of statements and handshakes in service at the server
	// when the last statement began.
	inServiceAtStart int
	owner            *serverState
	pool             *Pool
	releasedAt       time.Time
	// served is the time for which statements have used the connection.
	served time.Duration
	// transaction is true while a transaction holds the connection.
	transaction bool
	weight      int
	workspace   fleet.WorkspaceID
}

// MarkBroken makes Release close the connection instead of reusing it.
func (c *PooledConn) MarkBroken() {
	c.broken = true
}

// InServiceAtStart returns the number of statements and handshakes in service at the server
// when the last statement began, including it.
func (c *PooledConn) InServiceAtStart() int {
	return c.inServiceAtStart
}

// Run runs the commands and measures their time, from which the pool estimates how much
// the server can do.
func (c *PooledConn) Run(deadline time.Time, commands []session.Command) (session.Reply, *session.RunError) {
	began := c.pool.beginRun(c)
	reply, failure := c.Conn.Run(deadline, commands)
	c.pool.endRun(c, began, failure)
	return reply, failure
}

// beginRun counts a statement that begins on a connection.
func (p *Pool) beginRun(conn *PooledConn) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	conn.owner.beginService(now, conn)
	conn.inServiceAtStart = conn.owner.inService
	return now
}

// endRun counts the end of a statement. Outside a transaction the connection stays in
// service until it is released, which follows at once.
func (p *Pool) endRun(conn *PooledConn, began time.Time, failure *session.RunError) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !conn.inService {
		return
	}
	s, now := conn.owner, p.clock()
	if failure == nil {
		conn.served += now.Sub(began)
		s.service.add(now.Sub(began))
	}
	if !conn.Reusable() {
		conn.inService = false
		s.endService(now, conn.workspace)
		s.dispatch(now)
	}
}
