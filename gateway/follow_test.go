package gateway_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/session"
)

const (
	sheetTable  gateway.Table = "sheet"
	serverTable gateway.Table = "servers"
)

// emptySource finds no sheet and rejects all server entries.
type emptySource struct{}

func (emptySource) Server(feed.Row) (gateway.BackendServer, error) {
	return gateway.BackendServer{}, errors.New("no servers")
}
func (emptySource) ServerTable() gateway.Table { return serverTable }
func (emptySource) Sheet(map[string]feed.Row) (gateway.SheetUpdate, bool, error) {
	return gateway.SheetUpdate{}, false, nil
}
func (emptySource) SheetTable() gateway.Table { return sheetTable }

// scriptedStore is an empty store. The test receives the wait of each call for changes
// of one table, and sends the result of the call. Calls for changes of other tables
// block until they are cancelled.
type scriptedStore struct {
	scriptedTable gateway.Table
	longPollWaits chan time.Duration
	results       chan error

	mu       sync.Mutex
	revision feed.Revision
}

func (s *scriptedStore) Changes(ctx context.Context, table gateway.Table, _ feed.Revision, wait time.Duration) (feed.Snapshot, error) {
	if table == s.scriptedTable {
		select {
		case s.longPollWaits <- wait:
		case <-ctx.Done():
			return feed.Snapshot{}, ctx.Err()
		}
		select {
		case err := <-s.results:
			return feed.Snapshot{}, err
		case <-ctx.Done():
			return feed.Snapshot{}, ctx.Err()
		}
	}
	<-ctx.Done()
	return feed.Snapshot{}, ctx.Err()
}

func (s *scriptedStore) Read(context.Context, gateway.Table, []gateway.Partition) (feed.Snapshot, error) {
	return feed.Snapshot{Complete: true}, nil
}

func (s *scriptedStore) Write(context.Context, []gateway.Write) (gateway.WriteResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	return gateway.WriteResult{Applied: true, Revision: s.revision}, nil
}

// runGateway runs an instance named i until the test ends.
func runGateway(t *testing.T, store gateway.Store, clock session.Clock, relays gateway.RelayClient) {
	t.Helper()
	recorder := event.New("i", 1, time.Now, event.NewLogger(io.Discard, "json", event.LevelError), 16)
	g := gateway.New(gateway.Config{
		Clock: clock, Epoch: 8, Instance: "i", Log: gateway.NewLog(recorder, 1),
		RelayClient: relays, Settings: gateway.Settings{KeyLease: time.Second}, Source: emptySource{}, Store: store,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// TestFirstCallAfterLossIsAnsweredAtOnce guards against an instance whose first call
// after a store outage is a long poll, so that its leases are renewed only at the
// next change: after an outage of 6 s, primaries were not used for 5 s more.
func TestFirstCallAfterLossIsAnsweredAtOnce(t *testing.T) {
	for _, table := range []gateway.Table{sheetTable, serverTable, "nutmegpier-primaries"} {
		t.Run(string(table), func(t *testing.T) {
			s := &scriptedStore{scriptedTable: table, longPollWaits: make(chan time.Duration), results: make(chan error)}
			runGateway(t, s, time.Now, nil)
			var waited []bool
			for _, result := range []error{nil, errors.New("lost"), nil, nil} {
				waited = append(waited, <-s.longPollWaits > 0)
				s.results <- result
			}
			if diff := cmp.Diff([]bool{true, true, false, true}, waited); diff != "" {
				t.Errorf("whether each call is a long poll (-want +got):\n%s", diff)
			}
		})
	}
}
