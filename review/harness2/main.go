// Package harness2 holds what the scripts of the second review share: the start of
// target/gatewayd with the command and the template of the deploy file, stand-ins for the
// platform's store and its promotions, for servers and for clients, all on loopback addresses,
// sessions that write, and the record. What one case does is in its folder.
package harness2

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Scenario runs a case and returns what was broken, or an empty text.
type Scenario func(rec *Record, trouble bool) (broken string)

// Exit codes besides 0, which says that the rule held.
const (
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout is the time after which a case counts as one that could not run.
const caseTimeout = 115 * time.Second

// Main runs a case, with its folder as the only argument. It exits with 1 if the rule of the case
// was broken, with 0 if it held and with 2 if the case could not run. With TROUBLE=0 the
// scenario leaves the disruption out.
func Main(run Scenario) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "want the folder of the case; start in the root of the repository")
		os.Exit(exitNotRun)
	}
	rec := newRecord(filepath.Join(os.Args[1], "record.txt"))
	trouble := os.Getenv("TROUBLE") != "0"
	rec.Add("case", "trouble", strconv.FormatBool(trouble))
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(caseTimeout):
		}
		rec.Add("ended-early")
		rec.close()
		cleanUp()
		os.Exit(exitNotRun)
	}()
	broken := run(rec, trouble)
	if broken == "" {
		rec.Add("held")
	} else {
		rec.Add("broken", "what", strconv.Quote(broken))
		fmt.Println(broken)
	}
	rec.close()
	if broken != "" {
		os.Exit(exitBroken)
	}
}

// tenants is the number of tenants of cpq-pier.
const tenants = 8

// KeyOf returns the key of one of the tenants.
func KeyOf(n int) string { return "key-" + strconv.Itoa(n%tenants) }

// config returns a configuration with the routes and the figures of cpq-pier, and a public
// route.
func config(maxConns, syncReplicas int) map[string]any {
	route := func(host, kind string, staleness, timeout, target, priority int) map[string]any {
		r := map[string]any{
			"name": "r-" + host, "host": host, "prefix": "/", "route_type": kind, "timeout_ms": timeout, "target_latency_ms": target,
			"priority": priority, "service": "ledger", "max_attempts": 2, "public": false,
		}
		if staleness > 0 {
			r["max_staleness_ms"] = staleness
		}
		return r
	}
	public := route("notices", "bounded_staleness", 1500, 2000, 500, 2)
	public["public"] = true
	var all []any
	for i := range tenants {
		all = append(all, map[string]any{"name": "tenant-" + strconv.Itoa(i), "api_keys": []string{KeyOf(i)}, "priority": 1, "rate_per_s": 134, "burst": 134})
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			route("order-post", "primary", 0, 800, 150, 1), route("stock-look", "bounded_staleness", 1500, 2000, 500, 2),
			route("run-sync", "read_your_writes", 2500, 800, 250, 2), public,
		},
		"services": []any{map[string]any{
			"name": "ledger", "health_path": "/health", "max_conns": maxConns, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0, "sync_replicas": syncReplicas,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
		"tenants": all,
	}
}

// maxConns is the number of connections that a server of cpq-pier accepts.
const maxConns = 22

// MaxText is the size of a text that leaves room for the other words of a message of 1 MiB.
const MaxText = 1<<20 - 100

// QueryTimeout is how long a client waits for an answer.
const QueryTimeout = 5 * time.Second

// replicaLags are usual lags of replicas of cpq-pier.
var replicaLags = [2]time.Duration{20 * time.Millisecond, 20 * time.Millisecond}

// StartDeployment starts a store, a service and instances that use them.
func StartDeployment(rec *Record, instances int) *Deployment {
	st := startStore()
	st.put("op", "config", config(maxConns, 0))
	g := startGroup("ledger", st, rec, maxConns, 0, replicaLags)
	d := newDeployment(rec, st, g.address)
	d.startInstances(instances)
	return d
}
