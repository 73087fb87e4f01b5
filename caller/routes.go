package caller

import (
	"cmp"
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// cancelBound bounds the sending of a cancel request to a server.
const cancelBound = time.Second

// Routes knows the routes of the sheet in force.
type Routes interface {
	// Route returns the route of a database, and whether there is one.
	Route(database fleet.GroupID) (sheet.Route, bool)
}

// route returns the route of the session's database now, without one that of
// the group of the same name. A change of the sheet applies from the next
// request outside a transaction on.
func (s *session) route() sheet.Route {
	if s.server.config.Routes != nil {
		if route, known := s.server.config.Routes.Route(s.database); known {
			route.Group = cmp.Or(route.Group, s.database)
			return route
		}
	}
	return sheet.Route{Group: s.database}
}

// followRoute moves the session to the group that serves its database now.
// Positions in the log of another group mean nothing there.
func (s *session) followRoute(route sheet.Route) {
	if s.lease != nil || route.Group == s.group {
		return
	}
	s.group = route.Group
	s.token, s.hasToken = Token{}, false
	s.arrivedAt = s.server.config.Now()
}

// readAccess is the access that the reads of a route need.
func readAccess(route sheet.Route) Access {
	if route.Consistency == sheet.ConsistencyPrimary {
		return AccessWrite
	}
	return AccessRead
}

// requestTimeout bounds the wait of a request for a connection.
func (s *session) requestTimeout(r *request) time.Duration {
	timeout := s.server.config.RequestTimeout
	if r.timeout > 0 {
		timeout = min(timeout, r.timeout)
	}
	return timeout
}

// limitStatement cancels the statement that runs now when its time is over. The
// returned function ends the limit.
func (s *session) limitStatement(r *request) (done func()) {
	if r.timeout == 0 {
		return func() {}
	}
	s.mu.Lock()
	s.statement++
	number := s.statement
	s.mu.Unlock()
	timer := time.AfterFunc(r.arrivedAt.Add(r.timeout).Sub(s.server.config.Now()), func() { s.cancelStatement(number) })
	return func() {
		timer.Stop()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.statement++
	}
}

// cancelStatement cancels a statement that still runs.
func (s *session) cancelStatement(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.statement != number || s.lease == nil {
		return
	}
	ctx, done := context.WithTimeout(context.Background(), cancelBound)
	defer done()
	s.cancelRunning(ctx)
}
