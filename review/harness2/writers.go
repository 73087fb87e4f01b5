package harness2

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxListed is the number of lost commits that are named.
	maxListed = 20
	// slowLag is the lag of the third server, within that of cpq-pier.
	slowLag = 110 * time.Millisecond
)

// Writers are sessions that write all the time, with the servers and instances that they use.
type Writers struct {
	deployment *Deployment
	group      *Group
	record     *Record
	running    sync.WaitGroup
	stop       chan struct{}

	mu           sync.Mutex
	acknowledged map[string]bool
}

// StartWriters starts a service with synchronous replicas, eight instances and a writer at
// each of them.
func StartWriters(rec *Record) *Writers {
	st := startStore()
	st.put("op", "config", config(maxConns, 1))
	g := startGroup("ledger", st, rec, maxConns, 1, [2]time.Duration{10 * time.Millisecond, slowLag})
	d := newDeployment(rec, st, g.address)
	d.startInstances(tenants)
	w := &Writers{acknowledged: map[string]bool{}, deployment: d, group: g, record: rec, stop: make(chan struct{})}
	for n := range d.Instances {
		w.running.Go(func() { w.write(n) })
	}
	return w
}

// Deployment returns the instances that the writers use.
func (w *Writers) Deployment() *Deployment { return w.deployment }

// Servers returns the servers, of which the first one is the primary at the start.
func (w *Writers) Servers() []*Server { return w.group.Servers }

// Store returns the platform's store.
func (w *Writers) Store() *Store { return w.deployment.store }

// write writes until the writers are stopped.
func (w *Writers) write(n int) {
	var c *Client
	for k := 0; ; k++ {
		select {
		case <-w.stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = Connect(w.record, w.deployment.Instances[n].Callers, "order-post", KeyOf(n)); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("w%d-%d", n, k)
		r := c.Query(QueryTimeout, id, "WRITE item-"+id+" d")
		if r.Outcome() == "ok" {
			w.mu.Lock()
			w.acknowledged[id] = true
			w.mu.Unlock()
		}
		if r.Err != nil {
			c.Close()
			c = nil
		}
	}
}

// Verdict stops the writers, and returns which acknowledged commits of the first term are
// not in the log of the server that was promoted first.
func (w *Writers) Verdict() string {
	close(w.stop)
	w.running.Wait()
	g := w.group
	g.mu.Lock()
	defer g.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Add("summary", "acknowledged", strconv.Itoa(len(w.acknowledged)), "promotions", strconv.Itoa(len(g.promotions)))
	if len(g.promotions) == 0 {
		return ""
	}
	first := g.promotions[0]
	var missing []string
	for id := range w.acknowledged {
		if !first.ids[id] && g.terms[id] == 1 {
			missing = append(missing, id)
		}
	}
	if len(missing) == 0 {
		return ""
	}
	return fmt.Sprintf("%d acknowledged commits are not in the log of %s when it is promoted: %s", len(missing), first.server, strings.Join(missing[:min(maxListed, len(missing))], " "))
}
