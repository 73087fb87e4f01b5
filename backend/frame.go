package backend

import (
	"encoding/binary"
	"fmt"
	"io"
)

// frameHeaderSize is the size of a message header: one type byte, and a length of
// four bytes that includes itself.
const frameHeaderSize = 5

// Frame is the header of one protocol message. Size is the size of the body.
type Frame struct {
	Size int
	Type byte
}

// FrameReader reads protocol messages without decoding them. It isn't safe for
// concurrent use.
type FrameReader struct {
	// buf[start:end] is the buffered data.
	buf   []byte
	end   int
	frame Frame
	// initialSize is the size to which shrink reduces the buffer.
	initialSize int
	// remaining is the size of the unread rest of the current body.
	remaining int
	maxBody   int
	source    io.Reader
	start     int
}

// NewFrameReader returns a reader with a buffer of the given size in bytes. A
// message whose body is larger than maxBody bytes causes an error of KindProtocol.
func NewFrameReader(source io.Reader, size, maxBody int) *FrameReader {
	return &FrameReader{buf: make([]byte, max(size, frameHeaderSize)), initialSize: size, maxBody: maxBody, source: source}
}

// Body returns the unread rest of the current message's body. The slice is valid
// until the next call.
func (r *FrameReader) Body() ([]byte, error) {
	if err := r.fill(r.remaining); err != nil {
		return nil, err
	}
	body := r.buf[r.start : r.start+r.remaining]
	r.start += r.remaining
	r.remaining = 0
	return body, nil
}

// Buffered returns the number of bytes that can be read without blocking.
func (r *FrameReader) Buffered() int {
	return r.end - r.start
}

// CopyTo writes the current message to w and consumes it. The body is copied in
// chunks, so it can be larger than the buffer.
func (r *FrameReader) CopyTo(w *FrameWriter) error {
	var header [frameHeaderSize]byte
	putHeader(header[:], r.frame)
	if err := w.Raw(header[:]); err != nil {
		return err
	}
	for r.remaining > 0 {
		chunk, err := r.chunk()
		if err != nil {
			return err
		}
		if err := w.Raw(chunk); err != nil {
			return err
		}
	}
	return nil
}

// Next skips the rest of the current message and reads the next header.
func (r *FrameReader) Next() (Frame, error) {
	for r.remaining > 0 {
		if _, err := r.chunk(); err != nil {
			return Frame{}, err
		}
	}
	r.shrink()
	if err := r.fill(frameHeaderSize); err != nil {
		return Frame{}, err
	}
	header := r.buf[r.start : r.start+frameHeaderSize]
	size := int(int32(binary.BigEndian.Uint32(header[1:]))) - 4
	if size < 0 || size > r.maxBody {
		return Frame{}, &Error{Op: "read message", Kind: KindProtocol, Err: fmt.Errorf("message of type %q has size %d, limit %d", header[0], size, r.maxBody)}
	}
	r.frame = Frame{Size: size, Type: header[0]}
	r.start += frameHeaderSize
	r.remaining = size
	return r.frame, nil
}

// fill reads until at least n bytes are buffered.
func (r *FrameReader) fill(n int) error {
	if r.Buffered() >= n {
		return nil
	}
	if r.Buffered() == 0 {
		r.start, r.end = 0, 0
	}
	if r.start+n > len(r.buf) {
		r.reserve(n)
	}
	read, err := io.ReadAtLeast(r.source, r.buf[r.end:], n-r.Buffered())
	r.end += read
	return err
}

// reserve moves the buffered data to the start of a buffer of at least n bytes.
func (r *FrameReader) reserve(n int) {
	buffer := r.buf
	if n > len(buffer) {
		buffer = make([]byte, n)
	}
	r.end = copy(buffer, r.buf[r.start:r.end])
	r.start = 0
	r.buf = buffer
}

// chunk consumes and returns the buffered part of the current body. If nothing is
// buffered, it reads first.
func (r *FrameReader) chunk() ([]byte, error) {
	if r.Buffered() == 0 {
		r.start, r.end = 0, 0
		if err := r.fill(1); err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	n := min(r.remaining, r.Buffered())
	chunk := r.buf[r.start : r.start+n]
	r.start += n
	r.remaining -= n
	return chunk, nil
}

// shrink replaces an empty buffer that has grown for a large message.
func (r *FrameReader) shrink() {
	if len(r.buf) > 4*max(r.initialSize, frameHeaderSize) && r.Buffered() == 0 {
		r.buf = make([]byte, max(r.initialSize, frameHeaderSize))
		r.start, r.end = 0, 0
	}
}

// FrameWriter buffers protocol messages for a destination. It isn't safe for
// concurrent use.
type FrameWriter struct {
	buf         []byte
	destination io.Writer
	writeErr    error
	flushed     bool
	// unbounded makes Raw grow the buffer instead of flushing it when it is full.
	unbounded bool
}

// NewFrameWriter returns a writer with a buffer of the given size in bytes.
func NewFrameWriter(destination io.Writer, size int) *FrameWriter {
	return &FrameWriter{buf: make([]byte, 0, max(size, frameHeaderSize)), destination: destination}
}

// Encoder is a message that can append its encoding to a buffer, such as the
// messages of pgproto3.
type Encoder interface {
	Encode(dst []byte) ([]byte, error)
}

// Flush writes the buffered data to the destination.
func (w *FrameWriter) Flush() error {
	if len(w.buf) == 0 {
		return nil
	}
	w.flushed = true
	_, err := w.destination.Write(w.buf)
	w.buf = w.buf[:0]
	if err != nil {
		w.writeErr = err
	}
	return err
}

// Err returns the last write error of the destination, or nil.
func (w *FrameWriter) Err() error {
	return w.writeErr
}

// Flushed reports whether data was written to the destination since Reset.
func (w *FrameWriter) Flushed() bool {
	return w.flushed
}

// Message appends an encoded message to the buffer.
func (w *FrameWriter) Message(message Encoder) error {
	encoded, err := message.Encode(w.buf)
	if err != nil {
		return err
	}
	w.buf = encoded
	return nil
}

// Raw appends bytes to the buffer, and flushes it whenever it is full.
func (w *FrameWriter) Raw(p []byte) error {
	if w.unbounded {
		w.buf = append(w.buf, p...)
		return nil
	}
	for len(p) > 0 {
		n := min(len(p), cap(w.buf)-len(w.buf))
		w.buf = append(w.buf, p[:n]...)
		p = p[n:]
		if len(w.buf) < cap(w.buf) {
			continue
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// detach returns the buffered data and replaces the buffer by an empty one of the
// given size.
func (w *FrameWriter) detach(size int) []byte {
	taken := w.buf
	w.buf = make([]byte, 0, size)
	w.unbounded = false
	return taken
}

// Reset discards the buffered data and sets another destination.
func (w *FrameWriter) Reset(destination io.Writer) {
	w.buf = w.buf[:0]
	w.destination = destination
	w.writeErr = nil
	w.flushed = false
}

// putHeader encodes a message header.
func putHeader(dst []byte, frame Frame) {
	dst[0] = frame.Type
	binary.BigEndian.PutUint32(dst[1:], uint32(frame.Size+4))
}

// unexpectedEOF replaces an EOF in the middle of a message by
// io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
