package instance

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/event"
)

// stampHeader carries the stamp of the event clock in messages between instances.
const stampHeader = "Nutmegpier-Stamp"

// stampInterceptor passes on the event clocks with the messages between
// instances, so that a merged timeline has causes before their effects.
type stampInterceptor struct {
	events *event.Recorder
}

var _ connect.Interceptor = &stampInterceptor{}

// WrapStreamingClient returns the function unchanged, because the peer service
// has no streams.
func (*stampInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler returns the function unchanged, because the peer service
// has no streams.
func (*stampInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// WrapUnary stamps what this side sends and observes what it receives.
func (s *stampInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if request.Spec().IsClient {
			s.send(request.Header())
		} else {
			s.receive(request.Header())
		}
		response, err := next(ctx, request)
		if err != nil {
			return nil, err
		}
		if request.Spec().IsClient {
			s.receive(response.Header())
		} else {
			s.send(response.Header())
		}
		return response, nil
	}
}

func (s *stampInterceptor) send(header http.Header) {
	header.Set(stampHeader, s.events.Stamp().String())
}

// receive ignores a missing or malformed stamp, as an older instance may send.
func (s *stampInterceptor) receive(header http.Header) {
	if stamp, err := event.ParseStamp(header.Get(stampHeader)); err == nil {
		s.events.Observe(stamp)
	}
}
