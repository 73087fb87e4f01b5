package faultmatrix_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"

	"github.com/nutmegpier/nutmegpier/faultmatrix"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/sheet"
	"github.com/nutmegpier/nutmegpier/standin"
)

// injection injects a fault into a deployment. Faults of an instance affect the first
// instance of the fixture.
type injection struct {
	fault faultmatrix.Fault
	// heal ends the fault. It is nil if there is nothing to end.
	heal   func(f *fixture)
	inject func(f *fixture)
	// harmless is true if no request may fail because of the fault.
	harmless bool
}

// detectTime returns the failure detection time for a test of the fault.
func (i injection) detectTime() time.Duration {
	if i.fault == faultmatrix.FaultPrimaryCrash || i.fault == faultmatrix.FaultPrimaryCutOff {
		return detectTimeFailover
	}
	return detectTimeNoFailover
}

// injections returns the injections of all faults.
func injections() []injection {
	primary := func(f *fixture) *standin.Server { return f.group.Server(testDatabase + "-1") }
	healStore := func(f *fixture) {
		f.platform.SetOutage(standin.OutageNone)
		f.platform.SetDelay(0)
	}
	return []injection{
		{
			fault:  faultmatrix.FaultInstanceDies,
			inject: func(f *fixture) { f.kill(f.instances[0]) },
		},
		{
			fault:  faultmatrix.FaultKeyWithdrawn,
			inject: func(f *fixture) { f.publishNewKey() },
		},
		{
			fault:  faultmatrix.FaultLeaseLapses,
			heal:   func(f *fixture) { f.setInstanceIsolated(f.instances[0], false) },
			inject: func(f *fixture) { f.setInstanceIsolated(f.instances[0], true); f.awaitLeaseExpiry(f.instances[0]) },
		},
		{
			fault:    faultmatrix.FaultOperatorsRace,
			inject:   func(f *fixture) { f.publishConcurrently(1) },
			harmless: true,
		},
		{
			fault:  faultmatrix.FaultPrimaryCrash,
			heal:   func(f *fixture) { primary(f).Restart(true) },
			inject: func(f *fixture) { primary(f).Crash() },
		},
		{
			fault:  faultmatrix.FaultPrimaryCutOff,
			heal:   func(f *fixture) { f.group.PartitionServer(primary(f).ID(), false) },
			inject: func(f *fixture) { f.group.PartitionServer(primary(f).ID(), true) },
		},
		{
			fault:    faultmatrix.FaultReplicaLags,
			heal:     func(f *fixture) { f.setApplyLag(0) },
			inject:   func(f *fixture) { f.setApplyLag(time.Hour) },
			harmless: true,
		},
		{
			fault: faultmatrix.FaultStoreAnswerLost,
			inject: func(f *fixture) {
				f.platform.DropResponses(1)
				f.publish(0, 1, f.encodeSheet(f.sheet()), sheet.OutcomeAccepted)
			},
			harmless: true,
		},
		{
			fault:    faultmatrix.FaultStoreDown,
			heal:     healStore,
			inject:   func(f *fixture) { f.platform.SetOutage(standin.OutageFail) },
			harmless: true,
		},
		{
			fault:    faultmatrix.FaultStoreSlow,
			heal:     healStore,
			inject:   func(f *fixture) { f.platform.SetDelay(900 * time.Millisecond) },
			harmless: true,
		},
	}
}

// publishNewKey publishes a sheet in which another key replaces the current one. The
// fixture uses the new key from then on.
func (f *fixture) publishNewKey() {
	f.t.Helper()
	key, err := sheet.GenerateKey(strings.NewReader(strings.Repeat("other", 32)), f.key.Salt, f.key.Iterations)
	must(f.t, err)
	f.key = key
	f.publish(1, 1, f.encodeSheet(f.sheet()), sheet.OutcomeAccepted)
	for _, inst := range f.instances {
		f.await("the new sheet on each instance", func() bool { return inst.instance.Board().Sheet.Load().Version == 2 })
	}
}

