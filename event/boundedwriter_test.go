package event_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/event"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(line)
}

// TestBoundedWriter guards against requests that block because nobody reads the log,
// and against lines that are lost although the queue has room.
func TestBoundedWriter(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := event.NewBoundedWriter(out, 2)
	for range 10 {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("Write() = %d, %v", n, err)
		}
	}
	// Besides the two queued lines, the blocked writer may hold one.
	if dropped := w.Dropped(); dropped != 7 && dropped != 8 {
		t.Errorf("%d lines were dropped, want 7 or 8", dropped)
	}
	close(out.release)
	w.Close(time.Minute)
	written := uint64(bytes.Count(out.Bytes(), []byte("\n")))
	if diff := cmp.Diff(10-w.Dropped(), written); diff != "" {
		t.Errorf("lines written (-want +got):\n%s", diff)
	}
}
