package traffic

import (
	"io"
	"net/http"
	"sync/atomic"
)

// Reader counts the bytes that are read. It is safe for use while another goroutine
// calls Bytes.
type Reader struct {
	bytes   atomic.Int64
	content io.ReadCloser
}

// NewReader returns a Reader of a body.
func NewReader(content io.ReadCloser) *Reader {
	return &Reader{content: content}
}

// Read implements io.Reader.
func (r *Reader) Read(buffer []byte) (int, error) {
	count, err := r.content.Read(buffer)
	r.bytes.Add(int64(count))
	return count, err
}

// Close implements io.Closer.
func (r *Reader) Close() error {
	return r.content.Close()
}

// Bytes returns the number of bytes that were read.
func (r *Reader) Bytes() int {
	return int(r.bytes.Load())
}

// countedBody counts the body of a response when it is closed.
type countedBody struct {
	*Reader
	kind Kind
	once atomic.Bool
}

func (b *countedBody) Close() error {
	if !b.once.Swap(true) {
		Count(b.kind, In, b.Bytes())
	}
	return b.Reader.Close()
}

// roundTripper counts the bodies of requests and responses of a client.
type roundTripper struct {
	kind Kind
	next http.RoundTripper
}

// NewRoundTripper returns a transport that counts the messages of another one.
func NewRoundTripper(kind Kind, next http.RoundTripper) http.RoundTripper {
	return &roundTripper{kind: kind, next: next}
}

func (t *roundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	Count(t.kind, Out, int(max(0, request.ContentLength)))
	response, err := t.next.RoundTrip(request)
	if err == nil {
		response.Body = &countedBody{Reader: NewReader(response.Body), kind: t.kind}
	}
	return response, err
}

// responseWriter counts the bytes of a response.
type responseWriter struct {
	http.ResponseWriter
	bytes int
}

func (w *responseWriter) Write(content []byte) (int, error) {
	count, err := w.ResponseWriter.Write(content)
	w.bytes += count
	return count, err
}

// Unwrap returns the writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// NewHandler returns a handler that counts the messages of another one.
func NewHandler(kind Kind, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body := NewReader(request.Body)
		request.Body = body
		counted := &responseWriter{ResponseWriter: w}
		next.ServeHTTP(counted, request)
		Count(kind, In, body.Bytes())
		Count(kind, Out, counted.bytes)
	})
}
