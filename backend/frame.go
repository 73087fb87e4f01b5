package backend

import (
	"encoding/binary"
	"fmt"
	"io"
)

// frameHeaderSize is the size of a message header: one type byte and a length
// of four bytes that counts itself.
const frameHeaderSize = 5

// Frame is the header of one protocol message. Size counts the body only.
type Frame struct {
	Size int
	Type byte
}

// FrameReader reads protocol messages without decoding them. It isn't safe for
// concurrent use.
type FrameReader struct {
	buf     []byte
	end     int
	frame   Frame
	initial int
	left    int
	maxBody int
	source  io.Reader
	start   int
}

// NewFrameReader returns a reader with a buffer of the given size in bytes.
// Messages whose body is larger than maxBody are an error of KindProtocol.
func NewFrameReader(source io.Reader, size, maxBody int) *FrameReader {
	return &FrameReader{buf: make([]byte, max(size, frameHeaderSize)), initial: size, maxBody: maxBody, source: source}
}

// Body returns the unread rest of the current message's body. The bytes are
// valid until the next call.
func (r *FrameReader) Body() ([]byte, error) {
	if err := r.fill(r.left); err != nil {
		return nil, err
	}
	body := r.buf[r.start : r.start+r.left]
	r.start += r.left
	r.left = 0
	return body, nil
}

// Buffered returns the number of bytes that can be read without blocking.
func (r *FrameReader) Buffered() int {
	return r.end - r.start
}

// CopyTo writes the current message to w and consumes it. The body is copied
// in pieces, so its size isn't bounded by the buffer.
func (r *FrameReader) CopyTo(w *FrameWriter) error {
	var header [frameHeaderSize]byte
	putHeader(header[:], r.frame)
	if err := w.Raw(header[:]); err != nil {
		return err
	}
	for r.left > 0 {
		piece, err := r.piece()
		if err != nil {
			return err
		}
		if err := w.Raw(piece); err != nil {
			return err
		}
	}
	return nil
}

// Next skips what is left of the current message and reads the next header.
func (r *FrameReader) Next() (Frame, error) {
	for r.left > 0 {
		if _, err := r.piece(); err != nil {
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
	r.left = size
	return r.frame, nil
}

// fill reads until n bytes are buffered.
func (r *FrameReader) fill(n int) error {
	if r.Buffered() >= n {
		return nil
	}
	if r.Buffered() == 0 {
		r.start, r.end = 0, 0
	}
	if r.start+n > len(r.buf) {
		r.makeRoom(n)
	}
	read, err := io.ReadAtLeast(r.source, r.buf[r.end:], n-r.Buffered())
	r.end += read
	return err
}

// makeRoom moves the buffered bytes to the front of a buffer of at least n bytes.
func (r *FrameReader) makeRoom(n int) {
	target := r.buf
	if n > len(target) {
		target = make([]byte, n)
	}
	r.end = copy(target, r.buf[r.start:r.end])
	r.start = 0
	r.buf = target
}

// piece consumes what is buffered of the current body, and reads first if
// nothing is.
func (r *FrameReader) piece() ([]byte, error) {
	if r.Buffered() == 0 {
		r.start, r.end = 0, 0
		if err := r.fill(1); err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	n := min(r.left, r.Buffered())
	piece := r.buf[r.start : r.start+n]
	r.start += n
	r.left -= n
	return piece, nil
}

// shrink gives back a buffer that grew for one large message.
func (r *FrameReader) shrink() {
	if len(r.buf) > 4*max(r.initial, frameHeaderSize) && r.Buffered() == 0 {
		r.buf = make([]byte, max(r.initial, frameHeaderSize))
		r.start, r.end = 0, 0
	}
}

// FrameWriter buffers protocol messages for a destination. It isn't safe for
// concurrent use.
type FrameWriter struct {
	buf         []byte
	destination io.Writer
	failed      error
	flushed     bool
	// grows makes Raw keep all bytes until Flush.
	grows bool
}

// NewFrameWriter returns a writer with a buffer of the given size in bytes.
func NewFrameWriter(destination io.Writer, size int) *FrameWriter {
	return &FrameWriter{buf: make([]byte, 0, max(size, frameHeaderSize)), destination: destination}
}

// Encoder is a message that appends its own encoding, as those of pgproto3 do.
type Encoder interface {
	Encode(dst []byte) ([]byte, error)
}

// Flush writes the buffered bytes.
func (w *FrameWriter) Flush() error {
	if len(w.buf) == 0 {
		return nil
	}
	w.flushed = true
	_, err := w.destination.Write(w.buf)
	w.buf = w.buf[:0]
	if err != nil {
		w.failed = err
	}
	return err
}

// Failed returns the error of the destination, if there was one.
func (w *FrameWriter) Err() error {
	return w.failed
}

// Flushed reports whether bytes were passed to the destination since Reset.
func (w *FrameWriter) Flushed() bool {
	return w.flushed
}

// Message appends an encoded message.
func (w *FrameWriter) Message(message Encoder) error {
	encoded, err := message.Encode(w.buf)
	if err != nil {
		return err
	}
	w.buf = encoded
	return nil
}

// Raw appends bytes and flushes as often as the buffer is full.
func (w *FrameWriter) Raw(p []byte) error {
	if w.grows {
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

// take returns the buffered bytes and leaves an empty buffer of the given size.
func (w *FrameWriter) take(size int) []byte {
	taken := w.buf
	w.buf = make([]byte, 0, size)
	w.grows = false
	return taken
}

// Reset drops buffered bytes and sets another destination.
func (w *FrameWriter) Reset(destination io.Writer) {
	w.buf = w.buf[:0]
	w.destination = destination
	w.failed = nil
	w.flushed = false
}

func putHeader(dst []byte, frame Frame) {
	dst[0] = frame.Type
	binary.BigEndian.PutUint32(dst[1:], uint32(frame.Size+4))
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
