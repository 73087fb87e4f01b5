//go:build !race

package gateway_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// TestReadsLeaveGreyServer guards against a replica that refuses all reads although it is
// healthy, and gets more of them because it answers faster than the others.
func TestReadsLeaveGreyServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		const work = 40 * time.Millisecond
		servers := newSlotServers(map[fleet.ServerID]time.Duration{"primary": work, "good": work, "grey": work})
		g := newTrio(ctx, t, servers, 0, nil)
		// read sends 40 reads per second and a write every 0.5 s for a duration.
		read := func(span time.Duration) (refused int) {
			for i := range int(span / (25 * time.Millisecond)) {
				go func() {
					err := runStatement(g, i%20 == 0)
					servers.mu.Lock()
					defer servers.mu.Unlock()
					if err != nil {
						refused++
					}
				}()
				time.Sleep(25 * time.Millisecond)
			}
			time.Sleep(time.Second)
			return refused
		}
		if refused := read(5 * time.Second); refused > 0 {
			t.Errorf("%d statements were refused by healthy servers, want none", refused)
		}
		servers.mu.Lock()
		servers.failing = map[fleet.ServerID]bool{"grey": true}
		servers.mu.Unlock()
		first, later := read(2*time.Second), read(10*time.Second)
		t.Logf("refused: %d in the first 2 s, %d in the next 10 s; statements by server: %v", first, later, servers.ran)
		if later > 20 {
			t.Errorf("%d of 400 statements were refused by the grey server from 2 s after it began to, want 5%%", later)
		}
	})
}

// readCommands are a batch of one read.
var readCommands = []session.Command{{Statement: session.Statement{Kind: session.StatementRead}}}

// readTrial returns an instance in front of a primary and the replicas a and b, on which it
// has run reads for 5 s.
func readTrial(ctx context.Context, t *testing.T, servers *slotServers) *gateway.Gateway {
	t.Helper()
	g := newTrio(ctx, t, servers, 0, nil)
	readFor(g, 5*time.Second)
	return g
}

// readFor sends 40 reads per second, and a write every 0.5 s, for a duration.
func readFor(g *gateway.Gateway, span time.Duration) {
	for i := range int(span / (25 * time.Millisecond)) {
		go func() { _ = runStatement(g, i%20 == 0) }()
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(time.Second)
}

// acquireRead returns a lease for a read or a read transaction. A write before it proves the
// positions that the replicas must have.
func acquireRead(t *testing.T, g *gateway.Gateway, avoid map[fleet.ServerID]bool, transaction bool) session.Lease {
	t.Helper()
	if err := runStatement(g, true); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	route := sheet.Route{Consistency: sheet.ConsistencyBoundedAge, Database: "g", Group: "g", MaxAge: 1000, StatementTimeout: 600}
	lease, err := g.Acquire(session.Requirements{Avoid: avoid, Deadline: now.Add(600 * time.Millisecond), Route: route, StartedAt: now, Transaction: transaction, Workspace: "w"})
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

// TestRefusedKeysAreNoServerFailures guards against reads that leave a healthy server because
// this instance refused statements for it whose key was not proved.
func TestRefusedKeysAreNoServerFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		const work = 40 * time.Millisecond
		servers := newSlotServers(map[fleet.ServerID]time.Duration{"primary": work, "a": work, "b": work})
		g := readTrial(ctx, t, servers)
		for range 40 {
			lease := acquireRead(t, g, map[fleet.ServerID]bool{"b": true, "primary": true}, false)
			batch := session.Batch{Authorization: session.Authorization{AuthorizedUntil: time.Now().Add(-time.Second), SheetVersion: 99}, Commands: readCommands, Final: true}
			if _, failure := lease.Run(time.Now().Add(600*time.Millisecond), batch); failure == nil || failure.Kind != session.KindBusy {
				t.Fatalf("statement without proof: %v, want it to be refused", failure)
			}
			lease.Release()
		}
		before := servers.ran["a"]
		readFor(g, time.Second)
		if ran := servers.ran["a"] - before; ran < 8 {
			t.Errorf("the server ran %d of 40 reads after refusals of this instance, want a fifth or more", ran)
		}
	})
}

// TestTransactionsAreNoProbes guards against a transaction that tries a slow server, and so
// keeps all its statements there.
func TestTransactionsAreNoProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		const work = 40 * time.Millisecond
		servers := newSlotServers(map[fleet.ServerID]time.Duration{"primary": work, "a": work, "b": work})
		g := readTrial(ctx, t, servers)
		servers.mu.Lock()
		servers.work["a"] = 5 * work
		servers.mu.Unlock()
		for range 30 {
			lease := acquireRead(t, g, map[fleet.ServerID]bool{"b": true, "primary": true}, false)
			_, _ = lease.Run(time.Now().Add(600*time.Millisecond), session.Batch{Commands: readCommands, Final: true})
			lease.Release()
			for range 5 {
				_ = runStatement(g, false)
			}
		}
		slow := 0
		for range 6 {
			readFor(g, 500*time.Millisecond)
			// From now on, a statement may try the slow server again.
			time.Sleep(time.Second)
			lease := acquireRead(t, g, nil, true)
			if lease.Server() == "a" {
				slow++
			}
			lease.Release()
		}
		if slow > 0 {
			t.Errorf("%d of 6 transactions were sent to a server that takes 5 times as long, want none", slow)
		}
	})
}

// TestSuspendedInstanceBlamesNoServer guards against reads that leave the server which had
// the most statements in service while the instance was suspended.
func TestSuspendedInstanceBlamesNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		const work = 40 * time.Millisecond
		servers := newSlotServers(map[fleet.ServerID]time.Duration{"primary": work, "a": work, "b": work})
		g := readTrial(ctx, t, servers)
		if err := runStatement(g, true); err != nil {
			t.Fatal(err)
		}
		servers.mu.Lock()
		servers.suspended = 2 * time.Second
		servers.mu.Unlock()
		var running sync.WaitGroup
		for server, statements := range map[fleet.ServerID]int{"a": 6, "b": 1} {
			avoid := map[fleet.ServerID]bool{"a": true, "b": true, "primary": true}
			delete(avoid, server)
			for range statements {
				now := time.Now()
				route := sheet.Route{Consistency: sheet.ConsistencyBoundedAge, Database: "g", Group: "g", MaxAge: 1000, StatementTimeout: 600}
				lease, err := g.Acquire(session.Requirements{Avoid: avoid, Deadline: now.Add(600 * time.Millisecond), Route: route, StartedAt: now, Workspace: "w"})
				if err != nil {
					t.Fatal(err)
				}
				running.Go(func() {
					defer lease.Release()
					_, _ = lease.Run(now.Add(600*time.Millisecond), session.Batch{Commands: readCommands, Final: true})
				})
			}
		}
		time.Sleep(time.Millisecond)
		servers.mu.Lock()
		servers.suspended = 0
		servers.mu.Unlock()
		running.Wait()
		time.Sleep(100 * time.Millisecond)
		before := servers.ran["a"]
		readFor(g, time.Second)
		if ran := servers.ran["a"] - before; ran < 8 {
			t.Errorf("the server ran %d of 40 reads after the instance was suspended, want a fifth or more", ran)
		}
	})
}
