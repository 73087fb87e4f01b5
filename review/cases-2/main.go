// Command cases-2 runs the scripts of the second review: it starts target/gatewayd with the
// commands and the template of the deploy file, and stand-ins for the platform's store and
// its promotions, for servers and for clients, all on loopback addresses.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the
// case could not run. With TROUBLE=0 it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// scenario runs a case and returns what was broken, or an empty text.
type scenario func(rec *record, trouble bool) (broken string)

// scenarios are the cases by name.
var scenarios = map[string]scenario{}

// Exit codes besides 0, which says that the rule held.
const (
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout is the time after which a case counts as one that could not run.
const caseTimeout = 115 * time.Second

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-2 CASE FOLDER, in the root of the repository")
		os.Exit(exitNotRun)
	}
	rec := newRecord(filepath.Join(os.Args[2], "record.txt"))
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case", "name", os.Args[1], "trouble", strconv.FormatBool(trouble))
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(caseTimeout):
		}
		rec.add("ended-early")
		rec.close()
		cleanUp()
		os.Exit(exitNotRun)
	}()
	broken := scenarios[os.Args[1]](rec, trouble)
	if broken == "" {
		rec.add("held")
	} else {
		rec.add("broken", "what", strconv.Quote(broken))
		fmt.Println(broken)
	}
	rec.close()
	if broken != "" {
		os.Exit(exitBroken)
	}
}

// tenants is the number of tenants of cpq-pier.
const tenants = 8

func keyOf(n int) string { return "key-" + strconv.Itoa(n%tenants) }

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
		all = append(all, map[string]any{"name": "tenant-" + strconv.Itoa(i), "api_keys": []string{keyOf(i)}, "priority": 1, "rate_per_s": 134, "burst": 134})
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

// replicaLags are usual lags of replicas of cpq-pier.
var replicaLags = [2]time.Duration{20 * time.Millisecond, 20 * time.Millisecond}

// startDeployment starts a store, a service and instances that use them.
func startDeployment(rec *record, instances int) *deployment {
	st := startStore()
	st.put("op", "config", config(maxConns, 0))
	g := startGroup("ledger", st, rec, maxConns, 0, replicaLags)
	d := newDeployment(rec, st, g.address)
	d.startInstances(instances)
	return d
}