// setInstanceIsolated cuts an instance off from the store and all peers, or reconnects
// it. The instance can still reach the backend servers.
func (f *fixture) setInstanceIsolated(inst *testInstance, isolated bool) {
	f.network.setCut(inst.id, strings.TrimPrefix(f.platformURL, "http://"), isolated)
	for _, other := range f.instances {
		if other != inst {
			f.network.setCut(inst.id, other.peerAddress, isolated)
			f.network.setCut(other.id, inst.peerAddress, isolated)
		}
	}
}

func (f *fixture) awaitLeaseExpiry(inst *testInstance) {
	f.t.Helper()
	f.await("expiry of the validity lease", func() bool { return !inst.instance.Status().Valid })
}

// publishConcurrently publishes two sheets with the same base version at the same time
// and expects that exactly one is accepted.
func (f *fixture) publishConcurrently(base fleet.SheetVersion) {
	f.t.Helper()
	outcomes := make([]sheet.Outcome, 2)
	var wg sync.WaitGroup
	for i := range outcomes {
		wg.Go(func() {
			request := sheet.PublishRequest{Base: base, Content: f.encodeSheet(f.sheet()), Force: true}
			publication, err := f.adminClient(i).Publish(f.ctx, request)
			outcomes[i] = publication.Outcome
			if err != nil {
				outcomes[i] = sheet.Outcome(err.Error())
			}
		})
	}
	wg.Wait()
	if outcomes[0] > outcomes[1] {
		outcomes[0], outcomes[1] = outcomes[1], outcomes[0]
	}
	if diff := cmp.Diff([]sheet.Outcome{sheet.OutcomeAccepted, sheet.OutcomeConflict}, outcomes); diff != "" {
		f.t.Errorf("outcomes of concurrent publications (-want +got):\n%s", diff)
	}
}

func (f *fixture) setApplyLag(lag time.Duration) {
	for _, server := range f.group.Servers() {
		server.SetApplyLag(lag)
	}
}

// pendingWrite is a write that runs in the background. step is the step at which the
// fault is injected.
type pendingWrite struct {
	// done receives the error of the write.
	done chan error
	op   string
	// rows is the number of journal rows that the write inserts.
	rows int
	step faultmatrix.Step
}

// startWrite runs a write in the background.
func startWrite(step faultmatrix.Step, op string, rows int, run func() error) pendingWrite {
	write := pendingWrite{done: make(chan error, 1), op: op, rows: rows, step: step}
	go func() { write.done <- run() }()
	return write
}

// checkOutcome waits for a write and compares the outcome that was reported to the
// caller with its rows in the journal.
func (f *fixture) checkOutcome(write pendingWrite, inst *testInstance, harmless bool) {
	f.t.Helper()
	err := <-write.done
	reported, journalRows := outcome(err), f.journalCount(inst, write.op)
	f.t.Logf("%s: reported as %s (%v), %d rows in the journal", write.step, reported, err, journalRows)
	correct := journalRows == 0 && reported != outcomeCommitted
	correct = correct || journalRows == write.rows && (reported == outcomeCommitted || reported == outcomeUnknown)
	if !correct {
		f.t.Errorf("%s: the write was reported as %s (%v), but the journal has %d of its %d rows", write.step, reported, err, journalRows, write.rows)
	}
	if harmless && reported != outcomeCommitted {
		f.t.Errorf("%s: the write was reported as %s (%v), want %s", write.step, reported, err, outcomeCommitted)
	}
}

func (f *fixture) insert(conn *pgx.Conn, op string) func() error {
	return func() error {
		_, err := conn.Exec(f.ctx, insertOp, op)
		return err
	}
}

