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
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/nutmegpier/nutmegpier/feed"
	nutmegpierv1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
	"github.com/nutmegpier/nutmegpier/traffic"
)

// secretHeader is the header with the secret of the instance that is called.
const secretHeader = "Nutmegpier-Secret"

// retryHeader is the header of a refusal that says after how many milliseconds the caller
// may ask again.
const retryHeader = "Nutmegpier-Retry-After-Ms"

// maxRequestBytes bounds a request, which is decoded before its secret is checked. The
// largest one writes a row of at most 65,536 bytes.
const maxRequestBytes = 128 << 10

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
	packed *packedCache
	secret string
	source Source

	// mu guards pacer.
	mu    sync.Mutex
	pacer *Pacer
}

var _ nutmegpierv1connect.RelayServiceHandler = &Server{}

// NewServer returns a server for callers that know the secret. It sends whole tables no
// faster than the link allows; zero means that the link is not known.
func NewServer(secret []byte, source Source, linkMegabits float64) *Server {
	return &Server{packed: newPackedCache(), pacer: NewPacer(linkMegabits), secret: base64.StdEncoding.EncodeToString(secret), source: source}
}

// Handler returns the path and the HTTP handler of the service.
func (s *Server) Handler() (string, http.Handler) {
	return nutmegpierv1connect.NewRelayServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
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
	if message.GetAccepts() < packedVersion {
		for _, row := range snapshot.Rows {
			answer.Rows = append(answer.Rows, encodeRow(row))
		}
		countChanges(request.Msg, answer, traffic.In, traffic.Out)
		return connect.NewResponse(answer), nil
	}
	answer.Packed, answer.Compressed = s.packed.rows(message, snapshot)
	if answer.GetComplete() {
		if retryAfter, admitted := s.admitCopy(len(answer.GetPacked())); !admitted {
			refusal := connect.NewError(connect.CodeAborted, errors.New("other instances are loading the table"))
			refusal.Meta().Set(retryHeader, strconv.FormatInt(retryAfter.Milliseconds(), 10))
			return nil, refusal
		}
	}
	countChanges(request.Msg, answer, traffic.In, traffic.Out)
	return connect.NewResponse(answer), nil
}

// admitCopy reports whether a copy of a table may be sent now, and otherwise when to ask
// again.
func (s *Server) admitCopy(bytes int) (retryAfter time.Duration, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pacer.Admit(time.Now(), bytes)
}

// countChanges counts a request for changes and its answer.
func countChanges(request *nutmegpierv1.ChangesRequest, answer *nutmegpierv1.ChangesResponse, requested, answered traffic.Direction) {
	kind := traffic.KindRelayChanges
	if answer.GetComplete() {
		kind = traffic.KindRelayLoad
	}
	traffic.Count(kind, requested, proto.Size(request))
	traffic.Count(kind, answered, proto.Size(answer))
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
	traffic.Count(traffic.KindRowWrite, traffic.In, proto.Size(message))
	traffic.Count(traffic.KindRowWrite, traffic.Out, proto.Size(response))
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
	if base.Revision >= row.Revision {
		// The receiver read this version or a later one itself.
		row.Value = base.Value
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
	return nutmegpierv1connect.NewRelayServiceClient(c.http, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxCopyBytes))
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
	traffic.Count(traffic.KindRowWrite, traffic.Out, proto.Size(message.Msg))
	traffic.Count(traffic.KindRowWrite, traffic.In, proto.Size(answer.Msg))
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
	snapshot, err := c.changes(ctx, address, secret, request, known, false)
	var relayErr *Error
	if errors.As(err, &relayErr) && relayErr.Kind == KindInvalid {
		// The called instance assumed a version of a row that the caller doesn't have.
		return c.changes(ctx, address, secret, request, known, true)
	}
	return snapshot, err
}

func (c *Client) changes(ctx context.Context, address string, secret []byte, request Request, known func(key string) feed.RowVersion, whole bool) (feed.Snapshot, error) {
	message := connect.NewRequest(&nutmegpierv1.ChangesRequest{
		Accepts: packedVersion, After: uint64(request.After), StoreTimeNs: int64(request.StoreTime), Table: request.Table, Wait: request.Wait, Whole: whole,
	})
	message.Header().Set(secretHeader, base64.StdEncoding.EncodeToString(secret))
	answer, err := c.newClient(address).Changes(ctx, message)
	if err != nil {
		return feed.Snapshot{}, &Error{Err: err, Kind: kindOf(err), Op: "changes", RetryAfter: retryAfterOf(err)}
	}
	countChanges(message.Msg, answer.Msg, traffic.Out, traffic.In)
	snapshot := feed.Snapshot{
		Complete: answer.Msg.GetComplete(), Revision: feed.Revision(answer.Msg.GetRevision()), StoreTime: time.Duration(answer.Msg.GetStoreTimeNs()),
	}
	if snapshot.Rows, err = decodeRows(answer.Msg, known); err != nil {
		return feed.Snapshot{}, &Error{Err: err, Kind: KindInvalid, Op: "changes"}
	}
	return snapshot, nil
}

// decodeRows decodes the rows of an answer.
func decodeRows(answer *nutmegpierv1.ChangesResponse, known func(key string) feed.RowVersion) ([]feed.Row, error) {
	packed := answer.GetPacked()
	if answer.GetCompressed() {
		var err error
		if packed, err = decompress(packed); err != nil {
			return nil, err
		}
	}
	rows, err := unpackRows(packed, known)
	if err != nil {
		return nil, err
	}
	for _, message := range answer.GetRows() {
		row, err := decodeRow(message, known(message.GetKey()))
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}
