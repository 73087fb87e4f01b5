//go:build !race

package gateway_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/gateway"
)

// storeLatency is the time that the memory store takes for each call.
const storeLatency = 4 * time.Millisecond

// slowLatency is the additional time of responses for a slow table.
const slowLatency = 500 * time.Millisecond

// memoryStore is a store in memory, whose clock starts at an hour.
type memoryStore struct {
	startedAt time.Time

	mu       sync.Mutex
	changed  chan struct{}
	revision feed.Revision
	rows     map[gateway.Table]map[string]storedRow
}

type storedRow struct {
	feed.Row
	partition gateway.Partition
}

func newMemoryStore() *memoryStore {
	return &memoryStore{startedAt: time.Now().Add(-time.Hour), changed: make(chan struct{}), rows: map[gateway.Table]map[string]storedRow{}}
}

// connect returns the store as one instance reaches it.
func (s *memoryStore) connect() *storeLink {
	return &storeLink{store: s}
}

func (s *memoryStore) put(table gateway.Table, key string, value []byte) {
	s.putIn("", table, key, value)
}

func (s *memoryStore) putIn(partition gateway.Partition, table gateway.Table, key string, value []byte) {
	_, _ = s.write([]gateway.Write{{Key: key, Partition: partition, Table: table, Value: value}}, false)
}

func (s *memoryStore) write(writes []gateway.Write, conditional bool) (gateway.WriteResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := gateway.WriteResult{Applied: true}
	for _, w := range writes {
		current := s.rows[w.Table][w.Key].Row
		current.Key = w.Key
		if current.Deleted {
			// A row that was deleted does not exist.
			current.Revision = 0
		}
		result.Applied = result.Applied && (!conditional || current.Revision == w.Revision)
		result.Current = append(result.Current, gateway.CurrentRow{Row: current, Table: w.Table})
	}
	if !result.Applied {
		return result, nil
	}
	s.revision++
	for _, w := range writes {
		if s.rows[w.Table] == nil {
			s.rows[w.Table] = map[string]storedRow{}
		}
		s.rows[w.Table][w.Key] = storedRow{partition: w.Partition, Row: feed.Row{Deleted: w.Remove, Key: w.Key, Revision: s.revision, Value: w.Value}}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return gateway.WriteResult{Applied: true, Revision: s.revision}, nil
}

// snapshot returns the rows after a revision, and a channel that is closed at the next
// change.
func (s *memoryStore) snapshot(table gateway.Table, after feed.Revision, partitions []gateway.Partition) (feed.Snapshot, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := feed.Snapshot{Revision: s.revision, StoreTime: time.Since(s.startedAt)}
	for _, row := range s.rows[table] {
		if row.Revision > after && (len(partitions) == 0 || slices.Contains(partitions, row.partition)) {
			snapshot.Rows = append(snapshot.Rows, row.Row)
		}
	}
	return snapshot, s.changed
}

// storeLink is the connection of one instance to the store. Its faults below mu affect
// only the sheet, so that leases on primaries and limits, which depend on other tables, hide no
// failure of the check of keys.
type storeLink struct {
	store *memoryStore

	// slowTable is a table whose responses take slowLatency more.
	slowTable gateway.Table

	mu sync.Mutex
	// delay is added to the way of each response, also after the call has timed out, as
	// if the instance had been suspended meanwhile.
	delay time.Duration
	// refused makes all calls fail at once, and silent makes them get no response.
	refused, silent bool
}

// set changes the state of the link.
func (l *storeLink) set(change func(*storeLink)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

// transmit stands for the way of a request or response.
func (l *storeLink) transmit(ctx context.Context, table gateway.Table, response bool) error {
	time.Sleep(storeLatency / 2)
	if response && table == l.slowTable {
		time.Sleep(slowLatency)
	}
	if table != sheetTable {
		return nil
	}
	l.mu.Lock()
	delay, refused, silent := l.delay, l.refused, l.silent
	l.mu.Unlock()
	if response {
		time.Sleep(delay)
	}
	if silent {
		<-ctx.Done()
	}
	if refused || silent {
		return &gateway.Error{Err: errors.New("no response"), Kind: gateway.KindUnknown, Op: "call"}
	}
	return nil
}

func (l *storeLink) Changes(ctx context.Context, table gateway.Table, after feed.Revision, wait time.Duration) (feed.Snapshot, error) {
	if err := l.transmit(ctx, table, false); err != nil {
		return feed.Snapshot{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		snapshot, changed := l.store.snapshot(table, after, nil)
		if len(snapshot.Rows) > 0 || expired {
			return snapshot, l.transmit(ctx, table, true)
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return feed.Snapshot{}, ctx.Err()
		}
	}
}

func (l *storeLink) Read(ctx context.Context, table gateway.Table, partitions []gateway.Partition) (feed.Snapshot, error) {
	if err := l.transmit(ctx, table, false); err != nil {
		return feed.Snapshot{}, err
	}
	snapshot, _ := l.store.snapshot(table, 0, partitions)
	snapshot.Complete = true
	snapshot.Rows = slices.DeleteFunc(snapshot.Rows, func(row feed.Row) bool { return row.Deleted })
	return snapshot, l.transmit(ctx, table, true)
}

func (l *storeLink) Write(ctx context.Context, writes []gateway.Write) (gateway.WriteResult, error) {
	if err := l.transmit(ctx, writes[0].Table, false); err != nil {
		return gateway.WriteResult{}, err
	}
	result, err := l.store.write(writes, true)
	if err != nil {
		return result, err
	}
	return result, l.transmit(ctx, writes[0].Table, true)
}