// firstServerUse returns the number of connections in use and the number of waiting
// requests of an instance for the first server.
func (f *fixture) firstServerUse(inst *testInstance) [2]int {
	for _, pool := range inst.instance.Status().Pools {
		if pool.Server == f.group.Servers()[0].ID() {
			return [2]int{pool.Busy, pool.Waiting}
		}
	}
	return [2]int{}
}

// TestFaultAtEachStep guards against wrong reported outcomes, duplicate writes, partial
// transactions and lost acknowledged writes, for each fault while there is a request at
// each step.
func TestFaultAtEachStep(t *testing.T) {
	t.Parallel()
	for _, injected := range injections() {
		t.Run(string(injected.fault), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 3, unlimited(), injected.detectTime())
			writes := f.injectDuringRequests(injected)
			if injected.heal != nil {
				injected.heal(f)
			}
			f.await("a write after the fault", func() bool {
				conn, err := f.connect(f.instances[1], "")
				if err != nil {
					return false
				}
				defer conn.Close(context.Background())
				return f.insert(conn, "last")() == nil
			})
			for _, write := range writes {
				f.checkOutcome(write, f.instances[1], injected.harmless)
			}
		})
	}
}

// injectDuringRequests brings writes through the first instance to the steps of a
// request, injects the fault, and then lets the writes continue. The stand-in runs one
// write transaction at a time and the instance uses three slots: one for the open
// transaction, and two for statements that wait in the server. The fourth write waits
// in the queue of the instance.
func (f *fixture) injectDuringRequests(injected injection) []pendingWrite {
	f.t.Helper()
	inst := f.instances[0]
	writes := []pendingWrite{startWrite(faultmatrix.StepAfterAnswer, "after-answer", 1, f.insert(f.mustConnect(inst), "after-answer"))}
	must(f.t, <-writes[0].done)
	// The result is put back for checkOutcome.
	writes[0].done <- nil
	idleConn, transactionDone := f.mustConnect(inst), make(chan struct{})
	tx, err := f.mustConnect(inst).Begin(f.ctx)
	must(f.t, err)
	_, err = tx.Exec(f.ctx, insertOp, "in-transaction")
	must(f.t, err)
	for _, op := range []string{"after-send-1", "after-send-2"} {
		writes = append(writes, startWrite(faultmatrix.StepAfterSend, op, 1, f.insert(f.mustConnect(inst), op)))
	}
	f.await("all slots to be in use", func() bool { return f.firstServerUse(inst) == [2]int{3, 0} })
	writes = append(writes, startWrite(faultmatrix.StepQueueing, "queueing", 1, f.insert(f.mustConnect(inst), "queueing")))
	f.await("a request in the queue", func() bool { return f.firstServerUse(inst) == [2]int{3, 1} })
	injected.inject(f)
	writes = append(writes,
		startWrite(faultmatrix.StepInTransaction, "in-transaction", 2, func() error {
			defer close(transactionDone)
			if _, err := tx.Exec(f.ctx, insertOp, "in-transaction"); err != nil {
				_ = tx.Rollback(context.Background())
				return err
			}
			return tx.Commit(f.ctx)
		}),
		startWrite(faultmatrix.StepBeforeSend, "before-send", 1, f.insert(idleConn, "before-send")),
		startWrite(faultmatrix.StepAuthentication, "authentication", 1, func() error {
			conn, err := f.connect(inst, "")
			if err != nil {
				return &connectError{err}
			}
			defer conn.Close(context.Background())
			return f.insert(conn, "authentication")()
		}))
	<-transactionDone
	return writes
}

// connectError is a failure to connect, before any request was sent.
type connectError struct{ error }

// Unwrap returns the error of the connection attempt.
func (e *connectError) Unwrap() error { return e.error }

