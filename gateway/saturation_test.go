//go:build !race

package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/owner"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/sheet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// trioSource describes a group of three servers with two slots each.
type trioSource struct{ emptySource }

func (trioSource) Server(row feed.Row) (gateway.BackendServer, error) {
	return gateway.BackendServer{Address: row.Key, Born: 1, DataCentre: "d", Group: "g", ID: fleet.ServerID(row.Key), Primary: row.Key == "primary", Slots: 2}, nil
}

func (trioSource) Sheet(map[string]feed.Row) (gateway.SheetUpdate, bool, error) {
	return gateway.SheetUpdate{Version: 1, Sheet: sheet.Sheet{
		Databases: []sheet.Database{{Connections: 40, Database: "g"}},
		Routes:    []sheet.Route{{Consistency: sheet.ConsistencyBoundedAge, Database: "g", Group: "g", MaxAge: 1000, StatementTimeout: 600, TargetLatency: 200}},
	}}, true, nil
}

// slotServers are servers in virtual time whose statements take slots, as long as the
// server is slow.
type slotServers struct {
	// failing are the servers that refuse all statements.
	failing map[fleet.ServerID]bool
	// suspended is the time for which the instance is suspended during each statement.
	suspended time.Duration
	mu        sync.Mutex
	ran       map[fleet.ServerID]int
	slots     map[fleet.ServerID]chan struct{}
	work      map[fleet.ServerID]time.Duration
}

type slotConn struct {
	server  fleet.ServerID
	servers *slotServers
}

func newSlotServers(work map[fleet.ServerID]time.Duration) *slotServers {
	s := &slotServers{ran: map[fleet.ServerID]int{}, slots: map[fleet.ServerID]chan struct{}{}, work: work}
	for id := range work {
		s.slots[id] = make(chan struct{}, 2)
	}
	return s
}

func (s *slotServers) Dial(_ time.Time, server pool.Server, _ fleet.WorkspaceID) (pool.Conn, *session.RunError) {
	s.occupy(server.ID, 12*time.Millisecond)
	return &slotConn{server: server.ID, servers: s}, nil
}

func (s *slotServers) occupy(id fleet.ServerID, span time.Duration) {
	s.slots[id] <- struct{}{}
	time.Sleep(span)
	<-s.slots[id]
}

func (c *slotConn) Alive() bool    { return true }
func (c *slotConn) Close()         {}
func (c *slotConn) Reusable() bool { return true }

func (c *slotConn) Run(deadline time.Time, _ []session.Command) (session.Reply, *session.RunError) {
	c.servers.mu.Lock()
	work := c.servers.work[c.server]
	c.servers.ran[c.server]++
	failing, suspended := c.servers.failing[c.server], c.servers.suspended
	c.servers.mu.Unlock()
	if failing {
		return session.Reply{}, &session.RunError{Kind: session.KindBusy}
	}
	c.servers.occupy(c.server, work)
	time.Sleep(suspended)
	if suspended > 0 && time.Now().After(deadline) {
		return session.Reply{}, &session.RunError{Kind: session.KindTimeout}
	}
	return session.Reply{Position: fleet.Position{Log: 1, Term: 1}}, nil
}

// healthyControl reports that all servers are healthy.
type healthyControl struct{}

func (healthyControl) Healthy(context.Context, pool.Server) bool { return true }
func (healthyControl) Status(time.Time, pool.Conn) (gateway.ServerStatus, error) {
	return gateway.ServerStatus{Position: fleet.Position{Log: 1, Term: 1}, Role: primacy.RoleReplica, Term: 1}, nil
}
func (healthyControl) StepDown(time.Time, pool.Conn, fleet.Term) error { return nil }

// newTrio runs an instance in front of three servers until the context ends, and returns
// it once the primary can be used. There are others instances beside it, and owners are
// called through the client, unless it is nil.
func newTrio(ctx context.Context, t *testing.T, servers *slotServers, others int, client gateway.OwnerClient) *gateway.Gateway {
	t.Helper()
	store := newMemoryStore()
	record, err := primacy.Record{Generation: 1, Group: "g", Phase: primacy.PhaseServing, Primary: "primary", Term: 1}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	store.putIn("primaries", "nutmegpier-primaries", "g", record)
	store.put(sheetTable, "sheet", nil)
	for id := range servers.work {
		store.put(serverTable, string(id), nil)
	}
	for other := range others {
		// The row is of a time after the test, so that it stays live.
		row, err := json.Marshal(gateway.MemberRow{At: 3 * time.Hour, Address: "a", DataCentre: "d", Epoch: 1, Phase: workspace.PhaseHolding, ProcessorShare: 1})
		if err != nil {
			t.Fatal(err)
		}
		store.putIn("instances-0", instanceTable, fmt.Sprintf("other-%d", other), row)
	}
	recorder := event.New("i", 1, time.Now, event.NewLogger(io.Discard, "json", event.LevelError), 16)
	g := gateway.New(gateway.Config{
		Clock: time.Now, Control: healthyControl{}, Dialer: servers, Epoch: 8, Instance: "i", Log: gateway.NewLog(recorder, 1),
		OwnerClient: client, Settings: gateway.Settings{DataCentre: "d", KeyLease: 4 * time.Second}, Source: trioSource{}, Store: store.connect(),
	})
	go func() { _ = g.Run(ctx) }()
	time.Sleep(3 * time.Second)
	return g
}

