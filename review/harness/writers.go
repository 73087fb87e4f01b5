package harness

import (
	"fmt"
	"sync"
	"time"
)

// retryPause is the pause of a writing session after a refusal.
const retryPause = 50 * time.Millisecond

// Writers are sessions that write single statements until they are stopped, one session on
// each instance.
type Writers struct {
	running sync.WaitGroup

	mu           sync.Mutex
	acknowledged map[string]Answer
	stopped      bool
}

// StartWriters starts the sessions. They pause after each write.
func StartWriters(d *Deployment, database, key string, pause time.Duration) *Writers {
	w := &Writers{acknowledged: map[string]Answer{}}
	for n, instance := range d.Instances {
		w.running.Go(func() { w.write(d.Record, instance.Front, database, key, fmt.Sprintf("item-%d", n), pause) })
	}
	return w
}

// Stop ends the sessions and returns the answers to the writes that were acknowledged, by
// the id of the request.
func (w *Writers) Stop() map[string]Answer {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.running.Wait()
	return w.acknowledged
}

func (w *Writers) isStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

// write writes to one item, and opens a new session after the end of one.
func (w *Writers) write(record *Record, address, database, key, item string, pause time.Duration) {
	var c *Client
	for n := 0; !w.isStopped(); n++ {
		if c == nil {
			if c, _ = Dial(record, address, database, key); c == nil {
				time.Sleep(retryPause)
				continue
			}
		}
		answer := c.Do(fmt.Sprintf("WRITE %s %d", item, n))
		switch {
		case answer.OK():
			w.mu.Lock()
			w.acknowledged[answer.ID] = answer
			w.mu.Unlock()
			time.Sleep(pause)
		case answer.Code == closed:
			c.Close()
			c = nil
		default:
			time.Sleep(retryPause)
		}
	}
	if c != nil {
		c.Close()
	}
}
