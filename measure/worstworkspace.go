package measure

import (
	"context"
	"time"
)

const (
	// aggressorLoad is how many times its rate the aggressor sends.
	aggressorLoad = 8
	// othersLoad is the part of its rate that each other workspace sends.
	othersLoad = 0.2
)

// runWorstWorkspace measures how each workspace is served while the last one
// sends eight times its rate. The baseline has no aggressor.
func runWorstWorkspace(ctx context.Context, r *repetition) error {
	r.warmUp(ctx)
	r.worstWorkspace(ctx, "Product", true)
	r.worstWorkspace(ctx, "NoAggressor", false)
	return nil
}

func (r *repetition) worstWorkspace(ctx context.Context, variant string, aggressor bool) {
	lanes := mixedLanes(r.world, othersLoad, nil, "")
	others := lanes[:len(lanes)-1]
	if aggressor {
		last := len(r.world.keys) - 1
		lanes[last] = mixedLane(r.world, last, aggressorLoad, nil, "")
	}
	runLoad(ctx, lanes, r.duration, r.seed)
	worstGoodput, worstP99 := 100.0, time.Duration(0)
	c := r.collector
	for number, l := range others {
		name := string(r.world.keys[number].Workspace)
		goodput := 100 * float64(l.tally.done) / float64(max(l.tally.sent, 1))
		p99 := l.tally.latency.Quantile(0.99)
		c.add(variant, "Goodput "+name, goodput, UnitPercent, DirectionHigher)
		c.millis(variant, "P99 "+name, p99)
		worstGoodput, worstP99 = min(worstGoodput, goodput), max(worstP99, p99)
	}
	c.add(variant, "WorstGoodput", worstGoodput, UnitPercent, DirectionHigher)
	c.millis(variant, "WorstP99", worstP99)
	if aggressor {
		sent := lanes[len(lanes)-1].tally
		c.percent(variant, "AggressorServed", sent.done, sent.sent, DirectionHigher)
	}
	r.report(variant+"Others", total(others), r.duration)
}

// warmUp runs mixed load before the first repetition, so that connections and
// shares have moved to where the requests arrive.
func (r *repetition) warmUp(ctx context.Context) {
	if r.number == 0 {
		runLoad(ctx, mixedLanes(r.world, baseLoad, nil, ""), r.duration, r.seed)
	}
}
