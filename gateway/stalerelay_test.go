//go:build !race

package gateway_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/relay"
)

// relayOf returns the name of an instance that is the relay of the instance "i".
func relayOf() fleet.InstanceID {
	id := fleet.InstanceID("j")
	for fleet.Owners("relay", []fleet.InstanceID{"i", id}, 1)[0] != id {
		id += "j"
	}
	return id
}

// sheetSource records whether a sheet with rows was seen.
type sheetSource struct {
	emptySource
	seen atomic.Bool
}

func (s *sheetSource) Sheet(rows map[string]feed.Row) (gateway.SheetUpdate, bool, error) {
	if len(rows) > 0 {
		s.seen.Store(true)
	}
	return gateway.SheetUpdate{}, false, nil
}

// sameTimeRelay is an interruptedRelay. From its return on it has a row of the sheet that
// was written in the millisecond of its last answer before.
type sameTimeRelay struct {
	interruptedRelay
	mu       sync.Mutex
	answered bool
	last     time.Duration
}

func (r *sameTimeRelay) Changes(ctx context.Context, address string, secret []byte, request relay.Request, known func(string) feed.RowVersion) (feed.Snapshot, error) {
	snapshot, err := r.interruptedRelay.Changes(ctx, address, secret, request, known)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil || request.Table != string(sheetTable):
	case time.Since(r.startedAt) < time.Second:
		r.last = snapshot.StoreTime
	default:
		snapshot.Revision = 6
		if request.After < 6 {
			snapshot.Rows = []feed.Row{{Key: "sheet", Revision: 6}}
		}
		if !r.answered {
			snapshot.StoreTime, r.answered = r.last, true
		}
	}
	return snapshot, err
}

// TestChangeInSameMillisecond guards against a version of the configuration that comes
// into force only with the next one, because the relay's answer with it has the store time
// of the last answer before the store lost its history.
func TestChangeInSameMillisecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &compactedStore{relay: relayOf(), startedAt: time.Now()}
		source := &sheetSource{}
		recorder := event.New("i", 1, time.Now, event.NewLogger(io.Discard, "json", event.LevelError), 16)
		g := gateway.New(gateway.Config{
			Clock: time.Now, Epoch: 8, Instance: "i", Log: gateway.NewLog(recorder, 1),
			RelayClient: &sameTimeRelay{interruptedRelay: interruptedRelay{store: s, failsFor: 1500 * time.Millisecond, startedAt: time.Now()}},
			Settings:    gateway.Settings{KeyLease: time.Second}, Source: source, Store: s,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = g.Run(ctx)
		}()
		time.Sleep(5 * time.Second)
		cancel()
		<-done
		if !source.seen.Load() {
			t.Error("the row was not applied")
		}
	})
}

// repeatingRelay repeats its answer of 1 s later on.
type repeatingRelay struct {
	store     *compactedStore
	startedAt time.Time
}

func (r *repeatingRelay) Changes(ctx context.Context, _ string, _ []byte, request relay.Request, _ func(string) feed.RowVersion) (feed.Snapshot, error) {
	if request.Wait {
		time.Sleep(500 * time.Millisecond)
	}
	storeTime := min(r.store.now(), time.Hour+time.Second)
	return feed.Snapshot{Complete: request.After == 0, Revision: 5, StoreTime: storeTime}, ctx.Err()
}

func (r *repeatingRelay) WriteRow(context.Context, string, []byte, relay.RowWrite) (relay.RowWriteResult, error) {
	return relay.RowWriteResult{Applied: true, Revision: 5}, nil
}

// readStore is a compactedStore with history that records when each table is read.
type readStore struct {
	compactedStore
	reads map[gateway.Table][]time.Duration
}

func (s *readStore) Changes(_ context.Context, table gateway.Table, _ feed.Revision, wait time.Duration) (feed.Snapshot, error) {
	s.mu.Lock()
	s.reads[table] = append(s.reads[table], time.Since(s.startedAt))
	s.mu.Unlock()
	time.Sleep(storeLatency + wait)
	return feed.Snapshot{Revision: 5, StoreTime: s.now()}, nil
}

// Write writes no leader's row, so that only the relay's reader reads the instances' rows.
func (s *readStore) Write(_ context.Context, writes []gateway.Write) (gateway.WriteResult, error) {
	if writes[0].Key == ".leader" {
		return gateway.WriteResult{}, errors.New("another instance is the leader")
	}
	return gateway.WriteResult{Applied: true, Revision: 5}, nil
}

// TestRepeatingRelay guards against an instance whose leases end because its relay goes
// on sending an old answer: its own calls to the store hang, or its loop is blocked.
func TestRepeatingRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &readStore{compactedStore: compactedStore{relay: relayOf(), startedAt: time.Now()}, reads: map[gateway.Table][]time.Duration{}}
		runGateway(t, s, time.Now, &repeatingRelay{store: &s.compactedStore, startedAt: time.Now()})
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		// The lease of 4.5 s leaves time for the read.
		const deadline = time.Second + 4*time.Second
		for _, table := range []gateway.Table{instanceTable, sheetTable, serverTable, "nutmegpier-primaries"} {
			inTime := false
			for _, at := range s.reads[table] {
				inTime = inTime || (at > time.Second && at <= deadline)
			}
			if !inTime {
				t.Errorf("%s was read from the store at %v, want after 1 s and until %v", table, s.reads[table], deadline)
			}
		}
	})
}

// busyRelay tells each reader to ask again later.
type busyRelay struct{ repeatingRelay }

func (*busyRelay) Changes(context.Context, string, []byte, relay.Request, func(string) feed.RowVersion) (feed.Snapshot, error) {
	return feed.Snapshot{}, &relay.Error{Err: errors.New("busy"), Kind: relay.KindRefused, Op: "changes", RetryAfter: 2400 * time.Millisecond}
}

// TestBusyRelayAtStart guards against an instance that asks a relay which is sending whole
// tables to others for twice the time that it has, because it is told to return late.
func TestBusyRelayAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &compactedStore{relay: relayOf(), startedAt: time.Now()}
		runGateway(t, s, time.Now, &busyRelay{})
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		// The relay is asked for 2.5 s after the instance knows it.
		const deadline = 3 * time.Second
		if len(s.sheetReads) == 0 || s.sheetReads[0] > deadline {
			t.Errorf("the sheet was read at %v, want until %v", s.sheetReads, deadline)
		}
	})
}
