package pool_test

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/session"
)

// TestMain sets a fixed seed for the property tests, so that their result is
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261206", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestPoolModel guards against lost connection places, connections above the limit,
// statements above the bound of the slots, connections that are used for two workspaces or
// by two requests, and requests that neither get a connection nor a refusal: requests and
// transactions of several workspaces end, fail and are refused in any order.
func TestPoolModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(rt, "limit")
		slots := rapid.IntRange(0, 3).Draw(rt, "slots")
		maxConns := rapid.IntRange(1, 14).Draw(rt, "connections of the server")
		steps := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 1, 60).Draw(rt, "steps")
		var failures []string
		synctest.Test(t, func(*testing.T) { failures = runModel(limit, slots, maxConns, steps) })
		for _, failure := range failures {
			rt.Error(failure)
		}
	})
}

// runModel runs one request for each step and returns what was violated.
func runModel(limit, slots, maxConns int, steps []int) []string {
	server := newReplayServer(max(1, slots))
	server.maxConns = maxConns
	p := pool.New(server, time.Now)
	p.SetServers(time.Now(), []pool.Server{{Address: "a", ID: "s", Idle: limit, Limit: limit, Slots: slots}})
	var mu sync.Mutex
	var failures []string
	used := map[pool.Conn]bool{}
	workspaces := map[pool.Conn]fleet.WorkspaceID{}
	fail := func(format string, arguments ...any) {
		mu.Lock()
		defer mu.Unlock()
		failures = append(failures, fmt.Sprintf(format, arguments...))
	}
	use := func(conn *pool.PooledConn, workspace fleet.WorkspaceID) {
		mu.Lock()
		doubly, other := used[conn.Conn], workspaces[conn.Conn]
		used[conn.Conn], workspaces[conn.Conn] = true, workspace
		mu.Unlock()
		if doubly || (other != "" && other != workspace) {
			fail("a connection of %q was granted to %q, in use: %v", other, workspace, doubly)
		}
	}
	var running sync.WaitGroup
	for _, step := range steps {
		workspace := fleet.WorkspaceID(fmt.Sprintf("w%d", step%4))
		transaction, breaks := step>>2%4 == 0, step>>4%8 == 0
		span := time.Duration(step>>7%64) * time.Millisecond
		running.Go(func() {
			deadline := time.Now().Add(300 * time.Millisecond)
			conn, failure := p.Acquire("s", pool.Request{Deadline: deadline, Priority: step >> 13 % 2, Transaction: transaction, Workspace: workspace})
			if time.Now().After(deadline.Add(handshakeTime * 20)) {
				fail("a request waited until %v after its deadline", time.Since(deadline))
			}
			if failure != nil {
				if failure.Kind == session.KindBusy && !failure.Saturated && time.Now().Before(deadline) {
					fail("a request was refused before its deadline: %s", failure.Text)
				}
				return
			}
			use(conn, workspace)
			statement := []session.Command{{Statement: session.Statement{Text: span.String()}}}
			if transaction {
				begin := []session.Command{{Statement: session.Statement{Kind: session.StatementBegin}}}
				_, _ = conn.Run(time.Time{}, begin)
				time.Sleep(span)
				_, _ = conn.Run(time.Time{}, statement)
				time.Sleep(span)
				_, _ = conn.Run(time.Time{}, []session.Command{{Statement: session.Statement{Kind: session.StatementRollback}}})
			} else {
				_, _ = conn.Run(time.Time{}, statement)
			}
			if breaks {
				conn.MarkBroken()
			}
			mu.Lock()
			used[conn.Conn] = false
			mu.Unlock()
			p.Release("s", conn)
		})
		time.Sleep(time.Duration(step>>14) * time.Millisecond / 4)
		if g := p.Gauges(time.Now())["s"]; g.Open > limit || g.InTransactions > g.Open || g.Idle > g.Open {
			fail("gauges %+v with the limit %d", g, limit)
		}
	}
	running.Wait()
	time.Sleep(time.Second)
	if g := p.Gauges(time.Now())["s"]; g.InService != 0 || g.InTransactions != 0 || g.Waiting != 0 || g.Open != g.Idle || g.Open != server.open {
		fail("gauges after all requests have ended: %+v, open at the server: %d", g, server.open)
	}
	for workspace := range 4 {
		conn, failure := p.Acquire("s", pool.Request{Deadline: time.Now().Add(time.Second), Workspace: fleet.WorkspaceID(fmt.Sprintf("w%d", workspace))})
		if failure != nil {
			fail("a request on an idle server was refused: %s", failure.Text)
			continue
		}
		p.Release("s", conn)
	}
	return failures
}
