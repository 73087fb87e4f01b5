package relay_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/feed"
	nutmegpierv1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
	"github.com/nutmegpier/nutmegpier/relay"
)

// source records the requests and returns a fixed answer or error.
type source struct {
	err      error
	requests []relay.Request
	result   relay.RowWriteResult
	snapshot feed.Snapshot
	writes   []relay.RowWrite
}

func (s *source) ReadChanges(_ context.Context, request relay.Request) (feed.Snapshot, error) {
	s.requests = append(s.requests, request)
	return s.snapshot, s.err
}

func (s *source) WriteRow(_ context.Context, write relay.RowWrite) (relay.RowWriteResult, error) {
	s.writes = append(s.writes, write)
	return s.result, s.err
}

// unknown is the known version of rows for a caller that has none.
func unknown(string) feed.RowVersion { return feed.RowVersion{} }

func serve(t *testing.T, s *source) (address string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(relay.NewServer([]byte("secret"), s, 0).Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestChanges guards against fields that are lost in the conversion to and from
// the wire format.
func TestChanges(t *testing.T) {
	s := &source{snapshot: feed.Snapshot{
		Complete: true, Revision: 9, StoreTime: 3 * time.Second,
		Rows: []feed.Row{{Key: "a", Revision: 8, Value: []byte("x")}, {Deleted: true, Key: "b", Revision: 9}},
	}}
	request := relay.Request{After: 7, StoreTime: time.Second, Table: "t", Wait: true}
	got, err := relay.NewClient(http.DefaultClient).Changes(t.Context(), serve(t, s), []byte("secret"), request, unknown)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s.snapshot, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]relay.Request{request}, s.requests); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
}

// TestErrors guards against an answer to a caller that does not know the
// secret, and against an error that is taken for an answer without changes.
func TestErrors(t *testing.T) {
	for _, test := range []struct {
		name         string
		secret       string
		source       *source
		want         relay.Kind
		wantRequests int
	}{
		{name: "secret", secret: "other", source: &source{}, want: relay.KindUnauthorized},
		{name: "source", secret: "secret", source: &source{err: errors.New("does not read from the store")}, want: relay.KindRefused, wantRequests: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := relay.NewClient(http.DefaultClient).Changes(t.Context(), serve(t, test.source), []byte(test.secret), relay.Request{Table: "t"}, unknown)
			var failure *relay.Error
			if !errors.As(err, &failure) || failure.Kind != test.want {
				t.Errorf("error %v, want %s", err, test.want)
			}
			if got := len(test.source.requests); got != test.wantRequests {
				t.Errorf("%d requests reached the source, want %d", got, test.wantRequests)
			}
		})
	}
}

// TestRelayedDelta guards against a row that is sent whole although only its heartbeat
// changed, and against a reader without the version that it is made for, which reads the
// store instead of getting the whole row.
func TestRelayedDelta(t *testing.T) {
	before := feed.RowVersion{Revision: 4, Value: []byte(`{"At":100,"Beat":7,"Address":"10.0.0.1:7561"}`)}
	after := []byte(`{"At":2100,"Beat":8,"Address":"10.0.0.1:7561"}`)
	s := &source{snapshot: feed.Snapshot{Revision: 9, Rows: []feed.Row{{Base: before, Key: "i", Revision: 8, Value: after}}}}
	address := serve(t, s)
	changes := func(known feed.RowVersion) (feed.Snapshot, error) {
		return relay.NewClient(http.DefaultClient).Changes(context.Background(), address, []byte("secret"), relay.Request{After: 5}, func(string) feed.RowVersion { return known })
	}
	snapshot, err := changes(before)
	if err != nil {
		t.Fatal(err)
	}
	want := feed.Snapshot{Revision: 9, Rows: []feed.Row{{Key: "i", Revision: 8, Value: after}}}
	if diff := cmp.Diff(want, snapshot); diff != "" {
		t.Errorf("snapshot (-want +got):\n%s", diff)
	}
	for name, known := range map[string]feed.RowVersion{
		"no value": {}, "later value": {Revision: 6, Value: before.Value}, "shorter value": {Revision: 4, Value: []byte("{}")},
	} {
		snapshot, err := changes(known)
		if diff := cmp.Diff(want, snapshot); diff != "" || err != nil {
			t.Errorf("%s: error %v, snapshot (-want +got):\n%s", name, err, diff)
		}
	}
	// A reader that has the version itself, or a later one, needs no value.
	own := feed.RowVersion{Revision: 8, Value: after}
	if snapshot, err := changes(own); err != nil || len(snapshot.Rows) != 1 || string(snapshot.Rows[0].Value) != string(after) {
		t.Errorf("own version: error %v, rows %+v", err, snapshot.Rows)
	}
}

