//go:build !race

package gateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
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

// fleetStore is an in-memory store that counts its calls and the bytes of its rows.
type fleetStore struct {
	startedAt time.Time

	mu        sync.Mutex
	bytes     int
	calls     map[string]int
	changed   chan struct{}
	compacted feed.Revision
	history   []fleetRow
	revision  feed.Revision
	rows      map[string]fleetRow
}

// fleetRow is a row of a fleetStore.
type fleetRow struct {
	feed.Row
	partition gateway.Partition
	table     gateway.Table
}

func newFleetStore() *fleetStore {
	return &fleetStore{calls: map[string]int{}, changed: make(chan struct{}), revision: 1, rows: map[string]fleetRow{}, startedAt: time.Now()}
}

// answer counts a call and returns the rows. The caller holds s.mu.
func (s *fleetStore) answer(call string, rows []feed.Row) feed.Snapshot {
	s.calls[call]++
	for _, row := range rows {
		// The value is in base64, and the other fields of the row take about 100 bytes.
		s.bytes += len(row.Value)*4/3 + 100
	}
	return feed.Snapshot{Revision: s.revision, Rows: rows, StoreTime: time.Hour + time.Since(s.startedAt)}
}

// put writes a row. The caller holds s.mu.
func (s *fleetStore) put(row fleetRow) {
	row.Revision = s.revision
	s.rows[string(row.table)+" "+row.Key] = row
	s.history = append(s.history, row)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fleetStore) Read(_ context.Context, table gateway.Table, partitions []gateway.Partition) (feed.Snapshot, error) {
	time.Sleep(storeResponseTime * time.Duration(len(partitions)))
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []feed.Row
	for _, partition := range partitions {
		for _, row := range s.rows {
			if row.table == table && row.partition == partition {
				rows = append(rows, row.Row)
			}
		}
	}
	s.calls["read"] += len(partitions) - 1
	snapshot := s.answer("read", rows)
	snapshot.Complete = true
	return snapshot, nil
}

func (s *fleetStore) Changes(ctx context.Context, table gateway.Table, after feed.Revision, wait time.Duration) (feed.Snapshot, error) {
	time.Sleep(storeResponseTime)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := wait == 0; ; {
		s.mu.Lock()
		if after < s.compacted {
			s.calls["gone"]++
			s.mu.Unlock()
			return feed.Snapshot{}, &gateway.Error{Kind: gateway.KindHistory, Op: "feed"}
		}
		newest := map[string]feed.Row{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
			if row := s.history[i]; row.table == table && newest[row.Key].Key == "" {
				newest[row.Key] = row.Row
			}
		}
		if len(newest) > 0 || expired {
			var rows []feed.Row
			for _, row := range newest {
				rows = append(rows, row)
			}
			snapshot := s.answer("feed", rows)
			s.mu.Unlock()
			return snapshot, nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return feed.Snapshot{}, ctx.Err()
		}
	}
}

