package gateway_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// memoryStore is a store in memory that answers each call after a millisecond.
type memoryStore struct {
	began time.Time

	mu       sync.Mutex
	revision feed.Revision
	tables   map[gateway.Table]map[string]feed.Row
}

func newMemoryStore() *memoryStore {
	return &memoryStore{began: time.Now(), tables: map[gateway.Table]map[string]feed.Row{}}
}

func (s *memoryStore) snapshot(table gateway.Table, after feed.Revision) feed.Snapshot {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := feed.Snapshot{Complete: after == 0, Revision: s.revision, StoreTime: time.Hour + time.Since(s.began)}
	for _, row := range s.tables[table] {
		if row.Revision > after {
			snapshot.Rows = append(snapshot.Rows, row)
		}
	}
	return snapshot
}

func (s *memoryStore) Changes(ctx context.Context, table gateway.Table, after feed.Revision, wait time.Duration) (feed.Snapshot, error) {
	timer := time.NewTimer(min(wait, 200*time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return feed.Snapshot{}, ctx.Err()
	case <-timer.C:
		return s.snapshot(table, after), nil
	}
}

func (s *memoryStore) Read(_ context.Context, table gateway.Table, _ []gateway.Partition) (feed.Snapshot, error) {
	return s.snapshot(table, 0), nil
}

func (s *memoryStore) Write(_ context.Context, writes []gateway.Write) (gateway.WriteResult, error) {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	result := gateway.WriteResult{Applied: true}
	for _, write := range writes {
		if current := s.tables[write.Table][write.Key]; current.Revision != write.Revision {
			result.Applied = false
			result.Current = append(result.Current, gateway.CurrentRow{Row: current, Table: write.Table})
		}
	}
	if !result.Applied {
		return result, nil
	}
	s.revision++
	for _, write := range writes {
		s.put(write.Table, feed.Row{Key: write.Key, Revision: s.revision, Value: write.Value})
	}
	result.Revision = s.revision
	return result, nil
}

// put sets a row. The caller holds s.mu, or is the only user.
func (s *memoryStore) put(table gateway.Table, row feed.Row) {
	if s.tables[table] == nil {
		s.tables[table] = map[string]feed.Row{}
	}
	s.tables[table][row.Key] = row
}

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
	mu      sync.Mutex
	ran     map[fleet.ServerID]int
	slots   map[fleet.ServerID]chan struct{}
	work    map[fleet.ServerID]time.Duration
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

func (c *slotConn) Run(time.Time, []session.Command) (session.Reply, *session.RunError) {
	c.servers.mu.Lock()
	work := c.servers.work[c.server]
	c.servers.ran[c.server]++
	failing := c.servers.failing[c.server]
	c.servers.mu.Unlock()
	if failing {
		return session.Reply{}, &session.RunError{Kind: session.KindBusy}
	}
	c.servers.occupy(c.server, work)
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
// it once the primary can be used.
func newTrio(ctx context.Context, t *testing.T, servers *slotServers) *gateway.Gateway {
	t.Helper()
	store := newMemoryStore()
	store.revision = 1
	record, err := primacy.Record{Generation: 1, Group: "g", Phase: primacy.PhaseServing, Primary: "primary", Term: 1}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	store.put("nutmegpier-primaries", feed.Row{Key: "g", Revision: 1, Value: record})
	store.put(sheetTable, feed.Row{Key: "sheet", Revision: 1})
	for id := range servers.work {
		store.put(serverTable, feed.Row{Key: string(id), Revision: 1})
	}
	recorder := event.New("i", 1, time.Now, event.NewLogger(io.Discard, "json", event.LevelError), 16)
	g := gateway.New(gateway.Config{
		Clock: time.Now, Control: healthyControl{}, Dialer: servers, Epoch: 8, Instance: "i", Log: gateway.NewLog(recorder, 1),
		Settings: gateway.Settings{DataCentre: "d", KeyLease: 4 * time.Second}, Source: trioSource{}, Store: store,
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
		g := newTrio(ctx, t, servers)
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
