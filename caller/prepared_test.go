package caller_test

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/caller"
)

// TestDuplicateStatement guards against a Parse that replaces a statement
// without notice, and against a failed Parse that occupies its name.
func TestDuplicateStatement(t *testing.T) {
	d, _, _ := deployStandin(t, backend.Limits{Permits: 2, Slots: 2})
	ctx := context.Background()
	conn := d.connect(t).PgConn()
	prepare := func(name, sql string) string {
		_, err := conn.Prepare(ctx, name, sql, nil)
		var known *pgconn.PgError
		if errors.As(err, &known) {
			return known.Code
		}
		if err != nil {
			t.Fatal(err)
		}
		return ""
	}
	got := []string{prepare("a", "select 1"), prepare("a", "select 2"), prepare("b", "select 1; select 2"), prepare("b", "select 3")}
	d.policy.decide(caller.Decision{Serving: true})
	got = append(got, prepare("c", "select 4"))
	d.policy.decide(caller.Decision{Serving: true, Admitted: true})
	got = append(got, prepare("c", "select 4"))
	if err := conn.Deallocate(ctx, "a"); err != nil {
		t.Fatal(err)
	}
	got = append(got, prepare("a", "select 5"))
	if diff := cmp.Diff([]string{"", "42P05", "42601", "", "53400", "", ""}, got); diff != "" {
		t.Errorf("SQLSTATEs (-want +got):\n%s", diff)
	}
}
