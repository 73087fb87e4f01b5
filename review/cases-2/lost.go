package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["lost"] = lost }

const (
	// outage is how long the two servers are down.
	outage = 7 * time.Second
	// slowLag is the lag of the third server, within that of cpq-pier.
	slowLag = 110 * time.Millisecond
)

// lost stops the primary and the replica that has received the last commits for a while, and
// compares the acknowledged commits with the log of the server that is promoted. Without
// trouble, the servers go on.
func lost(rec *record, trouble bool) string {
	st := startStore()
	st.put("op", "config", config(maxConns, 1))
	g := startGroup("ledger", st, rec, maxConns, 1, [2]time.Duration{10 * time.Millisecond, slowLag})
	d := newDeployment(rec, st, g.address)
	d.startInstances(8)
	defer d.stop()
	stop := make(chan struct{})
	var mu sync.Mutex
	acknowledged := map[string]bool{}
	var all sync.WaitGroup
	for n := range 8 {
		all.Go(func() {
			var c *client
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				var err error
				if c == nil {
					if c, err = connect(rec, d.instances[n].callers, "order-post", keyOf(n)); err != nil {
						continue
					}
				}
				id := fmt.Sprintf("w%d-%d", n, k)
				r := c.query(queryTimeout, id, "WRITE item-"+id+" d")
				if r.outcome() == "ok" {
					mu.Lock()
					acknowledged[id] = true
					mu.Unlock()
				}
				if r.err != nil {
					_ = c.conn.Close()
					c = nil
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		g.servers[0].crash()
		g.servers[1].crash()
	}
	time.Sleep(outage)
	if trouble {
		g.servers[0].restart()
		g.servers[1].restart()
	}
	time.Sleep(5 * time.Second)
	close(stop)
	all.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	rec.add("summary", "acknowledged", strconv.Itoa(len(acknowledged)), "promotions", strconv.Itoa(len(g.promotions)))
	if len(g.promotions) == 0 {
		return ""
	}
	first := g.promotions[0]
	var missing []string
	for id := range acknowledged {
		if !first.ids[id] && g.terms[id] == 1 {
			missing = append(missing, id)
		}
	}
	if len(missing) == 0 {
		return ""
	}
	return fmt.Sprintf("%d acknowledged commits are not in the log of %s when it is promoted: %s", len(missing), first.server, strings.Join(missing, " "))
}
