package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() {
	scenarios["shapes"] = shapes
	scenarios["startup"] = startup
	scenarios["owner"] = owner
}

const (
	// shapeBytes is the size of a shape of a prepared statement: less than a quarter of a
	// message.
	shapeBytes = 200 << 10
	// shapeSessions sessions prepare shapesPerSession shapes each.
	shapeSessions    = 8
	shapesPerSession = 230
	// maxText is the size of a text that leaves room for the other words of a message of
	// 1 MiB.
	maxText = 1<<20 - 100
	// idleSessions is the number of sessions that stay open: about those that stand open
	// in cpq-pier.
	idleSessions = 292
	// ownerInstances is the number of instances of which one uses the servers of a group
	// for all, with 22 connections to a server.
	ownerInstances = 16
	// sessionsPerInstance sessions of each instance have variablesPerSession variables.
	sessionsPerInstance = 10
	variablesPerSession = 3
	// queryTimeout is how long a client waits for an answer.
	queryTimeout = 5 * time.Second
)

// tally counts outcomes.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	t.counts[outcome]++
}

// memoryVerdict records the outcomes and returns what was broken if a process exceeded its
// memory.
func memoryVerdict(d *deployment, t *tally) string {
	time.Sleep(100 * time.Millisecond)
	exceeded, peakMB := d.exceeded()
	d.record.add("summary", "exceeded", strconv.Itoa(exceeded), "peak_mb", strconv.Itoa(peakMB), "outcomes", strings.ReplaceAll(fmt.Sprint(t.counts), " ", ","))
	if exceeded == 0 {
		return ""
	}
	return fmt.Sprintf("%d of %d processes exceeded %d MB and ended; clients got %v", exceeded, len(d.instances), memoryMB, t.counts)
}

// shapes prepares a shape, runs it once and deallocates it, again and again, on a few
// sessions of one instance. Without trouble, the shape is the same each time.
func shapes(rec *record, trouble bool) string {
	d := startDeployment(rec, 2)
	defer d.stop()
	var t tally
	var all sync.WaitGroup
	for n := range shapeSessions {
		all.Go(func() {
			c, err := connect(rec, d.instances[0].callers, "run-sync", keyOf(n))
			if err != nil {
				t.add("refused")
				return
			}
			defer c.conn.Close()
			for k := range shapesPerSession {
				number := 0
				if trouble {
					number = n*shapesPerSession + k
				}
				id := fmt.Sprintf("%d-%d", n, k)
				prepared := c.query(queryTimeout, "p"+id, fmt.Sprintf("PREPARE s1 READ q%06d%s", number, strings.Repeat("c", shapeBytes)))
				ran := c.query(queryTimeout, "e"+id, "EXECUTE s1 a")
				ended := c.query(queryTimeout, "d"+id, "DEALLOC s1")
				t.add(prepared.outcome() + "/" + ran.outcome() + "/" + ended.outcome())
				if ended.err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	all.Wait()
	return memoryVerdict(d, &t)
}

// startup opens sessions on a public route that send a long text in place of a key, and
// leaves them idle. Without trouble, the text is short.
func startup(rec *record, trouble bool) string {
	d := startDeployment(rec, 2)
	defer d.stop()
	size := 20
	if trouble {
		size = maxText
	}
	var t tally
	var open []*client
	for range idleSessions {
		c, err := connect(rec, d.instances[0].callers, "notices", strings.Repeat("k", size))
		if err != nil {
			t.add("refused")
			continue
		}
		t.add("opened")
		open = append(open, c)
		time.Sleep(10 * time.Millisecond)
	}
	for n, c := range open {
		t.add("read-" + c.query(queryTimeout, "r"+strconv.Itoa(n), "READ a").outcome())
	}
	return memoryVerdict(d, &t)
}

// owner opens sessions with large variables on all instances, and sends a small read on each
// of them at once. Without trouble, it sends one after the other.
func owner(rec *record, trouble bool) string {
	d := startDeployment(rec, ownerInstances)
	defer d.stop()
	var t tally
	var all sync.WaitGroup
	value := strings.Repeat("v", maxText)
	sessions := make([]*client, ownerInstances*sessionsPerInstance)
	for n, i := range d.instances {
		all.Go(func() {
			for k := range sessionsPerInstance {
				c, err := connect(rec, i.callers, "stock-look", keyOf(k))
				if err != nil {
					t.add("refused")
					continue
				}
				for v := range variablesPerSession {
					t.add("set-" + c.query(queryTimeout, fmt.Sprintf("s%d-%d-%d", n, k, v), fmt.Sprintf("SET v%d %s", v, value)).outcome())
				}
				sessions[n*sessionsPerInstance+k] = c
			}
		})
	}
	all.Wait()
	rec.add("sessions", "outcomes", strings.ReplaceAll(fmt.Sprint(t.counts), " ", ","))
	for n, c := range sessions {
		if c == nil {
			continue
		}
		read := func() { t.add("read-" + c.query(queryTimeout, "r"+strconv.Itoa(n), "READ a").outcome()) }
		if trouble {
			all.Go(read)
		} else {
			read()
		}
	}
	all.Wait()
	return memoryVerdict(d, &t)
}
