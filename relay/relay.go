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
	"slices"
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

// RowWrite is a conditional write of a row of the calling instance.
type RowWrite struct {
	// Hold makes the called instance only keep the row, and write it if the calling one
	// is silent for a while. An empty value discards it.
	Hold      bool
	Key       string
	Partition string
	// Revision is the revision that the row must have. Zero means that it must not
	// exist.
	Revision feed.Revision
	// Table is the table of the row. Empty means that of the instances' rows.
	Table string
	// Urgent says that other instances wait for what the row says.
	Urgent bool
	Value  []byte
}

// RowWriteResult is the result of a RowWrite.
type RowWriteResult struct {
	// Applied is false if the condition did not hold.
	Applied bool
	// Current is the current row if the condition did not hold.
	Current feed.Row
	// Revision is the new revision of the row.
	Revision feed.Revision
}

// Source provides the tables that this instance reads, and writes the rows of other
// instances.
type Source interface {
	// ReadChanges returns the changes of a table since a revision. It returns
	// an error if this instance does not read the table from the store itself.
	ReadChanges(ctx context.Context, request Request) (feed.Snapshot, error)
	// WriteRow writes a row. After an error the row may have been written,
	// or may be written later if the condition still holds.
	WriteRow(ctx context.Context, write RowWrite) (RowWriteResult, error)
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
	if err := s.authenticate(request.Header()); err != nil {
		return nil, err
	}
	message := request.Msg
	snapshot, err := s.source.ReadChanges(ctx, Request{
		After: feed.Revision(message.GetAfter()), StoreTime: time.Duration(message.GetStoreTimeNs()),
		Table: message.GetTable(), Wait: message.GetWait(),
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeAborted, err)
	}
	answer := &nutmegpierv1.ChangesResponse{
		Complete: snapshot.Complete, Revision: uint64(snapshot.Revision), StoreTimeNs: int64(snapshot.StoreTime),
	}
	for _, row := range snapshot.Rows {
		answer.Rows = append(answer.Rows, encodeRow(row))
	}
	return connect.NewResponse(answer), nil
}

// WriteRow serves one call.
func (s *Server) WriteRow(ctx context.Context, request *connect.Request[nutmegpierv1.WriteRowRequest]) (*connect.Response[nutmegpierv1.WriteRowResponse], error) {
	if err := s.authenticate(request.Header()); err != nil {
		return nil, err
	}
	message := request.Msg
	result, err := s.source.WriteRow(ctx, RowWrite{
		Hold: message.GetHold(), Key: message.GetKey(), Partition: message.GetPartition(), Revision: feed.Revision(message.GetRevision()),
		Table: message.GetTable(), Urgent: message.GetUrgent(), Value: message.GetValue(),
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	response := &nutmegpierv1.WriteRowResponse{Applied: result.Applied, Revision: uint64(result.Revision)}
	if !result.Applied {
		response.Current = encodeRow(result.Current)
	}
	return connect.NewResponse(response), nil
}

// authenticate checks that the caller knows the secret.
func (s *Server) authenticate(header http.Header) error {
	if subtle.ConstantTimeCompare([]byte(header.Get(secretHeader)), []byte(s.secret)) != 1 {
		return connect.NewError(connect.CodeUnauthenticated, errors.New("the secret is not that of this instance"))
	}
	return nil
}

// encodeRow encodes a row, or only the changed part of it if the receiver has the value
// that it replaces.
func encodeRow(row feed.Row) *nutmegpierv1.RelayedRow {
	message := &nutmegpierv1.RelayedRow{Deleted: row.Deleted, Key: row.Key, Revision: uint64(row.Revision), Value: row.Value}
	if row.Base.Revision != 0 && !row.Deleted {
		prefix, suffix := commonEnds(row.Base.Value, row.Value)
		message.BaseRevision, message.PrefixLength, message.SuffixLength = uint64(row.Base.Revision), uint64(prefix), uint64(suffix)
		message.Value = row.Value[prefix : len(row.Value)-suffix]
	}
	return message
}

// commonEnds returns the lengths of the common prefix of two values, and of the common
// suffix of what follows it.
func commonEnds(a, b []byte) (prefix, suffix int) {
	shorter := min(len(a), len(b))
	for prefix < shorter && a[prefix] == b[prefix] {
		prefix++
	}
	for suffix < shorter-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	return prefix, suffix
}

// decodeRow decodes a row. The base is the value of the row that the receiver has.
func decodeRow(message *nutmegpierv1.RelayedRow, base feed.RowVersion) (feed.Row, error) {
	row := feed.Row{Deleted: message.GetDeleted(), Key: message.GetKey(), Revision: feed.Revision(message.GetRevision()), Value: message.GetValue()}
	if message.GetBaseRevision() == 0 {
		return row, nil
	}
	prefix, suffix, length := message.GetPrefixLength(), message.GetSuffixLength(), uint64(len(base.Value))
	if base.Revision != feed.Revision(message.GetBaseRevision()) || prefix > length || suffix > length-prefix {
		return feed.Row{}, errors.New("row " + row.Key + ": the changed part does not apply to the known value")
	}
	row.Value = slices.Concat(base.Value[:prefix], row.Value, base.Value[length-suffix:])
	return row, nil
}

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	http connect.HTTPClient
}

// NewClient returns a client that uses the given HTTP client.
func NewClient(httpClient connect.HTTPClient) *Client {
	return &Client{http: httpClient}
}

// newClient returns a client of the instance at an address. Responses are not
// compressed: they contain only changes, and a relay sends them to many instances.
func (c *Client) newClient(address string) nutmegpierv1connect.RelayServiceClient {
	return nutmegpierv1connect.NewRelayServiceClient(c.http, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil))
}

