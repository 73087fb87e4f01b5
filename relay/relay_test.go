package relay_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/relay"
)

// source records the requests and returns a fixed answer or error.
type source struct {
	err      error
	requests []relay.Request
	snapshot feed.Snapshot
}

func (s *source) ReadChanges(_ context.Context, request relay.Request) (feed.Snapshot, error) {
	s.requests = append(s.requests, request)
	return s.snapshot, s.err
}

func serve(t *testing.T, s *source) (address string) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(relay.NewServer([]byte("secret"), s).Handler())
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
	got, err := relay.NewClient(http.DefaultClient).Changes(t.Context(), serve(t, s), []byte("secret"), request)
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
		{name: "source", secret: "secret", source: &source{err: errors.New("does not read from the store")}, want: relay.KindUnavailable, wantRequests: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := relay.NewClient(http.DefaultClient).Changes(t.Context(), serve(t, test.source), []byte(test.secret), relay.Request{Table: "t"})
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
