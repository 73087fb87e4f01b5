// Command 7 restarts all instances after an outage of the store, and looks for lost commits.
package main

import (
	"time"

	"github.com/nutmegpier/nutmegpier/review/harness2"
)

const (
	// storeOutage, deafTime and restartDelay are how long the store is down, a replica
	// receives nothing, and instances take to start again.
	storeOutage  = 4500 * time.Millisecond
	deafTime     = 6500 * time.Millisecond
	restartDelay = time.Second
	// lateReturn is when the last entries are back after the outage of the store.
	lateReturn = 1900 * time.Millisecond
)

func main() { harness2.Main(expired) }

// expired makes a replica deaf, takes the store down until the entries of all servers have
// expired, and kills all instances shortly before it is back. The entry of the deaf replica is
// back first. The servers run all the while. Without trouble, nothing of this happens.
func expired(rec *harness2.Record, trouble bool) string {
	w := harness2.StartWriters(rec)
	defer w.Deployment().Stop()
	servers, st := w.Servers(), w.Store()
	servers[0].ReturnDelay, servers[1].ReturnDelay, servers[2].ReturnDelay = lateReturn, lateReturn, 100*time.Millisecond
	time.Sleep(3 * time.Second)
	if !trouble {
		time.Sleep(12 * time.Second)
		return w.Verdict()
	}
	st.SetDown(true)
	rec.Add("store-down")
	time.Sleep(time.Second)
	servers[2].SetDeaf(true)
	time.AfterFunc(deafTime, func() { servers[2].SetDeaf(false) })
	time.Sleep(storeOutage - time.Second - restartDelay/2)
	w.Deployment().KillAll()
	time.Sleep(restartDelay / 2)
	st.SetDown(false)
	rec.Add("store-back")
	time.Sleep(restartDelay / 2)
	w.Deployment().RestartAll()
	time.Sleep(8 * time.Second)
	return w.Verdict()
}
