package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// BoundedWriter passes lines on to a writer that may block, without blocking
// itself: lines that come faster than they are written are dropped and counted.
// It is safe for concurrent use.
type BoundedWriter struct {
	dropped atomic.Uint64
	done    chan struct{}
	lines   chan []byte

	mu     sync.Mutex
	closed bool
}

var _ io.Writer = &BoundedWriter{}

// NewBoundedWriter returns a writer that holds at most so many lines.
func NewBoundedWriter(out io.Writer, lines int) *BoundedWriter {
	w := &BoundedWriter{done: make(chan struct{}), lines: make(chan []byte, lines)}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			// A log that can't be written has nowhere to be reported.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Close writes what is held, for at most the bound.
func (w *BoundedWriter) Close(bound time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

// Dropped returns the number of lines that were dropped.
func (w *BoundedWriter) Dropped() uint64 {
	return w.dropped.Load()
}

// Write takes one line. It never blocks and never fails.
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
