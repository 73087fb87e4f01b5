package gateway

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/session"
)

var _ session.Lease = &lease{}

// lease is a server connection held by one session.
type lease struct {
	// began is when the lease was asked for, until its first answer.
	began      time.Time
	after      fleet.Position
	gateway    *Gateway
	generation primacy.Generation
	group      fleet.GroupID
	held       *pool.PooledConn
	primary    bool
	server     fleet.ServerID
}

// After is the position that reads must ask for.
func (l *lease) MinPosition() fleet.Position {
	return l.after
}

// Exclusive reports whether the server was certainly the only primary so far.
func (l *lease) Exclusive(now time.Time) bool {
	if !l.primary {
		return true
	}
	l.gateway.mu.Lock()
	defer l.gateway.mu.Unlock()
	return l.gateway.group(l.group).watch.Exclusive(now, l.generation)
}

// Release gives the connection back.
func (l *lease) Release() {
	l.gateway.pool.Release(l.server, l.held)
	l.done()
}

// done ends the use of the server.
func (l *lease) done() {
	g := l.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if server := g.servers[l.server]; server != nil && server.inFlight > 0 {
		server.inFlight--
	}
	if l.primary {
		g.group(l.group).watch.Release()
	}
}

// Run sends commands and takes in what their outcome tells of the server.
func (l *lease) Run(deadline time.Time, commands []session.Command) (session.Reply, *session.RunError) {
	g := l.gateway
	sent := g.config.Clock()
	if l.began.IsZero() {
		l.began = sent
	}
	reply, failure := l.held.Run(deadline, commands)
	now := g.config.Clock()
	if failure != nil && (failure.Kind == session.KindUnknown || failure.Kind == session.KindTimeout) {
		l.held.MarkBroken()
		g.reportFailure(l.server)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	server := g.servers[l.server]
	if server == nil {
		return reply, failure
	}
	switch {
	case failure == nil:
		server.latency.Record(now, now.Sub(l.began))
		if !l.primary {
			server.lagBackoff = 0
		}
	case failure.Kind == session.KindLagging:
		server.noteLag(now)
	}
	l.began = time.Time{}
	state := g.group(l.group)
	if failure == nil && l.primary && state.watch.Exclusive(now, l.generation) {
		state.samples.Add(reply.Position, sent)
	}
	return reply, failure
}

// noteLatency takes in a wait for a connection that was in vain.
func (l *lease) noteLatency() {
	g := l.gateway
	now := g.config.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if server := g.servers[l.server]; server != nil {
		server.latency.Record(now, now.Sub(l.began))
	}
}

// Server names the server.
func (l *lease) Server() fleet.ServerID {
	return l.server
}

// State is what the connection holds of sessions.
func (l *lease) State() *session.ConnState {
	return l.held.State
}
