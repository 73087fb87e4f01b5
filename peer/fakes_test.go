package peer_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/fleet"
	v1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
	"github.com/nutmegpier/nutmegpier/peer"
	"github.com/nutmegpier/nutmegpier/workspace"
)

var errFault = errors.New("injected fault")

// deployment runs several controllers with an in-memory store, list of instances
// and network.
type deployment struct {
	t                  *testing.T
	mu                 sync.Mutex
	partitioned        map[fleet.InstanceID]bool // calls from and to other instances get no response
	storeDown          bool
	loseWriteResponses bool // writes take effect, but their responses are lost
	withoutStore       map[fleet.InstanceID]bool
	running            map[string]*member
	rows               map[string]peer.Row
	storeDelay         time.Duration
}

type member struct {
	*peer.Controller
	id   fleet.InstanceID
	stop context.CancelFunc
	done chan struct{}
}

func newDeployment(t *testing.T, ids ...string) *deployment {
	d := &deployment{
		t: t, partitioned: make(map[fleet.InstanceID]bool), withoutStore: make(map[fleet.InstanceID]bool),
		running: make(map[string]*member), rows: make(map[string]peer.Row),
	}
	for i, id := range ids {
		d.start(id, fleet.Epoch(i+1))
	}
	return d
}

// start starts an instance and stops its earlier run, if there is one.
func (d *deployment) start(id string, epoch fleet.Epoch) *member {
	d.halt(id)
	m := &member{id: fleet.InstanceID(id), done: make(chan struct{})}
	m.Controller = peer.New(peer.Config{
		Client:    func(address string) nutmegpierv1connect.PeerServiceClient { return &client{d, m.id, address} },
		Clock:     wallClock{},
		Epoch:     epoch,
		Instances: d,
		Limits: func(content []byte) (peer.Limits, error) {
			var limits peer.Limits
			err := json.Unmarshal(content, &limits)
			return limits, err
		},
		Random: func() uint64 { return uint64(epoch) },
		Self:   m.id,
		Table:  &table{d, m.id},
	})
	ctx, cancel := context.WithCancel(d.t.Context())
	m.stop = cancel
	d.mu.Lock()
	d.running[id] = m
	d.mu.Unlock()
	go func() {
		defer close(m.done)
		_ = m.Run(ctx)
	}()
	return m
}

// halt stops an instance without a planned leave.
func (d *deployment) halt(id string) {
	d.mu.Lock()
	m := d.running[id]
	delete(d.running, id)
	d.mu.Unlock()
	if m != nil {
		m.stop()
		<-m.done
	}
}

func (d *deployment) haltAll() {
	for _, id := range []string{"a", "b", "c", "g"} {
		d.halt(id)
	}
}

// update changes the injected faults.
func (d *deployment) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

// List implements peer.InstanceList. It always returns all instances, also those
// that are not running.
func (d *deployment) List(context.Context) ([]peer.Listed, error) {
	var listed []peer.Listed
	for _, id := range []string{"a", "b", "c", "g"} {
		listed = append(listed, peer.Listed{Address: id, Instance: fleet.InstanceID(id)})
	}
	return listed, nil
}

// publish writes a sheet to the store, offers it to one instance, and waits until
// a majority holds it.
func (d *deployment) publish(by *member, version fleet.SheetVersion, limits peer.Limits) {
	content, err := json.Marshal(limits)
	if err != nil {
		d.t.Fatal(err)
	}
	d.update(func() {
		head := d.rows[peer.HeadKey]
		var value peer.Head
		if err := json.Unmarshal(head.Value, &value); err != nil {
			d.t.Fatal(err)
		}
		value.SheetVersion = version
		headContent, _ := json.Marshal(value)
		d.rows[peer.HeadKey] = peer.Row{Key: peer.HeadKey, Revision: head.Revision + 1, Value: headContent}
		d.rows[peer.SheetKey(version)] = peer.Row{Key: peer.SheetKey(version), Revision: 1, Value: content}
	})
	if err := by.OfferSheet(version, content); err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(d.t.Context(), 10*time.Second)
	defer cancel()
	if err := by.AwaitMajority(ctx, version); err != nil {
		d.t.Fatal(err)
	}
}

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// table is the store as seen from one instance.
type table struct {
	d    *deployment
	from fleet.InstanceID
}

var _ peer.Table = &table{}

// simulateFaults waits for the injected delay and returns the injected error.
func (s *table) simulateFaults(ctx context.Context) error {
	s.d.mu.Lock()
	blocked, storeDelay := s.d.storeDown || s.d.withoutStore[s.from], s.d.storeDelay
	s.d.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(storeDelay):
	}
	if blocked {
		return errFault
	}
	return nil
}

