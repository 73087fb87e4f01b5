package standin_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/standin"
)

const simpleMode = pgx.QueryExecModeSimpleProtocol

// longerThanTest is a lag or a timeout that does not end during a test.
const longerThanTest = time.Hour

func queryNames(t *testing.T, conn *pgx.Conn) []string {
	t.Helper()
	result, err := conn.Query(testContext(t), "SELECT name FROM tabs ORDER BY name")
	if err != nil {
		t.Fatal(err)
	}
	got, err := pgx.CollectRows(result, pgx.RowTo[string])
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func execOnPrimary(t *testing.T, g *standin.Group, sql string) {
	t.Helper()
	if err := g.Exec(testContext(t), sql); err != nil {
		t.Fatal(err)
	}
}

// promote fences the servers at the term and promotes the first one.
func promote(t *testing.T, term fleet.Term, servers ...*standin.Server) {
	t.Helper()
	for _, s := range servers {
		if granted, status := s.Fence(testContext(t), term, "a", 0); !granted {
			t.Fatalf("fence of %s at term %d refused: %+v", s.ID(), term, status)
		}
	}
	if _, err := servers[0].Promote(term, "a"); err != nil {
		t.Fatal(err)
	}
}

// TestReplicaLag guards against a replica that shows entries before its apply lag
// has passed, and against an apply lag that delays the receipt of entries.
func TestReplicaLag(t *testing.T) {
	g := newGroup(t, standin.Options{})
	execOnPrimary(t, g, schema)
	primary, replica := g.Servers()[0], g.Servers()[1]
	replica.SetApplyLag(longerThanTest)
	exec(t, connect(t, primary, "client", simpleMode), "INSERT INTO tabs (name) VALUES ('A-Z')")
	status := replica.Wait(testContext(t), fleet.Position{Log: 3, Term: 1})
	if diff := cmp.Diff([]fleet.Position{{Log: 3, Term: 1}, {Log: 2, Term: 1}}, []fleet.Position{status.Log, status.Applied}); diff != "" {
		t.Errorf("log end and applied position (-want +got):\n%s", diff)
	}
	reader := connect(t, replica, "client", simpleMode)
	if diff := cmp.Diff(0, len(queryNames(t, reader))); diff != "" {
		t.Errorf("rows of the lagging replica (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("1/2", reader.PgConn().ParameterStatus("group_position")); diff != "" {
		t.Errorf("position of the lagging replica (-want +got):\n%s", diff)
	}
	replica.SetApplyLag(0)
	if err := g.WaitApplied(testContext(t)); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"A-Z"}, queryNames(t, reader)); diff != "" {
		t.Errorf("rows of the replica (-want +got):\n%s", diff)
	}
	_, err := reader.Exec(testContext(t), "DELETE FROM tabs")
	if diff := cmp.Diff("25006", sqlState(err)); diff != "" {
		t.Errorf("code of a write on a replica (-want +got):\n%s", diff)
	}
}

