// Command 4 checks that a key that was taken away runs no more statements, for a client
// whose transaction is open when that happens.
package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/nutmegpier/nutmegpier/review/harness"
)

const (
	service = "ledger"
	// usualLag is how late replicas receive commits.
	usualLag = 20 * time.Millisecond
	// workTime is the work of a statement: 6 ms of order-post.
	workTime = 6 * time.Millisecond
	// revokeLimit is revoke_ms.
	revokeLimit = 5 * time.Second
	// statements is the number of statements of the transaction, without BEGIN and COMMIT,
	// and pause the client's pause before each.
	statements = 10
	pause      = time.Second
)

func configuration(version int, keys ...string) harness.Config {
	return harness.Config{
		Routes:   []harness.Route{{Host: "orders", Service: service, TimeoutMs: 800, Type: "primary"}},
		Services: []string{service},
		Tenants:  []harness.Tenant{{Burst: 134, Keys: keys, Name: "tenant-a", Rate: 134}},
		Version:  version,
	}
}

func main() {
	group := harness.GroupConfig{
		PromoteTime: time.Second, Service: service, WorkTime: workTime,
		Servers: []harness.ServerConfig{{Zone: harness.Zones[0]}, {Delay: usualLag, Zone: harness.Zones[1]}, {Delay: usualLag, Zone: harness.Zones[2]}},
	}
	harness.Main(configuration(1, "key-a", "key-b"), []harness.GroupConfig{group}, check)
}

func check(d *harness.Deployment, trouble bool) (bool, error) {
	c, opened := harness.Dial(d.Record, d.Instances[0].Front, "orders", "key-a")
	if c == nil {
		return false, fmt.Errorf("the session was refused: %s", opened.Code)
	}
	defer c.Close()
	if answer := c.Do("BEGIN"); !answer.OK() {
		return false, fmt.Errorf("BEGIN was refused: %s", answer.Code)
	}
	sent := map[string]time.Time{}
	do := func(text string) harness.Answer {
		answer := c.Do(text)
		sent[answer.ID] = answer.Sent
		return answer
	}
	if answer := do("WRITE item 0"); !answer.OK() {
		return false, fmt.Errorf("the first statement was refused: %s", answer.Code)
	}
	var revoked time.Time
	if trouble {
		revoked = d.Publish(configuration(2, "key-b"))
	}
	for n := 1; n < statements; n++ {
		time.Sleep(pause)
		if !do(fmt.Sprintf("WRITE item %d", n)).OK() {
			break
		}
	}
	time.Sleep(pause)
	do("COMMIT")
	if !trouble {
		return false, nil
	}
	refused, answer := harness.Dial(d.Record, d.Instances[0].Front, "orders", "key-a")
	if refused != nil {
		refused.Close()
	}
	if answer.Code != "AUTHFAIL" {
		return false, errors.New("the configuration without the key is not in force")
	}
	late := 0
	for _, run := range d.Groups[0].Runs() {
		at, known := sent[run.ID]
		if known && run.Code == "" && at.After(revoked.Add(revokeLimit)) {
			late++
			d.Record.Add("%s %s was sent %.3f s after the acknowledgement and ran at %s", run.ID, run.Text, at.Sub(revoked).Seconds(), run.Server.ID)
		}
	}
	d.Record.Add("%d statements ran that were sent later than %v after the key was taken away", late, revokeLimit)
	return late > 0, nil
}
