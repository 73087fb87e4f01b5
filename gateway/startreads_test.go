//go:build !race

package gateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/relay"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// startingFleet is the store and the relay of a number of instances that have just
// started together. All rows are current at each read.
type startingFleet struct {
	instances int
	startedAt time.Time

	mu sync.Mutex
	// ownRow is the row of the instance under test.
	ownRow []byte
	// restarted is true if the first read shows the rows of the instances' earlier runs.
	restarted bool
	// latency is added to each response.
	latency time.Duration
	// sheetReads counts the reads of the sheet from the store.
	sheetReads int
	// relayed counts the relayed answers, and read the calls to the store, about the
	// instances' rows.
	read, relayed int
}

func (s *startingFleet) now() time.Duration { return time.Hour + time.Since(s.startedAt) }

// rows returns the rows of all instances. The caller holds s.mu.
func (s *startingFleet) rows() feed.Snapshot {
	snapshot := feed.Snapshot{Revision: feed.Revision(s.now()), StoreTime: s.now()}
	run := fleet.Epoch(2)
	if s.restarted && s.read == 1 {
		run = 1
	}
	for i := range s.instances {
		row, err := json.Marshal(gateway.MemberRow{Address: "10.0.0.1:1", At: s.now(), Epoch: run, Phase: workspace.PhaseStarting, Secret: []byte{byte(run)}, Since: time.Hour - 4*time.Second*time.Duration(2-run)})
		if err != nil {
			panic(err)
		}
		snapshot.Rows = append(snapshot.Rows, feed.Row{Key: "other-" + strconv.Itoa(i), Revision: snapshot.Revision, Value: row})
	}
	if s.ownRow != nil {
		snapshot.Rows = append(snapshot.Rows, feed.Row{Key: "i", Revision: snapshot.Revision, Value: s.ownRow})
	}
	return snapshot
}

func (s *startingFleet) Read(_ context.Context, table gateway.Table, _ []gateway.Partition) (feed.Snapshot, error) {
	time.Sleep(storeResponseTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if table == sheetTable {
		s.sheetReads++
	}
	if table != instanceTable {
		return feed.Snapshot{Complete: true, Revision: 1, StoreTime: s.now()}, nil
	}
	s.read++
	snapshot := s.rows()
	snapshot.Complete = true
	return snapshot, nil
}

func (s *startingFleet) Changes(ctx context.Context, table gateway.Table, _ feed.Revision, wait time.Duration) (feed.Snapshot, error) {
	s.mu.Lock()
	latency := s.latency
	s.mu.Unlock()
	time.Sleep(storeResponseTime + latency + wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	if table != instanceTable {
		return feed.Snapshot{Revision: 1, StoreTime: s.now()}, ctx.Err()
	}
	s.read++
	return s.rows(), ctx.Err()
}

func (s *startingFleet) Write(_ context.Context, writes []gateway.Write) (gateway.WriteResult, error) {
	time.Sleep(storeResponseTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if writes[0].Key != "i" {
		return gateway.WriteResult{}, errors.New("another instance is the leader")
	}
	s.ownRow = writes[0].Value
	return gateway.WriteResult{Applied: true, Revision: feed.Revision(s.now())}, nil
}

// fleetRelay is the relay of a startingFleet.
type fleetRelay struct{ *startingFleet }

func (r fleetRelay) Changes(ctx context.Context, _ string, secret []byte, request relay.Request, _ func(string) feed.RowVersion) (feed.Snapshot, error) {
	if !slices.Equal(secret, []byte{2}) {
		return feed.Snapshot{}, &relay.Error{Err: errors.New("the secret is not that of this instance"), Kind: relay.KindUnauthorized, Op: "changes"}
	}
	if request.Wait {
		time.Sleep(200 * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if request.Table != string(instanceTable) {
		return feed.Snapshot{Complete: true, Revision: 1, StoreTime: r.now()}, ctx.Err()
	}
	r.relayed++
	snapshot := r.rows()
	snapshot.Complete = request.After == 0
	return snapshot, ctx.Err()
}

func (r fleetRelay) WriteRow(ctx context.Context, _ string, _ []byte, write relay.RowWrite) (relay.RowWriteResult, error) {
	result, err := r.Write(ctx, []gateway.Write{{Key: write.Key, Value: write.Value}})
	return relay.RowWriteResult{Applied: result.Applied, Revision: result.Revision}, err
}

// TestStartReadsThroughRelay guards against a simultaneous start at which each instance
// reads the rows of all others from the store at short intervals, which grows with the
// square of the instances, and against small deployments that wait for a relay.
func TestStartReadsThroughRelay(t *testing.T) {
	for _, test := range []struct {
		instances, maxReads int
		wantRelayed         bool
	}{{instances: 299, maxReads: 2, wantRelayed: true}, {instances: 8, maxReads: 40}} {
		t.Run(strconv.Itoa(test.instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &startingFleet{instances: test.instances, startedAt: time.Now()}
				runGateway(t, s, time.Now, fleetRelay{s})
				const observed = 4 * time.Second
				time.Sleep(observed)
				s.mu.Lock()
				defer s.mu.Unlock()
				t.Logf("%d other instances, in the first 4 s: %d reads of the rows from the store, %d from the relay", test.instances, s.read, s.relayed)
				if s.read > test.maxReads || (s.relayed > 3) != test.wantRelayed {
					t.Errorf("%d reads from the store, want at most %d; %d from the relay, want more than 3: %t", s.read, test.maxReads, s.relayed, test.wantRelayed)
				}
				var row gateway.MemberRow
				if err := json.Unmarshal(s.ownRow, &row); err != nil || row.Phase != workspace.PhaseHolding {
					t.Errorf("phase %q after %v, error %v; want %q", row.Phase, observed, err, workspace.PhaseHolding)
				}
			})
		})
	}
}

// TestRestartOfAllInstances guards against instances that read all tables from the store,
// and go on doing so for seconds, because the row of their relay is that of its earlier
// run.
func TestRestartOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &startingFleet{instances: 299, restarted: true, startedAt: time.Now()}
		runGateway(t, s, time.Now, fleetRelay{s})
		const observed = 2500 * time.Millisecond
		time.Sleep(observed)
		s.mu.Lock()
		defer s.mu.Unlock()
		// The rows of the instances are read once to find the relay, and once more to find
		// its new secret.
		if s.sheetReads != 0 || s.read > 2 || s.relayed == 0 {
			t.Errorf("%d reads of the sheet and %d of the rows from the store, %d of the rows from the relay; want none, at most 2 and some", s.sheetReads, s.read, s.relayed)
		}
	})
}

