package harness2

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Tally counts outcomes.
type Tally struct {
	mu     sync.Mutex
	Counts map[string]int
}

// Add counts one outcome.
func (t *Tally) Add(outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Counts == nil {
		t.Counts = map[string]int{}
	}
	t.Counts[outcome]++
}

// MemoryVerdict records the outcomes and returns what was broken if a process exceeded its
// memory.
func MemoryVerdict(d *Deployment, t *Tally) string {
	time.Sleep(100 * time.Millisecond)
	exceeded, peakMB := d.exceeded()
	d.record.Add("summary", "exceeded", strconv.Itoa(exceeded), "peak_mb", strconv.Itoa(peakMB), "outcomes", strings.ReplaceAll(fmt.Sprint(t.Counts), " ", ","))
	if exceeded == 0 {
		return ""
	}
	return fmt.Sprintf("%d of %d processes exceeded %d MB and ended; clients got %v", exceeded, len(d.Instances), memoryMB, t.Counts)
}
