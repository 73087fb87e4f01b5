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

// fixedRoutes gives each database the same route.
type fixedRoutes struct{ route sheet.Route }

func (r *fixedRoutes) Route(fleet.GroupID) (sheet.Route, bool) { return r.route, true }

// TestReadRoutes guards against a read that a route sends to a replica
// although it must miss no commit, and against a route that overrides what the
// caller asks for.
func TestReadRoutes(t *testing.T) {
	for _, test := range []struct {
		name  string
		route sheet.Route
		sql   string
		want  seen
	}{
		{name: "primary", route: sheet.Route{Consistency: sheet.ConsistencyPrimary}, sql: "select 1", want: seen{Access: caller.AccessWrite}},
		{name: "bounded age", route: sheet.Route{Consistency: sheet.ConsistencyBoundedAge, MaxAge: 1500}, sql: "select 1", want: seen{Access: caller.AccessRead, MaxAge: 1500 * time.Millisecond}},
		{name: "hint of the caller", route: sheet.Route{Consistency: sheet.ConsistencyBoundedAge, MaxAge: 1500}, sql: "/* nutmegpier: max_age=2s */ select 1", want: seen{Access: caller.AccessRead, MaxAge: 2 * time.Second}},
		{name: "own writes", route: sheet.Route{Consistency: sheet.ConsistencyReadYourWrites}, sql: "select 1", want: seen{Access: caller.AccessRead}},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := deploy(t, writes, oneRow("replica"), func(config *caller.Config) { config.Routes = &fixedRoutes{route: test.route} })
			conn := d.connect(t, simpleMode)
			mustExec(t, conn, test.sql)
			got := d.router.seen()
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

// routesByName holds routes that a test changes.
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

// TestRouteToGroup guards against a database that is served by the group of its
// own name although its route names another, against a change that moves an
// open transaction, and against a position of one group that is asked of
// another.
func TestRouteToGroup(t *testing.T) {
	routes := &routesByName{}
	routes.set(sheet.Route{Database: "plant1", Group: "ledger-a", Priority: 2, StatementTimeout: 60_000})
	d := deploy(t, writes, oneRow("replica"), func(config *caller.Config) { config.Routes = routes })
	conn := d.connect(t, simpleMode)
	mustExec(t, conn, "insert into t values (1)")
	mustExec(t, conn, "begin")
	mustExec(t, conn, "insert into t values (2)")
	routes.set(sheet.Route{Database: "plant1", Group: "ledger-b"})
	mustExec(t, conn, "insert into t values (3)")
	mustExec(t, conn, "commit")
	mustExec(t, conn, "select 1")
	type placed struct {
		Database, Group fleet.GroupID
		Priority        int
		TokenGroup      fleet.GroupID
	}
	var got []placed
	for _, request := range d.router.all() {
		got = append(got, placed{request.Database, request.Group, request.Priority, request.Token.Group})
	}
	want := []placed{
		{"plant1", "ledger-a", 2, ""},
		{"plant1", "ledger-a", 2, "ledger-a"},
		{"plant1", "ledger-b", 0, ""},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("requests to the router (-want +got):\n%s", diff)
	}
}

// TestStatementTimeout guards against a statement that runs on after the time of
// its route.
func TestStatementTimeout(t *testing.T) {
	cancelled := make(chan struct{})
	script := func(sql string) reply {
		if sql != "slow" {
			return writes(sql)
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
	var failure *pgconn.PgError
	if !errors.As(err, &failure) || failure.Code != "57014" {
		t.Errorf("error %v, want that the statement was cancelled", err)
	}
	routes.set(sheet.Route{Database: testGroup})
	mustExec(t, conn, "insert into t values (1)")
}
