package measure

import (
	"context"
	"sync/atomic"
	"time"
)

// primaryHint sends a read to the primary.
const primaryHint = "/* nutmegpier: primary */ "

// runReplicaShare measures the share of reads that replicas serve under mixed
// load. The baseline sends all reads to the primary.
func runReplicaShare(ctx context.Context, r *repetition) error {
	r.warmUp(ctx)
	r.replicaShare(ctx, "Product", "")
	r.replicaShare(ctx, "PrimaryReads", primaryHint)
	return nil
}

func (r *repetition) replicaShare(ctx context.Context, variant, hint string) {
	var primary, replica atomic.Int64
	lanes := mixedLanes(r.world, baseLoad, func(by answeredBy, _ arrival) {
		if by.role == "Primary" {
			primary.Add(1)
			return
		}
		replica.Add(1)
	}, hint)
	runLoad(ctx, lanes, r.duration, r.seed)
	c := r.collector
	c.percent(variant, "ReplicaShare", replica.Load(), primary.Load()+replica.Load(), DirectionHigher)
	r.report(variant, total(lanes), r.duration)
}

// report adds the latency, goodput and errors of a tally over a time.
func (r *repetition) report(variant string, sum *tally, duration time.Duration) {
	c := r.collector
	c.add(variant, "Goodput", float64(sum.done)/duration.Seconds(), UnitPerSecond, DirectionHigher)
	c.millis(variant, "P50", sum.latency.Quantile(0.5))
	c.millis(variant, "P99", sum.latency.Quantile(0.99))
	c.percent(variant, "Failed", sum.sent-sum.done, sum.sent, DirectionLower)
	c.errors(variant, sum.codes)
	c.series(variant, sum.latency.Series("Latency"))
}
