package standin

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/fleet"
	nutmegpierv1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
	"github.com/nutmegpier/nutmegpier/metastore"
)

// Outage is a kind of simulated outage of a platform service.
type Outage string

// Kinds of outages.
const (
	// OutageFail fails calls at once.
	OutageFail Outage = "Fail"
	// OutageHang blocks calls until the outage or the caller's deadline ends.
	OutageHang Outage = "Hang"
	// OutageNone means normal operation.
	OutageNone Outage = "None"
)

// CallCounts holds the numbers of calls that the platform received, including
// calls during an outage.
type CallCounts struct {
	Lists  int
	Reads  int
	Writes int
}

// Platform is the stand-in for the platform: its table, its object store and its
// list of instances. It is an http.Handler for PlatformService. SetOutage,
// SetDelay and DropResponses affect the table and the objects; FreezeInstances and
// SetListOutage affect the list of instances.
type Platform struct {
	handler http.Handler

	// mu guards the fields below.
	mu              sync.Mutex
	changed         chan struct{}
	counts          CallCounts
	delay           time.Duration
	frozen          []metastore.Instance
	instances       map[fleet.InstanceID]metastore.Instance
	isFrozen        bool
	listOutage      Outage
	responsesToDrop int
	objects         map[string][]byte
	outage          Outage
	rows            map[string]metastore.Row
}

var _ nutmegpierv1connect.PlatformServiceHandler = &Platform{}

// NewPlatform returns a platform without rows, objects and instances.
func NewPlatform() *Platform {
	p := &Platform{
		changed:    make(chan struct{}),
		instances:  make(map[fleet.InstanceID]metastore.Instance),
		listOutage: OutageNone,
		objects:    make(map[string][]byte),
		outage:     OutageNone,
		rows:       make(map[string]metastore.Row),
	}
	_, p.handler = nutmegpierv1connect.NewPlatformServiceHandler(p)
	return p
}

// ServeHTTP serves PlatformService.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.handler.ServeHTTP(w, r)
}

// Listen serves the platform on a new loopback listener. It returns the base
// URL and a function that stops the server.
func (p *Platform) Listen() (baseURL string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, &Error{Err: err, Kind: KindListen, Op: "platform"}
	}
	server := &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	var wg sync.WaitGroup
	// The error is ignored: Serve fails only when stop closes the server.
	wg.Go(func() { _ = server.Serve(listener) })
	return "http://" + listener.Addr().String(), func() {
		server.Close()
		wg.Wait()
	}, nil
}

// Counts returns the numbers of calls so far.
func (p *Platform) Counts() CallCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// AddInstance adds an instance to the list, or replaces its entry.
func (p *Platform) AddInstance(instance metastore.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[instance.ID] = instance
}

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(id fleet.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, id)
}

// FreezeInstances simulates a stale list of instances: while it is frozen,
// ListInstances returns the list as of this call.
func (p *Platform) FreezeInstances(frozen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen, p.isFrozen = p.sortedInstances(), frozen
}

// DropResponses simulates lost responses: the next n writes take effect, but
// return an error.
func (p *Platform) DropResponses(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responsesToDrop = n
}

// SetDelay sets a delay that is added to each call to the table and the objects.
func (p *Platform) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetListOutage starts or ends an outage of the list of instances.
func (p *Platform) SetListOutage(outage Outage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listOutage = outage
	p.broadcast()
}

// SetOutage starts or ends an outage of the table and the objects. A hanging call
// continues if the outage ends before the call's deadline. The server measures
// that deadline from the receipt of the call, so a hanging write can take effect
// shortly after its caller has timed out.
func (p *Platform) SetOutage(outage Outage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = outage
	p.broadcast()
}

// broadcast wakes hanging calls, which then check the outage again. The caller
// holds mu.
func (p *Platform) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// applyFaults simulates the faults of a service: it waits for the delay and for
// the end of a hanging outage, and returns an error during a failing outage. The
// delay does not apply to the list of instances.
func (p *Platform) applyFaults(ctx context.Context, outage *Outage) error {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	if outage == &p.outage && delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
		}
	}
	for {
		p.mu.Lock()
		current, changed := *outage, p.changed
		p.mu.Unlock()
		switch current {
		case OutageNone:
			if err := ctx.Err(); err != nil {
				return connect.NewError(connect.CodeDeadlineExceeded, err)
			}
			return nil
		case OutageFail:
			return connect.NewError(connect.CodeUnavailable, errors.New("the service is down"))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
		}
	}
}

func (p *Platform) countCall(counter *int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*counter++
}