// TestReadersOfSlowStore guards against instances that start together and all read a slow
// store themselves, because their relay does not answer while it waits for the store.
func TestReadersOfSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &startingFleet{instances: 20, startedAt: time.Now()}
		recorder := event.New("i", 1, time.Now, event.NewLogger(io.Discard, "json", event.LevelError), 16)
		g := gateway.New(gateway.Config{
			Clock: time.Now, Epoch: 8, Instance: "i", Log: gateway.NewLog(recorder, 1),
			Settings: gateway.Settings{KeyLease: time.Second}, Source: emptySource{}, Store: s,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = g.Run(ctx)
		}()
		defer func() {
			cancel()
			<-done
		}()
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		// The relay's own call has a timeout of 900 ms.
		s.latency = 800 * time.Millisecond
		s.mu.Unlock()
		// The caller's timeout is the interval of a start, 400 ms, and the grace of 500 ms.
		const callTimeout = 900 * time.Millisecond
		for last, calls := time.Duration(0), 0; calls < 10; calls++ {
			callCtx, cancelCall := context.WithTimeout(ctx, callTimeout)
			snapshot, err := g.ReadChanges(callCtx, relay.Request{After: 1, StoreTime: last, Table: string(instanceTable), Wait: true})
			cancelCall()
			if err != nil || snapshot.StoreTime < last {
				t.Fatalf("call %d: error %v, store time %v after %v", calls, err, snapshot.StoreTime, last)
			}
			last = snapshot.StoreTime
		}
	})
}

// TestWaitingReaders guards against a start that takes longer because the relay reads the
// rows at its regular interval while others wait, and against waiting readers that make
// it read the store all the time.
func TestWaitingReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &startingFleet{instances: 20, startedAt: time.Now()}
		recorder := event.New("i", 1, time.Now, event.NewLogger(io.Discard, "json", event.LevelError), 16)
		g := gateway.New(gateway.Config{
			Clock: time.Now, Epoch: 8, Instance: fleet.InstanceID("i"), Log: gateway.NewLog(recorder, 1),
			Settings: gateway.Settings{KeyLease: time.Second}, Source: emptySource{}, Store: s,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = g.Run(ctx)
		}()
		defer func() {
			cancel()
			<-done
		}()
		// By then the instance holds shares and reads at its regular interval.
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		readBefore := s.read
		s.mu.Unlock()
		const observed = 3 * time.Second
		answers, started := 0, time.Now()
		for last := time.Duration(0); time.Since(started) < observed; {
			callCtx, cancelCall := context.WithTimeout(ctx, time.Second)
			snapshot, err := g.ReadChanges(callCtx, relay.Request{After: 1, StoreTime: last, Table: string(instanceTable), Wait: true})
			cancelCall()
			if err != nil && !errors.Is(err, context.DeadlineExceeded) {
				t.Fatal(err)
			}
			if err == nil {
				last = snapshot.StoreTime
				answers++
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		// A read each 400 ms, and a few more at the regular interval.
		const minAnswers, maxReads = 6, 16
		if answers < minAnswers || s.read-readBefore > maxReads {
			t.Errorf("%d answers and %d reads in %v, want at least %d and at most %d", answers, s.read-readBefore, observed, minAnswers, maxReads)
		}
	})
}
