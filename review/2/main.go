// Command 2 checks that no write is acknowledged at an old primary after another server was
// promoted, when the old one can be reached again just after the new one has crashed.
package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/review/harness"
)

const (
	service = "ledger"
	// workTime is the work of a statement: 6 ms of order-post.
	workTime = 6 * time.Millisecond
	// lossTime is the time from the loss of a replica to the cut, in which its entry ends.
	lossTime = 8 * time.Second
	// cutTime is how long the primary is cut off, and crashBefore how long before the end
	// of the cut the new primary crashes.
	cutTime     = 7 * time.Second
	crashBefore = time.Second
	// watchTime is the time from the end of the cut to the end of the case.
	watchTime = 5 * time.Second
	// thawTime is thaw_ms: what is sent so soon after the end of the cut isn't counted.
	thawTime = 300 * time.Millisecond
	// writePause is the pause of a session between two writes.
	writePause = 20 * time.Millisecond
	// retryPause is the pause of a session after a refusal.
	retryPause = 50 * time.Millisecond
)

func main() {
	config := harness.Config{
		Routes:   []harness.Route{{Host: "orders", Service: service, TimeoutMs: 800, Type: "primary"}},
		Services: []string{service},
		Tenants:  []harness.Tenant{{Burst: 134, Keys: []string{"key-a"}, Name: "tenant-a", Rate: 134}},
		Version:  1,
	}
	group := harness.GroupConfig{
		Delays:      []time.Duration{0, 20 * time.Millisecond, 20 * time.Millisecond},
		PromoteTime: time.Second, Service: service, WorkTime: workTime, Zones: harness.Zones[:3],
	}
	harness.Main(config, []harness.GroupConfig{group}, check)
}

// writers are sessions that write until they are stopped.
type writers struct {
	mu           sync.Mutex
	acknowledged map[string]harness.Answer
	stopped      bool
}

func (w *writers) run(d *harness.Deployment, instance *harness.Instance, item string) {
	var c *harness.Client
	for n := 0; ; n++ {
		w.mu.Lock()
		stopped := w.stopped
		w.mu.Unlock()
		if stopped {
			return
		}
		if c == nil {
			if c, _ = harness.Dial(d.Record, instance.Front, "orders", "key-a"); c == nil {
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
			time.Sleep(writePause)
		case answer.Code == harness.Closed:
			c = nil
		default:
			time.Sleep(retryPause)
		}
	}
}

func check(d *harness.Deployment, trouble bool) (bool, error) {
	group := d.Groups[0]
	old, lost := group.Servers[0], group.Servers[2]
	w := &writers{acknowledged: map[string]harness.Answer{}}
	var running sync.WaitGroup
	for n, instance := range d.Instances {
		running.Go(func() { w.run(d, instance, fmt.Sprintf("item-%d", n)) })
	}
	time.Sleep(time.Second)
	if trouble {
		lost.Crash()
	}
	time.Sleep(lossTime)
	if trouble {
		old.Cut()
	}
	time.Sleep(cutTime - crashBefore)
	if next := group.Primary(); trouble && os.Getenv("TROUBLE") != "cut" {
		if next == nil || next == old {
			return false, errors.New("no other server was promoted during the cut")
		}
		next.Crash()
	}
	time.Sleep(crashBefore)
	healed := time.Now()
	if trouble {
		if err := old.Heal(); err != nil {
			return false, err
		}
	}
	time.Sleep(watchTime)
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	running.Wait()
	broken := 0
	for _, run := range group.Runs() {
		answer, acknowledged := w.acknowledged[run.ID]
		if run.Code != "" || !acknowledged || run.Term == run.GroupTerm || run.Arrived.Before(healed.Add(thawTime)) {
			continue
		}
		broken++
		d.Record.Add("%s was committed at %s in term %d, %.3f s after the end of the cut, although term %d had begun, and acknowledged %.3f s later",
			run.ID, run.Server.ID, run.Term, run.Arrived.Sub(healed).Seconds(), run.GroupTerm, answer.Received.Sub(run.Arrived).Seconds())
	}
	d.Record.Add("%d writes were acknowledged, %d of them committed at an old primary", len(w.acknowledged), broken)
	return broken > 0, nil
}
