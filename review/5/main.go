// Command 5 checks that a session on a route of type read_your_writes reads its own
// acknowledged write, after the route was changed to another service and back.
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
	first  = "ledger-a"
	second = "ledger-b"
	// replicaLag is how late the replicas of the first service receive commits: their usual
	// 20 ms, times the 150 of a replica_lag.
	replicaLag = 3 * time.Second
	// usualLag is how late replicas receive commits otherwise.
	usualLag = 20 * time.Millisecond
	// changeGap is the time between two configurations.
	changeGap = 330 * time.Millisecond
	// earlierWrites are commits at the first service before, so that the logs of the two
	// services have different lengths.
	earlierWrites = 5
	// otherSessions is the number of sessions that read at the first service, on a route of
	// type primary, as the usual traffic.
	otherSessions = 6
	// workTime is the work of a statement of run-sync.
	workTime = 18 * time.Millisecond
	// usualTraffic is for how long they read before the disruption.
	usualTraffic = 2 * time.Second
	// pause is the pause of a session between two statements.
	pause = 50 * time.Millisecond
	// reads are the reads of the session after its route has returned.
	reads = 40
)

func configuration(version int, service string) harness.Config {
	return harness.Config{
		Routes: []harness.Route{
			{Host: "batches", MaxStalenessMs: 2500, Service: service, TimeoutMs: 800, Type: "read_your_writes"},
			{Host: "orders", Service: first, TimeoutMs: 800, Type: "primary"},
		},
		Services: []string{first, second},
		Tenants:  []harness.Tenant{{Burst: 134, Keys: []string{"key-a"}, Name: "tenant-a", Rate: 134}, {Burst: 134, Keys: []string{"key-b"}, Name: "tenant-b", Rate: 134}},
		Version:  version,
	}
}

func main() {
	servers := []harness.ServerConfig{{Zone: harness.Zones[0]}, {Delay: usualLag, Zone: harness.Zones[1]}, {Delay: usualLag, Zone: harness.Zones[2]}}
	var groups []harness.GroupConfig
	for _, service := range []string{first, second} {
		groups = append(groups, harness.GroupConfig{PromoteTime: time.Second, Servers: servers, Service: service, WorkTime: workTime})
	}
	harness.Main(configuration(1, first), groups, check)
}

// readUntil reads on a session until the channel is closed.
func readUntil(d *harness.Deployment, instance *harness.Instance, database string, stop <-chan struct{}) {
	c, _ := harness.Dial(d.Record, instance.Front, database, "key-b")
	if c == nil {
		return
	}
	defer c.Close()
	for {
		select {
		case <-stop:
			return
		default:
			c.Do("READ other")
			time.Sleep(pause)
		}
	}
}

func check(d *harness.Deployment, trouble bool) (bool, error) {
	instance := d.Instances[1]
	stop := make(chan struct{})
	var others sync.WaitGroup
	for range otherSessions {
		others.Go(func() { readUntil(d, instance, "orders", stop) })
	}
	defer others.Wait()
	defer close(stop)
	c, opened := harness.Dial(d.Record, instance.Front, "batches", "key-a")
	if c == nil {
		return false, fmt.Errorf("a session was refused: %s", opened.Code)
	}
	defer c.Close()
	orders, opened := harness.Dial(d.Record, instance.Front, "orders", "key-a")
	if orders == nil {
		return false, fmt.Errorf("a session was refused: %s", opened.Code)
	}
	defer orders.Close()
	for n := range earlierWrites {
		if answer := orders.Do(fmt.Sprintf("WRITE other %d", n)); !answer.OK() {
			return false, fmt.Errorf("a write was refused: %s", answer.Code)
		}
	}
	for until := time.Now().Add(usualTraffic); time.Now().Before(until); time.Sleep(pause) {
		c.Do("READ other")
	}
	if trouble {
		for _, replica := range d.Groups[0].Servers[1:] {
			replica.Update(func(c *harness.ServerConfig) { c.Delay = replicaLag })
		}
	}
	if answer := c.Do("WRITE item 1"); !answer.OK() {
		return false, fmt.Errorf("the write was refused: %s", answer.Code)
	}
	reroute := trouble && os.Getenv("TROUBLE") != "lag"
	if reroute {
		d.Publish(configuration(2, second))
	}
	time.Sleep(changeGap / 2)
	if answer := c.Do("WRITE elsewhere 1"); !answer.OK() {
		return false, fmt.Errorf("the second write was refused: %s", answer.Code)
	}
	time.Sleep(changeGap / 2)
	if reroute {
		d.Publish(configuration(3, first))
	}
	time.Sleep(changeGap / 2)
	served, stale := 0, 0
	for range reads {
		answer := c.Do("READ item")
		time.Sleep(pause)
		if !answer.OK() {
			continue
		}
		for _, run := range d.Groups[0].Runs() {
			if run.ID != answer.ID || run.Code != "" {
				continue
			}
			served++
			if answer.Rows[0] != "1" {
				stale++
				d.Record.Add("%s was answered with %s of %s, whose log lacks the acknowledged write of the session", answer.ID, answer.Rows[0], run.Server.ID)
			}
		}
	}
	if served == 0 {
		return false, errors.New("no read ran at the first service")
	}
	d.Record.Add("%d reads ran at the first service, %d of them without the session's own write", served, stale)
	return stale > 0, nil
}
