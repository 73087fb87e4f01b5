package gateway

import (
	"errors"
	"maps"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/sheet"
)

const (
	// executionReserve is the part of a statement's timeout that is reserved for
	// its execution, so that no request is sent that can only time out.
	executionReserve = 100 * time.Millisecond
	// primaryRetryAfter is the retry delay sent to a caller that was refused for
	// lack of a usable server, most often because the primary is being replaced.
	primaryRetryAfter = 300 * time.Millisecond
	// minRetryAfter is the least retry delay sent to a caller that was refused because a
	// server has too many requests. A shorter one costs more than the wait.
	minRetryAfter = 10 * time.Millisecond
	// drainingUseTime is how long a draining server still gets requests that only
	// it can run. It stays below the 7 s that are allowed for new work on such a
	// server.
	drainingUseTime = 5 * time.Second
	// maxChangeWait is how long after the start of a change of primary requests still
	// wait for its end: twice the usual time. A longer change waits for a server or an
	// instance to return, or for a lease to expire.
	maxChangeWait = 2500 * time.Millisecond
	// outOfServiceUseTime is how long open transactions may go on after the data
	// centre of their server was taken out of service. The rest of the 5 s after which
	// nothing may be sent there is for the sheet to arrive.
	outOfServiceUseTime = 3 * time.Second
)

// Acquire returns a lease that meets the requirements: on a connection of the group's
// owner, or else on one of this instance.
func (g *Gateway) Acquire(requirements session.Requirements) (session.Lease, *session.Error) {
	if l, found := g.remoteLease(requirements); found {
		return g.countUsage(l, requirements.Workspace), nil
	}
	l, err := g.acquire(requirements, false)
	if err != nil {
		return nil, err
	}
	return g.countUsage(l, requirements.Workspace), nil
}

// acquire returns a connection to a server that meets the requirements: the primary
// for writes and for routes that require it, or else a server with a recent enough
// log. If forPeer is true, the request came from another instance, which can turn to
// another owner.
func (g *Gateway) acquire(requirements session.Requirements, forPeer bool) (session.Lease, *session.Error) {
	if requirements.Write || requirements.Route.Consistency == sheet.ConsistencyPrimary {
		return g.acquirePrimary(requirements, forPeer)
	}
	var refusal *session.Error
	for {
		server, minPosition, primary, found := g.chooseReplica(requirements)
		if !found && refusal == nil {
			return nil, errNoRecentServer()
		}
		if !found {
			return nil, refusal
		}
		var l session.Lease
		var err *session.Error
		if primary {
			l, err = g.acquirePrimary(requirements, forPeer)
		} else {
			l, err = g.lease(requirements, &lease{minPosition: minPosition, gateway: g, group: requirements.Route.Group, server: server})
		}
		if err == nil {
			return l, nil
		}
		refusal = earlierRefusal(refusal, err)
		if server == "" || err.Op != opConnect || !g.config.Clock().Before(requirements.Deadline.Add(-executionReserve)) {
			// A server that has no time to answer would seem fast.
			return nil, refusal
		}
		// Another server may be less loaded.
		requirements.Avoid = withServer(requirements.Avoid, server)
	}
}

// opConnect is the operation of errors of a connection that was not granted or opened.
const opConnect = "connect"

func errNoRecentServer() *session.Error {
	return &session.Error{Err: errors.New("no server with a recent enough log can be reached"), Kind: session.KindLagging, Op: "route", RetryAfter: primaryRetryAfter}
}

// earlierRefusal returns the one of two refusals of a request after which it may return
// earlier. The first one may be nil.
func earlierRefusal(first, second *session.Error) *session.Error {
	if first != nil && first.RetryAfter <= second.RetryAfter {
		return first
	}
	return second
}

// withServer returns a copy of a set of servers with one more.
func withServer(servers map[fleet.ServerID]bool, server fleet.ServerID) map[fleet.ServerID]bool {
	extended := map[fleet.ServerID]bool{server: true}
	maps.Copy(extended, servers)
	return extended
}

// acquirePrimary returns a connection to the primary. It waits until the primary may
// be used, at most until the deadline less executionReserve. For another instance, it
// does not wait for a proof that this instance lacks.
func (g *Gateway) acquirePrimary(requirements session.Requirements, forPeer bool) (session.Lease, *session.Error) {
	for {
		now := g.config.Clock()
		g.mu.Lock()
		l, changed, err := g.tryUsePrimary(now, requirements)
		if l == nil && err == nil && forPeer {
			err = g.missingProof(now, requirements.Route.Group)
		}
		g.mu.Unlock()
		if err != nil {
			return nil, err
		}
		if l != nil {
			return g.lease(requirements, l)
		}
		remaining := requirements.Deadline.Add(-executionReserve).Sub(now)
		if remaining <= 0 || !waitForChange(changed, remaining) {
			return nil, &session.Error{Err: errPrimaryChanging, Kind: session.KindBusy, Op: "route", RetryAfter: primaryRetryAfter}
		}
	}
}

// tryUsePrimary starts a use of the primary. If it may not be used now, it returns a
// channel that is closed at the next change of state. The caller holds g.mu.
func (g *Gateway) tryUsePrimary(now time.Time, requirements session.Requirements) (*lease, <-chan struct{}, *session.Error) {
	state := g.group(requirements.Route.Group)
	record := state.primaryLease.Record()
	if record.Phase == primacy.PhaseServing && g.isUnreachable(record.Primary) {
		return nil, nil, &session.Error{Err: errPrimaryUnreachable, Kind: session.KindBusy, Op: "route", RetryAfter: primaryRetryAfter}
	}
	server := g.servers[record.Primary]
	if record.Phase == primacy.PhaseServing && server != nil && !g.usable(now, server) {
		return nil, g.stateChanged, nil
	}
	id, generation, usable := state.primaryLease.Acquire(now)
	if !usable && state.primaryLease.ChangingFor(now) > maxChangeWait {
		return nil, nil, &session.Error{Err: errPrimaryChanging, Kind: session.KindBusy, Op: "route", RetryAfter: primaryRetryAfter}
	}
	if !usable {
		return nil, g.stateChanged, nil
	}
	if server == nil {
		state.primaryLease.Release()
		return nil, g.stateChanged, nil
	}
	server.inFlight++
	return &lease{gateway: g, generation: generation, group: requirements.Route.Group, primary: true, server: id}, nil, nil
}

