//go:build !race

package gateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/owner"
	"github.com/nutmegpier/nutmegpier/relay"
	"github.com/nutmegpier/nutmegpier/session"
)

// jsonSource decodes sheets and servers from their JSON form.
type jsonSource struct{ emptySource }

func (jsonSource) Server(row feed.Row) (server gateway.BackendServer, err error) {
	return server, json.Unmarshal(row.Value, &server)
}

func (jsonSource) Sheet(rows map[string]feed.Row) (update gateway.SheetUpdate, found bool, err error) {
	row, found := rows["sheet"]
	if !found {
		return update, false, nil
	}
	return update, true, json.Unmarshal(row.Value, &update)
}

// testFleet is a store, a group g of servers s-1 and s-2 in memory, and instances that
// are connected in memory. It runs in virtual time. Its network has no delays.
type testFleet struct {
	instances []*testInstance
	// relay is the instance that read tables for others last.
	relay     *testInstance
	servers   *testServers
	slowTable gateway.Table
	store     *memoryStore
	t         *testing.T
}

// testInstance is an instance, its link to the store, and its links to the others.
type testInstance struct {
	*gateway.Gateway
	address string
	fleet   *testFleet
	handle  func([]byte) []byte
	link    *storeLink

	mu sync.Mutex
	// completions are the statements of the callers, except begins.
	completions []session.Completion
	// loseResponses loses the responses of owners.
	loseResponses bool
	// noRelay makes the instance get no sheet from other instances.
	noRelay bool
}

// runFleet starts instances on a sheet, waits until they serve, and runs a test.
func runFleet(t *testing.T, instances int, update gateway.SheetUpdate, test func(*testFleet)) {
	t.Helper()
	startFleet(t, instances, update, "", func(f *testFleet) {
		const startTime = 12 * time.Second
		time.Sleep(startTime)
		test(f)
	})
}

// startFleet starts instances on a sheet and runs a test at once. The store is slow for
// one table, unless that is empty.
func startFleet(t *testing.T, instances int, update gateway.SheetUpdate, slowTable gateway.Table, test func(*testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{servers: newTestServers(), slowTable: slowTable, store: newMemoryStore(), t: t}
		// Calls that are under way when the instances stop end within this time.
		t.Cleanup(func() { time.Sleep(time.Minute) })
		f.publish(update)
		f.register("s-1", "s-2")
		for i := range instances {
			f.start(t.Context(), fmt.Sprintf("i-%d", i))
		}
		test(f)
	})
}

func (f *testFleet) publish(update gateway.SheetUpdate) {
	value, err := json.Marshal(update)
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.put(sheetTable, "sheet", value)
}

// register writes the entries of servers, of which s-1 is the primary.
func (f *testFleet) register(servers ...fleet.ServerID) {
	for _, id := range servers {
		value, err := json.Marshal(gateway.BackendServer{Address: string(id), Born: 1, DataCentre: "z1", Group: "g", ID: id, Primary: id == "s-1", Slots: 4})
		if err != nil {
			f.t.Fatal(err)
		}
		f.store.put(serverTable, string(id), value)
	}
}

// deregister removes the entries of servers.
func (f *testFleet) deregister(servers ...fleet.ServerID) {
	for _, id := range servers {
		_, _ = f.store.write([]gateway.Write{{Key: string(id), Remove: true, Table: serverTable}}, false)
	}
}

func (f *testFleet) start(ctx context.Context, name string) *testInstance {
	i := &testInstance{address: name, fleet: f, link: f.store.connect()}
	i.link.slowTable = f.slowTable
	recorder := event.New(fleet.InstanceID(name), 1, time.Now, event.NewLogger(io.Discard, "json", event.LevelError), 16)
	i.Gateway = gateway.New(gateway.Config{
		Clock: time.Now, Control: f.servers, Dialer: f.servers, Epoch: fleet.Epoch(len(f.instances) + 1), Instance: fleet.InstanceID(name),
		Log: gateway.NewLog(recorder, 1), OwnerClient: ownerClient{i}, PeerTransport: i, Promoter: f.servers, RelayClient: relayClient{i}, Source: jsonSource{}, Store: i.link,
		Settings: gateway.Settings{DataCentre: "z1", Instance: fleet.InstanceID(name), KeyLease: keyLease, StopBound: time.Second, TransactionIdle: time.Minute},
	})
	f.instances = append(f.instances, i)
	runCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = i.Run(runCtx)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
	return i
}

