package caller

import (
	"cmp"
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// cancelTimeout limits the time to send a cancel request to a backend server.
const cancelTimeout = time.Second

// Routes looks up the routes of the current sheet, the published configuration of
// workspaces and databases.
type Routes interface {
	// Route returns the route of a database, and false if it has none.
	Route(database fleet.GroupID) (sheet.Route, bool)
}

// route returns the current route of the session's database. Without a route, the
// group of the same name serves the database. A new sheet applies from the next
// request on, but not within a transaction.
func (s *session) route() sheet.Route {
	if s.server.config.Routes != nil {
		if route, known := s.server.config.Routes.Route(s.database); known {
			route.Group = cmp.Or(route.Group, s.database)
			return route
		}
	}
	return sheet.Route{Group: s.database}
}

// updateGroup switches the session to the group that now serves its database. The
// token is kept until that group serves the database again, because its log positions
// have no meaning in another group. It may not cover the last read on the primary, so
// the session waits for a read barrier in either group.
func (s *session) updateGroup(route sheet.Route) {
	if s.lease != nil || route.Group == s.group {
		return
	}
	if s.earlierTokens == nil {
		s.earlierTokens = map[fleet.GroupID]Token{}
	}
	s.earlierTokens[s.group] = s.token
	s.group = route.Group
	s.token, s.hasToken = s.earlierTokens[s.group], false
	s.startedAt = s.server.config.Now()
}

// readAccess returns the access that reads of a route need.
func readAccess(route sheet.Route) Access {
	if route.Consistency == sheet.ConsistencyPrimary {
		return AccessWrite
	}
	return AccessRead
}

// requestTimeout returns how long a request may wait for a connection.
func (s *session) requestTimeout(r *request) time.Duration {
	timeout := s.server.config.RequestTimeout
	if r.timeout > 0 {
		timeout = min(timeout, r.timeout)
	}
	return timeout
}

// limitStatement cancels the running statement when the request's timeout expires.
// The returned function stops the timer.
func (s *session) limitStatement(r *request) (done func()) {
	if r.timeout == 0 {
		return func() {}
	}
	s.mu.Lock()
	s.statementSeq++
	number := s.statementSeq
	s.mu.Unlock()
	timer := time.AfterFunc(r.arrivedAt.Add(r.timeout).Sub(s.server.config.Now()), func() { s.cancelStatement(number) })
	return func() {
		timer.Stop()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.statementSeq++
	}
}

// cancelStatement cancels the statement with the given number, if it is still
// running.
func (s *session) cancelStatement(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.statementSeq != number || s.lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	s.cancelRunning(ctx)
}