// TestFaultBeforeAnswer guards against the same violations as TestFaultAtEachStep, while
// a commit and a single write have taken effect on the primary but are not acknowledged
// yet, because the replicas do not receive them.
func TestFaultBeforeAnswer(t *testing.T) {
	t.Parallel()
	for _, injected := range injections() {
		t.Run(string(injected.fault), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 3, unlimited(), injected.detectTime())
			inst, primary := f.instances[0], f.group.Servers()[0]
			tx, err := f.mustConnect(inst).Begin(f.ctx)
			must(t, err)
			for range 2 {
				_, err = tx.Exec(f.ctx, insertOp, "commit")
				must(t, err)
			}
			singleConn := f.mustConnect(inst)
			logBefore := primary.Status().Log.Log
			f.group.PartitionServer(primary.ID(), true)
			writes := []pendingWrite{startWrite(faultmatrix.StepCommit, "commit", 2, func() error { return tx.Commit(f.ctx) })}
			f.await("the commit on the primary", func() bool { return primary.Status().Log.Log > logBefore })
			writes = append(writes, startWrite(faultmatrix.StepBeforeAnswer, "before-answer", 1, f.insert(singleConn, "before-answer")))
			f.await("the write on the primary, or a promotion", func() bool { return primary.Status().Log.Log > logBefore+1 || f.group.Primary() != primary })
			injected.inject(f)
			if injected.heal != nil {
				injected.heal(f)
			}
			f.group.PartitionServer(primary.ID(), false)
			f.await("a write after the fault", func() bool {
				conn, err := f.connect(f.instances[1], "")
				if err != nil {
					return false
				}
				defer conn.Close(context.Background())
				return f.insert(conn, "last")() == nil
			})
			for _, write := range writes {
				f.checkOutcome(write, f.instances[1], false)
			}
		})
	}
}

// awaitWrite retries a write until it succeeds. It fails the test if the write fails and
// was not reported as not run.
func (f *fixture) awaitWrite(inst *testInstance, op string) {
	f.t.Helper()
	f.await("write of "+op, func() bool {
		conn, err := f.connect(inst, "")
		if err != nil {
			return false
		}
		defer conn.Close(context.Background())
		if err = f.insert(conn, op)(); err != nil && outcome(err) != outcomeNotRun {
			f.t.Fatal(err)
		}
		return err == nil
	})
}

// TestServiceDuringFault guards against a fault that prevents an instance from starting
// or a failed primary from being replaced, or that makes a planned stop abort a
// transaction.
func TestServiceDuringFault(t *testing.T) {
	t.Parallel()
	for _, injected := range injections() {
		t.Run(string(injected.fault), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 3, unlimited(), detectTimeFailover)
			injected.inject(f)
			newInstance := f.start()
			f.awaitWrite(newInstance, "start-up")
			if injected.fault == faultmatrix.FaultPrimaryCrash || injected.fault == faultmatrix.FaultPrimaryCutOff {
				// The next promotion needs a majority, so two of the three servers.
				injected.heal(f)
				must(t, f.group.WaitApplied(f.ctx))
			}
			oldPrimary := f.group.Primary()
			oldPrimary.Crash()
			f.await("promotion", func() bool { return f.group.Primary() != nil && f.group.Primary() != oldPrimary })
			f.awaitWrite(newInstance, "promotion")
			f.awaitWrite(f.instances[1], "before-stop")
			tx, err := f.mustConnect(f.instances[1]).Begin(f.ctx)
			must(t, err)
			_, err = tx.Exec(f.ctx, insertOp, "stop")
			must(t, err)
			stopped := make(chan error, 1)
			go func() { stopped <- f.stop(f.instances[1]) }()
			f.await("the instance to report that it is not ready", func() bool { return !isReady(f, f.instances[1]) })
			must(t, tx.Commit(f.ctx))
			must(t, <-stopped)
			for _, op := range []string{"start-up", "promotion", "stop"} {
				if diff := cmp.Diff(1, f.journalCount(newInstance, op)); diff != "" {
					t.Errorf("journal rows of %s (-want +got):\n%s", op, diff)
				}
			}
		})
	}
}
