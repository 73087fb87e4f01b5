//go:build !race

package gateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/relay"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// storeResponseTime is the time that compactedStore takes for a response.
const storeResponseTime = 4 * time.Millisecond

// compactedStore has no history, so that each call for changes fails. It records when
// the sheet is read.
type compactedStore struct {
	scriptedStore
	relay     fleet.InstanceID
	startedAt time.Time

	mu         sync.Mutex
	sheetReads []time.Duration
}

// now returns the store's time.
func (s *compactedStore) now() time.Duration { return time.Hour + time.Since(s.startedAt) }

func (s *compactedStore) Read(_ context.Context, table gateway.Table, _ []gateway.Partition) (feed.Snapshot, error) {
	time.Sleep(storeResponseTime)
	snapshot := feed.Snapshot{Complete: true, Revision: 5, StoreTime: s.now()}
	if table == instanceTable {
		row, err := json.Marshal(gateway.MemberRow{Address: "10.0.0.1:1", At: s.now(), Epoch: 1, Phase: workspace.PhaseHolding})
		snapshot.Rows = []feed.Row{{Key: string(s.relay), Revision: 4, Value: row}}
		return snapshot, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if table == sheetTable {
		s.sheetReads = append(s.sheetReads, time.Since(s.startedAt))
	}
	return snapshot, nil
}

func (s *compactedStore) Changes(context.Context, gateway.Table, feed.Revision, time.Duration) (feed.Snapshot, error) {
	time.Sleep(storeResponseTime)
	return feed.Snapshot{}, &gateway.Error{Kind: gateway.KindHistory, Op: "changes"}
}

// interruptedRelay serves whole tables, and then fails from 1 s on for the given time.
type interruptedRelay struct {
	store     *compactedStore
	failsFor  time.Duration
	startedAt time.Time
}

func (r *interruptedRelay) Changes(ctx context.Context, _ string, _ []byte, request relay.Request, _ func(string) feed.RowVersion) (feed.Snapshot, error) {
	if request.Wait {
		time.Sleep(500 * time.Millisecond)
	}
	if age := time.Since(r.startedAt); age >= time.Second && age < time.Second+r.failsFor {
		return feed.Snapshot{}, errors.New("no answer")
	}
	return feed.Snapshot{Complete: request.After == 0, Revision: 5, StoreTime: r.store.now()}, ctx.Err()
}

func (r *interruptedRelay) WriteRow(context.Context, string, []byte, relay.RowWrite) (relay.RowWriteResult, error) {
	return relay.RowWriteResult{}, errors.New("not written")
}

// TestLostHistoryIsReadByRelay guards against instances that all read the whole tables
// when the store has lost its history and their relay is slow, and against one that
// waits for its relay until its leases have ended.
func TestLostHistoryIsReadByRelay(t *testing.T) {
	relayID := fleet.InstanceID("j")
	for fleet.Owners("relay", []fleet.InstanceID{"i", relayID}, 1)[0] != relayID {
		relayID += "j"
	}
	for _, test := range []struct {
		name      string
		failsFor  time.Duration
		wantReads bool
	}{
		// An instance waits for 2.5 to 3 s after the last response at 0.5 s, and asks the
		// relay every 250 ms.
		{name: "relay is back in time", failsFor: 1700 * time.Millisecond},
		{name: "relay is gone", failsFor: time.Hour, wantReads: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &compactedStore{relay: relayID, startedAt: time.Now()}
				runGateway(t, s, time.Now, &interruptedRelay{store: s, failsFor: test.failsFor, startedAt: time.Now()})
				const observed = 5500 * time.Millisecond
				time.Sleep(observed)
				s.mu.Lock()
				defer s.mu.Unlock()
				// The last response of the relay came before 1 s. The lease of 4.5 s leaves
				// time for the read.
				const deadline = time.Second + 3500*time.Millisecond
				if test.wantReads != (len(s.sheetReads) > 0) {
					t.Errorf("reads of the sheet at %v, want any: %t", s.sheetReads, test.wantReads)
				}
				if test.wantReads && len(s.sheetReads) > 0 && slices.Min(s.sheetReads) > deadline {
					t.Errorf("the sheet was first read at %v, after %v", slices.Min(s.sheetReads), deadline)
				}
			})
		})
	}
}
