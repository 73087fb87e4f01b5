package pool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/session"
)

// tryTransaction begins a transaction, or returns nil if none may begin within 100 ms.
func tryTransaction(p *pool.Pool, workspace fleet.WorkspaceID, priority int) *pool.PooledConn {
	conn, failure := p.Acquire("s", pool.Request{
		Deadline: time.Now().Add(100 * time.Millisecond), Priority: priority, Transaction: true, Workspace: workspace,
	})
	if failure != nil {
		return nil
	}
	_, _ = conn.Run(time.Now(), []session.Command{{Statement: session.Statement{Kind: session.StatementBegin}}})
	return conn
}

// endTransaction rolls the transaction back and releases its connection.
func endTransaction(p *pool.Pool, conn *pool.PooledConn) {
	_, _ = conn.Run(time.Now(), []session.Command{{Statement: session.Statement{Kind: session.StatementRollback}}})
	p.Release("s", conn)
}

// countTransactions begins transactions until one may not begin, and returns how many did.
func countTransactions(p *pool.Pool, workspace fleet.WorkspaceID, priority int) int {
	for n := 0; ; n++ {
		if tryTransaction(p, workspace, priority) == nil {
			return n
		}
	}
}

// TestTransactionShares guards against idle transactions of one workspace or of a low
// priority that hold all connections, and against single statements without one.
func TestTransactionShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pool.New(newReplayServer(4), time.Now)
		p.SetServers(time.Now(), []pool.Server{{Address: "a", ID: "s", Idle: 32, Limit: 32, Slots: 4}})
		got := map[string]int{}
		got["one workspace"] = countTransactions(p, "a", 0)
		got["low priority"] = countTransactions(p, "b", 2)
		got["high priority"] = countTransactions(p, "c", 0)
		// A quarter is reserved for single statements.
		want := map[string]int{"one workspace": 12, "low priority": 8, "high priority": 4}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("transactions (-want +got):\n%s", diff)
		}
		if _, failure := p.Acquire("s", pool.Request{Deadline: time.Now().Add(100 * time.Millisecond), Workspace: "a"}); failure != nil {
			t.Errorf("single statement: %v", failure.Text)
		}
		if diff := cmp.Diff(24, p.Counts("s").InTransactions); diff != "" {
			t.Errorf("connections in transactions (-want +got):\n%s", diff)
		}
	})
}

// TestSmallLimit guards against single statements that wait for both connections of an
// instance to be released by transactions one after the other, against transactions that
// single statements keep from beginning, and against a second transaction that is refused
// although nothing else waits.
func TestSmallLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pool.New(newReplayServer(3), time.Now)
		p.SetServers(time.Now(), []pool.Server{{Address: "a", ID: "s", Idle: 2, Limit: 2, Slots: 3}})
		first, second := tryTransaction(p, "a", 0), tryTransaction(p, "a", 0)
		if first == nil || second == nil {
			t.Fatal("a second transaction could not begin although nothing waits")
		}
		order := make(chan string, 2)
		go func() {
			if tryTransaction(p, "a", 0) != nil {
				order <- "transaction"
			}
		}()
		synctest.Wait()
		go func() {
			conn, failure := p.Acquire("s", pool.Request{Deadline: time.Now().Add(100 * time.Millisecond), Workspace: "a"})
			if failure == nil {
				order <- "single"
				p.Release("s", conn)
			}
		}()
		synctest.Wait()
		endTransaction(p, first)
		synctest.Wait()
		got := []string{<-order, <-order}
		if diff := cmp.Diff([]string{"single", "transaction"}, got); diff != "" {
			t.Errorf("order (-want +got):\n%s", diff)
		}
	})
}

// TestBlockedTransactionKeepsNoConnection guards against an idle connection that no request
// gets: it is kept for a workspace whose transactions may not begin, while a single
// statement of another workspace waits for a connection.
func TestBlockedTransactionKeepsNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pool.New(newReplayServer(3), time.Now)
		p.SetServers(time.Now(), []pool.Server{{Address: "a", ID: "s", Idle: 2, Limit: 2, Slots: 3}})
		if tryTransaction(p, "x", 0) == nil {
			t.Fatal("the first transaction could not begin")
		}
		conn, failure := p.Acquire("s", pool.Request{Deadline: time.Now().Add(100 * time.Millisecond), Workspace: "a"})
		if failure != nil {
			t.Fatal(failure.Text)
		}
		go func() { _ = tryTransaction(p, "a", 0) }()
		synctest.Wait()
		served := make(chan bool, 1)
		go func() {
			_, failure := p.Acquire("s", pool.Request{Deadline: time.Now().Add(100 * time.Millisecond), Workspace: "b"})
			served <- failure == nil
		}()
		synctest.Wait()
		p.Release("s", conn)
		if !<-served {
			t.Error("the single statement was refused although a connection was idle")
		}
		time.Sleep(time.Second)
	})
}
