package measure

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// runControl measures the cost of an idle deployment: processor time, calls to the
// platform's store and list of instances, and the sizes of the sheet and of the answer
// to a status poll. The processor time is that of the whole process, so it includes the
// stand-ins and is an upper bound for the instances.
func runControl(ctx context.Context, r *repetition) error {
	const variant = "Idle"
	instances := float64(len(r.testbed.instances))
	countsBefore := r.testbed.demo.Platform().Counts()
	cpuBefore, err := cpuTime()
	if err != nil {
		return err
	}
	start := time.Now()
	if err := sleep(ctx, r.duration); err != nil {
		return err
	}
	elapsed := time.Since(start).Seconds()
	cpuAfter, err := cpuTime()
	if err != nil {
		return err
	}
	countsAfter := r.testbed.demo.Platform().Counts()
	c := r.collector
	c.add(variant, "ProcessorPerInstance", 100*(cpuAfter-cpuBefore).Seconds()/elapsed/instances, UnitPercent, DirectionLower)
	c.add(variant, "StoreReadsPerInstance", float64(countsAfter.Reads-countsBefore.Reads)/elapsed/instances, UnitPerSecond, DirectionLower)
	c.add(variant, "StoreWritesPerInstance", float64(countsAfter.Writes-countsBefore.Writes)/elapsed/instances, UnitPerSecond, DirectionLower)
	c.add(variant, "ListCallsPerInstance", float64(countsAfter.Lists-countsBefore.Lists)/elapsed/instances, UnitPerSecond, DirectionLower)
	currentSheet, err := r.testbed.demo.Client(r.testbed.instances[0]).Sheet(ctx, 0)
	if err != nil {
		return err
	}
	c.add(variant, "Sheet", float64(len(currentSheet.Content)), UnitBytes, DirectionLower)
	return r.measureStatusSize(ctx, variant)
}

// measureStatusSize measures how many bytes the answer to one status poll of a backend
// server has in the PostgreSQL protocol, without TCP and IP headers.
func (r *repetition) measureStatusSize(ctx context.Context, variant string) error {
	// Sizes of messages. A header is the message type and the length.
	const (
		commandComplete = 5 + len("SHOW") + 1
		messageHeader   = 5
		readyForQuery   = 6
	)
	group := r.testbed.databases()[0]
	conn, err := openControlConn(ctx, group.Primary())
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	results, err := conn.Exec(ctx, statusSQL).ReadAll()
	if err != nil {
		return fmt.Errorf("run the status query: %w", err)
	}
	// RowDescription has 18 bytes and the name, which ends with a zero byte, for each
	// column. DataRow has 4 bytes and the value for each column. Both start with the
	// number of columns in 2 bytes.
	size := 2*(messageHeader+2) + commandComplete + readyForQuery
	for i, field := range results[0].FieldDescriptions {
		size += 18 + len(field.Name) + 1 + 4 + len(results[0].Rows[0][i])
	}
	r.collector.add(variant, "StatusAnswer", float64(size), UnitBytes, DirectionLower)
	return nil
}

// cpuTime returns the user and system time that the process has used.
func cpuTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