// missingProof returns an error if this instance can't use the group's primary although
// another one may. The caller holds g.mu.
func (g *Gateway) missingProof(now time.Time, group fleet.GroupID) *session.Error {
	lease := &g.group(group).primaryLease
	switch {
	case lease.Record().Generation == 0:
		return &session.Error{Err: errNoRecord, Kind: session.KindBusy, Op: "route", RetryAfter: primaryRetryAfter}
	case lease.Record().Phase == primacy.PhaseServing && !lease.Active(now):
		return &session.Error{Err: errNotProved, Kind: session.KindBusy, Op: "route", RetryAfter: primaryRetryAfter}
	}
	return nil
}

// usable reports whether a server may get requests that only it can run: its data
// centre is in service, and it has not been draining for drainingUseTime or longer.
// The caller holds g.mu.
func (g *Gateway) usable(now time.Time, server *backendServer) bool {
	if g.routing == nil || !g.routing.IsInService(server.DataCentre) {
		return false
	}
	return !server.Draining || now.Sub(server.drainingSince) < drainingUseTime
}

// mayContinue reports whether statements of a lease on the server may still be sent. The
// caller holds g.mu.
func (g *Gateway) mayContinue(now time.Time, server fleet.ServerID) bool {
	known := g.servers[server]
	if known == nil {
		return true
	}
	since, isOut := g.outOfServiceSince[known.DataCentre]
	return !isOut || now.Before(since.Add(outOfServiceUseTime))
}

// chooseReplica returns the server with the lowest cost for a read that may miss
// recent commits, and the log position that it must have applied. The result
// primary is true if the read goes to the primary, and found is false if that
// can't take it either.
func (g *Gateway) chooseReplica(requirements session.Requirements) (server fleet.ServerID, minPosition fleet.Position, primary, found bool) {
	now := g.config.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.group(requirements.Route.Group)
	record := state.primaryLease.Record()
	minPosition, sampled := state.positionSamples.RequiredPosition(requirements.StartedAt.Add(-requirements.Route.MaxAge.Duration()), requirements.LastWrite)
	if !sampled {
		return "", minPosition, true, !requirements.Avoid[record.Primary]
	}
	best, bestCost := fleet.ServerID(""), time.Duration(0)
	for id, candidate := range g.servers {
		isPrimary := id == record.Primary
		if candidate.Group != requirements.Route.Group || requirements.Avoid[id] || g.isUnreachable(id) || candidate.Draining ||
			g.routing == nil || !g.routing.IsInService(candidate.DataCentre) || !candidate.allowRead(now) || (!isPrimary && now.Before(candidate.lagBackoffUntil)) {
			continue
		}
		if len(requirements.Avoid) == 0 && !requirements.Transaction && candidate.speed.TakeProbe(now) {
			best = id
			break
		}
		cost := g.cost(now, candidate, requirements.Workspace, isPrimary)
		if best == "" || cost < bestCost {
			best, bestCost = id, cost
		}
	}
	if best == "" {
		return "", minPosition, true, !requirements.Avoid[record.Primary]
	}
	if best == record.Primary {
		return best, minPosition, true, true
	}
	g.servers[best].inFlight++
	return best, minPosition, false, true
}

// lease acquires a connection for a lease, from the idle ones or by opening one. On
// failure it ends the use of the server.
func (g *Gateway) lease(requirements session.Requirements, l *lease) (session.Lease, *session.Error) {
	l.requestedAt, l.route = g.config.Clock(), routeClass(requirements.Route)
	conn, failure := g.pool.Acquire(l.server, pool.Request{
		Deadline: requirements.Deadline.Add(-executionReserve), Priority: requirements.Route.Priority, Transaction: requirements.Transaction, Variables: requirements.Variables,
		Weight: g.workspaceWeight(requirements.Workspace), Workspace: requirements.Workspace,
	})
	if failure == nil {
		l.conn = conn
		return l, nil
	}
	l.recordFailedWait(requirements.Deadline.Add(-executionReserve))
	l.endUse()
	if failure.Kind != session.KindBusy {
		g.reportFailure(l.server)
		g.recordFailedConnection(l.server)
	}
	return nil, &session.Error{
		Err: errors.New(failure.Text), Kind: session.KindBusy, Op: opConnect, RetryAfter: g.jitteredRetryAfter(failure.RetryAfter), Saturated: failure.Saturated,
	}
}

// jitteredRetryAfter returns the delay that is sent to a refused caller: up to a quarter
// more than the time after which the request could be served, so that refused callers
// don't return together.
func (g *Gateway) jitteredRetryAfter(delay time.Duration) time.Duration {
	if delay == 0 {
		delay = primaryRetryAfter
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(minRetryAfter, delay+time.Duration(g.random.Float64()*float64(delay)/4))
}

// workspaceWeight returns the relative share of a workspace when requests wait.
func (g *Gateway) workspaceWeight(workspace fleet.WorkspaceID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.routing == nil {
		return 1
	}
	return g.routing.Limits()[workspace].Weight
}

// waitForChange waits until the channel is closed. It reports false if that takes
// longer than the timeout.
func waitForChange(changed <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	}
}