// GetObject returns one object.
func (p *Platform) GetObject(ctx context.Context, req *connect.Request[nutmegpierv1.GetObjectRequest]) (*connect.Response[nutmegpierv1.GetObjectResponse], error) {
	p.countCall(&p.counts.Reads)
	if err := p.applyFaults(ctx, &p.outage); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	content, found := p.objects[req.Msg.GetName()]
	return connect.NewResponse(&nutmegpierv1.GetObjectResponse{Content: content, Found: found}), nil
}

// ListInstances returns the list of instances, or its frozen copy.
func (p *Platform) ListInstances(ctx context.Context, _ *connect.Request[nutmegpierv1.ListInstancesRequest]) (*connect.Response[nutmegpierv1.ListInstancesResponse], error) {
	p.countCall(&p.counts.Lists)
	if err := p.applyFaults(ctx, &p.listOutage); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	instances := p.frozen
	if !p.isFrozen {
		instances = p.sortedInstances()
	}
	res := &nutmegpierv1.ListInstancesResponse{}
	for _, i := range instances {
		res.Instances = append(res.Instances, &nutmegpierv1.ListedInstance{
			DataCentre:  string(i.DataCentre),
			Instance:    string(i.ID),
			PeerAddress: i.PeerAddress,
			State:       string(i.State),
		})
	}
	return connect.NewResponse(res), nil
}

// sortedInstances returns the instances in the order of their ids. The caller
// holds mu.
func (p *Platform) sortedInstances() []metastore.Instance {
	var instances []metastore.Instance
	for _, id := range slices.Sorted(maps.Keys(p.instances)) {
		instances = append(instances, p.instances[id])
	}
	return instances
}

// PutObject stores one object.
func (p *Platform) PutObject(ctx context.Context, req *connect.Request[nutmegpierv1.PutObjectRequest]) (*connect.Response[nutmegpierv1.PutObjectResponse], error) {
	p.countCall(&p.counts.Writes)
	if err := p.applyFaults(ctx, &p.outage); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[req.Msg.GetName()] = slices.Clone(req.Msg.GetContent())
	if err := p.consumeResponseDrop(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&nutmegpierv1.PutObjectResponse{}), nil
}

// consumeResponseDrop returns an error if the response to a write is to be
// dropped, and counts it. The caller holds mu.
func (p *Platform) consumeResponseDrop() error {
	if p.responsesToDrop == 0 {
		return nil
	}
	p.responsesToDrop--
	return connect.NewError(connect.CodeUnavailable, errors.New("the answer was lost"))
}

// ReadRows reads rows of the table.
func (p *Platform) ReadRows(ctx context.Context, req *connect.Request[nutmegpierv1.ReadRowsRequest]) (*connect.Response[nutmegpierv1.ReadRowsResponse], error) {
	p.countCall(&p.counts.Reads)
	if err := p.applyFaults(ctx, &p.outage); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	prefix := req.Msg.GetPrefix()
	res := &nutmegpierv1.ReadRowsResponse{}
	for _, key := range slices.Sorted(maps.Keys(p.rows)) {
		if slices.Contains(req.Msg.GetKeys(), key) || prefix != "" && strings.HasPrefix(key, prefix) {
			res.Rows = append(res.Rows, p.rowMessage(key))
		}
	}
	return connect.NewResponse(res), nil
}

// rowMessage returns the message for a row. The caller holds mu.
func (p *Platform) rowMessage(key string) *nutmegpierv1.Row {
	row := p.rows[key]
	return &nutmegpierv1.Row{Key: key, Revision: uint64(row.Revision), Value: row.Value}
}

// WriteRows writes all rows if all conditions hold, and none otherwise.
func (p *Platform) WriteRows(ctx context.Context, req *connect.Request[nutmegpierv1.WriteRowsRequest]) (*connect.Response[nutmegpierv1.WriteRowsResponse], error) {
	p.countCall(&p.counts.Writes)
	if err := p.applyFaults(ctx, &p.outage); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	keys := make(map[string]bool)
	applied := true
	for _, c := range req.Msg.GetConditions() {
		keys[c.GetKey()] = true
		applied = applied && uint64(p.rows[c.GetKey()].Revision) == c.GetRevision()
	}
	for _, row := range req.Msg.GetRows() {
		keys[row.GetKey()] = true
		if applied {
			p.writeRow(row)
		}
	}
	res := &nutmegpierv1.WriteRowsResponse{Applied: applied}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		res.Rows = append(res.Rows, p.rowMessage(key))
	}
	if err := p.consumeResponseDrop(); err != nil {
		return nil, err
	}
	return connect.NewResponse(res), nil
}

// writeRow stores a row with an incremented revision. The caller holds mu.
func (p *Platform) writeRow(row *nutmegpierv1.Row) {
	p.rows[row.GetKey()] = metastore.Row{
		Key:      row.GetKey(),
		Revision: p.rows[row.GetKey()].Revision + 1,
		Value:    slices.Clone(row.GetValue()),
	}
}
