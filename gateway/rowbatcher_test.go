//go:build !race

package gateway_test

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/relay"
)

// batchStore records transactions. It rejects the rows in conflicts, and fails all
// transactions while err is set.
type batchStore struct {
	scriptedStore
	mu           sync.Mutex
	conflicts    map[string]feed.Revision
	err          error
	transactions [][]string
}

func (s *batchStore) Write(_ context.Context, writes []gateway.Write) (gateway.WriteResult, error) {
	const maxEntries = 100
	s.mu.Lock()
	defer s.mu.Unlock()
	// Conditions and writes are separate entries of the transaction.
	if 2*len(writes) > maxEntries {
		return gateway.WriteResult{}, &gateway.Error{Err: errors.New("too many entries"), Kind: gateway.KindNotDone, Op: "write"}
	}
	result := gateway.WriteResult{Applied: true, Revision: 100}
	var keys []string
	for _, write := range writes {
		keys = append(keys, write.Key)
		current := gateway.CurrentRow{Row: feed.Row{Key: write.Key, Revision: write.Revision}}
		if revision, found := s.conflicts[write.Key]; found {
			result.Applied = false
			current.Revision = revision
		}
		result.Current = append(result.Current, current)
	}
	s.transactions = append(s.transactions, keys)
	if result.Applied {
		result.Current = nil
	}
	return result, s.err
}

// writeRows writes the rows of the instances i0, i1 and so on at the same time through
// one relay, and returns the results in this order.
func writeRows(t *testing.T, relayInstance *gateway.Gateway, count int, urgent bool) ([]relay.RowWriteResult, []error) {
	t.Helper()
	results, errs := make([]relay.RowWriteResult, count), make([]error, count)
	var calls sync.WaitGroup
	for i := range count {
		calls.Go(func() {
			results[i], errs[i] = relayInstance.WriteRow(context.Background(), relay.RowWrite{
				Key: "i" + strconv.Itoa(i), Partition: "instances-0", Revision: 5, Urgent: urgent, Value: []byte("{}"),
			})
		})
	}
	calls.Wait()
	return results, errs
}

// newRelayInstance returns an instance of which only WriteRow is used.
func newRelayInstance(store gateway.Store) *gateway.Gateway {
	return gateway.New(gateway.Config{Clock: time.Now, Instance: "relay", Store: store})
}

// TestRowBatch guards against heartbeats whose transactions grow with the number of
// instances, against transactions with more entries than the store takes, and against
// one row with a conflict that keeps the others from being written.
func TestRowBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &batchStore{conflicts: map[string]feed.Revision{"i3": 9}}
		results, errs := writeRows(t, newRelayInstance(store), 60, false)
		for i, result := range results {
			want := relay.RowWriteResult{Applied: true, Revision: 100}
			if i == 3 {
				want = relay.RowWriteResult{Current: feed.Row{Key: "i3", Revision: 9}}
			}
			if diff := cmp.Diff(want, result); diff != "" || errs[i] != nil {
				t.Errorf("row %d: error %v, result (-want +got):\n%s", i, errs[i], diff)
			}
		}
		if len(store.transactions) != 3 {
			t.Errorf("%d transactions, want two for all rows and one more without the conflict", len(store.transactions))
		}
	})
}

// TestUrgentRows guards against a change of primary that waits for the next regular
// batch of heartbeats.
func TestUrgentRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &batchStore{}
		started := time.Now()
		if _, errs := writeRows(t, newRelayInstance(store), 20, true); errors.Join(errs...) != nil {
			t.Fatal(errs)
		}
		const bound = 50 * time.Millisecond
		if took := time.Since(started); took > bound {
			t.Errorf("urgent rows took %v, want at most %v", took, bound)
		}
		if len(store.transactions) != 1 {
			t.Errorf("%d transactions, want 1", len(store.transactions))
		}
	})
}

// TestSupersededRow guards against a batch with two writes of one row, which the store
// would reject, and against a failed transaction that is reported as done.
func TestSupersededRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &batchStore{}
		instance := newRelayInstance(store)
		write := relay.RowWrite{Key: "i", Partition: "instances-0", Revision: 5, Value: []byte("1")}
		first := make(chan error, 1)
		go func() {
			_, err := instance.WriteRow(context.Background(), write)
			first <- err
		}()
		synctest.Wait()
		result, err := instance.WriteRow(context.Background(), write)
		if err != nil || !result.Applied {
			t.Errorf("second write: %+v, %v", result, err)
		}
		if err := <-first; err == nil {
			t.Error("the first write is reported as done")
		}
		if diff := cmp.Diff([][]string{{"i"}}, store.transactions); diff != "" {
			t.Errorf("transactions (-want +got):\n%s", diff)
		}
		store.err = errors.New("no answer")
		if _, err := instance.WriteRow(context.Background(), write); err == nil {
			t.Error("a write without an answer of the store is reported as done")
		}
		write.Partition = "primaries"
		if _, err := instance.WriteRow(context.Background(), write); err == nil {
			t.Error("a row in a partition of other rows was written")
		}
	})
}

// TestManyRows guards against a relay that can't write the heartbeats of a large data
// centre within the timeout of its callers, because it waits for more rows although those
// of a whole transaction are there.
func TestManyRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, bound = 200, 1100 * time.Millisecond
		store := &batchStore{}
		instance := newRelayInstance(store)
		for range 2 {
			started := time.Now()
			if _, errs := writeRows(t, instance, count, false); errors.Join(errs...) != nil {
				t.Fatal(errs)
			}
			if took := time.Since(started); took > bound {
				t.Errorf("%d rows took %v, want at most %v", count, took, bound)
			}
		}
		// A batch that is not full waits for more rows.
		started := time.Now()
		writeRows(t, instance, 1, false)
		if took := time.Since(started); took < 700*time.Millisecond {
			t.Errorf("a single row was written after %v", took)
		}
		if len(store.transactions) != 9 {
			t.Errorf("%d transactions, want 9", len(store.transactions))
		}
	})
}

// TestManyUrgentRows guards against a change of primary that waits for the next regular
// batch because more rows are urgent than a transaction takes.
func TestManyUrgentRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, bound, rounds = 110, 100 * time.Millisecond, 20
		instance := newRelayInstance(&batchStore{})
		for range rounds {
			started := time.Now()
			if _, errs := writeRows(t, instance, count, true); errors.Join(errs...) != nil {
				t.Fatal(errs)
			}
			if took := time.Since(started); took > bound {
				t.Errorf("%d urgent rows took %v, want at most %v", count, took, bound)
			}
		}
	})
}
