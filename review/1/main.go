// Command 1 checks that a promotion keeps every acknowledged commit of a service with
// synchronous replicas, while one replica is being released.
package main

import (
	"errors"
	"os"
	"time"

	"github.com/nutmegpier/nutmegpier/review/harness"
)

const (
	service = "ledger"
	// usualLag is how late replicas receive commits, and shortLag how late the one
	// that is released does.
	usualLag = 20 * time.Millisecond
	shortLag = time.Millisecond
	// workTime is the work of a statement: 6 ms of order-post.
	workTime = 6 * time.Millisecond
	// firstTerm is the term of the primary before the crash.
	firstTerm = 1
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
		PromoteTime: time.Second, Service: service, WorkTime: workTime, SyncReplicas: 1,
		Servers: []harness.ServerConfig{{Zone: harness.Zones[0]}, {Delay: usualLag, Zone: harness.Zones[1]}, {Delay: shortLag, Zone: harness.Zones[2]}},
	}
	harness.Main(config, []harness.GroupConfig{group}, check)
}

func check(d *harness.Deployment, trouble bool) (bool, error) {
	group := d.Groups[0]
	old := group.Primary()
	w := harness.StartWriters(d, "orders", "key-a", writePause)
	time.Sleep(releaseAt)
	if trouble && os.Getenv("TROUBLE") != "crash" {
		group.Servers[2].Update(func(c *harness.ServerConfig) { c.State = "draining" })
	}
	time.Sleep(crashAt - releaseAt)
	if trouble {
		old.Disconnect()
		for until := time.Now().Add(promotionTimeout); group.Primary() == nil && time.Now().Before(until); {
			time.Sleep(10 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	acknowledged := w.Stop()
	leader := group.Primary()
	if leader == nil {
		return false, errors.New("no server was promoted")
	}
	// The log of the promoted server had all commits of the first term before its own first
	// one, and none after.
	next := 0
	for _, run := range group.Runs() {
		if run.CommitTerm > firstTerm && (next == 0 || run.CommitNumber < next) {
			next = run.CommitNumber
		}
	}
	if trouble && next == 0 {
		return false, errors.New("nothing was committed after the promotion")
	}
	missing := 0
	for _, run := range group.Runs() {
		if _, found := acknowledged[run.ID]; found && run.CommitTerm == firstTerm && next != 0 && run.CommitNumber >= next {
			missing++
			d.Record.Add("commit %s at position %d.%d was acknowledged, but the log of %s goes on with %d of the next term", run.ID, run.CommitTerm, run.CommitNumber, leader.ID, next)
		}
	}
	d.Record.Add("%d commits were acknowledged, %d of them are not in the log of the primary %s", len(acknowledged), missing, leader.ID)
	return missing > 0, nil
}
