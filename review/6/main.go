// Command 6 stops the primary and one replica, and looks for lost commits.
package main

import (
	"time"

	"github.com/nutmegpier/nutmegpier/review/harness2"
)

const (
	// primaryOutage and replicaOutage are how long the two servers are down.
	primaryOutage = 3 * time.Second
	replicaOutage = 7 * time.Second
)

func main() { harness2.Main(lost) }

// lost stops the primary and the replica that has received the last commits for a while, and
// compares the acknowledged commits with the log of the server that is promoted. Without
// trouble, the servers go on.
func lost(rec *harness2.Record, trouble bool) string {
	w := harness2.StartWriters(rec)
	defer w.Deployment().Stop()
	time.Sleep(3 * time.Second)
	servers := w.Servers()
	if trouble {
		servers[0].Crash()
		servers[1].Crash()
	}
	time.Sleep(primaryOutage)
	if trouble {
		servers[0].Restart()
	}
	time.Sleep(replicaOutage - primaryOutage)
	if trouble {
		servers[1].Restart()
	}
	time.Sleep(5 * time.Second)
	return w.Verdict()
}
