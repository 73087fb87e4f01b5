package traffic_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/traffic"
)

// handlerTransport calls a handler without a network.
type handlerTransport struct{ http.Handler }

func (t handlerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	t.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// TestHTTP guards against messages that are not counted, or counted twice.
func TestHTTP(t *testing.T) {
	handler := traffic.NewHandler(traffic.KindRelayLoad, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(w, "answer")
	}))
	client := &http.Client{Transport: traffic.NewRoundTripper(traffic.KindRowWrite, handlerTransport{handler})}
	response, err := client.Post("http://relay/", "text/plain", strings.NewReader("request!"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	_ = response.Body.Close()
	got := map[string][2]int64{}
	for _, kind := range []traffic.Kind{traffic.KindRelayLoad, traffic.KindRowWrite} {
		for _, direction := range []traffic.Direction{traffic.In, traffic.Out} {
			got[string(kind)+" "+string(direction)] = [2]int64{traffic.Bytes(kind, direction), traffic.Messages(kind, direction)}
		}
	}
	want := map[string][2]int64{"RelayLoad In": {8, 1}, "RelayLoad Out": {6, 1}, "RowWrite In": {6, 1}, "RowWrite Out": {8, 1}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("bytes and messages (-want +got):\n%s", diff)
	}
}
