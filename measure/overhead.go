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
	// idleConnections is the number of idle client connections.
	idleConnections = 2000
	// largeRows is the number of rows of a large result.
	largeRows = 500
	// pairPause keeps the load on a shared machine moderate.
	pairPause = 200 * time.Microsecond
)

// unlimitedRates keeps the rate limit out of a measurement of latency, and
// adds a table with a large result.
func unlimitedRates(deployment *demo.Deployment) {
	workspaces := make([]demo.Workspace, len(deployment.Workspaces))
	for i, workspace := range deployment.Workspaces {
		workspaces[i] = workspace
		workspaces[i].Rate, workspaces[i].Burst = 1e6, 1e6
	}
	deployment.Workspaces = workspaces
	marksTable(deployment)
	rows := fmt.Sprintf("WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < %d) "+
		"INSERT INTO measure_large SELECT i, 'a row of a large result, number ' || i FROM n", largeRows)
	first := &deployment.Databases[0]
	first.Schema = append(first.Schema, "CREATE TABLE measure_large (id INTEGER, line TEXT)", rows)
}

// statementKind is a way to run a statement.
type statementKind struct {
	extended bool
	sql      string
	variant  string
}

func statementKinds() []statementKind {
	const large = "SELECT id, line FROM measure_large"
	return []statementKind{
		{variant: "SimpleSmall", sql: "SELECT 1"},
		{variant: "ExtendedSmall", sql: "SELECT 1", extended: true},
		{variant: "SimpleLarge", sql: large},
		{variant: "ExtendedLarge", sql: large, extended: true},
	}
}

// runOverhead runs each statement in turn on a direct connection to the server
// and through the proxy, and measures the memory of idle connections.
func runOverhead(ctx context.Context, r *repetition) error {
	proxied, err := r.proxiedConn(ctx)
	if err != nil {
		return err
	}
	defer proxied.Close(ctx)
	primary := r.world.databases()[0].Primary()
	if primary == nil {
		return errors.New("no primary")
	}
	direct, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://measure@%s/measure?sslmode=disable", primary.Addr()))
	if err != nil {
		return err
	}
	defer direct.Close(ctx)
	for _, kind := range statementKinds() {
		if err := r.overhead(ctx, kind, direct, proxied); err != nil {
			return fmt.Errorf("%s: %w", kind.variant, err)
		}
	}
	if r.number > 0 {
		return nil
	}
	return r.idleMemory(ctx)
}

func (r *repetition) proxiedConn(ctx context.Context) (*pgconn.PgConn, error) {
	url := r.world.demo.URL(r.world.instances[0], r.world.keys[0], r.world.databases()[0].ID())
	return pgconn.Connect(ctx, url+"?sslmode=disable")
}

func (r *repetition) overhead(ctx context.Context, kind statementKind, direct, proxied *pgconn.PgConn) error {
	for _, conn := range []*pgconn.PgConn{direct, proxied} {
		if !kind.extended {
			continue
		}
		if _, err := conn.Prepare(ctx, kind.variant, kind.sql, nil); err != nil {
			return err
		}
	}
	directLatency, proxiedLatency := NewLatencyHistogram(), NewLatencyHistogram()
	end := time.Now().Add(r.duration / time.Duration(len(statementKinds())))
	for turn := 0; time.Now().Before(end) && turn < maxArrivals; turn++ {
		first, second := direct, proxied
		firstLatency, secondLatency := directLatency, proxiedLatency
		if turn%2 == 1 {
			first, second = second, first
			firstLatency, secondLatency = secondLatency, firstLatency
		}
		if err := timeStatement(ctx, kind, first, firstLatency); err != nil {
			return err
		}
		if err := timeStatement(ctx, kind, second, secondLatency); err != nil {
			return err
		}
		if err := pause(ctx, pairPause); err != nil {
			return err
		}
	}
	r.reportOverhead(kind.variant, directLatency, proxiedLatency)
	return nil
}

func timeStatement(ctx context.Context, kind statementKind, conn *pgconn.PgConn, latency *LatencyHistogram) error {
	start := time.Now()
	var err error
	if kind.extended {
		err = conn.ExecPrepared(ctx, kind.variant, nil, nil, nil).Read().Err
	} else {
		_, err = conn.Exec(ctx, kind.sql).ReadAll()
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

// idleMemory opens idle client connections and divides the growth of heap and
// stacks by their number. The client keeps only its socket.
func (r *repetition) idleMemory(ctx context.Context) error {
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	before := memoryInUse()
	for number := range idleConnections {
		conn, err := r.idleConn(ctx, number)
		if err != nil {
			return fmt.Errorf("idle connection %d: %w", number+1, err)
		}
		conns = append(conns, conn)
	}
	grown := memoryInUse() - before
	r.collector.add("Idle", "BytesPerConnection", grown/idleConnections, UnitBytes, DirectionLower)
	r.collector.add("Idle", "Connections", idleConnections, UnitCount, DirectionHigher)
	return nil
}

func (r *repetition) idleConn(ctx context.Context, number int) (net.Conn, error) {
	w := r.world
	key := w.keys[number%len(w.keys)]
	url := w.demo.URL(w.instances[number%len(w.instances)], key, key.Databases[0])
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

// memoryInUse returns the bytes of live heap and of stacks.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