// runStatement runs a read or write through the gateway.
func runStatement(g *gateway.Gateway, write bool) *session.Error {
	now := time.Now()
	route := sheet.Route{Consistency: sheet.ConsistencyBoundedAge, Database: "g", Group: "g", MaxAge: 1000, StatementTimeout: 600}
	lease, err := g.Acquire(session.Requirements{Deadline: now.Add(600 * time.Millisecond), Route: route, StartedAt: now, Workspace: "w", Write: write})
	if err != nil {
		return err
	}
	defer lease.Release()
	_, failure := lease.Run(now.Add(600*time.Millisecond), session.Batch{Commands: []session.Command{{Statement: session.Statement{Kind: session.StatementRead}}}, Final: true})
	if failure != nil {
		return &session.Error{Kind: failure.Kind}
	}
	return nil
}

// TestReadsLeaveSaturatedServer guards against reads that wait at a slow server until their
// deadline, or are refused there, although another server of the group can serve them.
func TestReadsLeaveSaturatedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		servers := newSlotServers(map[fleet.ServerID]time.Duration{"primary": 3 * time.Millisecond, "fast": 3 * time.Millisecond, "slow": 60 * time.Millisecond})
		g := newTrio(ctx, t, servers, 0, nil)
		for range 10 {
			if err := runStatement(g, true); err != nil {
				t.Fatalf("write: %v", err)
			}
		}
		var running sync.WaitGroup
		var mu sync.Mutex
		refused := map[int]int{}
		// The instance learns how slow a server is from the first bursts.
		const learning, measured = 2, 4
		for burst := range learning + measured {
			for range 250 {
				running.Go(func() {
					if err := runStatement(g, false); err != nil {
						mu.Lock()
						defer mu.Unlock()
						refused[burst]++
					}
				})
			}
			// The estimate of a server's latency that chooses the replica returns to the usual
			// one within these 4 s. Without recent commits, the primary would run all reads.
			for range 8 {
				time.Sleep(500 * time.Millisecond)
				if err := runStatement(g, true); err != nil {
					t.Errorf("write: %v", err)
				}
			}
		}
		running.Wait()
		t.Logf("refused by burst: %v; statements by server: %v", refused, servers.ran)
		for burst := learning; burst < learning+measured; burst++ {
			if refused[burst] > 0 {
				t.Errorf("%d of the 250 reads of burst %d were refused, want none", refused[burst], burst)
			}
		}
	})
}

// fixedOwner answers each request with the same response.
type fixedOwner struct {
	calls    int
	response owner.Response
}

func (o *fixedOwner) Run(context.Context, string, []byte, owner.Request) (owner.Response, error) {
	o.calls++
	return o.response, nil
}

