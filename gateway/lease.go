package gateway

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/session"
)

var _ session.Lease = &lease{}

// lease is a server connection held by a session.
type lease struct {
	// requestedAt is when the lease was requested, so that the wait for a
	// connection counts towards the latency of the first command. It is zero
	// after the first response.
	requestedAt time.Time
	// minPosition is the log position that a replica must have applied before it
	// runs the first read or begin. It is zero on the primary, and afterwards.
	minPosition fleet.Position
	gateway     *Gateway
	// generation is that of the primary record in use. It is zero on a replica.
	generation primacy.Generation
	group      fleet.GroupID
	conn       *pool.PooledConn
	route      pool.RouteClass
	// primary is true if the lease was taken on the primary.
	primary bool
	server  fleet.ServerID
}

// Exclusive reports whether the server was guaranteed to be the only primary up to
// now. It is always true for a replica.
func (l *lease) Exclusive(now time.Time) bool {
	if !l.primary {
		return true
	}
	l.gateway.mu.Lock()
	defer l.gateway.mu.Unlock()
	return l.gateway.group(l.group).primaryLease.Exclusive(now, l.generation)
}

// Release returns the connection to the pool.
func (l *lease) Release() {
	l.gateway.pool.Release(l.server, l.conn)
	l.endUse()
}

// endUse removes the lease from the counts of requests in flight and of uses of
// the primary.
func (l *lease) endUse() {
	g := l.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if server := g.servers[l.server]; server != nil && server.inFlight > 0 {
		server.inFlight--
	}
	if l.primary {
		g.group(l.group).primaryLease.Release()
	}
}

// Run runs a batch on the server and updates its latency, lag and health from the
// outcome.
func (l *lease) Run(deadline time.Time, batch session.Batch) (session.Reply, *session.RunError) {
	g := l.gateway
	sent := g.config.Clock()
	g.mu.Lock()
	mayContinue := g.mayContinue(sent, l.server)
	g.mu.Unlock()
	if !mayContinue && !batch.IsRollback() {
		// A transaction fails by this, and is rolled back on the same connection.
		return session.Reply{}, &session.RunError{Kind: session.KindBusy, Text: "the data centre of the server is out of service"}
	}
	if l.requestedAt.IsZero() {
		l.requestedAt = sent
	}
	if len(batch.Commands) > 0 {
		batch.Commands[0].MinPosition = l.minPosition
		l.minPosition = fleet.Position{}
	}
	conn := &authorizedConn{authorization: batch.Authorization, conn: l.conn, gateway: g}
	reply, failure := l.conn.State.Run(conn, deadline, batch)
	now := g.config.Clock()
	if failure != nil && (failure.Kind == session.KindUnknown || failure.Kind == session.KindTimeout) {
		l.conn.MarkBroken()
		g.reportFailure(l.server)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	server := g.servers[l.server]
	if server == nil {
		return reply, failure
	}
	if conn.sent {
		l.recordSpeed(server.speed, sent, now, deadline, batch, conn.failure)
	}
	switch {
	case failure == nil:
		server.latency.Record(now, now.Sub(l.requestedAt))
		if !l.primary {
			server.lagBackoff = 0
		}
	case failure.Kind == session.KindLagging:
		server.backOffForLag(now)
	}
	l.requestedAt = time.Time{}
	state := g.group(l.group)
	if failure == nil && l.primary && state.primaryLease.Exclusive(now, l.generation) {
		state.positionSamples.Add(reply.Position, sent)
	}
	return reply, failure
}

// recordFailedWait adds a connection that was not granted to the server's latency
// estimate, with the time until which the request could have waited. A refusal at once
// would otherwise make the server seem fast.
func (l *lease) recordFailedWait(waitable time.Time) {
	g := l.gateway
	now := g.config.Clock()
	wait := max(now.Sub(l.requestedAt), waitable.Sub(l.requestedAt))
	g.mu.Lock()
	defer g.mu.Unlock()
	if server := g.servers[l.server]; server != nil {
		server.latency.Record(now, wait)
	}
}

// Server returns the server's ID.
func (l *lease) Server() fleet.ServerID {
	return l.server
}
