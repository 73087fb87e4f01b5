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

// leavePhases is the number of phases of a run: before the drain, drained, and restored.
// Each is as long as the configured duration.
const leavePhases = 3

// runDataCentreLeave drains and restores the first data centre under mixed load. The
// baseline is the same load without a drain.
func runDataCentreLeave(ctx context.Context, r *repetition) error {
	r.warmUp(ctx)
	if err := r.runLeaveVariant(ctx, "Product", true); err != nil {
		return err
	}
	return r.runLeaveVariant(ctx, "NoDrain", false)
}

// phaseLatency holds the latencies of the requests in one phase of a run.
type phaseLatency struct {
	latency *LatencyHistogram
	name    string
}

// leaveRecorder records the latencies of each phase and when the drained data centre
// last got a new read or request.
type leaveRecorder struct {
	// drainedServers says for each server whether it is in the drained data centre.
	drainedServers map[fleet.ServerID]bool
	duration       time.Duration
	// instances says for each instance whether it is in the drained data centre.
	instances map[fleet.InstanceID]bool
	latency   []phaseLatency
	start     time.Time

	mu sync.Mutex
	// lastDrainedRead is when the last read that a drained server answered was due.
	lastDrainedRead time.Time
	// lastDrainedRequest is when the last request that succeeded through a drained
	// instance was due.
	lastDrainedRequest time.Time
}

// runLeaveVariant runs mixed load in all phases, with or without the drain, and reports
// the figures of the variant.
func (r *repetition) runLeaveVariant(ctx context.Context, variant string, drain bool) error {
	client, err := r.clientOutsideDrainedDataCentre()
	if err != nil {
		return err
	}
	recorder, err := r.newLeaveRecorder(ctx, client)
	if err != nil {
		return err
	}
	streams := newMixedStreams(r.testbed, mixedLoadFraction, recorder.recordRead, "")
	for _, st := range streams {
		send := st.send
		st.send = func(ctx context.Context, s *session, at request) error {
			err := send(ctx, s, at)
			if err == nil {
				recorder.at(at.due).latency.Record(time.Since(at.due))
				recorder.recordRequest(s.instance(), at)
			}
			return err
		}
	}
	var drainedAt, primariesMovedAt time.Time
	var drainErr error
	var draining sync.WaitGroup
	if drain {
		draining.Go(func() { drainedAt, primariesMovedAt, drainErr = r.drainAndRestore(ctx, client, recorder) })
	}
	runLoad(ctx, streams, recorder.duration, r.seed)
	draining.Wait()
	if drainErr != nil {
		return drainErr
	}
	r.reportLeave(variant, recorder, streams)
	if drain {
		r.collector.milliseconds(variant, "LastNewRead", max(0, recorder.lastDrainedRead.Sub(drainedAt)))
		r.collector.milliseconds(variant, "LastNewRequest", max(0, recorder.lastDrainedRequest.Sub(drainedAt)))
		r.collector.milliseconds(variant, "PrimariesLeft", primariesMovedAt.Sub(drainedAt))
	}
	return nil
}

// clientOutsideDrainedDataCentre returns a client for the administration API of an
// instance that is not drained.
func (r *repetition) clientOutsideDrainedDataCentre() (*operator.Client, error) {
	drainedDataCentre := r.testbed.deployment.DataCentres[0]
	for _, id := range r.testbed.instances {
		if r.testbed.demo.Instance(id).Status().DataCentre != drainedDataCentre {
			return r.testbed.demo.Client(id), nil
		}
	}
	return nil, errors.New("all instances are in the data centre to be drained")
}

func (r *repetition) newLeaveRecorder(ctx context.Context, client *operator.Client) (*leaveRecorder, error) {
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	recorder := &leaveRecorder{
		drainedServers: make(map[fleet.ServerID]bool),
		duration:       leavePhases * r.duration,
		instances:      make(map[fleet.InstanceID]bool),
		start:          time.Now(),
	}
	for _, id := range r.testbed.instances {
		recorder.instances[id] = r.testbed.demo.Instance(id).Status().DataCentre == r.testbed.deployment.DataCentres[0]
	}
	for _, name := range []string{"Before", "Leave", "Return"} {
		recorder.latency = append(recorder.latency, phaseLatency{latency: NewLatencyHistogram(), name: name})
	}
	for _, group := range status.Groups {
		for _, server := range group.Servers {
			recorder.drainedServers[server.Server] = server.DataCentre == r.testbed.deployment.DataCentres[0]
		}
	}
	return recorder, nil
}

