package caller

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// Routes knows the routes of the sheet in force.
type Routes interface {
	// Route returns the route of a database, and whether there is one.
	Route(database fleet.GroupID) (sheet.Route, bool)
}

// readRule is what a route says of the reads of a database.
type readRule struct {
	access Access
	// maxAge is the age of data that a read accepts unless its caller says
	// otherwise; zero means none.
	maxAge time.Duration
}

// readRule returns the rule for the session's database now. A change of the
// sheet applies from the next request on.
func (s *session) readRule() readRule {
	rule := readRule{access: AccessRead}
	if s.server.config.Routes == nil {
		return rule
	}
	route, known := s.server.config.Routes.Route(s.group)
	switch {
	case !known:
	case route.Consistency == sheet.ConsistencyPrimary:
		rule.access = AccessWrite
	default:
		rule.maxAge = route.MaxAge.Duration()
	}
	return rule
}
