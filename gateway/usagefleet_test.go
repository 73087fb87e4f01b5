//go:build !race

package gateway_test

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/relay"
	"github.com/nutmegpier/nutmegpier/usage"
)

const (
	usageTable      = gateway.Table("nutmegpier-usage")
	fleetLatency    = 4 * time.Millisecond
	fleetWindow     = 5 * time.Second
	fleetLate       = 10 * time.Second
	requestInterval = 50 * time.Millisecond
)

var (
	errFleetDown  = errors.New("not reachable")
	fleetSchedule = usage.Schedule{Late: fleetLate, Length: fleetWindow}
)

// usageStore is a memoryStore that may be down, so that calls under way lose their response,
// and that counts the calls for usageTable.
type usageStore struct {
	*storeLink

	mu         sync.Mutex
	down       bool
	usageCalls int
}

func newUsageStore() *usageStore {
	return &usageStore{storeLink: newMemoryStore().connect()}
}

// reach counts a call for a table, or returns an error if the store is down.
func (s *usageStore) reach(table gateway.Table) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errFleetDown
	}
	if table == usageTable {
		s.usageCalls++
	}
	return nil
}

// Changes fails within 100 ms once the store is down.
func (s *usageStore) Changes(ctx context.Context, table gateway.Table, after feed.Revision, wait time.Duration) (feed.Snapshot, error) {
	const pollInterval = 100 * time.Millisecond
	for started := time.Now(); ; {
		if err := s.reach(""); err != nil {
			return feed.Snapshot{}, err
		}
		snapshot, err := s.storeLink.Changes(ctx, table, after, min(wait, pollInterval))
		if err != nil || len(snapshot.Rows) > 0 || time.Since(started) >= wait {
			return snapshot, errors.Join(err, s.reach(""))
		}
	}
}

func (s *usageStore) Read(ctx context.Context, table gateway.Table, partitions []gateway.Partition) (feed.Snapshot, error) {
	if err := s.reach(table); err != nil {
		return feed.Snapshot{}, err
	}
	snapshot, err := s.storeLink.Read(ctx, table, partitions)
	return snapshot, errors.Join(err, s.reach(""))
}

func (s *usageStore) Write(ctx context.Context, writes []gateway.Write) (gateway.WriteResult, error) {
	if err := s.reach(writes[0].Table); err != nil {
		return gateway.WriteResult{}, err
	}
	result, err := s.storeLink.Write(ctx, writes)
	return result, errors.Join(err, s.reach(""))
}

// usageFleet is a fleet of instances that report usage, with a store and an endpoint.
type usageFleet struct {
	instances []*usageInstance
	store     *usageStore
	t         *testing.T

	mu sync.Mutex
	// begun are the numbers of statements that servers have begun in each window.
	begun        map[usage.Window]int64
	endpointDown bool
	reports      map[usage.Window]reportedWindow
}

// reportedWindow is the first report of a window.
type reportedWindow struct {
	at     time.Time
	counts usage.Counts
	holder fleet.InstanceID
}

// usageInstance is one instance of a usageFleet. It is its own PeerTransport, and its
// address is its name.
type usageInstance struct {
	cancel     context.CancelFunc
	dataCentre fleet.DataCentre
	done       chan struct{}
	fleet      *usageFleet
	gateway    *gateway.Gateway
	name       string

	// clockReads makes the clock advance with each read, as a real one does: a wait for
	// the rest of a nanosecond would not end otherwise.
	clockReads atomic.Int64

	mu   sync.Mutex
	dead bool
	// cutAt is when the instance was cut off from the store and the instances that are
	// not, or zero.
	cutAt time.Time
	// wallStep is the error of the wall clock.
	wallStep time.Duration
}

func (i *usageInstance) Address() string { return i.name }
func (i *usageInstance) Secret() []byte  { return []byte(i.name) }
func (i *usageInstance) Call(context.Context, string, []byte, []byte) ([]byte, error) {
	return nil, errFleetDown
}

func (i *usageInstance) Serve(ctx context.Context, _ func([]byte) []byte) error {
	<-ctx.Done()
	return nil
}

