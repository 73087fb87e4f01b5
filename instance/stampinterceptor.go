package instance

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/event"
)

// stampHeader is the HTTP header with the event stamp of the sending instance.
const stampHeader = "Nutmegpier-Stamp"

// stampInterceptor exchanges event stamps with every call between instances, so
// that a merged timeline shows causes before their effects.
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

// WrapUnary adds a stamp to each message that this instance sends, and observes the
// stamp of each message that it receives.
func (s *stampInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if request.Spec().IsClient {
			s.writeStamp(request.Header())
		} else {
			s.readStamp(request.Header())
		}
		response, err := next(ctx, request)
		if err != nil {
			return nil, err
		}
		if request.Spec().IsClient {
			s.readStamp(response.Header())
		} else {
			s.writeStamp(response.Header())
		}
		return response, nil
	}
}

// writeStamp adds a new stamp to the headers of a message.
func (s *stampInterceptor) writeStamp(header http.Header) {
	header.Set(stampHeader, s.events.Stamp().String())
}

// readStamp observes the stamp in the headers of a message. It ignores a missing or
// malformed one, which an older instance may send.
func (s *stampInterceptor) readStamp(header http.Header) {
	if stamp, err := event.ParseStamp(header.Get(stampHeader)); err == nil {
		s.events.Observe(stamp)
	}
}
