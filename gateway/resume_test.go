package gateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/workspace"
)

const instanceTable gateway.Table = "nutmegpier-instances"

// restartStore holds the row of an earlier run of the instance. The first writes
// fail, and each write advances the test's clock.
type restartStore struct {
	scriptedStore
	// failures is the number of writes that are still to fail.
	failures     int
	writeLatency time.Duration
	// written gets the row of the first successful write.
	written chan gateway.MemberRow

	clockMu sync.Mutex
	now     time.Time
}

func (s *restartStore) clock() time.Time {
	s.clockMu.Lock()
	defer s.clockMu.Unlock()
	return s.now
}

func (s *restartStore) advance(span time.Duration) {
	s.clockMu.Lock()
	defer s.clockMu.Unlock()
	s.now = s.now.Add(span)
}

func (s *restartStore) Read(_ context.Context, table gateway.Table, _ []gateway.Partition) (feed.Snapshot, error) {
	snapshot := feed.Snapshot{Complete: true, Revision: 5, StoreTime: time.Hour}
	if table == instanceTable {
		row, err := json.Marshal(gateway.MemberRow{At: time.Hour - time.Second, Epoch: 7, Phase: workspace.PhaseHolding, Since: time.Minute})
		if err != nil {
			return snapshot, err
		}
		snapshot.Rows = []feed.Row{{Key: "i", Revision: 4, Value: row}}
	}
	return snapshot, nil
}

func (s *restartStore) Write(_ context.Context, writes []gateway.Write) (gateway.WriteResult, error) {
	if writes[0].Key != "i" {
		return gateway.WriteResult{}, errors.New("not the row of the instance under test")
	}
	s.advance(s.writeLatency)
	if s.failures > 0 {
		s.failures--
		return gateway.WriteResult{}, errors.New("no answer")
	}
	var row gateway.MemberRow
	if err := json.Unmarshal(writes[0].Value, &row); err != nil {
		return gateway.WriteResult{}, err
	}
	select {
	case s.written <- row:
	default:
	}
	return gateway.WriteResult{Applied: true, Revision: 6}, nil
}

// TestRestartTakesOverOwnRow guards against a restarted instance that does not use its
// shares of the rate limits for seconds, and against one that uses them although its
// row has expired in the meantime, so that other instances hold them too.
func TestRestartTakesOverOwnRow(t *testing.T) {
	for _, test := range []struct {
		name         string
		failures     int
		writeLatency time.Duration
		want         workspace.Phase
	}{
		{name: "at once", want: workspace.PhaseHolding},
		{name: "after 5 s without an answer", failures: 1, writeLatency: 5 * time.Second, want: workspace.PhaseStarting},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &restartStore{failures: test.failures, now: time.Unix(1_000_000, 0), writeLatency: test.writeLatency, written: make(chan gateway.MemberRow, 1)}
			runGateway(t, s, s.clock, nil)
			if diff := cmp.Diff(test.want, (<-s.written).Phase); diff != "" {
				t.Errorf("phase of the first row (-want +got):\n%s", diff)
			}
		})
	}
}