func (i *usageInstance) clock() time.Time {
	return time.Now().Add(time.Duration(i.clockReads.Add(1)))
}

func (i *usageInstance) isDead() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.dead
}

func (i *usageInstance) isCut() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.cutAt.IsZero()
}

// setCut cuts the instance off, or connects it again.
func (i *usageInstance) setCut(cut bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cutAt = time.Time{}
	if cut {
		i.cutAt = time.Now()
	}
}

// serves reports whether the instance still has its leases.
func (i *usageInstance) serves() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cutAt.IsZero() || time.Since(i.cutAt) < primacy.LeaseTime
}

func (i *usageInstance) wall() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Now().Add(i.wallStep)
}

// crash stops an instance without a last write.
func (i *usageInstance) crash() {
	i.mu.Lock()
	i.dead = true
	i.mu.Unlock()
	i.cancel()
}

// target returns the live instance with a name, after the latency of a call.
func (i *usageInstance) target(ctx context.Context, address string) (*gateway.Gateway, error) {
	time.Sleep(fleetLatency)
	for _, instance := range i.fleet.instances {
		if instance.name != address {
			continue
		}
		if i.isCut() != instance.isCut() {
			<-ctx.Done()
		}
		if ctx.Err() == nil && !instance.isDead() {
			return instance.gateway, nil
		}
	}
	return nil, &relay.Error{Err: errFleetDown, Kind: relay.KindUnavailable, Op: "call"}
}

// usageRelayClient calls the other instances of a fleet.
type usageRelayClient struct{ *usageInstance }

func (i usageRelayClient) Changes(ctx context.Context, address string, _ []byte, request relay.Request, _ func(string) feed.RowVersion) (feed.Snapshot, error) {
	target, err := i.target(ctx, address)
	if err != nil {
		return feed.Snapshot{}, err
	}
	snapshot, err := target.ReadChanges(ctx, request)
	if err != nil {
		return snapshot, &relay.Error{Err: err, Kind: relay.KindRefused, Op: "changes"}
	}
	return snapshot, nil
}

func (i usageRelayClient) WriteRow(ctx context.Context, address string, _ []byte, write relay.RowWrite) (relay.RowWriteResult, error) {
	target, err := i.target(ctx, address)
	if err != nil {
		return relay.RowWriteResult{}, err
	}
	result, err := target.WriteRow(ctx, write)
	if err != nil {
		return result, &relay.Error{Err: err, Kind: relay.KindStoreFailed, Op: "write row"}
	}
	return result, nil
}

// storeClient calls the store from an instance that may be cut off from it.
type storeClient struct{ *usageInstance }

