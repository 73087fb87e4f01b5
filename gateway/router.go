package gateway

import (
	"errors"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/sheet"
)

const (
	// answerReserve is kept of a statement's time for the work itself, so
	// that a request is not sent which can only time out.
	answerReserve = 100 * time.Millisecond
	// primaryRetry is when a caller may come back that was refused because
	// the primary is being replaced.
	primaryRetry = 300 * time.Millisecond
	// leavingUse is how long a server that is leaving still gets requests
	// that only it can run, below the bound for new work in use (7 s).
	leavingUse = 5 * time.Second
)

// Acquire returns a connection that serves the need.
func (g *Gateway) Acquire(need session.Requirements) (session.Lease, *session.Error) {
	if need.Write || need.Route.Consistency == sheet.ConsistencyPrimary {
		return g.acquirePrimary(need)
	}
	server, after, primary, found := g.chooseReplica(need)
	if !found {
		return nil, &session.Error{Err: errors.New("no server with a recent enough log can be reached"), Kind: session.KindLagging, Op: "route", RetryAfter: primaryRetry}
	}
	if primary {
		return g.acquirePrimary(need)
	}
	return g.lease(need, &lease{after: after, gateway: g, group: need.Route.Group, server: server})
}

// acquirePrimary waits for a primary that may be used.
func (g *Gateway) acquirePrimary(need session.Requirements) (session.Lease, *session.Error) {
	for {
		now := g.config.Clock()
		g.mu.Lock()
		l, changed, err := g.usePrimary(now, need)
		g.mu.Unlock()
		if err != nil {
			return nil, err
		}
		if l != nil {
			return g.lease(need, l)
		}
		left := need.Deadline.Add(-answerReserve).Sub(now)
		if left <= 0 || !await(changed, left) {
			return nil, &session.Error{Err: errors.New("the primary is being replaced"), Kind: session.KindBusy, Op: "route", RetryAfter: primaryRetry}
		}
	}
}

// usePrimary starts a use of the primary. Without result, the caller waits for
// a change. The caller holds the lock.
func (g *Gateway) usePrimary(now time.Time, need session.Requirements) (*lease, <-chan struct{}, *session.Error) {
	state := g.group(need.Route.Group)
	record := state.watch.Record()
	if record.Phase == primacy.PhaseServing && g.isUnreachable(record.Primary) {
		return nil, nil, &session.Error{Err: errors.New("the primary does not answer this instance"), Kind: session.KindBusy, Op: "route", RetryAfter: primaryRetry}
	}
	server := g.servers[record.Primary]
	if record.Phase == primacy.PhaseServing && server != nil && !g.usable(now, server) {
		return nil, g.changed, nil
	}
	id, generation, usable := state.watch.Acquire(now)
	if !usable {
		return nil, g.changed, nil
	}
	if server == nil {
		state.watch.Release()
		return nil, g.changed, nil
	}
	server.inFlight++
	return &lease{gateway: g, generation: generation, group: need.Route.Group, primary: true, server: id}, nil, nil
}

// usable reports whether a server may get requests that only it can run.
func (g *Gateway) usable(now time.Time, server *backendServer) bool {
	if !g.routing.IsInService(server.DataCentre) {
		return false
	}
	return !server.Draining || now.Sub(server.leavingSince) < leavingUse
}

// chooseReplica returns the server for a read that may miss recent commits,
// and the position that it must hold. Primary is true if only the primary can
// serve it.
func (g *Gateway) chooseReplica(need session.Requirements) (server fleet.ServerID, after fleet.Position, primary, found bool) {
	now := g.config.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.group(need.Route.Group)
	record := state.watch.Record()
	after, sampled := state.samples.RequiredPosition(need.StartedAt.Add(-need.Route.MaxAge.Duration()), need.LastWrite)
	if !sampled {
		return "", after, true, !need.Avoid[record.Primary]
	}
	best, bestCost := fleet.ServerID(""), time.Duration(0)
	for id, candidate := range g.servers {
		isPrimary := id == record.Primary
		if candidate.Group != need.Route.Group || need.Avoid[id] || g.isUnreachable(id) || candidate.Draining ||
			!g.routing.IsInService(candidate.DataCentre) || !candidate.warm(now) || (!isPrimary && now.Before(candidate.lagUntil)) {
			continue
		}
		cost := g.cost(now, candidate, need.Workspace, isPrimary)
		if best == "" || cost < bestCost {
			best, bestCost = id, cost
		}
	}
	if best == "" {
		return "", after, true, !need.Avoid[record.Primary]
	}
	if best == record.Primary {
		return best, after, true, true
	}
	g.servers[best].inFlight++
	return best, after, false, true
}

// lease opens or takes a connection for a lease.
func (g *Gateway) lease(need session.Requirements, l *lease) (session.Lease, *session.Error) {
	l.began = g.config.Clock()
	held, failure := g.pool.Acquire(l.server, pool.Request{
		Deadline: need.Deadline.Add(-answerReserve), Priority: need.Route.Priority, Variables: need.Variables, Workspace: need.Workspace,
	})
	if failure == nil {
		l.held = held
		return l, nil
	}
	l.noteLatency()
	l.done()
	if failure.Kind != session.KindBusy {
		g.reportFailure(l.server)
	}
	return nil, &session.Error{Err: errors.New(failure.Text), Kind: session.KindBusy, Op: "connect", RetryAfter: primaryRetry}
}

func await(changed <-chan struct{}, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	}
}