// WriteRow calls the instance at an address, with the secret of that instance.
func (c *Client) WriteRow(ctx context.Context, address string, secret []byte, write RowWrite) (RowWriteResult, error) {
	message := connect.NewRequest(&nutmegpierv1.WriteRowRequest{
		Hold: write.Hold, Key: write.Key, Partition: write.Partition, Revision: uint64(write.Revision), Table: write.Table, Urgent: write.Urgent, Value: write.Value,
	})
	message.Header().Set(secretHeader, base64.StdEncoding.EncodeToString(secret))
	answer, err := c.newClient(address).WriteRow(ctx, message)
	if err != nil {
		return RowWriteResult{}, &Error{Err: err, Kind: kindOf(err), Op: "write row"}
	}
	result := RowWriteResult{Applied: answer.Msg.GetApplied(), Revision: feed.Revision(answer.Msg.GetRevision())}
	if !result.Applied {
		result.Current, err = decodeRow(answer.Msg.GetCurrent(), feed.RowVersion{})
	}
	if err != nil {
		return RowWriteResult{}, &Error{Err: err, Kind: KindInvalid, Op: "write row"}
	}
	return result, nil
}

// Changes calls the instance at an address, with the secret of that instance. The
// function known returns the value of a row that the caller has.
func (c *Client) Changes(ctx context.Context, address string, secret []byte, request Request, known func(key string) feed.RowVersion) (feed.Snapshot, error) {
	message := connect.NewRequest(&nutmegpierv1.ChangesRequest{
		After: uint64(request.After), StoreTimeNs: int64(request.StoreTime), Table: request.Table, Wait: request.Wait,
	})
	message.Header().Set(secretHeader, base64.StdEncoding.EncodeToString(secret))
	answer, err := c.newClient(address).Changes(ctx, message)
	if err != nil {
		return feed.Snapshot{}, &Error{Err: err, Kind: kindOf(err), Op: "changes"}
	}
	snapshot := feed.Snapshot{
		Complete: answer.Msg.GetComplete(), Revision: feed.Revision(answer.Msg.GetRevision()), StoreTime: time.Duration(answer.Msg.GetStoreTimeNs()),
	}
	for _, message := range answer.Msg.GetRows() {
		row, err := decodeRow(message, known(message.GetKey()))
		if err != nil {
			return feed.Snapshot{}, &Error{Err: err, Kind: KindInvalid, Op: "changes"}
		}
		snapshot.Rows = append(snapshot.Rows, row)
	}
	return snapshot, nil
}
