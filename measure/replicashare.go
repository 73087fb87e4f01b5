package measure

import (
	"context"
	"sync/atomic"
	"time"
)

// primaryRoutingHint is the SQL comment that makes the proxy send a read to the primary.
const primaryRoutingHint = "/* nutmegpier: primary */ "

// runReplicaShare measures which share of the reads replicas answer under mixed load.
// The baseline sends all reads to the primary.
func runReplicaShare(ctx context.Context, r *repetition) error {
	r.warmUp(ctx)
	r.measureReplicaShare(ctx, "Product", "")
	r.measureReplicaShare(ctx, "PrimaryReads", primaryRoutingHint)
	return nil
}

func (r *repetition) measureReplicaShare(ctx context.Context, variant, hint string) {
	var primaryReads, replicaReads atomic.Int64
	streams := newMixedStreams(r.testbed, mixedLoadFraction, func(by servedBy, _ request) {
		if by.role == "Primary" {
			primaryReads.Add(1)
			return
		}
		replicaReads.Add(1)
	}, hint)
	runLoad(ctx, streams, r.duration, r.seed)
	c := r.collector
	c.percent(variant, "ReplicaShare", replicaReads.Load(), primaryReads.Load()+replicaReads.Load(), DirectionHigher)
	r.reportLoad(variant, mergeStats(streams), r.duration)
}

// reportLoad reports the goodput, latency and errors of requests that were sent during
// the given duration.
func (r *repetition) reportLoad(variant string, merged *stats, duration time.Duration) {
	c := r.collector
	c.add(variant, "Goodput", float64(merged.succeeded)/duration.Seconds(), UnitPerSecond, DirectionHigher)
	c.milliseconds(variant, "P50", merged.latency.Quantile(0.5))
	c.milliseconds(variant, "P99", merged.latency.Quantile(0.99))
	c.percent(variant, "Failed", merged.sent-merged.succeeded, merged.sent, DirectionLower)
	c.errors(variant, merged.errorsByCode)
	c.series(variant, merged.latency.Series("Latency"))
}
