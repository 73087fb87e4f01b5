package harness2

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run.
type Record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) *Record {
	file, err := os.Create(path)
	check(err)
	return &Record{began: time.Now(), file: file, out: bufio.NewWriter(file)}
}

// Add writes a line with names and values.
func (r *Record) Add(event string, pairs ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s", time.Since(r.began).Seconds(), event)
	for i := 0; i+1 < len(pairs); i += 2 {
		_, _ = fmt.Fprintf(r.out, " %s=%s", pairs[i], pairs[i+1])
	}
	_, _ = fmt.Fprintln(r.out)
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// cleanUp ends the processes that the case has started.
var cleanUp = func() {}

// check ends the case as one that could not run if there is an error.
func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		cleanUp()
		os.Exit(exitNotRun)
	}
}
