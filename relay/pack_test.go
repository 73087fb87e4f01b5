package relay_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/feed"
	nutmegpierv1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
	"github.com/nutmegpier/nutmegpier/relay"
)

// handlerClient calls a handler without a network and counts the bytes of the bodies.
type handlerClient struct {
	handler  http.Handler
	bytes    int64
	messages int
}

func (c *handlerClient) Do(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	c.handler.ServeHTTP(recorder, request)
	c.bytes += max(0, request.ContentLength) + int64(recorder.Body.Len())
	c.messages++
	return recorder.Result(), nil
}

// newHandlerClient returns a client of a relay with the given source.
func newHandlerClient(s relay.Source, linkMegabits float64) *handlerClient {
	mux := http.NewServeMux()
	mux.Handle(relay.NewServer([]byte("secret"), s, linkMegabits).Handler())
	return &handlerClient{handler: mux}
}

// TestPackedRows guards against a row that is another one after it was packed, whatever
// differs from the version that the receiver has.
func TestPackedRows(t *testing.T) {
	alphabet := rapid.StringMatching(`[{},":0-9a-c]{0,60}`)
	rapid.Check(t, func(t *rapid.T) {
		known := map[string]feed.RowVersion{}
		want := feed.Snapshot{Revision: 1000}
		s := &source{snapshot: want}
		for i := range rapid.IntRange(1, 6).Draw(t, "rows") {
			key := rapid.StringMatching(`a{0,3}`).Draw(t, "key") + strconv.Itoa(i)
			shared := alphabet.Draw(t, "shared")
			base := feed.RowVersion{Revision: feed.Revision(rapid.IntRange(1, 400).Draw(t, "base")), Value: []byte(alphabet.Draw(t, "a") + shared + alphabet.Draw(t, "b"))}
			row := feed.Row{Key: key, Revision: feed.Revision(rapid.IntRange(401, 1000).Draw(t, "revision"))}
			switch rapid.SampledFrom([]string{"deleted", "whole", "parts", "number"}).Draw(t, "kind") {
			case "deleted":
				row.Deleted = true
			case "whole":
				row.Value = []byte(shared)
			case "parts":
				row.Value, row.Base = []byte(alphabet.Draw(t, "c")+shared+alphabet.Draw(t, "d")+shared), base
			case "number":
				text := func(name string) string {
					return "[" + strconv.FormatUint(rapid.Uint64().Draw(t, name), 10) + ",1.0" + strconv.Itoa(rapid.IntRange(0, 30).Draw(t, name)) + "]"
				}
				base.Value = []byte(text("before"))
				row.Value, row.Base = []byte(text("after")), base
			}
			known[key] = base
			s.snapshot.Rows = append(s.snapshot.Rows, row)
			row.Base = feed.RowVersion{}
			want.Rows = append(want.Rows, row)
		}
		got, err := relay.NewClient(newHandlerClient(s, 0)).Changes(context.Background(), "relay", []byte("secret"), relay.Request{After: 400}, func(key string) feed.RowVersion { return known[key] })
		if err != nil {
			t.Fatal(err)
		}
		byKey := cmpopts.SortSlices(func(a, b feed.Row) bool { return a.Key < b.Key })
		if diff := cmp.Diff(want, got, byKey, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("rows (-want +got):\n%s", diff)
		}
	})
}

// malformedServer answers with arbitrary packed rows.
type malformedServer struct {
	nutmegpierv1connect.UnimplementedRelayServiceHandler
	compressed bool
	packed     []byte
}

func (s malformedServer) Changes(context.Context, *connect.Request[nutmegpierv1.ChangesRequest]) (*connect.Response[nutmegpierv1.ChangesResponse], error) {
	return connect.NewResponse(&nutmegpierv1.ChangesResponse{Compressed: s.compressed, Packed: s.packed}), nil
}

// FuzzPackedRows guards against malformed rows that end the process.
func FuzzPackedRows(f *testing.F) {
	for _, seed := range []string{"", "\x00\x01i\x02\x01\x01v", "\x00\x01i\x10\x02\x04\x02\x00\x02", "\x00\x01i\x10\x03\x04\x05\x00\x01\x00\x01x", "\x00\x01i\x10\x03\x04\x0a\x00\xff\xff\xff\xff\x0f\x00\x00", "\xff"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, packed []byte) {
		mux := http.NewServeMux()
		mux.Handle(nutmegpierv1connect.NewRelayServiceHandler(malformedServer{packed: packed}))
		// Only a panic is a failure.
		_, _ = relay.NewClient(&handlerClient{handler: mux}).Changes(context.Background(), "relay", nil, relay.Request{}, func(string) feed.RowVersion {
			return feed.RowVersion{Revision: 6, Value: []byte("[1,2]")}
		})
	})
}

// TestOversizedRows guards against rows that are small on the wire and take all memory of
// the receiver, and against a copy that is cut off at the bound, whose missing rows count
// as deleted.
func TestOversizedRows(t *testing.T) {
	const bound = 16 << 20
	compress := func(content []byte) []byte {
		var compressed bytes.Buffer
		writer := gzip.NewWriter(&compressed)
		_, _ = writer.Write(content)
		_ = writer.Close()
		return compressed.Bytes()
	}
	// The encoding of a deleted row without a key is four zeros.
	const rowBytes = 4
	// A row whose value is that of the base sixteen times.
	base := feed.RowVersion{Revision: 6, Value: make([]byte, 1<<16)}
	copies := append([]byte{0}, bytes.Repeat([]byte{0x80, 0x80, 4, 0, 0}, 16)...)
	large := append([]byte{0, 0, 0x10, 3, 2, byte(len(copies))}, copies...)
	larger := append([]byte{0, 0, 0, 3, 2, byte(len(copies))}, copies...)
	for name, server := range map[string]malformedServer{
		"compressed rows":   {compressed: true, packed: compress(make([]byte, bound+rowBytes))},
		"many rows":         {packed: make([]byte, rowBytes*(bound/100))},
		"repeated parts":    {packed: append(large, bytes.Repeat(larger, 16)...)},
		"uncompressed rows": {packed: make([]byte, bound+rowBytes)},
	} {
		mux := http.NewServeMux()
		mux.Handle(nutmegpierv1connect.NewRelayServiceHandler(server))
		snapshot, err := relay.NewClient(&handlerClient{handler: mux}).Changes(context.Background(), "relay", nil, relay.Request{}, func(string) feed.RowVersion { return base })
		if err == nil {
			t.Errorf("%s: %d rows were accepted", name, len(snapshot.Rows))
		}
	}
	// The secret is checked after the request was decoded.
	s := &source{}
	_, err := relay.NewClient(newHandlerClient(s, 0)).WriteRow(context.Background(), "relay", []byte("secret"), relay.RowWrite{Key: "i", Value: make([]byte, 1<<20)})
	if err == nil {
		t.Error("a row larger than the store takes was accepted")
	}
}
