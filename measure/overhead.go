package measure

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/nutmegpier/nutmegpier/demo"
)

const (
	// idleConnections is the number of idle client connections over which the memory
	// is averaged.
	idleConnections = 2000
	// largeRows is the number of rows of the large result.
	largeRows = 500
	// pairInterval is the pause between pairs of statements. It limits the load on a
	// machine that is shared with others.
	pairInterval = 200 * time.Microsecond
)

// adaptForOverhead raises the rate limits, so that they do not affect the measured
// latency, and adds a table with a large result.
func adaptForOverhead(deployment *demo.Deployment) {
	workspaces := make([]demo.Workspace, len(deployment.Workspaces))
	for i, workspace := range deployment.Workspaces {
		workspaces[i] = workspace
		workspaces[i].Rate, workspaces[i].Burst = 1e6, 1e6
	}
	deployment.Workspaces = workspaces
	// addMarksTable also copies the databases, so that the caller's are not changed below.
	addMarksTable(deployment)
	rows := fmt.Sprintf("WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < %d) "+
		"INSERT INTO measure_large SELECT i, 'a row of a large result, number ' || i FROM n", largeRows)
	first := &deployment.Databases[0]
	first.Schema = append(first.Schema, "CREATE TABLE measure_large (id INTEGER, line TEXT)", rows)
}

// statementVariant is a statement and the protocol with which it is run: simple or
// extended.
type statementVariant struct {
	extendedProtocol bool
	sql              string
	name             string
}

func statementVariants() []statementVariant {
	const large = "SELECT id, line FROM measure_large"
	return []statementVariant{
		{name: "SimpleSmall", sql: "SELECT 1"},
		{name: "ExtendedSmall", sql: "SELECT 1", extendedProtocol: true},
		{name: "SimpleLarge", sql: large},
		{name: "ExtendedLarge", sql: large, extendedProtocol: true},
	}
}

// runOverhead runs each statement alternately on a direct connection to the primary and
// through the proxy. In the first repetition, it also measures the memory of idle
// connections.
func runOverhead(ctx context.Context, r *repetition) error {
	proxied, err := r.connectThroughProxy(ctx)
	if err != nil {
		return err
	}
	defer proxied.Close(ctx)
	primary := r.testbed.databases()[0].Primary()
	if primary == nil {
		return errors.New("the first database group has no primary")
	}
	direct, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://measure@%s/measure?sslmode=disable", primary.Addr()))
	if err != nil {
		return err
	}
	defer direct.Close(ctx)
	for _, variant := range statementVariants() {
		if err := r.measureStatement(ctx, variant, direct, proxied); err != nil {
			return fmt.Errorf("%s: %w", variant.name, err)
		}
	}
	if r.index > 0 {
		return nil
	}
	return r.measureIdleMemory(ctx)
}

// connectThroughProxy connects to the first database through the first instance.
func (r *repetition) connectThroughProxy(ctx context.Context) (*pgconn.PgConn, error) {
	url := r.testbed.demo.URL(r.testbed.instances[0], r.testbed.keys[0], r.testbed.databases()[0].ID())
	return pgconn.Connect(ctx, url+"?sslmode=disable")
}

// measureStatement runs pairs of a direct and a proxied statement for the variant's part
// of the duration. The order in a pair alternates, so that neither side always comes
// first.
func (r *repetition) measureStatement(ctx context.Context, variant statementVariant, direct, proxied *pgconn.PgConn) error {
	for _, conn := range []*pgconn.PgConn{direct, proxied} {
		if !variant.extendedProtocol {
			continue
		}
		if _, err := conn.Prepare(ctx, variant.name, variant.sql, nil); err != nil {
			return err
		}
	}
	directLatency, proxiedLatency := NewLatencyHistogram(), NewLatencyHistogram()
	end := time.Now().Add(r.duration / time.Duration(len(statementVariants())))
	for pair := 0; time.Now().Before(end) && pair < maxRequests; pair++ {
		first, second := direct, proxied
		firstLatency, secondLatency := directLatency, proxiedLatency
		if pair%2 == 1 {
			first, second = second, first
			firstLatency, secondLatency = secondLatency, firstLatency
		}
		if err := timeStatement(ctx, variant, first, firstLatency); err != nil {
			return err
		}
		if err := timeStatement(ctx, variant, second, secondLatency); err != nil {
			return err
		}
		if err := sleep(ctx, pairInterval); err != nil {
			return err
		}
	}
	r.reportOverhead(variant.name, directLatency, proxiedLatency)
	return nil
}

// timeStatement runs the statement on a connection and records how long it took.
func timeStatement(ctx context.Context, variant statementVariant, conn *pgconn.PgConn, latency *LatencyHistogram) error {
	start := time.Now()
	var err error
	if variant.extendedProtocol {
		err = conn.ExecPrepared(ctx, variant.name, nil, nil, nil).Read().Err
	} else {
		_, err = conn.Exec(ctx, variant.sql).ReadAll()
	}
	latency.Record(time.Since(start))
	return err
}

func (r *repetition) reportOverhead(variant string, direct, proxied *LatencyHistogram) {
	c := r.collector
	for _, quantile := range []struct {
		name string
		q    float64
	}{{"P50", 0.5}, {"P99", 0.99}, {"P99.9", 0.999}} {
		directTime, proxiedTime := direct.Quantile(quantile.q), proxied.Quantile(quantile.q)
		c.add(variant+" Direct", quantile.name, float64(directTime.Microseconds()), UnitMicroseconds, DirectionLower)
		c.add(variant, quantile.name, float64(proxiedTime.Microseconds()), UnitMicroseconds, DirectionLower)
		c.add(variant, "Added"+quantile.name, float64((proxiedTime - directTime).Microseconds()), UnitMicroseconds, DirectionLower)
	}
	c.add(variant, "Pairs", float64(proxied.Count()), UnitCount, DirectionHigher)
	c.series(variant, proxied.Series("Latency"))
	c.series(variant+" Direct", direct.Series("Latency"))
}

// measureIdleMemory opens idle client connections and reports by how many bytes the heap
// and the stacks of the process grow for each. The client side runs in the same process,
// so it keeps only its socket.
func (r *repetition) measureIdleMemory(ctx context.Context) error {
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	before := memoryInUse()
	for index := range idleConnections {
		conn, err := r.openIdleConn(ctx, index)
		if err != nil {
			return fmt.Errorf("idle connection %d: %w", index+1, err)
		}
		conns = append(conns, conn)
	}
	growth := memoryInUse() - before
	r.collector.add("Idle", "BytesPerConnection", growth/idleConnections, UnitBytes, DirectionLower)
	r.collector.add("Idle", "Connections", idleConnections, UnitCount, DirectionHigher)
	return nil
}

// openIdleConn opens a connection through an instance and returns its socket, without
// the buffers of the client library.
func (r *repetition) openIdleConn(ctx context.Context, index int) (net.Conn, error) {
	tb := r.testbed
	key := tb.keys[index%len(tb.keys)]
	url := tb.demo.URL(tb.instances[index%len(tb.instances)], key, key.Databases[0])
	conn, err := pgconn.Connect(ctx, url+"?sslmode=disable")
	if err != nil {
		return nil, err
	}
	hijacked, err := conn.Hijack()
	if err != nil {
		return nil, err
	}
	return hijacked.Conn, nil
}

// memoryInUse returns the bytes of live heap objects and of stacks.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
