package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/standin"
)

const (
	// failoverTimeout bounds one failover, of which the requirement is 20 s.
	failoverTimeout = 20 * time.Second
	// steadyTime is the time that writers run before a fault and after the
	// first success behind it.
	steadyTime = 500 * time.Millisecond
)

// failoverKind is a fault of which the gap is measured.
type failoverKind struct {
	// fault is a fault command; empty for none.
	fault string
	// groups is the number of groups that the fault hits at once.
	groups    int
	storeDown bool
	variant   string
}

// failoverKinds returns the kinds in the order in which they run. NoFault is
// the baseline: the longest time between two successes without a fault.
func failoverKinds() []failoverKind {
	return []failoverKind{
		{variant: "NoFault", groups: 1},
		{variant: "Crash", fault: "crash-primary", groups: 1},
		{variant: "CutOff", fault: "cut-primary", groups: 1},
		{variant: "Pause", fault: "pause-primary", groups: 1},
		{variant: "TwoAtOnce", fault: "crash-primary", groups: 2},
		{variant: "StoreDown", fault: "crash-primary", groups: 1, storeDown: true},
	}
}

// runFailoverGap measures the time without writes for each kind of fault, and
// the parts of that time.
func runFailoverGap(ctx context.Context, r *repetition) error {
	for _, kind := range failoverKinds() {
		if err := r.failover(ctx, kind); err != nil {
			return fmt.Errorf("%s: %w", kind.variant, err)
		}
	}
	return nil
}

func (r *repetition) failover(ctx context.Context, kind failoverKind) error {
	w := r.world
	groups := w.databases()[:min(kind.groups, len(w.databases()))]
	if kind.storeDown {
		w.demo.Platform().SetOutage(standin.OutageFail)
		defer w.demo.Platform().SetOutage(standin.OutageNone)
	}
	ctx, cancel := context.WithTimeout(ctx, failoverTimeout+setupTimeout)
	defer cancel()
	writers := startWriters(ctx, w, groups)
	if err := writers.awaitSuccess(ctx, time.Now()); err != nil {
		return err
	}
	if err := pause(ctx, steadyTime); err != nil {
		return err
	}
	faultAt := time.Now()
	for _, g := range groups {
		if err := r.inject(kind, g); err != nil {
			return err
		}
	}
	waiting, stopWaiting := context.WithTimeout(ctx, failoverTimeout)
	err := writers.awaitAfterFault(waiting, w, groups, faultAt, kind.fault != "")
	stopWaiting()
	if err == nil {
		err = pause(ctx, steadyTime)
	}
	writers.stop()
	if err != nil {
		return err
	}
	for _, g := range groups {
		if err := w.heal(ctx, g); err != nil {
			return err
		}
		r.reportParts(kind, g, faultAt, writers)
		if err := r.checkWrites(ctx, kind, g, writers); err != nil {
			return err
		}
	}
	r.reportGaps(kind, faultAt, writers)
	return nil
}

func (r *repetition) inject(kind failoverKind, g *standin.Group) error {
	if kind.fault == "" {
		return nil
	}
	return r.world.demo.RunFaultCommand(kind.fault + " " + string(g.ID()))
}

// promotionAfter returns the last promotion in a group that was decided after
// a time and succeeded.
func promotionAfter(w *world, g *standin.Group, at time.Time) (group.PromotionRecord, bool) {
	var last group.PromotionRecord
	for _, id := range w.demo.Instances() {
		for _, record := range w.demo.Instance(id).Promotions() {
			if record.Group == g.ID() && record.DecidedAt.After(at) && !record.PromotedAt.IsZero() && record.Term > last.Term {
				last = record
			}
		}
	}
	return last, last.Term > 0
}

// reportParts adds the parts of the gap of one group.
func (r *repetition) reportParts(kind failoverKind, g *standin.Group, faultAt time.Time, writers *writers) {
	record, found := promotionAfter(r.world, g, faultAt)
	if !found {
		return
	}
	c := r.collector
	c.millis(kind.variant, "Detection", record.DetectedAt.Sub(faultAt))
	c.millis(kind.variant, "Decision", record.DecidedAt.Sub(record.DetectedAt))
	c.millis(kind.variant, "Promotion", record.PromotedAt.Sub(record.DecidedAt))
	c.count(kind.variant, "Attempts", record.Attempts)
	for _, writer := range writers.all {
		if first, ok := writer.firstAfter(record.PromotedAt); ok && writer.group == g {
			c.millis(kind.variant, "FirstWrite", first.Sub(record.PromotedAt))
		}
	}
}

func (r *repetition) reportGaps(kind failoverKind, faultAt time.Time, writers *writers) {
	var gaps []float64
	worst := time.Duration(0)
	for _, writer := range writers.all {
		gap := writer.longestGap(faultAt)
		gaps = append(gaps, float64(gap)/float64(time.Millisecond))
		worst = max(worst, gap)
	}
	r.collector.add(kind.variant, "GapMedian", Median(gaps), UnitMilliseconds, DirectionLower)
	r.collector.millis(kind.variant, "GapWorst", worst)
	for _, writer := range writers.all {
		r.collector.errors(kind.variant, writer.codes)
	}
}

// checkWrites compares the table with what the writers were told.
func (r *repetition) checkWrites(ctx context.Context, kind failoverKind, g *standin.Group, writers *writers) error {
	ids, err := column(ctx, g, "SELECT id FROM measure_marks")
	if err != nil {
		return fmt.Errorf("read the table: %w", err)
	}
	rows := make(map[string]int)
	for _, id := range ids {
		rows[id]++
	}
	var acknowledged, lost, doubled, falseNotRun, unknown int
	for _, writer := range writers.all {
		if writer.group != g {
			continue
		}
		for _, write := range writer.writes {
			count := rows[fmt.Sprint(write.id)]
			if count > 1 {
				doubled++
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
	c.add(kind.variant, "Acknowledged", float64(acknowledged), UnitCount, DirectionHigher)
	c.count(kind.variant, "LostAcknowledged", lost)
	c.count(kind.variant, "Doubled", doubled)
	c.count(kind.variant, "FalseNotRun", falseNotRun)
	c.count(kind.variant, "Unknown", unknown)
	return nil
}
