package measure

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/operator"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// leaveParts is the number of parts of a run, each as long as the duration:
// before the drain, drained, and restored.
const leaveParts = 3

// runDataCentreLeave drains and restores the first data centre under mixed
// load. The baseline has the same load without a drain.
func runDataCentreLeave(ctx context.Context, r *repetition) error {
	r.warmUp(ctx)
	if err := r.leave(ctx, "Product", true); err != nil {
		return err
	}
	return r.leave(ctx, "NoDrain", false)
}

// phase is a part of a run with its own latency.
type phase struct {
	latency *LatencyHistogram
	name    string
}

// leaveLog sorts latencies into phases and remembers the last work that began
// in the drained data centre.
type leaveLog struct {
	drained   map[fleet.ServerID]bool
	duration  time.Duration
	instances map[fleet.InstanceID]bool
	latency   []phase
	start     time.Time

	mu sync.Mutex
	// lastRead is when the last read of a drained server was due.
	lastRead time.Time
	// lastRequest is when the last request through a drained instance was due.
	lastRequest time.Time
}

func (r *repetition) leave(ctx context.Context, variant string, drain bool) error {
	client, err := r.staying()
	if err != nil {
		return err
	}
	log, err := r.newLeaveLog(ctx, client)
	if err != nil {
		return err
	}
	lanes := mixedLanes(r.world, baseLoad, log.probed, "")
	for _, l := range lanes {
		work := l.work
		l.work = func(ctx context.Context, s *session, at arrival) error {
			err := work(ctx, s, at)
			if err == nil {
				log.at(at.due).latency.Record(time.Since(at.due))
				log.served(s.instance(), at)
			}
			return err
		}
	}
	var drainedAt, primariesAt time.Time
	var drainErr error
	var operating sync.WaitGroup
	if drain {
		operating.Go(func() { drainedAt, primariesAt, drainErr = r.drainAndRestore(ctx, client, log) })
	}
	runLoad(ctx, lanes, log.duration, r.seed)
	operating.Wait()
	if drainErr != nil {
		return drainErr
	}
	r.reportLeave(variant, log, lanes)
	if drain {
		r.collector.millis(variant, "LastNewRead", max(0, log.lastRead.Sub(drainedAt)))
		r.collector.millis(variant, "LastNewRequest", max(0, log.lastRequest.Sub(drainedAt)))
		r.collector.millis(variant, "PrimariesLeft", primariesAt.Sub(drainedAt))
	}
	return nil
}

// staying returns a client for an instance outside the drained data centre.
func (r *repetition) staying() (*operator.Client, error) {
	leaving := r.world.deployment.DataCentres[0]
	for _, id := range r.world.instances {
		if r.world.demo.Instance(id).Status().DataCentre != leaving {
			return r.world.demo.Client(id), nil
		}
	}
	return nil, errors.New("all instances are in one data centre")
}

func (r *repetition) newLeaveLog(ctx context.Context, client *operator.Client) (*leaveLog, error) {
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	log := &leaveLog{
		drained:   make(map[fleet.ServerID]bool),
		duration:  leaveParts * r.duration,
		instances: make(map[fleet.InstanceID]bool),
		start:     time.Now(),
	}
	for _, id := range r.world.instances {
		log.instances[id] = r.world.demo.Instance(id).Status().DataCentre == r.world.deployment.DataCentres[0]
	}
	for _, name := range []string{"Before", "Leave", "Return"} {
		log.latency = append(log.latency, phase{latency: NewLatencyHistogram(), name: name})
	}
	for _, group := range status.Groups {
		for _, server := range group.Servers {
			log.drained[server.Server] = server.DataCentre == r.world.deployment.DataCentres[0]
		}
	}
	return log, nil
}

// at returns the phase of a time.
func (l *leaveLog) at(due time.Time) phase {
	part := int(leaveParts * due.Sub(l.start) / l.duration)
	return l.latency[min(max(part, 0), len(l.latency)-1)]
}

// probed notes a read by a server of the drained data centre.
func (l *leaveLog) probed(by answeredBy, at arrival) {
	if l.drained[by.server] {
		l.note(&l.lastRead, at.due)
	}
}

// served notes a request through an instance of the drained data centre.
func (l *leaveLog) served(by fleet.InstanceID, at arrival) {
	if l.instances[by] {
		l.note(&l.lastRequest, at.due)
	}
}

// note remembers the latest time before the data centre returns.
func (l *leaveLog) note(last *time.Time, due time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if due.After(*last) && due.Before(l.start.Add(2*l.duration/leaveParts)) {
		*last = due
	}
}

// drainAndRestore returns when the drain was accepted and when no primary was
// left in the data centre.
func (r *repetition) drainAndRestore(ctx context.Context, client *operator.Client, log *leaveLog) (drained, left time.Time, err error) {
	leaving := r.world.deployment.DataCentres[0]
	if err := pause(ctx, time.Until(log.start.Add(log.duration/leaveParts))); err != nil {
		return drained, left, err
	}
	publication, err := client.DrainDataCentre(ctx, leaving, true)
	if err := checkAccepted(publication, err); err != nil {
		return drained, left, fmt.Errorf("drain: %w", err)
	}
	drained = time.Now()
	waiting, cancel := context.WithTimeout(ctx, failoverTimeout)
	defer cancel()
	for r.hasPrimary(log) {
		if err := pause(waiting, 5*pollPause); err != nil {
			return drained, left, fmt.Errorf("a primary stays in %s: %w", leaving, err)
		}
	}
	left = time.Now()
	if err := pause(ctx, time.Until(log.start.Add(2*log.duration/leaveParts))); err != nil {
		return drained, left, err
	}
	publication, err = client.RestoreDataCentre(ctx, leaving)
	if err := checkAccepted(publication, err); err != nil {
		return drained, left, fmt.Errorf("restore: %w", err)
	}
	return drained, left, nil
}

func (r *repetition) hasPrimary(log *leaveLog) bool {
	for _, group := range r.world.databases() {
		if primary := group.Primary(); primary == nil || log.drained[primary.ID()] {
			return true
		}
	}
	return false
}

func (r *repetition) reportLeave(variant string, log *leaveLog, lanes []*lane) {
	sum := total(lanes)
	moves := 0
	for _, l := range lanes {
		for _, s := range l.sessions {
			moves += s.moves
		}
	}
	c := r.collector
	for _, p := range log.latency {
		c.millis(variant, "P50 "+p.name, p.latency.Quantile(0.5))
		c.millis(variant, "P99 "+p.name, p.latency.Quantile(0.99))
	}
	c.count(variant, "FailedNotRun", int(sum.outcomes[caller.OutcomeNotRun]))
	c.count(variant, "FailedOther", int(sum.sent-sum.done-sum.outcomes[caller.OutcomeNotRun]))
	c.count(variant, "MovedRequests", moves)
	r.report(variant, sum, log.duration)
}

// checkAccepted returns an error unless a publication took effect.
func checkAccepted(publication operator.Publication, err error) error {
	if err != nil {
		return err
	}
	if publication.Outcome != sheet.OutcomeAccepted {
		return fmt.Errorf("outcome is %s: %v", publication.Outcome, publication.Problems)
	}
	return nil
}
