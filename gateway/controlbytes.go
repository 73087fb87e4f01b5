package gateway

import (
	"bytes"
	"context"

	"github.com/nutmegpier/nutmegpier/traffic"
)

// countingTransport counts the requests between instances and their responses.
type countingTransport struct {
	PeerTransport
}

// Call implements PeerTransport.
func (t *countingTransport) Call(ctx context.Context, address string, secret, request []byte) ([]byte, error) {
	kind := peerTrafficKind(request)
	traffic.Count(kind, traffic.Out, len(request))
	response, err := t.PeerTransport.Call(ctx, address, secret, request)
	if err == nil {
		traffic.Count(kind, traffic.In, len(response))
	}
	return response, err
}

// Serve implements PeerTransport.
func (t *countingTransport) Serve(ctx context.Context, handle func(request []byte) []byte) error {
	return t.PeerTransport.Serve(ctx, func(request []byte) []byte {
		kind := peerTrafficKind(request)
		traffic.Count(kind, traffic.In, len(request))
		response := handle(request)
		traffic.Count(kind, traffic.Out, len(response))
		return response
	})
}

// peerTrafficKind returns the kind of an encoded PeerRequest. Its requests for tokens are
// by far the most frequent ones, so that it isn't decoded for this.
func peerTrafficKind(request []byte) traffic.Kind {
	if bytes.HasPrefix(request, []byte(`{"Look"`)) || bytes.HasPrefix(request, []byte(`{"Probe"`)) {
		return traffic.KindProbe
	}
	return traffic.KindTokens
}