func (i storeClient) awaitCut(ctx context.Context) error {
	if i.isCut() {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (i storeClient) Changes(ctx context.Context, table gateway.Table, after feed.Revision, wait time.Duration) (feed.Snapshot, error) {
	if err := i.awaitCut(ctx); err != nil {
		return feed.Snapshot{}, err
	}
	return i.fleet.store.Changes(ctx, table, after, wait)
}

func (i storeClient) Read(ctx context.Context, table gateway.Table, partitions []gateway.Partition) (feed.Snapshot, error) {
	if err := i.awaitCut(ctx); err != nil {
		return feed.Snapshot{}, err
	}
	return i.fleet.store.Read(ctx, table, partitions)
}

func (i storeClient) Write(ctx context.Context, writes []gateway.Write) (gateway.WriteResult, error) {
	if err := i.awaitCut(ctx); err != nil {
		return gateway.WriteResult{}, err
	}
	return i.fleet.store.Write(ctx, writes)
}

// ReportUsage is the platform's endpoint.
func (f *usageFleet) ReportUsage(_ context.Context, window usage.Window, counts usage.Counts, holder fleet.InstanceID, _ primacy.Token, permitted func() bool) error {
	time.Sleep(fleetLatency)
	if !permitted() {
		return errFleetDown
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endpointDown {
		return errFleetDown
	}
	if _, repeated := f.reports[window]; !repeated {
		f.reports[window] = reportedWindow{at: time.Now(), counts: counts, holder: holder}
	}
	return nil
}

// startUsageFleet starts four instances in each of four data centres. Each one runs twenty
// statements a second. The wall clock of the first one, which starts before the others, is
// wrong by firstStep.
func startUsageFleet(t *testing.T, firstStep, firstAlone time.Duration) *usageFleet {
	t.Helper()
	f := &usageFleet{
		begun: map[usage.Window]int64{}, reports: map[usage.Window]reportedWindow{}, t: t,
		store: newUsageStore(),
	}
	for n := range 16 {
		instance := &usageInstance{
			dataCentre: fleet.DataCentre("z" + strconv.Itoa(n%4)), done: make(chan struct{}), fleet: f, name: "i" + strconv.Itoa(n),
			wallStep: time.Duration(n%5) * time.Millisecond,
		}
		if n == 0 {
			instance.wallStep = firstStep
		}
		recorder := event.New(fleet.InstanceID(instance.name), 1, time.Now, event.NewLogger(io.Discard, "json", event.LevelError), 16)
		instance.gateway = gateway.New(gateway.Config{
			Clock: instance.clock, Epoch: fleet.Epoch(n + 1), Instance: fleet.InstanceID(instance.name), Log: gateway.NewLog(recorder, 1),
			PeerTransport: instance, RelayClient: usageRelayClient{instance}, Source: emptySource{}, Store: storeClient{instance}, UsageReporter: f, WallClock: instance.wall,
			Settings: gateway.Settings{DataCentre: instance.dataCentre, KeyLease: time.Second, ProcessorShare: 1, Usage: gateway.UsageSettings{Late: fleetLate, Window: fleetWindow}},
		})
		f.instances = append(f.instances, instance)
	}
	for n, instance := range f.instances {
		if n == 1 {
			time.Sleep(firstAlone)
		}
		ctx, cancel := context.WithCancel(t.Context())
		instance.cancel = cancel
		go func() {
			defer close(instance.done)
			_ = instance.gateway.Run(ctx)
		}()
		go f.runStatements(ctx, instance)
	}
	return f
}

// runStatements runs the statements of an instance, once it has joined.
func (f *usageFleet) runStatements(ctx context.Context, instance *usageInstance) {
	const joinTime = 2 * time.Second
	time.Sleep(joinTime)
	for ; ctx.Err() == nil; time.Sleep(requestInterval) {
		if !instance.serves() {
			continue
		}
		instance.gateway.CountUsage("w")
		f.mu.Lock()
		f.begun[fleetSchedule.Window(time.Now())]++
		f.mu.Unlock()
	}
}

// stop stops all instances and waits for them and their last calls.
func (f *usageFleet) stop() {
	const lastCalls = 10 * time.Second
	for _, instance := range f.instances {
		instance.cancel()
		<-instance.done
	}
	time.Sleep(lastCalls)
}

// check checks the reports of all windows that are due.
func (f *usageFleet) check() {
	const tolerance, minWindows = 0.05, 9
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.reports) < minWindows {
		f.t.Errorf("%d windows were reported, want at least %d", len(f.reports), minWindows)
	}
	for window, begun := range f.begun {
		if time.Now().Before(fleetSchedule.Due(window)) {
			continue
		}
		report, found := f.reports[window]
		late := report.at.Sub(fleetSchedule.End(window))
		if !found || late > fleetLate {
			f.t.Errorf("window %d: reported %t, %v after its end", window, found, late)
			continue
		}
		reported := report.counts["w"]
		if deviation := float64(reported-begun) / float64(begun); deviation > tolerance || deviation < -tolerance {
			f.t.Errorf("window %d: %d reported, %d begun", window, reported, begun)
		}
	}
}

// holder returns the instance that has sent the last report.
func (f *usageFleet) holder() *usageInstance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var last reportedWindow
	for _, report := range f.reports {
		if report.at.After(last.at) {
			last = report
		}
	}
	for _, instance := range f.instances {
		if fleet.InstanceID(instance.name) == last.holder {
			return instance
		}
	}
	f.t.Fatal("nothing was reported")
	return nil
}
