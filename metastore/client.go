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

// Client calls the platform's PlatformService. The context of a call sets its
// deadline. A Client is safe for concurrent use.
type Client struct {
	service nutmegpierv1connect.PlatformServiceClient
}

var (
	_ InstanceList = &Client{}
	_ ObjectStore  = &Client{}
	_ Table        = &Client{}
)

// NewClient returns a client for the service at a base URL such as
// "http://127.0.0.1:7001".
func NewClient(httpClient connect.HTTPClient, baseURL string) *Client {
	return &Client{service: nutmegpierv1connect.NewPlatformServiceClient(httpClient, baseURL)}
}

// Get returns the content of an object and whether the object exists.
func (c *Client) Get(ctx context.Context, name string) ([]byte, bool, error) {
	res, err := c.service.GetObject(ctx, connect.NewRequest(&nutmegpierv1.GetObjectRequest{Name: name}))
	if err != nil {
		return nil, false, callError("get object", err)
	}
	return res.Msg.GetContent(), res.Msg.GetFound(), nil
}

// Instances returns the listed instances, ordered by ID.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	res, err := c.service.ListInstances(ctx, connect.NewRequest(&nutmegpierv1.ListInstancesRequest{}))
	if err != nil {
		return nil, callError("list instances", err)
	}
	var instances []Instance
	for _, i := range res.Msg.GetInstances() {
		instance, err := fromListedInstance(i)
		if err != nil {
			return nil, &Error{Err: err, Kind: KindInvalid, Op: "list instances"}
		}
		instances = append(instances, instance)
	}
	return instances, nil
}

// fromListedInstance converts an entry of the list of instances. It fails if the
// state of the instance is unknown.
func fromListedInstance(i *nutmegpierv1.ListedInstance) (Instance, error) {
	state := InstanceState(i.GetState())
	if state != InstanceLeaving && state != InstanceLive {
		return Instance{}, fmt.Errorf("instance %q has an unknown state %q", i.GetInstance(), state)
	}
	return Instance{
		DataCentre:  fleet.DataCentre(i.GetDataCentre()),
		ID:          fleet.InstanceID(i.GetInstance()),
		PeerAddress: i.GetPeerAddress(),
		State:       state,
	}, nil
}

// Put stores an object and replaces an existing one.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	_, err := c.service.PutObject(ctx, connect.NewRequest(&nutmegpierv1.PutObjectRequest{Content: content, Name: name}))
	return callError("put object", err)
}

// Read reads the rows with the given keys. See Table.
func (c *Client) Read(ctx context.Context, keys ...string) ([]Row, error) {
	return c.read(ctx, &nutmegpierv1.ReadRowsRequest{Keys: keys})
}

// ReadPrefix reads all rows whose key starts with the prefix, which must not be
// empty.
func (c *Client) ReadPrefix(ctx context.Context, prefix string) ([]Row, error) {
	if prefix == "" {
		return nil, &Error{Err: errors.New("the prefix must not be empty"), Kind: KindInvalid, Op: "read rows"}
	}
	return c.read(ctx, &nutmegpierv1.ReadRowsRequest{Prefix: prefix})
}

func (c *Client) read(ctx context.Context, req *nutmegpierv1.ReadRowsRequest) ([]Row, error) {
	res, err := c.service.ReadRows(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, callError("read rows", err)
	}
	return fromRowMessages(res.Msg.GetRows()), nil
}

// Write writes all rows if all conditions hold, and none otherwise. See Table.
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
		return false, nil, callError("write rows", err)
	}
	return res.Msg.GetApplied(), fromRowMessages(res.Msg.GetRows()), nil
}

func fromRowMessages(messages []*nutmegpierv1.Row) []Row {
	var rows []Row
	for _, m := range messages {
		rows = append(rows, Row{Key: m.GetKey(), Revision: Revision(m.GetRevision()), Value: m.GetValue()})
	}
	return rows
}

// callError returns the error of a failed call, or nil if err is nil.
func callError(op string, err error) error {
	if err == nil {
		return nil
	}
	kind := KindUnavailable
	if connect.CodeOf(err) == connect.CodeInvalidArgument {
		kind = KindInvalid
	}
	return &Error{Err: err, Kind: kind, Op: op}
}
