package harness

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Figures of the small sites.
const (
	// maxConns is the number of connections that a server takes.
	maxConns = 22
	// txIdle is tx_idle_ms of the configuration.
	txIdle = 3000 * time.Millisecond
)

// leadTime is how long before the traffic the machines start.
const leadTime = 10 * time.Second

// Zones are the zones of the instances.
var Zones = []string{"mixco", "villa-nueva", "zona-doce", "amatitlan"}

// Route is a route of the configuration.
type Route struct {
	Host           string
	MaxStalenessMs int
	Service        string
	TimeoutMs      int
	Type           string
}

// Tenant is a tenant of the configuration.
type Tenant struct {
	Burst float64
	Keys  []string
	Name  string
	Rate  float64
}

// Config is the configuration of the operator.
type Config struct {
	Routes       []Route
	Services     []string
	SyncReplicas int
	Tenants      []Tenant
	Version      int
}

func (c Config) encode() map[string]any {
	routes, services, tenants := []any{}, []any{}, []any{}
	for i, r := range c.Routes {
		route := map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": r.Host, "prefix": "/", "route_type": r.Type, "timeout_ms": r.TimeoutMs,
			"target_latency_ms": 250, "priority": 1, "service": r.Service, "max_attempts": 2, "public": false,
		}
		if r.MaxStalenessMs > 0 {
			route["max_staleness_ms"] = r.MaxStalenessMs
		}
		routes = append(routes, route)
	}
	for _, name := range c.Services {
		services = append(services, map[string]any{
			"name": name, "health_path": "/health", "max_conns": maxConns, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
			"sync_replicas": c.SyncReplicas,
		})
	}
	for _, t := range c.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "api_keys": t.Keys, "priority": 1, "rate_per_s": t.Rate, "burst": t.Burst})
	}
	return map[string]any{
		"version": c.Version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": txIdle.Milliseconds(),
		},
	}
}

// Deployment is a small deployment: one instance a zone, and the stand-ins.
type Deployment struct {
	Groups    []*Group
	Instances []*Instance
	Record    *Record

	cloud  *cloud
	folder string
	store  *store
}

// start starts the deployment, waits until all instances are ready, and returns when the
// traffic is to start.
func (d *Deployment) start(config Config, groups []GroupConfig) error {
	var err error
	if d.folder, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	if d.store, err = newStore(); err != nil {
		return err
	}
	if d.cloud, err = newCloud(d.Record); err != nil {
		return err
	}
	d.Publish(config)
	for _, g := range groups {
		group, err := newGroup(g, d.store, d.Record)
		if err != nil {
			return err
		}
		d.Groups = append(d.Groups, group)
		d.cloud.groups[g.Service] = group
	}
	for i, zone := range Zones {
		instance, err := startInstance(d.folder, fmt.Sprintf("front-%s-%d", zone, i+1), zone, d.store.address, d.cloud.address)
		if err != nil {
			return err
		}
		d.Instances = append(d.Instances, instance)
	}
	started := time.Now()
	if err := d.waitReady(); err != nil {
		return err
	}
	time.Sleep(time.Until(started.Add(leadTime)))
	d.Record.Add("traffic starts")
	return nil
}

// waitReady waits until all instances answer the probe with 200.
func (d *Deployment) waitReady() error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range d.Instances {
			if i.isReady() {
				ready++
			}
		}
		if ready == len(d.Instances) {
			return nil
		}
	}
	return errors.New("the instances don't become ready")
}

// Publish writes a configuration and returns when the store has acknowledged it.
func (d *Deployment) Publish(config Config) time.Time {
	acknowledged := d.store.put("op", "config", config.encode())
	d.Record.Add("store acknowledges configuration %d: %+v", config.Version, config)
	return acknowledged
}

// close ends the processes. If keepLogs names a folder, their logs are copied there.
func (d *Deployment) close(keepLogs string) {
	for _, i := range d.Instances {
		i.kill()
		_ = i.log.Close()
		if content, err := os.ReadFile(i.log.Name()); err == nil && keepLogs != "" {
			_ = os.WriteFile(filepath.Join(keepLogs, i.name+".log"), content, 0o600)
		}
	}
	if d.folder != "" {
		_ = os.RemoveAll(d.folder)
	}
}
