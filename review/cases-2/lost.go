package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() {
	scenarios["lost"] = lost
	scenarios["expired"] = expired
}

const (
	// primaryOutage and replicaOutage are how long the two servers are down.
	primaryOutage = 3 * time.Second
	replicaOutage = 7 * time.Second
	// storeOutage, deafTime and restartDelay are the disruptions of expired, and lateReturn is
	// when the last entries are back after the outage of the store.
	storeOutage  = 4500 * time.Millisecond
	deafTime     = 6500 * time.Millisecond
	restartDelay = time.Second
	lateReturn   = 1900 * time.Millisecond
	// maxListed is the number of lost commits that are named.
	maxListed = 20
	// slowLag is the lag of the third server, within that of cpq-pier.
	slowLag = 110 * time.Millisecond
)

// lost stops the primary and the replica that has received the last commits for a while, and
// compares the acknowledged commits with the log of the server that is promoted. Without
// trouble, the servers go on.
func lost(rec *record, trouble bool) string {
	w := startWriters(rec)
	defer w.deployment.stop()
	time.Sleep(3 * time.Second)
	servers := w.group.servers
	if trouble {
		servers[0].crash()
		servers[1].crash()
	}
	time.Sleep(primaryOutage)
	if trouble {
		servers[0].restart()
	}
	time.Sleep(replicaOutage - primaryOutage)
	if trouble {
		servers[1].restart()
	}
	time.Sleep(5 * time.Second)
	return w.verdict()
}

// expired makes a replica deaf, takes the store down until the entries of all servers have
// expired, and kills all instances shortly before it is back. The entry of the deaf replica is
// back first. The servers run all the while. Without trouble, nothing of this happens.
func expired(rec *record, trouble bool) string {
	w := startWriters(rec)
	defer w.deployment.stop()
	servers, st := w.group.servers, w.deployment.store
	servers[0].returnDelay, servers[1].returnDelay, servers[2].returnDelay = lateReturn, lateReturn, 100*time.Millisecond
	time.Sleep(3 * time.Second)
	if !trouble {
		time.Sleep(12 * time.Second)
		return w.verdict()
	}
	st.setDown(true)
	rec.add("store-down")
	time.Sleep(time.Second)
	servers[2].setDeaf(true)
	time.AfterFunc(deafTime, func() { servers[2].setDeaf(false) })
	time.Sleep(storeOutage - time.Second - restartDelay/2)
	w.deployment.killAll()
	time.Sleep(restartDelay / 2)
	st.setDown(false)
	rec.add("store-back")
	time.Sleep(restartDelay / 2)
	w.deployment.restartAll()
	time.Sleep(8 * time.Second)
	return w.verdict()
}

// writers are sessions that write all the time, with the servers and instances that they use.
type writers struct {
	deployment *deployment
	group      *group
	record     *record
	running    sync.WaitGroup
	stop       chan struct{}

	mu           sync.Mutex
	acknowledged map[string]bool
}

// startWriters starts a service with synchronous replicas, eight instances and a writer at
// each of them.
func startWriters(rec *record) *writers {
	st := startStore()
	st.put("op", "config", config(maxConns, 1))
	g := startGroup("ledger", st, rec, maxConns, 1, [2]time.Duration{10 * time.Millisecond, slowLag})
	d := newDeployment(rec, st, g.address)
	d.startInstances(tenants)
	w := &writers{acknowledged: map[string]bool{}, deployment: d, group: g, record: rec, stop: make(chan struct{})}
	for n := range d.instances {
		w.running.Go(func() { w.write(n) })
	}
	return w
}

// write writes until the writers are stopped.
func (w *writers) write(n int) {
	var c *client
	for k := 0; ; k++ {
		select {
		case <-w.stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = connect(w.record, w.deployment.instances[n].callers, "order-post", keyOf(n)); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("w%d-%d", n, k)
		r := c.query(queryTimeout, id, "WRITE item-"+id+" d")
		if r.outcome() == "ok" {
			w.mu.Lock()
			w.acknowledged[id] = true
			w.mu.Unlock()
		}
		if r.err != nil {
			_ = c.conn.Close()
			c = nil
		}
	}
}

// verdict stops the writers, and returns which acknowledged commits of the first term are
// not in the log of the server that was promoted first.
func (w *writers) verdict() string {
	close(w.stop)
	w.running.Wait()
	g := w.group
	g.mu.Lock()
	defer g.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.add("summary", "acknowledged", strconv.Itoa(len(w.acknowledged)), "promotions", strconv.Itoa(len(g.promotions)))
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