// TestDivergentLogIsTruncated guards against writes of a partitioned primary that
// stay in its data after it follows the next primary.
func TestDivergentLogIsTruncated(t *testing.T) {
	g := newGroup(t, standin.Options{})
	execOnPrimary(t, g, schema)
	old, next, third := g.Servers()[0], g.Servers()[1], g.Servers()[2]
	g.PartitionServer(old.ID(), true)
	conn := connect(t, old, "client", simpleMode)
	exec(t, conn, "INSERT INTO tabs (name) VALUES ('lost 1')")
	exec(t, conn, "INSERT INTO tabs (name) VALUES ('lost 2')")
	promote(t, 2, next, third)
	exec(t, connect(t, next, "client", simpleMode), "INSERT INTO tabs (name) VALUES ('kept')")
	if diff := cmp.Diff(group.RolePrimary, old.Status().Role); diff != "" {
		t.Errorf("role of the old primary (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"lost 1", "lost 2"}, queryNames(t, conn)); diff != "" {
		t.Errorf("rows of the old primary (-want +got):\n%s", diff)
	}
	g.PartitionServer(old.ID(), false)
	if err := g.WaitApplied(testContext(t)); err != nil {
		t.Fatal(err)
	}
	want := fleet.History{{First: 1, Term: 1}, {First: 3, Term: 2}}
	for _, s := range g.Servers() {
		if diff := cmp.Diff([]string{"kept"}, queryNames(t, connect(t, s, "client", simpleMode))); diff != "" {
			t.Errorf("rows of %s (-want +got):\n%s", s.ID(), diff)
		}
		if diff := cmp.Diff(want, s.Status().History); diff != "" {
			t.Errorf("history of %s (-want +got):\n%s", s.ID(), diff)
		}
	}
	if diff := cmp.Diff(group.RoleReplica, old.Status().Role); diff != "" {
		t.Errorf("role of the old primary (-want +got):\n%s", diff)
	}
}

// TestFenceAbortsAfterDrain guards against a write that is committed after the
// promise, and against new writes that are accepted during the drain.
func TestFenceAbortsAfterDrain(t *testing.T) {
	g := newGroup(t, standin.Options{})
	execOnPrimary(t, g, schema)
	primary := g.Servers()[0]
	conn, other := connect(t, primary, "client", simpleMode), connect(t, primary, "client", simpleMode)
	ctx := testContext(t)
	exec(t, conn, "BEGIN")
	exec(t, conn, "INSERT INTO tabs (name) VALUES ('drained')")
	granted := make(chan bool)
	go func() {
		ok, _ := primary.Fence(ctx, 2, "a", longerThanTest)
		granted <- ok
	}()
	// The refusal shows that the drain has begun. Before that, the write waits for the
	// open transaction, which is committed only below.
	_, err := other.Exec(ctx, "INSERT INTO tabs (name) VALUES ('refused')")
	if diff := cmp.Diff("25006", sqlState(err)); diff != "" {
		t.Errorf("code of a write during the drain (-want +got):\n%s", diff)
	}
	exec(t, conn, "COMMIT")
	if diff := cmp.Diff(true, <-granted); diff != "" {
		t.Errorf("granted (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"drained"}, queryNames(t, conn)); diff != "" {
		t.Errorf("rows (-want +got):\n%s", diff)
	}
	promote(t, 3, primary)
	exec(t, conn, "BEGIN")
	exec(t, conn, "INSERT INTO tabs (name) VALUES ('aborted')")
	primary.Fence(ctx, 4, "b", 0)
	_, err = conn.Exec(ctx, "COMMIT")
	if diff := cmp.Diff("40001", sqlState(err)); diff != "" {
		t.Errorf("code of a commit after the promise (-want +got):\n%s", diff)
	}
	if _, err := primary.Promote(4, "a"); err == nil {
		t.Error("promotion without a promise succeeded")
	}
}

// TestRestart guards against open transactions that survive a crash, and against a
// server that lost its log and grants a promise before it has caught up.
func TestRestart(t *testing.T) {
	g := newGroup(t, standin.Options{})
	execOnPrimary(t, g, schema)
	primary, replica := g.Servers()[0], g.Servers()[1]
	conn := connect(t, primary, "client", simpleMode)
	exec(t, conn, "BEGIN")
	exec(t, conn, "INSERT INTO tabs (name) VALUES ('open')")
	primary.Crash()
	if _, err := conn.Exec(testContext(t), "COMMIT"); err == nil {
		t.Error("commit on a crashed server succeeded")
	}
	replica.Crash()
	replica.Restart(false)
	if granted, _ := replica.Fence(testContext(t), 2, "a", 0); granted {
		t.Error("a server without its log granted a promise")
	}
	primary.Restart(true)
	exec(t, connect(t, primary, "client", simpleMode), "INSERT INTO tabs (name) VALUES ('after')")
	if err := g.WaitApplied(testContext(t)); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"after"}, queryNames(t, connect(t, replica, "client", simpleMode))); diff != "" {
		t.Errorf("rows of the replica (-want +got):\n%s", diff)
	}
	if granted, status := replica.Fence(testContext(t), 2, "a", 0); !granted {
		t.Errorf("fence after the replica caught up refused: %+v", status)
	}
}

