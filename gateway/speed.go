package gateway

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// maxLateness is how long after its deadline a statement may end and still say something
// about its server. Timers are late by less unless this instance was suspended, and then
// the server with the most statements in service would count as slow.
const maxLateness = 250 * time.Millisecond

// groupSpeed returns the comparison of a group's servers and creates it if needed. The
// caller holds g.mu.
func (g *Gateway) groupSpeed(group fleet.GroupID) *pool.GroupSpeed {
	speed := g.speeds[group]
	if speed == nil {
		speed = pool.NewGroupSpeed()
		g.speeds[group] = speed
	}
	return speed
}

// routeClass returns the class of a route. An owner of a group isn't told the database of
// a request, only what is in the class.
func routeClass(route sheet.Route) pool.RouteClass {
	return pool.RouteClass{Consistency: string(route.Consistency), MaxAge: route.MaxAge.Duration(), Priority: route.Priority}
}

// statementKind returns the kind of a batch in the comparison of servers. It reports false
// for a batch that says nothing about the server.
func statementKind(batch session.Batch) (pool.StatementKind, bool) {
	if len(batch.Commands) == 0 {
		return "", false
	}
	switch batch.Commands[len(batch.Commands)-1].Kind {
	case session.StatementRead:
		return pool.StatementRead, true
	case session.StatementWrite:
		return pool.StatementWrite, true
	case session.StatementExecute:
		if batch.Template != nil && !batch.Template.Write {
			return pool.StatementRead, true
		}
		return pool.StatementWrite, true
	case session.StatementBegin, session.StatementBeginRead, session.StatementCommit, session.StatementRollback:
		return pool.StatementTransaction, true
	}
	return "", false
}

// recordSpeed adds the outcome of a batch that was sent to the comparison of the group's
// servers: the kind with which the connection failed it, or empty. A statement that the
// server refused for a reason of its own, such as a lagging log, says nothing about the
// server's speed.
func (l *lease) recordSpeed(speed *pool.ServerSpeed, sent, now, deadline time.Time, batch session.Batch, failure session.Kind) {
	kind, found := statementKind(batch)
	if !found || now.Sub(deadline) > maxLateness {
		return
	}
	failed, timedOut := failure == session.KindBusy || failure == session.KindUnknown, failure == session.KindTimeout
	if failure != "" && !failed && !timedOut {
		return
	}
	speed.Record(pool.Sample{
		Class: pool.StatementClass{Kind: kind, Route: l.route}, End: now, Failed: failed, InService: l.conn.InServiceAtStart(),
		Start: sent, TimedOut: timedOut,
	})
}

// recordFailedConnection adds a connection that could not be opened to the comparison of
// the group's servers.
func (g *Gateway) recordFailedConnection(id fleet.ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if server := g.servers[id]; server != nil {
		server.speed.Record(pool.Sample{End: g.config.Clock(), Failed: true})
	}
}
