package measure

import (
	"context"
	"time"
)

const (
	// aggressorLoadFactor is the load of the aggressor, as a multiple of its rate
	// limit.
	aggressorLoadFactor = 8
	// othersLoadFraction is the load of each other workspace, as a fraction of its rate
	// limit.
	othersLoadFraction = 0.2
)

// runWorstWorkspace measures goodput and latency of each workspace while the last one,
// the aggressor, sends eight times its rate limit. The baseline has no aggressor.
func runWorstWorkspace(ctx context.Context, r *repetition) error {
	r.warmUp(ctx)
	r.measureWorstWorkspace(ctx, "Product", true)
	r.measureWorstWorkspace(ctx, "NoAggressor", false)
	return nil
}

func (r *repetition) measureWorstWorkspace(ctx context.Context, variant string, aggressor bool) {
	streams := newMixedStreams(r.testbed, othersLoadFraction, nil, "")
	others := streams[:len(streams)-1]
	if aggressor {
		last := len(r.testbed.keys) - 1
		streams[last] = newMixedStream(r.testbed, last, aggressorLoadFactor, nil, "")
	}
	runLoad(ctx, streams, r.duration, r.seed)
	worstGoodput, worstP99 := 100.0, time.Duration(0)
	c := r.collector
	for index, st := range others {
		name := string(r.testbed.keys[index].Workspace)
		goodput := 100 * float64(st.stats.succeeded) / float64(max(st.stats.sent, 1))
		p99 := st.stats.latency.Quantile(0.99)
		c.add(variant, "Goodput "+name, goodput, UnitPercent, DirectionHigher)
		c.milliseconds(variant, "P99 "+name, p99)
		worstGoodput, worstP99 = min(worstGoodput, goodput), max(worstP99, p99)
	}
	c.add(variant, "WorstGoodput", worstGoodput, UnitPercent, DirectionHigher)
	c.milliseconds(variant, "WorstP99", worstP99)
	if aggressor {
		sent := streams[len(streams)-1].stats
		c.percent(variant, "AggressorServed", sent.succeeded, sent.sent, DirectionHigher)
	}
	r.reportLoad(variant+"Others", mergeStats(others), r.duration)
}

// warmUp runs mixed load before the first repetition, so that connections and rate limit
// shares have moved to the instances at which the requests arrive.
func (r *repetition) warmUp(ctx context.Context) {
	if r.index == 0 {
		runLoad(ctx, newMixedStreams(r.testbed, mixedLoadFraction, nil, ""), r.duration, r.seed)
	}
}
