package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// BoundedWriter queues lines for a writer that may block, and never blocks itself:
// when the queue is full, lines are dropped and counted. It is safe for concurrent
// use.
type BoundedWriter struct {
	dropped atomic.Uint64
	// drained is closed when all queued lines have been written after Close.
	drained chan struct{}
	lines   chan []byte

	mu     sync.Mutex
	closed bool
}

var _ io.Writer = &BoundedWriter{}

// NewBoundedWriter returns a writer whose queue holds at most the given number of
// lines.
func NewBoundedWriter(out io.Writer, lines int) *BoundedWriter {
	w := &BoundedWriter{drained: make(chan struct{}), lines: make(chan []byte, lines)}
	go func() {
		defer close(w.drained)
		for line := range w.lines {
			// A failure to write the log cannot be reported anywhere.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Close waits until the queued lines are written, or until the timeout.
func (w *BoundedWriter) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.drained:
	case <-timer.C:
	}
}

// Dropped returns the number of lines that were dropped.
func (w *BoundedWriter) Dropped() uint64 {
	return w.dropped.Load()
}

// Write queues one line, or drops it. It never blocks and never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}
