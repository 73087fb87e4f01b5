package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/standin"
)

const (
	// failoverTimeout bounds the wait for one failover. A failover is required to take
	// at most 20 s.
	failoverTimeout = 20 * time.Second
	// steadyDuration is how long the writers run before a fault and after the
	// recovery from it.
	steadyDuration = 500 * time.Millisecond
)

// failoverVariant is a fault during which the longest gap between successful writes is
// measured.
type failoverVariant struct {
	// fault is the name of a fault command of the demo, or empty for no fault.
	fault string
	// groups is the number of groups that the fault hits at once.
	groups int
	// storeDown means that the platform's store is unavailable during the failover.
	storeDown bool
	name      string
}

// failoverVariants returns the variants in the order in which they run. NoFault is the
// baseline: the longest gap between two successful writes without a fault.
func failoverVariants() []failoverVariant {
	return []failoverVariant{
		{name: "NoFault", groups: 1},
		{name: "Crash", fault: "crash-primary", groups: 1},
		{name: "CutOff", fault: "cut-primary", groups: 1},
		{name: "Pause", fault: "pause-primary", groups: 1},
		{name: "TwoAtOnce", fault: "crash-primary", groups: 2},
		{name: "StoreDown", fault: "crash-primary", groups: 1, storeDown: true},
	}
}

// runFailoverGap measures for each fault how long writers get no successful write, and
// how long each phase of the failover takes.
func runFailoverGap(ctx context.Context, r *repetition) error {
	for _, variant := range failoverVariants() {
		if err := r.runFailoverVariant(ctx, variant); err != nil {
			return fmt.Errorf("%s: %w", variant.name, err)
		}
	}
	return nil
}

// runFailoverVariant injects a fault under steady writes, waits for the recovery, and
// reports the figures of the variant.
func (r *repetition) runFailoverVariant(ctx context.Context, variant failoverVariant) error {
	tb := r.testbed
	groups := tb.databases()[:min(variant.groups, len(tb.databases()))]
	if variant.storeDown {
		tb.demo.Platform().SetOutage(standin.OutageFail)
		defer tb.demo.Platform().SetOutage(standin.OutageNone)
	}
	ctx, cancel := context.WithTimeout(ctx, failoverTimeout+setupTimeout)
	defer cancel()
	writers := startWriters(ctx, tb, groups)
	if err := writers.awaitSuccess(ctx, time.Now()); err != nil {
		return err
	}
	if err := sleep(ctx, steadyDuration); err != nil {
		return err
	}
	faultAt := time.Now()
	for _, g := range groups {
		if err := r.injectFault(variant, g); err != nil {
			return err
		}
	}
	waitCtx, cancelWait := context.WithTimeout(ctx, failoverTimeout)
	err := writers.awaitRecovery(waitCtx, tb, groups, faultAt, variant.fault != "")
	cancelWait()
	if err == nil {
		err = sleep(ctx, steadyDuration)
	}
	writers.stop()
	if err != nil {
		return err
	}
	for _, g := range groups {
		if err := tb.heal(ctx, g); err != nil {
			return err
		}
		r.reportFailoverPhases(variant, g, faultAt, writers)
		if err := r.checkWrites(ctx, variant, g, writers); err != nil {
			return err
		}
	}
	r.reportGaps(variant, faultAt, writers)
	return nil
}

func (r *repetition) injectFault(variant failoverVariant, g *standin.Group) error {
	if variant.fault == "" {
		return nil
	}
	return r.testbed.demo.RunFaultCommand(variant.fault + " " + string(g.ID()))
}

// lastPromotionAfter returns the successful promotion with the highest term among those
// that were decided in a group after the given time.
func lastPromotionAfter(tb *testbed, g *standin.Group, after time.Time) (group.PromotionRecord, bool) {
	var last group.PromotionRecord
	for _, id := range tb.demo.Instances() {
		for _, record := range tb.demo.Instance(id).Promotions() {
			if record.Group == g.ID() && record.DecidedAt.After(after) && !record.PromotedAt.IsZero() && record.Term > last.Term {
				last = record
			}
		}
	}
	return last, last.Term > 0
}

// reportFailoverPhases reports how long detection, decision, promotion and the first
// write of each writer took in the failover of one group.
func (r *repetition) reportFailoverPhases(variant failoverVariant, g *standin.Group, faultAt time.Time, writers *writers) {
	record, found := lastPromotionAfter(r.testbed, g, faultAt)
	if !found {
		return
	}
	c := r.collector
	c.milliseconds(variant.name, "Detection", record.DetectedAt.Sub(faultAt))
	c.milliseconds(variant.name, "Decision", record.DecidedAt.Sub(record.DetectedAt))
	c.milliseconds(variant.name, "Promotion", record.PromotedAt.Sub(record.DecidedAt))
	c.count(variant.name, "Attempts", record.Attempts)
	for _, writer := range writers.all {
		if first, ok := writer.firstSuccessAfter(record.PromotedAt); ok && writer.group == g {
			c.milliseconds(variant.name, "FirstWrite", first.Sub(record.PromotedAt))
		}
	}
}

// reportGaps reports the median and the worst of the writers' longest gaps after the
// fault, and the writers' errors.
func (r *repetition) reportGaps(variant failoverVariant, faultAt time.Time, writers *writers) {
	var gaps []float64
	worst := time.Duration(0)
	for _, writer := range writers.all {
		gap := writer.longestGap(faultAt)
		gaps = append(gaps, float64(gap)/float64(time.Millisecond))
		worst = max(worst, gap)
	}
	r.collector.add(variant.name, "GapMedian", Median(gaps), UnitMilliseconds, DirectionLower)
	r.collector.milliseconds(variant.name, "GapWorst", worst)
	for _, writer := range writers.all {
		r.collector.errors(variant.name, writer.errorsByCode)
	}
}

// checkWrites compares the rows in the table with the outcomes that the writers got. It
// counts acknowledged writes that were lost, rows that were written more than once, and
// writes that were reported as not run although their row exists.
func (r *repetition) checkWrites(ctx context.Context, variant failoverVariant, g *standin.Group, writers *writers) error {
	ids, err := queryFirstColumn(ctx, g, "SELECT id FROM measure_marks")
	if err != nil {
		return fmt.Errorf("read the written rows: %w", err)
	}
	rows := make(map[string]int)
	for _, id := range ids {
		rows[id]++
	}
	var acknowledged, lost, duplicated, falseNotRun, unknown int
	for _, writer := range writers.all {
		if writer.group != g {
			continue
		}
		for _, write := range writer.writes {
			count := rows[fmt.Sprint(write.id)]
			if count > 1 {
				duplicated++
			}
			switch {
			case write.state == writeAcknowledged:
				acknowledged++
				lost += max(0, 1-count)
			case write.state == writeNotRun && count > 0:
				falseNotRun++
			case write.state == writeUnknown:
				unknown++
			}
		}
	}
	c := r.collector
	c.add(variant.name, "Acknowledged", float64(acknowledged), UnitCount, DirectionHigher)
	c.count(variant.name, "LostAcknowledged", lost)
	c.count(variant.name, "Doubled", duplicated)
	c.count(variant.name, "FalseNotRun", falseNotRun)
	c.count(variant.name, "Unknown", unknown)
	return nil
}