// TestSaturatedOwner guards against sending a request again to an owner that has refused it
// for lack of capacity, against giving up a request that another owner can serve, and
// against giving up one that a server has refused.
func TestSaturatedOwner(t *testing.T) {
	busy := func(retryAfter time.Duration) *session.RunError {
		return &session.RunError{Kind: session.KindBusy, RetryAfter: retryAfter, Text: "busy"}
	}
	full := busy(50 * time.Millisecond)
	full.Saturated = true
	for _, test := range []struct {
		name      string
		response  owner.Response
		saturated bool
	}{
		{name: "refused by the owner", response: owner.Response{Failure: full}, saturated: true},
		{name: "the owner can't open a connection", response: owner.Response{Failure: busy(50 * time.Millisecond)}},
		{name: "the owner can't use the servers", response: owner.Response{Failure: busy(50 * time.Millisecond), Unavailable: true}},
		{name: "refused by a server", response: owner.Response{Failure: busy(0), Server: "primary"}},
		{name: "the deadline has passed at the owner", response: owner.Response{Failure: busy(0)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(10 * time.Second)
				}()
				client := &fixedOwner{response: test.response}
				// More instances than 0.6 of the 40 connections that a server accepts.
				g := newTrio(ctx, t, newSlotServers(map[fleet.ServerID]time.Duration{"primary": 0}), 30, client)
				now := time.Now()
				lease, err := g.Acquire(session.Requirements{Deadline: now.Add(time.Second), Route: sheet.Route{Group: "g"}, Workspace: "w", Write: true})
				if err != nil {
					t.Fatal(err)
				}
				_, failure := lease.Run(now.Add(time.Second), session.Batch{Commands: []session.Command{{}}, Final: true})
				if client.calls != 1 || failure == nil {
					t.Fatalf("%d calls of the owner, failure %v", client.calls, failure)
				}
				if diff := cmp.Diff(test.saturated, failure.Saturated); diff != "" {
					t.Errorf("saturated (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestOwnerReportsSaturation guards against an owner that does not say that it refused a
// request for lack of capacity, and against one that says so when it can't open a
// connection.
func TestOwnerReportsSaturation(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*testServers)
		want   bool
	}{
		{name: "all connections are in use", change: func(s *testServers) { s.dialTime = 7 * time.Second }, want: true},
		{name: "the server can't be dialed", change: func(s *testServers) { s.dialFailure = &session.RunError{Kind: session.KindUnknown, Text: "reset"} }},
	} {
		t.Run(test.name, func(t *testing.T) {
			runFleet(t, 3, keySheet(1, "k"), func(f *testFleet) {
				f.servers.set(test.change)
				deadline := time.Since(f.store.startedAt) + time.Second
				responses := make(chan owner.Response, 8)
				for i := range cap(responses) {
					go func() {
						responses <- f.owner().RunForPeer(owner.Request{
							Batch: session.Batch{Commands: []session.Command{{Statement: write("a")}}, Final: true}, Deadline: deadline, RequirementsDeadline: deadline,
							Requirements: &session.Requirements{Route: keySheet(1).Sheet.Routes[0], Workspace: fleet.WorkspaceID(fmt.Sprint("w", i)), Write: true},
						})
					}()
				}
				saturated := false
				for range cap(responses) {
					if response := <-responses; response.Failure != nil && response.Failure.Saturated {
						saturated = true
					}
				}
				if saturated != test.want {
					t.Errorf("a request was refused as saturated: %t, want %t", saturated, test.want)
				}
			})
		})
	}
}

// lossyOwner loses the connection of each request after a time.
type lossyOwner struct {
	after time.Duration
	calls int
}

func (o *lossyOwner) Run(context.Context, string, []byte, owner.Request) (owner.Response, error) {
	o.calls++
	time.Sleep(o.after)
	return owner.Response{}, &owner.Error{Err: io.ErrUnexpectedEOF, Kind: owner.KindUnknown, Op: "run"}
}

// TestOwnerLostAfterAttempt guards against calling an owner again whose connection was
// lost after the deadline of the attempt, while the request waited for the response.
func TestOwnerLostAfterAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		client := &lossyOwner{after: 200 * time.Millisecond}
		g := newTrio(ctx, t, newSlotServers(map[fleet.ServerID]time.Duration{"primary": 0}), 30, client)
		for range owner.Ranks {
			now := time.Now()
			lease, err := g.Acquire(session.Requirements{Deadline: now.Add(time.Second), Route: sheet.Route{Group: "g"}, Workspace: "w"})
			if err != nil {
				t.Fatal(err)
			}
			_, failure := lease.Run(now.Add(50*time.Millisecond), session.Batch{Commands: []session.Command{{}}, Final: true})
			if failure == nil || failure.Kind != session.KindUnknown {
				t.Errorf("failure %+v, want one of kind %s", failure, session.KindUnknown)
			}
		}
		lease, err := g.Acquire(session.Requirements{Deadline: time.Now().Add(time.Second), Route: sheet.Route{Consistency: sheet.ConsistencyPrimary, Group: "g"}, Workspace: "w"})
		if err == nil {
			_, _ = lease.Run(time.Now().Add(50*time.Millisecond), session.Batch{Commands: []session.Command{{}}, Final: true})
			lease.Release()
		}
		if client.calls != owner.Ranks {
			t.Errorf("%d calls of owners, want %d: one of each", client.calls, owner.Ranks)
		}
	})
}

// TestLostResponseOfOwner guards against a read that waits until its deadline for a response
// that was lost, and against giving up a read that waits for a connection at its owner.
func TestLostResponseOfOwner(t *testing.T) {
	for _, test := range []struct {
		name     string
		dialTime time.Duration
		lost     bool
	}{
		{name: "the response is lost", lost: true},
		{name: "the owner opens a connection", dialTime: 1500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			runFleet(t, 3, keySheet(1, "k"), func(f *testFleet) {
				caller := f.other()
				caller.mu.Lock()
				caller.loseResponses = test.lost
				caller.mu.Unlock()
				f.servers.set(func(s *testServers) { s.dialTime = test.dialTime })
				began := time.Now()
				lease, err := caller.Acquire(session.Requirements{Deadline: began.Add(5 * time.Second), Route: keySheet(1).Sheet.Routes[0], Workspace: "w"})
				if err != nil {
					t.Fatal(err)
				}
				_, failure := lease.Run(began.Add(200*time.Millisecond), session.Batch{Commands: []session.Command{{Statement: session.Statement{Kind: session.StatementRead}}}, Final: true})
				if lost := failure != nil && failure.Kind == session.KindUnknown; lost != test.lost || (!lost && failure != nil) {
					t.Errorf("failure %+v, want a lost response: %t", failure, test.lost)
				}
				if took := time.Since(began); test.lost && took > time.Second {
					t.Errorf("the lost response was noticed after %v, want at most 1 s", took)
				}
			})
		})
	}
}
