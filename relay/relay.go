// Package relay passes on what one instance has read from the platform's store
// to the other instances, so that not all of them load the store. A relayed
// answer carries the store's own time, from which a receiver knows its age, as
// with an answer of the store itself.
package relay

import (
	"context"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/feed"
	nutmegpierv1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
)

// secretHeader is the header with the secret of the instance that is called.
const secretHeader = "Nutmegpier-Secret"

// Request asks for a newer answer of the store about a table.
type Request struct {
	// After is the revision up to which the caller knows the table.
	After feed.Revision
	// StoreTime is the store's time of the newest answer that the caller has.
	StoreTime time.Duration
	Table     string
	// Wait makes the call wait for an answer of the store that is later than
	// StoreTime. Otherwise the newest known answer is returned at once.
	Wait bool
}

// Source provides the tables that this instance reads.
type Source interface {
	// ReadChanges returns the changes of a table since a revision. It returns
	// an error if this instance does not read the table from the store itself.
	ReadChanges(ctx context.Context, request Request) (feed.Snapshot, error)
}

// Server serves the calls of other instances.
type Server struct {
	secret string
	source Source
}

var _ nutmegpierv1connect.RelayServiceHandler = &Server{}

// NewServer returns a server for callers that know the secret.
func NewServer(secret []byte, source Source) *Server {
	return &Server{secret: base64.StdEncoding.EncodeToString(secret), source: source}
}

// Handler returns the path and the HTTP handler of the service.
func (s *Server) Handler() (string, http.Handler) {
	return nutmegpierv1connect.NewRelayServiceHandler(s)
}

// Changes serves one call.
func (s *Server) Changes(ctx context.Context, request *connect.Request[nutmegpierv1.ChangesRequest]) (*connect.Response[nutmegpierv1.ChangesResponse], error) {
	if subtle.ConstantTimeCompare([]byte(request.Header().Get(secretHeader)), []byte(s.secret)) != 1 {
		return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("the secret is not that of this instance"))
	}
	message := request.Msg
	snapshot, err := s.source.ReadChanges(ctx, Request{
		After: feed.Revision(message.GetAfter()), StoreTime: time.Duration(message.GetStoreTimeNs()),
		Table: message.GetTable(), Wait: message.GetWait(),
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	answer := &nutmegpierv1.ChangesResponse{
		Complete: snapshot.Complete, Revision: uint64(snapshot.Revision), StoreTimeNs: int64(snapshot.StoreTime),
	}
	for _, row := range snapshot.Rows {
		answer.Rows = append(answer.Rows, &nutmegpierv1.RelayedRow{
			Deleted: row.Deleted, Key: row.Key, Revision: uint64(row.Revision), Value: row.Value,
		})
	}
	return connect.NewResponse(answer), nil
}

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	http connect.HTTPClient
}

// NewClient returns a client that uses the given HTTP client.
func NewClient(httpClient connect.HTTPClient) *Client {
	return &Client{http: httpClient}
}

// Changes calls the instance at an address, with the secret of that instance.
func (c *Client) Changes(ctx context.Context, address string, secret []byte, request Request) (feed.Snapshot, error) {
	message := connect.NewRequest(&nutmegpierv1.ChangesRequest{
		After: uint64(request.After), StoreTimeNs: int64(request.StoreTime), Table: request.Table, Wait: request.Wait,
	})
	message.Header().Set(secretHeader, base64.StdEncoding.EncodeToString(secret))
	answer, err := nutmegpierv1connect.NewRelayServiceClient(c.http, "http://"+address).Changes(ctx, message)
	if err != nil {
		return feed.Snapshot{}, &Error{Err: err, Kind: kindOf(err), Op: "changes"}
	}
	snapshot := feed.Snapshot{
		Complete: answer.Msg.GetComplete(), Revision: feed.Revision(answer.Msg.GetRevision()), StoreTime: time.Duration(answer.Msg.GetStoreTimeNs()),
	}
	for _, row := range answer.Msg.GetRows() {
		snapshot.Rows = append(snapshot.Rows, feed.Row{
			Deleted: row.GetDeleted(), Key: row.GetKey(), Revision: feed.Revision(row.GetRevision()), Value: row.GetValue(),
		})
	}
	return snapshot, nil
}
