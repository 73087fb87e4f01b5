package caller_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// fixedRoutes gives each database the same route.
type fixedRoutes struct{ route sheet.Route }

func (r *fixedRoutes) Route(fleet.GroupID) (sheet.Route, bool) { return r.route, true }

// TestRoutesOfReads guards against a read that a route sends to a replica
// although it must miss no commit, and against a route that overrides what the
// caller asks for.
func TestRoutesOfReads(t *testing.T) {
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
