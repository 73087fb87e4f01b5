package faultmatrix_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

const insertOp = "INSERT INTO journal (op, register, version) VALUES ($1, 0, 0)"

// TestInstanceKilledInTransaction guards against a partial transaction that remains
// after an instance was killed in the middle of it, and against one that keeps the
// next writer from starting.
func TestInstanceKilledInTransaction(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, unlimited(), detectTimeNoFailover)
	tx, err := f.mustConnect(f.instances[0]).Begin(f.ctx)
	must(t, err)
	for _, op := range []string{"half-1", "half-2"} {
		_, err := tx.Exec(f.ctx, insertOp, op)
		must(t, err)
	}
	f.kill(f.instances[0])
	if err := tx.Commit(f.ctx); err == nil {
		t.Fatal("a killed instance acknowledged the commit")
	}
	// The stand-in runs one write transaction at a time. This one can start only once
	// the transaction of the killed instance is rolled back.
	_, err = f.mustConnect(f.instances[1]).Exec(f.ctx, insertOp, "after")
	must(t, err)
	counts := []int{f.journalCount(f.instances[1], "half-1"), f.journalCount(f.instances[1], "half-2"), f.journalCount(f.instances[1], "after")}
	if diff := cmp.Diff([]int{0, 0, 1}, counts); diff != "" {
		t.Errorf("journal rows after the kill (-want +got):\n%s", diff)
	}
}

// TestCutOffPrimaryWithInstance guards against a write that is acknowledged on the
// minority side of a partition, which has only the old primary and one instance.
func TestCutOffPrimaryWithInstance(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 3, unlimited(), detectTimeFailover)
	minority := f.instances[0]
	oldPrimary := f.group.Primary()
	conn := f.mustConnect(minority)
	_, err := conn.Exec(f.ctx, insertOp, "before")
	must(t, err)
	f.setPartitioned(minority, true)
	_, err = conn.Exec(f.ctx, insertOp, "cut-off")
	if err == nil {
		t.Fatal("a write on the minority side of the partition was acknowledged")
	}
	f.await("promotion", func() bool { return f.group.Primary() != oldPrimary })
	_, writeErr := f.mustConnect(f.instances[1]).Exec(f.ctx, insertOp, "other-side")
	must(t, writeErr)
	f.setPartitioned(minority, false)
	count := f.journalCount(f.instances[1], "cut-off")
	if outcome(err) == outcomeNotRun && count != 0 || count > 1 {
		t.Errorf("the write on the minority side was reported as %s but has %d journal rows", outcome(err), count)
	}
	counts := []int{f.journalCount(f.instances[1], "before"), f.journalCount(f.instances[1], "other-side")}
	if diff := cmp.Diff([]int{1, 1}, counts); diff != "" {
		t.Errorf("journal rows of acknowledged writes (-want +got):\n%s", diff)
	}
}

// setPartitioned cuts the first server and one instance off from all other servers
// and instances and from the platform, or heals the partition.
func (f *fixture) setPartitioned(minority *testInstance, partitioned bool) {
	servers := f.group.Servers()
	f.group.PartitionServer(servers[0].ID(), partitioned)
	for _, server := range servers[1:] {
		f.network.setCut(minority.id, server.Addr(), partitioned)
	}
	f.network.setCut(minority.id, f.platformURL[len("http://"):], partitioned)
	for _, other := range f.instances {
		if other == minority {
			continue
		}
		f.network.setCut(minority.id, other.peerAddress, partitioned)
		f.network.setCut(other.id, minority.peerAddress, partitioned)
		f.network.setCut(other.id, servers[0].Addr(), partitioned)
	}
}

// TestCommitAnswerLost guards against a write that runs twice, or is reported as not
// run, when the response to its commit is lost after the commit took effect.
func TestCommitAnswerLost(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, unlimited(), detectTimeNoFailover)
	for _, hint := range []string{"", "/* nutmegpier: idempotent */ "} {
		conn := f.mustConnect(f.instances[0])
		f.group.Primary().DropCommitResponses(1)
		op := "lost" + hint
		_, err := conn.Exec(f.ctx, hint+"INSERT INTO journal (op, register, version) SELECT $1, 0, 0 WHERE NOT EXISTS (SELECT 1 FROM journal WHERE op = $1)", op)
		if got := outcome(err); got != outcomeCommitted && got != outcomeUnknown {
			t.Errorf("outcome = %s (%v), want Committed or Unknown", got, err)
		}
		if diff := cmp.Diff(1, f.journalCount(f.instances[1], op)); diff != "" {
			t.Errorf("journal rows of the write (-want +got):\n%s", diff)
		}
	}
}

// TestTransactionCommitAnswerLost guards against a transaction that is run again when
// the response to its commit is lost.
func TestTransactionCommitAnswerLost(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, unlimited(), detectTimeNoFailover)
	tx, err := f.mustConnect(f.instances[0]).Begin(f.ctx)
	must(t, err)
	_, err = tx.Exec(f.ctx, insertOp, "tx")
	must(t, err)
	f.group.Primary().DropCommitResponses(1)
	if got := outcome(tx.Commit(f.ctx)); got != outcomeCommitted && got != outcomeUnknown {
		t.Errorf("outcome = %s, want Committed or Unknown", got)
	}
	if diff := cmp.Diff(1, f.journalCount(f.instances[0], "tx")); diff != "" {
		t.Errorf("journal rows of the transaction (-want +got):\n%s", diff)
	}
}

// TestPrimaryCrashInTransaction guards against a transaction that is lost with its
// primary and whose remaining statements run on the next primary without an error.
func TestPrimaryCrashInTransaction(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, unlimited(), detectTimeFailover)
	conn := f.mustConnect(f.instances[0])
	tx, err := conn.Begin(f.ctx)
	must(t, err)
	_, err = tx.Exec(f.ctx, insertOp, "first")
	must(t, err)
	f.group.Primary().Crash()
	if _, err = tx.Exec(f.ctx, insertOp, "second"); err == nil {
		err = tx.Commit(f.ctx)
	}
	if got := outcome(err); got == outcomeCommitted {
		t.Error("the transaction was acknowledged although its primary crashed before the commit")
	}
	_ = conn.Close(f.ctx)
	got := []int{f.journalCount(f.instances[0], "first"), f.journalCount(f.instances[0], "second")}
	if diff := cmp.Diff([]int{0, 0}, got); diff != "" {
		t.Errorf("journal rows after the crash (-want +got):\n%s", diff)
	}
}
