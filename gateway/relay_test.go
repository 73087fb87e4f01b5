package gateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/relay"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// outageStore serves the initial read of each table and fails all calls for changes. It
// adds the row of another instance, which becomes the relay of the instance under
// test, named i.
type outageStore struct {
	*restartStore
	// calls gets an element for each call for changes of the sheet.
	calls chan gateway.Table
	relay fleet.InstanceID
}

func (s *outageStore) Read(ctx context.Context, table gateway.Table, partitions []gateway.Partition) (feed.Snapshot, error) {
	snapshot, err := s.restartStore.Read(ctx, table, partitions)
	if err != nil || table != instanceTable {
		return snapshot, err
	}
	row, err := json.Marshal(gateway.MemberRow{Address: "10.0.0.1:1", At: time.Hour, Epoch: 1, Phase: workspace.PhaseHolding})
	snapshot.Rows = append(snapshot.Rows, feed.Row{Key: string(s.relay), Revision: 4, Value: row})
	return snapshot, err
}

func (s *outageStore) Changes(ctx context.Context, table gateway.Table, _ feed.Revision, _ time.Duration) (feed.Snapshot, error) {
	if table == sheetTable {
		select {
		case s.calls <- table:
		case <-ctx.Done():
		}
	}
	return feed.Snapshot{}, errors.New("no answer")
}

// scriptedRelay hands each request for the sheet to the test, which sends the result.
// Without an error, the response is one second newer than the request's copy.
type scriptedRelay struct {
	requests chan relay.Request
	results  chan error
}

func (r *scriptedRelay) Changes(ctx context.Context, _ string, _ []byte, request relay.Request, _ func(string) feed.RowVersion) (feed.Snapshot, error) {
	if request.Table != string(sheetTable) {
		return feed.Snapshot{}, errors.New("not followed")
	}
	select {
	case r.requests <- request:
	case <-ctx.Done():
		return feed.Snapshot{}, ctx.Err()
	}
	select {
	case err := <-r.results:
		return feed.Snapshot{Revision: 6, StoreTime: request.StoreTime + time.Second}, err
	case <-ctx.Done():
		return feed.Snapshot{}, ctx.Err()
	}
}

func (r *scriptedRelay) WriteRow(context.Context, string, []byte, relay.RowWrite) (relay.RowWriteResult, error) {
	return relay.RowWriteResult{}, errors.New("not written")
}

// next returns the next request, and fails the test if none arrives in time.
func (r *scriptedRelay) next(t *testing.T) relay.Request {
	t.Helper()
	const bound = 30 * time.Second
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case request := <-r.requests:
		return request
	case <-timer.C:
		t.Fatalf("no request to the relay within %v", bound)
		return relay.Request{}
	}
}

// TestRelayWhileStoreIsAway guards against instances with a relay that all keep
// calling a store that is down, and against ones that notice its recovery later than
// their relay.
func TestRelayWhileStoreIsAway(t *testing.T) {
	relayID := fleet.InstanceID("j")
	for fleet.Owners("relay", []fleet.InstanceID{"i", relayID}, 1)[0] != relayID {
		relayID += "j"
	}
	s := &outageStore{
		restartStore: &restartStore{now: time.Unix(1_000_000, 0), written: make(chan gateway.MemberRow, 1)},
		calls:        make(chan gateway.Table, 10),
		relay:        relayID,
	}
	r := &scriptedRelay{requests: make(chan relay.Request), results: make(chan error)}
	runGateway(t, s, s.clock, r)
	// The store is called once, before or after the first request to the relay.
	// After that only the relay is polled, until it has a response.
	for asked := 0; asked < 2; {
		if request := r.next(t); !request.Wait {
			asked++
		}
		r.results <- errors.New("not from the store")
	}
	r.next(t)
	r.results <- nil
	if request := r.next(t); !request.Wait {
		t.Error("the first request after the relay has recovered is not a long poll")
	}
	r.results <- nil
	if got := len(s.calls); got != 1 {
		t.Errorf("%d calls to the store, want 1", got)
	}
}
