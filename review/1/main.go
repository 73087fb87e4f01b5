// Command 1 checks that a promotion keeps every acknowledged commit of a service with
// synchronous replicas, while one replica is being released.
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
	// workTime is the work of a statement: 6 ms of order-post, 30 ms of stock-look.
	workTime = 6 * time.Millisecond
	// releaseAt and crashAt are when the replica reports draining, and when the primary
	// crashes, after the traffic began.
	releaseAt = 2 * time.Second
	crashAt   = 4 * time.Second
	// writePause is the pause of a session between two writes.
	writePause = 10 * time.Millisecond
	// promotionTimeout bounds the wait for another primary.
	promotionTimeout = 30 * time.Second
)

func main() {
	config := harness.Config{
		Routes:       []harness.Route{{Host: "orders", Service: service, TimeoutMs: 800, Type: "primary"}},
		Services:     []string{service},
		SyncReplicas: 1,
		Tenants:      []harness.Tenant{{Burst: 1000, Keys: []string{"key-a"}, Name: "tenant-a", Rate: 1000}},
		Version:      1,
	}
	group := harness.GroupConfig{
		Delays:      []time.Duration{0, 20 * time.Millisecond, time.Millisecond},
		PromoteTime: time.Second, Service: service, SyncReplicas: 1, WorkTime: workTime, Zones: harness.Zones[:3],
	}
	harness.Main(config, []harness.GroupConfig{group}, check)
}

// writers are sessions that write until they are stopped.
type writers struct {
	mu           sync.Mutex
	acknowledged []string
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
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		answer := c.Do(fmt.Sprintf("WRITE %s %d", item, n))
		switch {
		case answer.OK():
			w.mu.Lock()
			w.acknowledged = append(w.acknowledged, answer.ID)
			w.mu.Unlock()
		case answer.Code == harness.Closed:
			c = nil
		default:
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(writePause)
	}
}

func check(d *harness.Deployment, trouble bool) (bool, error) {
	group := d.Groups[0]
	old := group.Primary()
	w := &writers{}
	var running sync.WaitGroup
	for n, instance := range d.Instances {
		running.Go(func() { w.run(d, instance, fmt.Sprintf("item-%d", n)) })
	}
	time.Sleep(releaseAt)
	if trouble && os.Getenv("TROUBLE") != "crash" {
		group.Servers[2].Drain()
	}
	time.Sleep(crashAt - releaseAt)
	if trouble {
		old.Crash()
		for until := time.Now().Add(promotionTimeout); group.Primary() == nil && time.Now().Before(until); {
			time.Sleep(10 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	running.Wait()
	leader := group.Primary()
	if leader == nil {
		return false, errors.New("no server was promoted")
	}
	missing := 0
	for _, id := range w.acknowledged {
		if !leader.HasCommit(id) {
			missing++
			d.Record.Add("commit %s was acknowledged, but the primary %s lacks it", id, leader.ID)
		}
	}
	d.Record.Add("%d commits were acknowledged, %d of them are not in the log of the primary %s", len(w.acknowledged), missing, leader.ID)
	return missing > 0, nil
}