func (s *fleetStore) Write(_ context.Context, writes []gateway.Write) (gateway.WriteResult, error) {
	time.Sleep(storeResponseTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["write"]++
	result := gateway.WriteResult{Applied: true}
	for _, write := range writes {
		current := s.rows[string(write.Table)+" "+write.Key].Row
		current.Key = write.Key
		result.Applied = result.Applied && current.Revision == write.Revision
		result.Current = append(result.Current, gateway.CurrentRow{Row: current, Table: write.Table})
	}
	if !result.Applied {
		return result, nil
	}
	s.revision++
	for _, write := range writes {
		s.put(fleetRow{partition: write.Partition, Row: feed.Row{Key: write.Key, Value: write.Value}, table: write.Table})
	}
	return gateway.WriteResult{Applied: true, Revision: s.revision}, nil
}

// fleetNetwork carries the relayed tables between the instances of a test, and counts
// their messages and bytes.
type fleetNetwork struct {
	mu       sync.Mutex
	bytes    int
	handlers map[string]http.Handler
	messages int
}

func (n *fleetNetwork) Do(request *http.Request) (*http.Response, error) {
	time.Sleep(time.Millisecond)
	n.mu.Lock()
	handler := n.handlers[request.URL.Host]
	n.mu.Unlock()
	if handler == nil {
		return nil, errors.New("connection refused")
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	n.mu.Lock()
	n.messages++
	n.bytes += int(max(0, request.ContentLength)) + recorder.Body.Len()
	n.mu.Unlock()
	return recorder.Result(), request.Context().Err()
}

// fleetTransport is the transport of one instance. Other instances can't be called over
// it.
type fleetTransport struct {
	gateway.PeerTransport
	address string
	secret  []byte
}

func (t fleetTransport) Address() string { return t.address }
func (t fleetTransport) Secret() []byte  { return t.secret }
func (fleetTransport) Call(context.Context, string, []byte, []byte) ([]byte, error) {
	return nil, errors.New("no answer")
}

func (fleetTransport) Serve(ctx context.Context, _ func([]byte) []byte) error {
	<-ctx.Done()
	return nil
}

// fleetSource notes when an instance first sees a value of the sheet's row.
type fleetSource struct {
	emptySource
	mu   sync.Mutex
	seen map[string]time.Time
}

func (s *fleetSource) Sheet(rows map[string]feed.Row) (gateway.SheetUpdate, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := string(rows["sheet"].Value)
	if _, found := s.seen[value]; !found {
		s.seen[value] = time.Now()
	}
	return gateway.SheetUpdate{}, false, nil
}

// countingFleet is a number of instances in six data centres.
type countingFleet struct {
	network *fleetNetwork
	sources []*fleetSource
	store   *fleetStore
}

// newCountingFleet returns a fleet whose instances are not started yet.
func newCountingFleet() *countingFleet {
	f := &countingFleet{network: &fleetNetwork{handlers: map[string]http.Handler{}}, store: newFleetStore()}
	f.putSheet("1")
	return f
}

// start starts a run of all instances together. The function that it returns kills them.
func (f *countingFleet) start(t *testing.T, instances, run int) (kill func()) {
	t.Helper()
	f.sources = nil
	var running sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	for i := range instances {
		id, address := fmt.Sprintf("instance-%d", i), fmt.Sprintf("10.0.%d.%d:7575", i/250, i%250)
		epoch := fleet.Epoch(run*instances + i + 1)
		secret := fmt.Appendf(nil, "secret-%d", epoch)
		source := &fleetSource{seen: map[string]time.Time{}}
		recorder := event.New(fleet.InstanceID(id), epoch, time.Now, event.NewLogger(io.Discard, "json", event.LevelError), 16)
		g := gateway.New(gateway.Config{
			Clock: time.Now, Epoch: epoch, Instance: fleet.InstanceID(id), Log: gateway.NewLog(recorder, 1),
			PeerTransport: fleetTransport{address: address, secret: secret}, RelayClient: relay.NewClient(f.network), Source: source, Store: f.store,
			Settings: gateway.Settings{DataCentre: fleet.DataCentre(fmt.Sprintf("zone-%d", i%6)), KeyLease: 4500 * time.Millisecond, LinkMegabits: 100, ProcessorShare: 1},
		})
		mux := http.NewServeMux()
		mux.Handle(relay.NewServer(secret, g, 100).Handler())
		f.network.mu.Lock()
		f.network.handlers[address] = mux
		f.network.mu.Unlock()
		f.sources = append(f.sources, source)
		running.Go(func() { _ = g.Run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
		f.network.mu.Lock()
		clear(f.network.handlers)
		f.network.mu.Unlock()
	}
}

// putSheet publishes a version of the sheet.
func (f *countingFleet) putSheet(value string) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.revision++
	f.store.put(fleetRow{Row: feed.Row{Key: "sheet", Value: []byte(value)}, table: sheetTable})
}

// fleetCost is the control traffic of all instances in a period.
type fleetCost struct {
	period                                        time.Duration
	relayBytes, relayMessages                     int
	storeBytes, storeCalls, storeReads, storeGone int
}

// during returns the cost of a period that starts now.
func (f *countingFleet) during(period time.Duration) fleetCost {
	total := func() fleetCost {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		f.network.mu.Lock()
		defer f.network.mu.Unlock()
		c := fleetCost{relayBytes: f.network.bytes, relayMessages: f.network.messages, storeBytes: f.store.bytes, storeGone: f.store.calls["gone"], storeReads: f.store.calls["read"]}
		for _, calls := range f.store.calls {
			c.storeCalls += calls
		}
		return c
	}
	before := total()
	time.Sleep(period)
	after := total()
	return fleetCost{
		period: period, relayBytes: after.relayBytes - before.relayBytes, relayMessages: after.relayMessages - before.relayMessages,
		storeBytes: after.storeBytes - before.storeBytes, storeCalls: after.storeCalls - before.storeCalls,
		storeGone: after.storeGone - before.storeGone, storeReads: after.storeReads - before.storeReads,
	}
}

// perInstance describes the cost for one instance.
func (c fleetCost) perInstance(instances int) string {
	n := float64(instances) * c.period.Seconds()
	return fmt.Sprintf("relayed %.0f B/s in %.2f messages/s, store %.0f B/s; all instances %.1f store calls/s, %d reads, %d answers without history",
		float64(c.relayBytes)/n, float64(c.relayMessages)/n, float64(c.storeBytes)/n, float64(c.storeCalls)/c.period.Seconds(), c.storeReads, c.storeGone)
}

// holding returns the number of instances that hold shares of the rate limits.
func (f *countingFleet) holding() int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	count := 0
	for _, row := range f.store.rows {
		var member gateway.MemberRow
		if row.table == instanceTable && json.Unmarshal(row.Value, &member) == nil && member.Phase == workspace.PhaseHolding {
			count++
		}
	}
	return count
}

// latest returns how long the last instance took to see a value of the sheet.
func (f *countingFleet) latest(t *testing.T, value string, since time.Time) time.Duration {
	t.Helper()
	last := time.Duration(0)
	for i, source := range f.sources {
		source.mu.Lock()
		seen, found := source.seen[value]
		source.mu.Unlock()
		if !found {
			t.Errorf("instance %d has not seen version %s of the sheet", i, value)
		}
		last = max(last, seen.Sub(since))
	}
	return last
}

// TestFleet guards against control traffic of an instance that grows faster than the
// number of rows that it has to know, and against a start, a lost history or a new
// configuration that takes longer with more instances. Nothing goes over a network.
func TestFleet(t *testing.T) {
	for _, instances := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				f := newCountingFleet()
				kill := f.start(t, instances, 0)
				t.Logf("start: %s", f.during(4*time.Second).perInstance(instances))
				if took := f.latest(t, "1", started); took > 2*time.Second {
					t.Errorf("the last instance has the configuration after %v", took)
				}
				t.Logf("the last instance has the configuration after %v; %d hold shares after 4 s", f.latest(t, "1", started), f.holding())
				time.Sleep(6 * time.Second)
				steady := f.during(6 * time.Second)
				t.Logf("steady: %s", steady.perInstance(instances))
				if calls := float64(steady.storeCalls) / steady.period.Seconds(); instances == 100 && calls > 40 {
					t.Errorf("%.1f store calls a second, want fewer than 40", calls)
				}
				if bytes := float64(steady.relayBytes+steady.storeBytes) / steady.period.Seconds() / float64(instances); bytes > 4000 {
					t.Errorf("%.0f bytes a second and instance, want at most 4000", bytes)
				}
				f.store.mu.Lock()
				f.store.revision++
				f.store.compacted = f.store.revision
				f.store.mu.Unlock()
				lost := f.during(6 * time.Second)
				t.Logf("lost history: %s", lost.perInstance(instances))
				// Six relays and the leader read four tables, of which one has five partitions.
				const relayReads = 7 * 8
				if maxReads := relayReads; lost.storeReads > maxReads {
					t.Errorf("%d reads after the loss of the history, want at most %d", lost.storeReads, maxReads)
				}
				published := time.Now()
				f.putSheet("2")
				t.Logf("configuration: %s", f.during(5*time.Second).perInstance(instances))
				took := f.latest(t, "2", published)
				t.Logf("the last instance has the new configuration after %v", took)
				if took > time.Second {
					t.Errorf("the last instance has the new configuration after %v", took)
				}
				kill()
				time.Sleep(time.Second)
				restarted := time.Now()
				kill = f.start(t, instances, 1)
				again := f.during(4 * time.Second)
				t.Logf("restart of all: %s", again.perInstance(instances))
				// An instance reads the rows of its data centre to find the relay, and again at
				// most for three of the four attempts to find its new secret.
				if maxReads := relayReads + 4*instances; instances >= 100 && again.storeReads > maxReads {
					t.Errorf("%d reads after a restart of all, want at most %d", again.storeReads, maxReads)
				}
				took = f.latest(t, "2", restarted)
				t.Logf("the last instance has the configuration after %v; %d hold shares after 4 s", took, f.holding())
				if took > 2*time.Second {
					t.Errorf("the last instance has the configuration %v after a restart of all", took)
				}
				kill()
				// Batches of rows that were begun end by themselves.
				time.Sleep(10 * time.Second)
			})
		})
	}
}