// TestDroppedCommitResponse guards against a stand-in that loses the change
// together with the response to the commit.
func TestDroppedCommitResponse(t *testing.T) {
	g := newGroup(t, standin.Options{})
	execOnPrimary(t, g, schema)
	primary := g.Servers()[0]
	primary.DropCommitResponses(1)
	_, err := connect(t, primary, "client", simpleMode).Exec(testContext(t), "INSERT INTO tabs (name) VALUES ('A-Z')")
	if err == nil || sqlState(err) != "" {
		t.Errorf("Exec() error = %v, want a broken connection", err)
	}
	if diff := cmp.Diff([]string{"A-Z"}, queryNames(t, connect(t, primary, "client", simpleMode))); diff != "" {
		t.Errorf("rows (-want +got):\n%s", diff)
	}
}

// TestCancelAndLimit guards against a statement that ignores a cancel request,
// and against connections beyond the limit.
func TestCancelAndLimit(t *testing.T) {
	g := newGroup(t, standin.Options{ConnectionLimit: 1})
	primary := g.Servers()[0]
	conn := connect(t, primary, "client", simpleMode)
	ctx := testContext(t)
	canceled := make(chan error)
	go func() {
		_, err := conn.Exec(ctx, "SELECT pg_sleep(3600)")
		canceled <- err
	}()
	for done := false; !done; {
		// A cancel request that arrives before the statement has no effect.
		if err := conn.PgConn().CancelRequest(ctx); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-canceled:
			done = true
			if diff := cmp.Diff("57014", sqlState(err)); diff != "" {
				t.Errorf("code of a canceled statement (-want +got):\n%s", diff)
			}
		default:
		}
	}
	_, err := pgx.Connect(ctx, fmt.Sprintf("postgres://proxy@%s/orders?sslmode=disable", primary.Addr()))
	if diff := cmp.Diff("53300", sqlState(err)); diff != "" {
		t.Errorf("code of a connection beyond the limit (-want +got):\n%s", diff)
	}
	connect(t, primary, standin.ControlApplicationName, simpleMode)
}

// TestAuthentication guards against a wrong password that is accepted.
func TestAuthentication(t *testing.T) {
	for _, method := range []standin.Authentication{standin.AuthenticationCleartext, standin.AuthenticationSCRAM} {
		t.Run(string(method), func(t *testing.T) {
			g := newGroup(t, standin.Options{Authentication: method, Password: "secret", User: "proxy"})
			connect(t, g.Servers()[0], "client", simpleMode)
			_, err := pgx.Connect(context.Background(), fmt.Sprintf("postgres://proxy:wrong@%s/orders?sslmode=disable", g.Servers()[0].Addr()))
			if diff := cmp.Diff("28P01", sqlState(err)); diff != "" {
				t.Errorf("code of a wrong password (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPauseAndBlockClients guards against responses of a server that is paused or
// blocked from the client, and against requests that are lost when the fault ends.
func TestPauseAndBlockClients(t *testing.T) {
	g := newGroup(t, standin.Options{})
	execOnPrimary(t, g, schema)
	primary := g.Servers()[0]
	blocked, other := connect(t, primary, "proxy-1", simpleMode), connect(t, primary, "proxy-2", simpleMode)
	responses := make(chan error, 1)
	sendQuery := func(conn *pgx.Conn) {
		_, err := conn.Exec(context.Background(), "SELECT 1")
		responses <- err
	}
	primary.BlockClients("proxy-1")
	go sendQuery(blocked)
	exec(t, other, "SELECT 1")
	expectNoResponse(t, responses)
	primary.BlockClients()
	expectResponse(t, responses)

	primary.SetPaused(true)
	go sendQuery(other)
	exec(t, connect(t, g.Servers()[1], "client", simpleMode), "SELECT 1")
	expectNoResponse(t, responses)
	primary.SetPaused(false)
	expectResponse(t, responses)
}

func expectNoResponse(t *testing.T, responses <-chan error) {
	t.Helper()
	select {
	case err := <-responses:
		t.Errorf("an unreachable server responded: %v", err)
	default:
	}
}

func expectResponse(t *testing.T, responses <-chan error) {
	t.Helper()
	if err := <-responses; err != nil {
		t.Errorf("request after the fault: %v", err)
	}
}
