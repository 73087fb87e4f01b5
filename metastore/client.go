package metastore

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/fleet"
	nutmegpierv1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
)

// Client reaches the platform through PlatformService. Deadlines come from
// the context of each call. It is safe for concurrent use.
type Client struct {
	service nutmegpierv1connect.PlatformServiceClient
}

var (
	_ InstanceList = &Client{}
	_ ObjectStore  = &Client{}
	_ Table        = &Client{}
)

// NewClient returns a client of the service at a base URL such as
// "http://127.0.0.1:7001".
func NewClient(httpClient connect.HTTPClient, baseURL string) *Client {
	return &Client{service: nutmegpierv1connect.NewPlatformServiceClient(httpClient, baseURL)}
}

// Get returns an object, and whether it exists.
func (c *Client) Get(ctx context.Context, name string) ([]byte, bool, error) {
	res, err := c.service.GetObject(ctx, connect.NewRequest(&nutmegpierv1.GetObjectRequest{Name: name}))
	if err != nil {
		return nil, false, clientError("get object", err)
	}
	return res.Msg.GetContent(), res.Msg.GetFound(), nil
}

// Instances returns the listed instances.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	res, err := c.service.ListInstances(ctx, connect.NewRequest(&nutmegpierv1.ListInstancesRequest{}))
	if err != nil {
		return nil, clientError("list instances", err)
	}
	var instances []Instance
	for _, i := range res.Msg.GetInstances() {
		instance, err := instanceOf(i)
		if err != nil {
			return nil, &Error{Err: err, Kind: KindInvalid, Op: "list instances"}
		}
		instances = append(instances, instance)
	}
	return instances, nil
}

func instanceOf(i *nutmegpierv1.ListedInstance) (Instance, error) {
	state := InstanceState(i.GetState())
	if state != InstanceLeaving && state != InstanceLive {
		return Instance{}, fmt.Errorf("instance %q has the unknown state %q", i.GetInstance(), state)
	}
	return Instance{
		DataCentre:  fleet.DataCentre(i.GetDataCentre()),
		ID:          fleet.InstanceID(i.GetInstance()),
		PeerAddress: i.GetPeerAddress(),
		State:       state,
	}, nil
}

// Put stores an object.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	_, err := c.service.PutObject(ctx, connect.NewRequest(&nutmegpierv1.PutObjectRequest{Content: content, Name: name}))
	return clientError("put object", err)
}

// Read reads the rows with the keys.
func (c *Client) Read(ctx context.Context, keys ...string) ([]Row, error) {
	return c.read(ctx, &nutmegpierv1.ReadRowsRequest{Keys: keys})
}

// ReadPrefix reads all rows whose key starts with the prefix.
func (c *Client) ReadPrefix(ctx context.Context, prefix string) ([]Row, error) {
	if prefix == "" {
		return nil, &Error{Err: errors.New("empty prefix"), Kind: KindInvalid, Op: "read rows"}
	}
	return c.read(ctx, &nutmegpierv1.ReadRowsRequest{Prefix: prefix})
}

func (c *Client) read(ctx context.Context, req *nutmegpierv1.ReadRowsRequest) ([]Row, error) {
	res, err := c.service.ReadRows(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, clientError("read rows", err)
	}
	return rowsOf(res.Msg.GetRows()), nil
}

// Write writes all rows if all conditions hold, and none otherwise.
func (c *Client) Write(ctx context.Context, conditions []Condition, rows []Row) (bool, []Row, error) {
	req := &nutmegpierv1.WriteRowsRequest{}
	for _, condition := range conditions {
		req.Conditions = append(req.Conditions, &nutmegpierv1.Condition{Key: condition.Key, Revision: uint64(condition.Revision)})
	}
	for _, row := range rows {
		req.Rows = append(req.Rows, &nutmegpierv1.Row{Key: row.Key, Value: row.Value})
	}
	res, err := c.service.WriteRows(ctx, connect.NewRequest(req))
	if err != nil {
		return false, nil, clientError("write rows", err)
	}
	return res.Msg.GetApplied(), rowsOf(res.Msg.GetRows()), nil
}

func rowsOf(messages []*nutmegpierv1.Row) []Row {
	var rows []Row
	for _, m := range messages {
		rows = append(rows, Row{Key: m.GetKey(), Revision: Revision(m.GetRevision()), Value: m.GetValue()})
	}
	return rows
}

func clientError(op string, err error) error {
	if err == nil {
		return nil
	}
	kind := KindUnavailable
	if connect.CodeOf(err) == connect.CodeInvalidArgument {
		kind = KindInvalid
	}
	return &Error{Err: err, Kind: kind, Op: op}
}