// open opens a session of a caller with a key.
func (i *testInstance) open(key string) *session.Session {
	i.fleet.t.Helper()
	opened, err := session.Open(session.Config{
		Clock: time.Now, AccessController: i, Jitter: func() float64 { return 0.5 }, Observer: i, Sleep: time.Sleep, Router: i,
	}, session.Credentials{Database: "db", Key: digest(key)})
	if err != nil {
		i.fleet.t.Fatal(err)
	}
	return opened
}

// Admit replaces the admission, which also needs a recent proof of the sheet and would
// hide a failure of the check of keys.
func (i *testInstance) Admit(time.Time, session.Admission) *session.Error { return nil }

// Observe implements session.Observer.
func (i *testInstance) Observe(now time.Time, completion session.Completion) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.completions = append(i.completions, completion)
	i.Gateway.Observe(now, completion)
}

// isolate cuts the instance off from the sheet: calls to the store for it fail at once,
// and other instances don't relay it.
func (i *testInstance) isolate() {
	i.setNoRelay(true)
	i.link.set(func(l *storeLink) { l.refused = true })
}

// owner returns the first owner of the group.
func (f *testFleet) owner() *testInstance {
	return f.find(f.instances[0].Owners("g")[0])
}

// other returns an instance that is not the first owner.
func (f *testFleet) other() *testInstance {
	for _, i := range f.instances {
		if i != f.owner() {
			return i
		}
	}
	return nil
}

// find returns the latest run of an instance.
func (f *testFleet) find(id fleet.InstanceID) *testInstance {
	for _, i := range slices.Backward(f.instances) {
		if i.address == string(id) {
			return i
		}
	}
	f.t.Fatalf("no instance %q", id)
	return nil
}

func (i *testInstance) setNoRelay(noRelay bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.noRelay = noRelay
}

// Address, Call, Secret and Serve implement gateway.PeerTransport.
func (i *testInstance) Address() string { return i.address }

func (i *testInstance) Call(_ context.Context, address string, _, request []byte) ([]byte, error) {
	target := i.fleet.find(fleet.InstanceID(address))
	if target.handle == nil {
		return nil, errors.New("not started")
	}
	return target.handle(request), nil
}

func (i *testInstance) Secret() []byte { return []byte(i.address) }

func (i *testInstance) Serve(ctx context.Context, handle func([]byte) []byte) error {
	i.handle = handle
	<-ctx.Done()
	return nil
}

// relayClient implements gateway.RelayClient.
type relayClient struct{ *testInstance }

func (c relayClient) Changes(ctx context.Context, address string, _ []byte, request relay.Request, _ func(string) feed.RowVersion) (feed.Snapshot, error) {
	c.mu.Lock()
	noRelay := c.noRelay
	c.mu.Unlock()
	if noRelay && request.Table == string(sheetTable) {
		return feed.Snapshot{}, &relay.Error{Kind: relay.KindUnavailable, Op: "changes"}
	}
	c.fleet.relay = c.fleet.find(fleet.InstanceID(address))
	return c.fleet.relay.ReadChanges(ctx, request)
}

func (c relayClient) WriteRow(ctx context.Context, address string, _ []byte, write relay.RowWrite) (relay.RowWriteResult, error) {
	return c.fleet.find(fleet.InstanceID(address)).Gateway.WriteRow(ctx, write)
}

// ownerClient implements gateway.OwnerClient.
type ownerClient struct{ *testInstance }

func (c ownerClient) Run(ctx context.Context, address string, _ []byte, request owner.Request) (owner.Response, error) {
	target := c.fleet.find(fleet.InstanceID(address))
	// The batch runs to its end also if the caller gives up. Its proof is sent as the
	// time of the store only.
	request.Batch.AuthorizedUntil = time.Time{}
	responses := make(chan owner.Response, 1)
	go func() { responses <- target.RunForPeer(request) }()
	received := responses
	c.mu.Lock()
	if c.loseResponses {
		received = nil
	}
	c.mu.Unlock()
	select {
	case response := <-received:
		return response, nil
	case <-ctx.Done():
		return owner.Response{}, &owner.Error{Err: ctx.Err(), Kind: owner.KindUnknown, Op: "run"}
	}
}
