// Command 2 checks that no write is acknowledged at an old primary after another server was
// promoted, when the old one can be reached again just after the new one has crashed.
package main

import (
	"errors"
	"os"
	"time"

	"github.com/nutmegpier/nutmegpier/review/harness"
)

const (
	service = "ledger"
	// usualLag is how late replicas receive commits.
	usualLag = 20 * time.Millisecond
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
	// firstTerm is the term of the primary before the cut.
	firstTerm = 1
	// thawTime is thaw_ms: what is sent so soon after the end of the cut isn't counted.
	thawTime = 300 * time.Millisecond
	// writePause is the pause of a session between two writes.
	writePause = 20 * time.Millisecond
)

func main() {
	config := harness.Config{
		Routes:   []harness.Route{{Host: "orders", Service: service, TimeoutMs: 800, Type: "primary"}},
		Services: []string{service},
		Tenants:  []harness.Tenant{{Burst: 134, Keys: []string{"key-a"}, Name: "tenant-a", Rate: 134}},
		Version:  1,
	}
	group := harness.GroupConfig{
		PromoteTime: time.Second, Service: service, WorkTime: workTime,
		Servers: []harness.ServerConfig{{Zone: harness.Zones[0]}, {Delay: usualLag, Zone: harness.Zones[1]}, {Delay: usualLag, Zone: harness.Zones[2]}},
	}
	harness.Main(config, []harness.GroupConfig{group}, check)
}

func check(d *harness.Deployment, trouble bool) (bool, error) {
	group := d.Groups[0]
	old, lost := group.Servers[0], group.Servers[2]
	w := harness.StartWriters(d, "orders", "key-a", writePause)
	time.Sleep(time.Second)
	if trouble {
		lost.Disconnect()
	}
	time.Sleep(lossTime)
	if trouble {
		old.Disconnect()
	}
	time.Sleep(cutTime - crashBefore)
	if next := group.Primary(); trouble {
		if next == nil || next == old {
			return false, errors.New("no other server was promoted during the cut")
		}
		if os.Getenv("TROUBLE") != "cut" {
			next.Disconnect()
		}
	}
	time.Sleep(crashBefore)
	healed := time.Now()
	if trouble {
		if err := old.Start(); err != nil {
			return false, err
		}
	}
	time.Sleep(watchTime)
	acknowledged := w.Stop()
	broken := 0
	for _, run := range group.Runs() {
		answer, found := acknowledged[run.ID]
		if !trouble || !found || run.CommitTerm != firstTerm || run.Arrived.Before(healed.Add(thawTime)) {
			continue
		}
		broken++
		d.Record.Add("%s was committed at %s in term %d, %.3f s after the end of the cut, although another server had been promoted, and acknowledged %.3f s later",
			run.ID, run.Server.ID, firstTerm, run.Arrived.Sub(healed).Seconds(), answer.Received.Sub(run.Arrived).Seconds())
	}
	d.Record.Add("%d writes were acknowledged, %d of them committed at an old primary", len(acknowledged), broken)
	return broken > 0, nil
}
