package caller_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// fixedRoutes returns the same route for every database.
type fixedRoutes struct{ route sheet.Route }

func (r *fixedRoutes) Route(fleet.GroupID) (sheet.Route, bool) { return r.route, true }

// TestReadRoutes guards against reads going to a replica although their route
// requires the primary, and against a route overriding a hint of the caller.
func TestReadRoutes(t *testing.T) {
	for _, test := range []struct {
		name  string
		route sheet.Route
		sql   string
		want  routed
	}{
		{name: "primary", route: sheet.Route{Consistency: sheet.ConsistencyPrimary}, sql: "select 1", want: routed{Access: caller.AccessWrite}},
		{name: "bounded age", route: sheet.Route{Consistency: sheet.ConsistencyBoundedAge, MaxAge: 1500}, sql: "select 1", want: routed{Access: caller.AccessRead, MaxAge: 1500 * time.Millisecond}},
		{name: "hint of the caller", route: sheet.Route{Consistency: sheet.ConsistencyBoundedAge, MaxAge: 1500}, sql: "/* nutmegpier: max_age=2s */ select 1", want: routed{Access: caller.AccessRead, MaxAge: 2 * time.Second}},
		{name: "own writes", route: sheet.Route{Consistency: sheet.ConsistencyReadYourWrites}, sql: "select 1", want: routed{Access: caller.AccessRead}},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := deploy(t, scriptedPrimary, oneRow("replica"), func(config *caller.Config) { config.Routes = &fixedRoutes{route: test.route} })
			conn := d.connect(t, simpleMode)
			mustExec(t, conn, test.sql)
			got := d.router.routed()
			if len(got) != 1 {
				t.Fatalf("%d requests to the router, want 1", len(got))
			}
			got[0].Token = ""
			if diff := cmp.Diff(test.want, got[0]); diff != "" {
				t.Errorf("request to the router (-want +got):\n%s", diff)
			}
		})
	}
}

// routesByName is a set of routes that a test can change.
type routesByName struct {
	mu     sync.Mutex
	routes map[fleet.GroupID]sheet.Route
}

func (r *routesByName) Route(database fleet.GroupID) (sheet.Route, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	route, known := r.routes[database]
	return route, known
}

func (r *routesByName) set(route sheet.Route) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routes = map[fleet.GroupID]sheet.Route{route.Database: route}
}

// TestRouteToGroup guards against a database being served by the group of the same
// name although its route names another group. It also guards against a change of
// route moving an open transaction, and against using a position of one group with
// another.
func TestRouteToGroup(t *testing.T) {
	routes := &routesByName{}
	routes.set(sheet.Route{Database: "plant1", Group: "ledger-a", Priority: 2, StatementTimeout: 60_000})
	d := deploy(t, scriptedPrimary, oneRow("replica"), func(config *caller.Config) { config.Routes = routes })
	conn := d.connect(t, simpleMode)
	mustExec(t, conn, "insert into t values (1)")
	mustExec(t, conn, "begin")
	mustExec(t, conn, "insert into t values (2)")
	routes.set(sheet.Route{Database: "plant1", Group: "ledger-b"})
	mustExec(t, conn, "insert into t values (3)")
	mustExec(t, conn, "commit")
	mustExec(t, conn, "select 1")
	type routing struct {
		Database, Group fleet.GroupID
		Priority        int
		TokenGroup      fleet.GroupID
	}
	var got []routing
	for _, request := range d.router.allRequests() {
		got = append(got, routing{request.Database, request.Group, request.Priority, request.Token.Group})
	}
	want := []routing{
		{"plant1", "ledger-a", 2, ""},
		{"plant1", "ledger-a", 2, "ledger-a"},
		{"plant1", "ledger-b", 0, ""},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("requests to the router (-want +got):\n%s", diff)
	}
}

// TestPositionsOfEachGroup guards against a read with a maximum age that misses an own
// write, because the route has changed to another group and back meanwhile.
func TestPositionsOfEachGroup(t *testing.T) {
	routes := &routesByName{}
	setGroup := func(group fleet.GroupID) {
		routes.set(sheet.Route{Consistency: sheet.ConsistencyBoundedAge, Database: "plant1", Group: group, MaxAge: 1500, StatementTimeout: 60_000})
	}
	setGroup("ledger-a")
	d := deploy(t, scriptedPrimary, oneRow("replica"), func(config *caller.Config) { config.Routes = routes })
	conn := d.connect(t, simpleMode)
	mustExec(t, conn, "insert into t values (1)")
	mustExec(t, conn, "select 1")
	setGroup("ledger-b")
	mustExec(t, conn, "select 1")
	setGroup("ledger-a")
	mustExec(t, conn, "select 1")
	var got []caller.Token
	for _, request := range d.router.allRequests() {
		if request.Access == caller.AccessRead {
			got = append(got, request.Token)
		}
	}
	if len(got) != 3 || got[0].Written.IsZero() {
		t.Fatalf("tokens of reads: %+v, want three, the first with the position of the write", got)
	}
	if diff := cmp.Diff([]caller.Token{got[0], {}, got[0]}, got); diff != "" {
		t.Errorf("tokens of reads (-want +got):\n%s", diff)
	}
}

// TestStatementTimeout guards against statements that exceed the timeout of their
// route without being cancelled.
func TestStatementTimeout(t *testing.T) {
	cancelled := make(chan struct{})
	script := func(sql string) reply {
		if sql != "slow" {
			return scriptedPrimary(sql)
		}
		<-cancelled
		return reply{code: "57014"}
	}
	routes := &routesByName{}
	d := deploy(t, script, nil, func(config *caller.Config) { config.Routes = routes })
	conn := d.connect(t, simpleMode)
	mustExec(t, conn, "insert into t values (0)")
	routes.set(sheet.Route{Database: testGroup, Consistency: sheet.ConsistencyPrimary, StatementTimeout: 500})
	go func() {
		<-d.primary.cancels
		close(cancelled)
	}()
	_, err := conn.Exec(context.Background(), "slow")
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) || pgErr.Code != "57014" {
		t.Errorf("got error %v, want SQLSTATE 57014 for a cancelled statement", err)
	}
	routes.set(sheet.Route{Database: testGroup})
	mustExec(t, conn, "insert into t values (1)")
}
