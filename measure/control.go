package measure

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// runControl measures what a deployment without requests costs. The processor
// time is that of the whole process, so it includes the stand-ins and is an
// upper bound for the instances.
func runControl(ctx context.Context, r *repetition) error {
	const variant = "Idle"
	instances := float64(len(r.world.instances))
	calls := r.world.demo.Platform().Counts()
	used, err := processorTime()
	if err != nil {
		return err
	}
	start := time.Now()
	if err := pause(ctx, r.duration); err != nil {
		return err
	}
	elapsed := time.Since(start).Seconds()
	after, err := processorTime()
	if err != nil {
		return err
	}
	later := r.world.demo.Platform().Counts()
	c := r.collector
	c.add(variant, "ProcessorPerInstance", 100*(after-used).Seconds()/elapsed/instances, UnitPercent, DirectionLower)
	c.add(variant, "StoreReadsPerInstance", float64(later.Reads-calls.Reads)/elapsed/instances, UnitPerSecond, DirectionLower)
	c.add(variant, "StoreWritesPerInstance", float64(later.Writes-calls.Writes)/elapsed/instances, UnitPerSecond, DirectionLower)
	c.add(variant, "ListCallsPerInstance", float64(later.Lists-calls.Lists)/elapsed/instances, UnitPerSecond, DirectionLower)
	current, err := r.world.demo.Client(r.world.instances[0]).Sheet(ctx, 0)
	if err != nil {
		return err
	}
	c.add(variant, "Sheet", float64(len(current.Content)), UnitBytes, DirectionLower)
	return r.statusSize(ctx, variant)
}

// statusSize measures the size of one answer to a status poll on the wire,
// without TCP and IP headers.
func (r *repetition) statusSize(ctx context.Context, variant string) error {
	const (
		commandComplete = 5 + len("SHOW") + 1
		messageHeader   = 5
		readyForQuery   = 6
	)
	group := r.world.databases()[0]
	conn, err := control(ctx, group.Primary())
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	results, err := conn.Exec(ctx, probeSQL).ReadAll()
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	// A row description has 18 bytes and the name for each column, a row has 4
	// bytes and the value. Both begin with a count of 2 bytes.
	size := 2*(messageHeader+2) + commandComplete + readyForQuery
	for i, field := range results[0].FieldDescriptions {
		size += 18 + len(field.Name) + 1 + 4 + len(results[0].Rows[0][i])
	}
	r.collector.add(variant, "StatusAnswer", float64(size), UnitBytes, DirectionLower)
	return nil
}

// processorTime returns the user and system time of the process.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