func (s *table) Read(ctx context.Context, keys []string) ([]peer.Row, error) {
	if err := s.simulateFaults(ctx); err != nil {
		return nil, err
	}
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	var rows []peer.Row
	for _, key := range keys {
		if row, ok := s.d.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (s *table) Write(ctx context.Context, conditions []peer.Condition, rows []peer.Row) (bool, []peer.Row, error) {
	if err := s.simulateFaults(ctx); err != nil {
		return false, nil, err
	}
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	for _, condition := range conditions {
		if s.d.rows[condition.Key].Revision != condition.Revision {
			return false, nil, nil
		}
	}
	for _, row := range rows {
		row.Revision = s.d.rows[row.Key].Revision + 1
		s.d.rows[row.Key] = row
	}
	if s.d.loseWriteResponses {
		return false, nil, errFault
	}
	return true, rows, nil
}

// client calls the methods of the controller at an address directly.
type client struct {
	d    *deployment
	from fleet.InstanceID
	to   string
}

var _ nutmegpierv1connect.PeerServiceClient = &client{}

func call[Q, A any](ctx context.Context, c *client, method func(*member) func(context.Context, *connect.Request[Q]) (*connect.Response[A], error), request *connect.Request[Q]) (*connect.Response[A], error) {
	c.d.mu.Lock()
	target, blocked := c.d.running[c.to], c.d.partitioned[c.from] || c.d.partitioned[fleet.InstanceID(c.to)]
	c.d.mu.Unlock()
	if blocked {
		// In a partition the call gets no response.
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if target == nil {
		return nil, errFault
	}
	time.Sleep(time.Millisecond)
	response, err := method(target)(ctx, request)
	time.Sleep(time.Millisecond)
	return response, err
}

func (c *client) ConfirmTransfer(ctx context.Context, r *connect.Request[v1.ConfirmTransferRequest]) (*connect.Response[v1.ConfirmTransferResponse], error) {
	return call(ctx, c, func(m *member) func(context.Context, *connect.Request[v1.ConfirmTransferRequest]) (*connect.Response[v1.ConfirmTransferResponse], error) {
		return m.ConfirmTransfer
	}, r)
}

func (c *client) Exchange(ctx context.Context, r *connect.Request[v1.ExchangeRequest]) (*connect.Response[v1.ExchangeResponse], error) {
	return call(ctx, c, func(m *member) func(context.Context, *connect.Request[v1.ExchangeRequest]) (*connect.Response[v1.ExchangeResponse], error) {
		return m.Exchange
	}, r)
}

func (c *client) FetchRoster(ctx context.Context, r *connect.Request[v1.FetchRosterRequest]) (*connect.Response[v1.FetchRosterResponse], error) {
	return call(ctx, c, func(m *member) func(context.Context, *connect.Request[v1.FetchRosterRequest]) (*connect.Response[v1.FetchRosterResponse], error) {
		return m.FetchRoster
	}, r)
}

func (c *client) FetchSheet(ctx context.Context, r *connect.Request[v1.FetchSheetRequest]) (*connect.Response[v1.FetchSheetResponse], error) {
	return call(ctx, c, func(m *member) func(context.Context, *connect.Request[v1.FetchSheetRequest]) (*connect.Response[v1.FetchSheetResponse], error) {
		return m.FetchSheet
	}, r)
}

func (c *client) ForwardCancel(ctx context.Context, r *connect.Request[v1.ForwardCancelRequest]) (*connect.Response[v1.ForwardCancelResponse], error) {
	return call(ctx, c, func(m *member) func(context.Context, *connect.Request[v1.ForwardCancelRequest]) (*connect.Response[v1.ForwardCancelResponse], error) {
		return m.ForwardCancel
	}, r)
}

func (c *client) QueryTransfer(ctx context.Context, r *connect.Request[v1.QueryTransferRequest]) (*connect.Response[v1.QueryTransferResponse], error) {
	return call(ctx, c, func(m *member) func(context.Context, *connect.Request[v1.QueryTransferRequest]) (*connect.Response[v1.QueryTransferResponse], error) {
		return m.QueryTransfer
	}, r)
}

func (c *client) TransferShares(ctx context.Context, r *connect.Request[v1.TransferSharesRequest]) (*connect.Response[v1.TransferSharesResponse], error) {
	return call(ctx, c, func(m *member) func(context.Context, *connect.Request[v1.TransferSharesRequest]) (*connect.Response[v1.TransferSharesResponse], error) {
		return m.TransferShares
	}, r)
}

func testLimits(version fleet.SheetVersion) peer.Limits {
	return peer.Limits{
		Permits: []peer.PermitLimit{{Budget: 7, Server: "s"}},
		Rates:   []workspace.Limit{{Burst: 60, Rate: 30, Workspace: "w"}},
		Version: version,
	}
}