// earlierServer is a relay of an earlier version of the program, which sends no packed
// rows.
type earlierServer struct {
	nutmegpierv1connect.UnimplementedRelayServiceHandler
}

func (earlierServer) Changes(context.Context, *connect.Request[nutmegpierv1.ChangesRequest]) (*connect.Response[nutmegpierv1.ChangesResponse], error) {
	return connect.NewResponse(&nutmegpierv1.ChangesResponse{Revision: 9, Rows: []*nutmegpierv1.RelayedRow{
		{Key: "i", Revision: 8, Value: []byte("2"), BaseRevision: 4, PrefixLength: 1, SuffixLength: 1},
	}}), nil
}

// TestEarlierVersions guards against instances of two versions of the program that can't
// read each other's rows during an update, and against a changed part that is applied to
// another value than the one it was made for.
func TestEarlierVersions(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(nutmegpierv1connect.NewRelayServiceHandler(earlierServer{}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	changes := func(known feed.RowVersion) (feed.Snapshot, error) {
		return relay.NewClient(http.DefaultClient).Changes(t.Context(), strings.TrimPrefix(server.URL, "http://"), nil, relay.Request{}, func(string) feed.RowVersion { return known })
	}
	snapshot, err := changes(feed.RowVersion{Revision: 4, Value: []byte("[1]")})
	want := feed.Snapshot{Revision: 9, Rows: []feed.Row{{Key: "i", Revision: 8, Value: []byte("[2]")}}}
	if diff := cmp.Diff(want, snapshot); diff != "" || err != nil {
		t.Errorf("error %v, snapshot (-want +got):\n%s", err, diff)
	}
	for name, known := range map[string]feed.RowVersion{
		"no value": {}, "later value": {Revision: 6, Value: []byte("[1]")}, "shorter value": {Revision: 4, Value: []byte("1")},
	} {
		_, err := changes(known)
		var relayErr *relay.Error
		if !errors.As(err, &relayErr) || relayErr.Kind != relay.KindInvalid {
			t.Errorf("%s: error %v, want kind Invalid", name, err)
		}
	}
	// A caller of an earlier version gets plain rows.
	s := &source{snapshot: feed.Snapshot{Revision: 9, Rows: []feed.Row{{Key: "i", Revision: 8, Value: []byte("[2]"), Base: feed.RowVersion{Revision: 4, Value: []byte("[1]")}}}}}
	request := connect.NewRequest(&nutmegpierv1.ChangesRequest{})
	request.Header().Set("Nutmegpier-Secret", "c2VjcmV0")
	answer, err := nutmegpierv1connect.NewRelayServiceClient(http.DefaultClient, "http://"+serve(t, s)).Changes(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	if rows := answer.Msg.GetRows(); len(rows) != 1 || string(rows[0].GetValue()) != "2" || rows[0].GetPrefixLength() != 1 {
		t.Errorf("plain rows %v", rows)
	}
}

// TestWriteRow guards against fields of a write or its result that are lost on the way,
// and against a failed call to the store that looks like a silent relay, so that all
// instances turn to the store at once.
func TestWriteRow(t *testing.T) {
	s := &source{result: relay.RowWriteResult{Current: feed.Row{Key: "i", Revision: 12, Value: []byte("x")}}}
	address := serve(t, s)
	write := relay.RowWrite{Key: "i", Partition: "instances-1", Revision: 11, Urgent: true, Value: []byte("y")}
	call := func() (relay.RowWriteResult, error) {
		return relay.NewClient(http.DefaultClient).WriteRow(context.Background(), address, []byte("secret"), write)
	}
	for _, want := range []relay.RowWriteResult{s.result, {Applied: true, Revision: 13}} {
		s.result = want
		got, err := call()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("result (-want +got):\n%s", diff)
		}
	}
	if diff := cmp.Diff([]relay.RowWrite{write, write}, s.writes); diff != "" {
		t.Errorf("writes (-want +got):\n%s", diff)
	}
	s.err = errors.New("no answer")
	_, err := call()
	var relayErr *relay.Error
	if !errors.As(err, &relayErr) || relayErr.Kind != relay.KindStoreFailed {
		t.Errorf("error %v, want kind StoreFailed", err)
	}
}
