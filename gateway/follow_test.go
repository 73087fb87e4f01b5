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

// source knows no sheet and no servers.
type source struct{}

func (source) Server(feed.Row) (gateway.BackendServer, error) {
	return gateway.BackendServer{}, errors.New("no servers")
}
func (source) ServerTable() gateway.Table { return serverTable }
func (source) Sheet(map[string]feed.Row) (gateway.SheetUpdate, bool, error) {
	return gateway.SheetUpdate{}, false, nil
}
func (source) SheetTable() gateway.Table { return sheetTable }

// store is empty. Each call for changes of the watched table is shown to the
// test, which says how it ends.
type store struct {
	watched gateway.Table
	waits   chan time.Duration
	results chan error

	mu       sync.Mutex
	revision feed.Revision
}

func (s *store) Changes(ctx context.Context, table gateway.Table, _ feed.Revision, wait time.Duration) (feed.Snapshot, error) {
	if table == s.watched {
		select {
		case s.waits <- wait:
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

func (s *store) Read(context.Context, gateway.Table, []gateway.Partition) (feed.Snapshot, error) {
	return feed.Snapshot{Complete: true}, nil
}

func (s *store) Write(context.Context, []gateway.Write) (gateway.WriteResult, error) {
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
		RelayClient: relays, Settings: gateway.Settings{KeyLease: time.Second}, Source: source{}, Store: store,
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

// TestFirstCallAfterLossIsAnsweredAtOnce guards against an instance that waits
// for a change before it has a proof again: after the store was away for 6 s,
// primaries were not used for 5 s more.
func TestFirstCallAfterLossIsAnsweredAtOnce(t *testing.T) {
	for _, table := range []gateway.Table{sheetTable, serverTable, "nutmegpier-primaries"} {
		t.Run(string(table), func(t *testing.T) {
			s := &store{watched: table, waits: make(chan time.Duration), results: make(chan error)}
			runGateway(t, s, time.Now, nil)
			var waited []bool
			for _, result := range []error{nil, errors.New("lost"), nil, nil} {
				waited = append(waited, <-s.waits > 0)
				s.results <- result
			}
			if diff := cmp.Diff([]bool{true, true, false, true}, waited); diff != "" {
				t.Errorf("calls that wait for a change (-want +got):\n%s", diff)
			}
		})
	}
}