// at returns the latencies of the phase in which a request is due.
func (r *leaveRecorder) at(due time.Time) phaseLatency {
	index := int(leavePhases * due.Sub(r.start) / r.duration)
	return r.latency[min(max(index, 0), len(r.latency)-1)]
}

// recordRead records a read if a server in the drained data centre answered it.
func (r *leaveRecorder) recordRead(by servedBy, req request) {
	if r.drainedServers[by.server] {
		r.recordLatest(&r.lastDrainedRead, req.due)
	}
}

// recordRequest records a request if an instance in the drained data centre served it.
func (r *leaveRecorder) recordRequest(instance fleet.InstanceID, req request) {
	if r.instances[instance] {
		r.recordLatest(&r.lastDrainedRequest, req.due)
	}
}

// recordLatest sets last to due if due is later and before the phase in which the data
// centre is restored.
func (r *leaveRecorder) recordLatest(last *time.Time, due time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if due.After(*last) && due.Before(r.start.Add(2*r.duration/leavePhases)) {
		*last = due
	}
}

// drainAndRestore drains the first data centre at the start of the second phase and
// restores it at the start of the third. It returns when the drain was accepted and when
// no primary was left in the data centre.
func (r *repetition) drainAndRestore(ctx context.Context, client *operator.Client, recorder *leaveRecorder) (drainedAt, primariesMovedAt time.Time, err error) {
	dataCentre := r.testbed.deployment.DataCentres[0]
	if err := sleep(ctx, time.Until(recorder.start.Add(recorder.duration/leavePhases))); err != nil {
		return drainedAt, primariesMovedAt, err
	}
	publication, err := client.DrainDataCentre(ctx, dataCentre, true)
	if err := checkAccepted(publication, err); err != nil {
		return drainedAt, primariesMovedAt, fmt.Errorf("drain the data centre: %w", err)
	}
	drainedAt = time.Now()
	waitCtx, cancel := context.WithTimeout(ctx, failoverTimeout)
	defer cancel()
	for r.hasPrimaryInDrainedDataCentre(recorder) {
		if err := sleep(waitCtx, 5*pollInterval); err != nil {
			return drainedAt, primariesMovedAt, fmt.Errorf("data centre %s still has a primary after the drain: %w", dataCentre, err)
		}
	}
	primariesMovedAt = time.Now()
	if err := sleep(ctx, time.Until(recorder.start.Add(2*recorder.duration/leavePhases))); err != nil {
		return drainedAt, primariesMovedAt, err
	}
	publication, err = client.RestoreDataCentre(ctx, dataCentre)
	if err := checkAccepted(publication, err); err != nil {
		return drainedAt, primariesMovedAt, fmt.Errorf("restore the data centre: %w", err)
	}
	return drainedAt, primariesMovedAt, nil
}

// hasPrimaryInDrainedDataCentre reports whether a group has its primary in the drained
// data centre or has no primary now.
func (r *repetition) hasPrimaryInDrainedDataCentre(recorder *leaveRecorder) bool {
	for _, group := range r.testbed.databases() {
		if primary := group.Primary(); primary == nil || recorder.drainedServers[primary.ID()] {
			return true
		}
	}
	return false
}

func (r *repetition) reportLeave(variant string, recorder *leaveRecorder, streams []*stream) {
	merged := mergeStats(streams)
	movedRequests := 0
	for _, st := range streams {
		for _, s := range st.sessions {
			movedRequests += s.movedRequests
		}
	}
	c := r.collector
	for _, p := range recorder.latency {
		c.milliseconds(variant, "P50 "+p.name, p.latency.Quantile(0.5))
		c.milliseconds(variant, "P99 "+p.name, p.latency.Quantile(0.99))
	}
	c.count(variant, "FailedNotRun", int(merged.errorsByOutcome[caller.OutcomeNotRun]))
	c.count(variant, "FailedOther", int(merged.sent-merged.succeeded-merged.errorsByOutcome[caller.OutcomeNotRun]))
	c.count(variant, "MovedRequests", movedRequests)
	r.reportLoad(variant, merged, recorder.duration)
}

// checkAccepted returns an error unless a publication was accepted.
func checkAccepted(publication operator.Publication, err error) error {
	if err != nil {
		return err
	}
	if publication.Outcome != sheet.OutcomeAccepted {
		return fmt.Errorf("the publication was not accepted: outcome %s, problems %v", publication.Outcome, publication.Problems)
	}
	return nil
}
