package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	nutmegpierv1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// Client calls the administration API of one instance.
type Client struct {
	service nutmegpierv1connect.AdminServiceClient
	token   string
}

// NewClient returns a client for the API at a URL. The client authenticates with a
// bearer token.
func NewClient(httpClient connect.HTTPClient, url, token string) *Client {
	return &Client{service: nutmegpierv1connect.NewAdminServiceClient(httpClient, url), token: token}
}

// DrainDataCentre takes a data centre out of service.
func (c *Client) DrainDataCentre(ctx context.Context, dataCentre fleet.DataCentre, force bool) (Publication, error) {
	return c.drain(ctx, &nutmegpierv1.DrainRequest{DataCentre: string(dataCentre), Force: force})
}

// DrainServer takes a backend server out of service.
func (c *Client) DrainServer(ctx context.Context, server fleet.ServerID, force bool) (Publication, error) {
	return c.drain(ctx, &nutmegpierv1.DrainRequest{Server: string(server), Force: force})
}

// Events returns the events that the instance keeps in memory, oldest first.
func (c *Client) Events(ctx context.Context, filter event.Filter) ([]event.Event, error) {
	return c.events(ctx, filter, false)
}

// ArchivedEvents returns the events in the archived snapshots of all instances,
// including instances that have ended.
func (c *Client) ArchivedEvents(ctx context.Context, filter event.Filter) ([]event.Event, error) {
	return c.events(ctx, filter, true)
}

func (c *Client) events(ctx context.Context, filter event.Filter, archived bool) ([]event.Event, error) {
	const op = "read timeline"
	response, err := call(ctx, c, op, false, c.service.Timeline, &nutmegpierv1.TimelineRequest{
		Archived:  archived,
		Database:  string(filter.Database),
		Event:     uint32(filter.Number),
		Limit:     uint32(max(filter.Limit, 0)),
		Session:   filter.Session,
		Workspace: string(filter.Workspace),
	})
	if err != nil {
		return nil, err
	}
	events := make([]event.Event, len(response.GetEvents()))
	for i, content := range response.GetEvents() {
		if err := json.Unmarshal([]byte(content), &events[i]); err != nil {
			return nil, &Error{Err: err, Kind: KindInvalid, Op: op}
		}
	}
	return events, nil
}

// Publish publishes a sheet. Of the request it uses only Base, Comment, Content,
// DryRun and Force.
func (c *Client) Publish(ctx context.Context, request sheet.PublishRequest) (Publication, error) {
	response, err := call(ctx, c, "publish sheet", !request.DryRun, c.service.PublishSheet, &nutmegpierv1.PublishSheetRequest{
		BaseVersion: uint64(request.Base),
		Comment:     request.Comment,
		Content:     request.Content,
		DryRun:      request.DryRun,
		Force:       request.Force,
	})
	return publicationOf(response), err
}

// RestoreDataCentre brings a data centre back into service.
func (c *Client) RestoreDataCentre(ctx context.Context, dataCentre fleet.DataCentre) (Publication, error) {
	return c.restore(ctx, &nutmegpierv1.RestoreRequest{DataCentre: string(dataCentre)})
}

// RestoreServer brings a backend server back into service.
func (c *Client) RestoreServer(ctx context.Context, server fleet.ServerID) (Publication, error) {
	return c.restore(ctx, &nutmegpierv1.RestoreRequest{Server: string(server)})
}

// Sheet returns a sheet version. Zero means the newest version.
func (c *Client) Sheet(ctx context.Context, version fleet.SheetVersion) (SheetVersion, error) {
	response, err := call(ctx, c, "read sheet", false, c.service.GetSheet, &nutmegpierv1.GetSheetRequest{Version: uint64(version)})
	return SheetVersion{Content: response.GetContent(), Version: fleet.SheetVersion(response.GetVersion())}, err
}

// Sheets returns the history of published sheets, newest first.
func (c *Client) Sheets(ctx context.Context, limit int) ([]SheetSummary, error) {
	const op = "list sheets"
	response, err := call(ctx, c, op, false, c.service.ListSheets, &nutmegpierv1.ListSheetsRequest{Limit: uint32(max(limit, 0))})
	if err != nil {
		return nil, err
	}
	var summaries []SheetSummary
	for _, entry := range response.GetSheets() {
		publishedAt, err := time.Parse(time.RFC3339, entry.GetPublishedAt())
		if err != nil {
			return nil, &Error{Err: err, Kind: KindInvalid, Op: op}
		}
		summaries = append(summaries, SheetSummary{
			Comment:     entry.GetComment(),
			PublishedAt: publishedAt,
			Publisher:   entry.GetPublisher(),
			Version:     fleet.SheetVersion(entry.GetVersion()),
		})
	}
	return summaries, nil
}

// Status returns the state of the instance, and of the other instances as it knows
// them.
func (c *Client) Status(ctx context.Context) (Status, error) {
	const op = "read status"
	response, err := call(ctx, c, op, false, c.service.Status, &nutmegpierv1.StatusRequest{})
	if err != nil {
		return Status{}, err
	}
	var status Status
	if err := json.Unmarshal([]byte(response.GetContent()), &status); err != nil {
		return Status{}, &Error{Err: err, Kind: KindInvalid, Op: op}
	}
	return status, nil
}

func (c *Client) drain(ctx context.Context, request *nutmegpierv1.DrainRequest) (Publication, error) {
	response, err := call(ctx, c, "drain", true, c.service.Drain, request)
	return publicationOf(response.GetPublication()), err
}

func (c *Client) restore(ctx context.Context, request *nutmegpierv1.RestoreRequest) (Publication, error) {
	response, err := call(ctx, c, "restore", true, c.service.Restore, request)
	return publicationOf(response.GetPublication()), err
}

// call calls a procedure with the bearer token. Mutates is true if the call changes
// something. If the response to such a call is lost, the error has the kind
// KindUnknownOutcome.
func call[Request, Response any](ctx context.Context, c *Client, op string, mutates bool, procedure func(context.Context, *connect.Request[Request]) (*connect.Response[Response], error), message *Request) (*Response, error) {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+c.token)
	response, err := procedure(ctx, request)
	if err != nil {
		return nil, &Error{Err: fmt.Errorf("%s", sheet.Redact(err.Error())), Kind: kindOf(err, mutates), Op: op}
	}
	return response.Msg, nil
}

// kindOf returns the kind of an error. If the connection could not be opened, the
// call certainly had no effect.
func kindOf(err error, mutates bool) Kind {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return KindUnavailable
	}
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		return KindUnavailable
	case connect.CodeInvalidArgument, connect.CodeResourceExhausted:
		return KindInvalid
	case connect.CodeNotFound, connect.CodeUnimplemented:
		return KindNotFound
	case connect.CodePermissionDenied:
		return KindDenied
	case connect.CodeUnauthenticated:
		return KindUnauthenticated
	}
	if mutates {
		return KindUnknownOutcome
	}
	return KindUnavailable
}

func publicationOf(response *nutmegpierv1.PublishSheetResponse) Publication {
	return Publication{
		Changes:  response.GetDiff(),
		Outcome:  sheet.Outcome(response.GetOutcome()),
		Problems: response.GetProblems(),
		Version:  fleet.SheetVersion(response.GetVersion()),
	}
}
