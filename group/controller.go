package group

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// freshPollInterval is the time between polls while a read waits for a
	// replica that is fresh enough.
	freshPollInterval = 5 * time.Millisecond
	// noPrimaryPollInterval is the time between polls while requests wait for a
	// primary and none is known. All waiting requests share the polls.
	noPrimaryPollInterval = 10 * time.Millisecond
)

// Controller keeps the view of one group up to date, runs its detector and its
// promoter, and makes the control calls that the promoter requests. Its methods
// are safe for concurrent use.
type Controller struct {
	config  Config
	servers []*serverLink
	// stepRequested wakes stepLoop.
	stepRequested chan struct{}

	mu        sync.Mutex
	detection Detection
	detector  *Detector
	// nextHandover is the earliest time of the next handover that the
	// controller starts itself.
	nextHandover time.Time
	// pendingCommits holds the positions for which AwaitCommit waits.
	pendingCommits commitSet
	phase          Phase
	promoter       *Promoter
	view           View
	// primaryWaiters is the number of requests that wait for a primary.
	primaryWaiters int
	// nextStep is the time at which the detector or the promoter is due.
	nextStep time.Time
}

// serverLink holds a server's configuration and the channels that wake its loops.
type serverLink struct {
	ServerConfig
	// commitAdded wakes commitWaitLoop.
	commitAdded chan struct{}
	// pollRequested makes pollLoop request the server's status at once.
	pollRequested chan struct{}
}

// New returns a controller. It does nothing until Run is called.
func New(config Config) *Controller {
	c := &Controller{
		config:        config,
		detector:      NewDetector(config.Settings),
		phase:         PhaseIdle,
		promoter:      NewPromoter(config.Group, config.Settings),
		stepRequested: make(chan struct{}, 1),
	}
	var members []Member
	for _, server := range config.Servers {
		members = append(members, Member{DataCentre: server.DataCentre, Server: server.ID})
		c.servers = append(c.servers, &serverLink{
			ServerConfig: server, commitAdded: make(chan struct{}, 1), pollRequested: make(chan struct{}, 1),
		})
	}
	c.view = NewView(config.Group, members)
	config.Section.Store(c.view)
	return c
}

// AwaitCommit waits until it is known whether the write that the primary
// reported at a position is committed. If the context ends first, the decision
// is Pending and the error is of KindOutcomeUnknown.
func (c *Controller) AwaitCommit(ctx context.Context, p fleet.Position) (CommitDecision, error) {
	c.updateView(func(v View) View { return v.ObserveWrite(p) })
	c.mu.Lock()
	c.pendingCommits.add(p)
	c.mu.Unlock()
	defer c.removePendingCommit(p)
	for _, server := range c.servers {
		notify(server.commitAdded)
	}
	decision := Pending
	err := c.waitForView(ctx, func(v View) bool {
		decision = DecideCommit(v, p)
		return decision != Pending
	})
	if err != nil {
		return Pending, &Error{Err: err, Kind: KindOutcomeUnknown, Op: "await commit"}
	}
	return decision, nil
}

// AwaitFresh waits until a replica may serve the read or the timeout has passed,
// and returns the candidates in the order in which to try them. If no replica
// qualifies in time, the primary is the only candidate. The error is of
// KindWriteLost if the session's writes are not part of the group's history,
// and of KindStale if there is no candidate.
func (c *Controller) AwaitFresh(ctx context.Context, requirement ReadRequirement, selection ReplicaSelection, timeout time.Duration) ([]fleet.ServerID, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		view, changed := c.config.Section.Watch()
		if IsLost(view, requirement.Written) {
			return nil, &Error{Kind: KindWriteLost, Op: "await fresh"}
		}
		servers := ReadCandidates(c.config.Clock.Now(), view, requirement, selection)
		if len(servers) > 0 && servers[0] != view.Primary {
			return servers, nil
		}
		c.pollAll()
		if err := sleepOrChange(ctx, changed, freshPollInterval); err == nil {
			continue
		}
		if len(servers) == 0 {
			return nil, &Error{Err: ctx.Err(), Kind: KindStale, Op: "await fresh"}
		}
		return servers, nil
	}
}

// AwaitPrimary waits until a reachable primary is known.
func (c *Controller) AwaitPrimary(ctx context.Context) (fleet.ServerID, fleet.Term, error) {
	var server fleet.ServerID
	var term fleet.Term
	if server, term, ok := c.config.Section.Load().PrimaryAt(c.config.Clock.Now(), c.config.Settings.MaxStatusAge); ok {
		return server, term, nil
	}
	c.addPrimaryWaiters(1)
	defer c.addPrimaryWaiters(-1)
	notify(c.stepRequested)
	err := c.waitForView(ctx, func(v View) bool {
		var ok bool
		server, term, ok = v.PrimaryAt(c.config.Clock.Now(), c.config.Settings.MaxStatusAge)
		return ok
	})
	if err != nil {
		return "", 0, &Error{Err: err, Kind: KindNoPrimary, Op: "await primary"}
	}
	return server, term, nil
}

// Barrier returns a log position that covers every write acknowledged before a
// session's request arrived. Sessions that wait at the same time share one round
// of status requests.
func (c *Controller) Barrier(ctx context.Context, arrivedAt time.Time) (fleet.Position, error) {
	var position fleet.Position
	if p, ok := DecideBarrier(c.config.Section.Load(), arrivedAt); ok {
		return p, nil
	}
	c.pollAll()
	err := c.waitForView(ctx, func(v View) bool {
		var ok bool
		position, ok = DecideBarrier(v, arrivedAt)
		return ok
	})
	if err != nil {
		return fleet.Position{}, &Error{Err: err, Kind: KindNoMajority, Op: "barrier"}
	}
	return position, nil
}

// ObserveApplied records the applied position that a server reported over a
// session connection.
func (c *Controller) ObserveApplied(server fleet.ServerID, applied fleet.Position) {
	if c.config.Section.Load().advancesApplied(server, applied) {
		c.updateView(func(v View) View { return v.ObserveApplied(server, applied) })
	}
}

// ReportFailure records that a connection to a server failed, and requests the
// status of all servers at once.
func (c *Controller) ReportFailure(server fleet.ServerID) {
	c.updateView(func(v View) View { return v.MarkUnreachable(server, c.config.Clock.Now()) })
	c.pollAll()
}

// ReportRefusal requests the status of all servers at once, after a server
// refused a write because it is not the primary any more.
func (c *Controller) ReportRefusal() {
	c.pollAll()
}

// RequestHandover requests a planned change of primary. The recorder is called
// when the new primary's term is established.
func (c *Controller) RequestHandover(request HandoverRequest) {
	c.mu.Lock()
	c.promoter.QueueHandover(request)
	c.mu.Unlock()
	notify(c.stepRequested)
}

// Run polls the servers and runs the detector and the promoter until the context
// ends. It returns after all calls to servers have returned.
func (c *Controller) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, server := range c.servers {
		group.Go(func() { c.pollLoop(ctx, server) })
		group.Go(func() { c.commitWaitLoop(ctx, server) })
	}
	c.stepLoop(ctx, &group)
	group.Wait()
}

// Suspicion returns this instance's report for its peers that the primary does
// not respond. It reports false if the primary has not left requests unanswered
// for long enough to be suspected.
func (c *Controller) Suspicion() (SuspicionReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.detection.Silence < c.detector.suspectTime() {
		return SuspicionReport{}, false
	}
	return SuspicionReport{
		Instance: c.config.Instance, ReceivedAt: c.config.Clock.Now(),
		Silence: c.detection.Silence, Term: c.detection.Term,
	}, true
}

func (c *Controller) addPrimaryWaiters(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.primaryWaiters += n
}

// waitForView waits until the view satisfies a condition.
func (c *Controller) waitForView(ctx context.Context, satisfied func(View) bool) error {
	for {
		view, changed := c.config.Section.Watch()
		if satisfied(view) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// call makes a control call that the promoter requested and steps the promoter
// with the result.
func (c *Controller) call(ctx context.Context, calls *sync.WaitGroup, call Call) {
	server := c.link(call.Server)
	if server == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	holder := PromiseHolder(c.config.Instance, c.config.Epoch)
	result := CallResult{Call: call}
	requestedAt := c.config.Clock.Now()
	var err error
	switch call.Kind {
	case CallFence:
		result.Granted, result.Status, err = server.Control.Fence(ctx, call.Term, holder, call.Drain)
	case CallPromote:
		result.Status, err = server.Control.Promote(ctx, call.Term, holder)
	case CallWait:
		result.Status, err = server.Control.Wait(ctx, call.Position, call.Timeout)
	}
	result.Failed = err != nil
	c.recordResponse(server, requestedAt, result.Status, err)
	c.step(ctx, calls, &result)
}

// removePendingCommit removes a position for which AwaitCommit no longer waits.
func (c *Controller) removePendingCommit(p fleet.Position) {
	c.mu.Lock()
	c.pendingCommits.remove(p)
	c.mu.Unlock()
}

func (c *Controller) link(id fleet.ServerID) *serverLink {
	for _, server := range c.servers {
		if server.ID == id {
			return server
		}
	}
	return nil
}

// recordResponse adds the response to a call, or its failure, to the view.
func (c *Controller) recordResponse(server *serverLink, requestedAt time.Time, status ServerStatus, err error) {
	respondedAt := c.config.Clock.Now()
	c.updateView(func(v View) View {
		if err != nil {
			return v.RecordFailure(server.ID, requestedAt)
		}
		return v.Observe(Observation{RespondedAt: respondedAt, RequestedAt: requestedAt, Server: server.ID, Status: status})
	})
	notify(c.stepRequested)
}

// pollAll requests the status of all servers at once.
func (c *Controller) pollAll() {
	for _, server := range c.servers {
		notify(server.pollRequested)
	}
}

// pollLoop requests the status of one server whenever a poll is requested.
func (c *Controller) pollLoop(ctx context.Context, server *serverLink) {
	for {
		select {
		case <-server.pollRequested:
		case <-ctx.Done():
			return
		}
		requestedAt := c.config.Clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, c.config.Settings.PollTimeout)
		status, err := server.Control.Status(callCtx)
		cancel()
		c.recordResponse(server, requestedAt, status, err)
	}
}

// nextPendingCommit returns the lowest pending position that the server is not
// known to have received.
func (c *Controller) nextPendingCommit(server *serverLink) (fleet.Position, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	serverView, found := c.view.Server(server.ID)
	if !found {
		return fleet.Position{}, false
	}
	return c.pendingCommits.lowest(func(p fleet.Position) bool {
		return !serverView.hasReceipt(p) && DecideCommit(c.view, p) == Pending
	})
}

// step runs the detector and the promoter once, reports changes to the recorder,
// and starts the calls that the promoter requests.
func (c *Controller) step(ctx context.Context, calls *sync.WaitGroup, result *CallResult) {
	reports := c.config.Peers.Suspicions(c.config.Group)
	live := c.config.Peers.Live()
	placement := c.config.Placement()
	c.mu.Lock()
	now := c.config.Clock.Now()
	previous := c.detection
	c.detection = c.detector.Step(now, c.view, reports, len(live))
	in := PromoterInput{
		Detection: c.detection, Now: now, Placement: placement, Random: c.config.Random,
		Rank: Rank(c.config.Group, c.config.Instance, live), View: c.view,
	}
	c.planHandover(in)
	out := c.promoter.Step(in, result)
	c.nextStep = earliest(c.detection.NextPoll, out.NextStep)
	phase := c.promoter.Phase()
	phaseChanged := phase != c.phase
	c.phase = phase
	detection, term := c.detection, c.promoter.term
	c.mu.Unlock()
	if detection.Health != previous.Health || detection.Reason != previous.Reason {
		c.config.Events.RecordDetection(c.config.Group, detection)
	}
	if phaseChanged {
		c.config.Events.RecordPhase(c.config.Group, phase, term)
	}
	if out.Record != nil {
		c.config.Events.RecordPromotion(*out.Record)
	}
	for _, call := range out.Calls {
		calls.Go(func() { c.call(context.WithoutCancel(ctx), calls, call) })
	}
}

// planHandover queues a handover if HandoverDue reports one.
func (c *Controller) planHandover(in PromoterInput) {
	if c.promoter.HandoverPending() || in.Now.Before(c.nextHandover) {
		return
	}
	target, isDue := HandoverDue(in, c.config.Settings.DetectTime)
	if !isDue {
		return
	}
	c.nextHandover = in.Now.Add(c.config.Settings.HandoverRetry)
	c.promoter.QueueHandover(HandoverRequest{
		Deadline: c.nextHandover, Drain: c.config.Settings.HandoverDrain, Target: target,
	})
}

// stepLoop steps the detector and the promoter whenever a step is requested or
// due, and polls all servers when a poll is due.
func (c *Controller) stepLoop(ctx context.Context, calls *sync.WaitGroup) {
	c.pollAll()
	c.step(ctx, calls, nil)
	lastPoll := c.config.Clock.Now()
	nextPoll := lastPoll.Add(c.config.Settings.PollInterval)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.stepRequested:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		c.step(ctx, calls, nil)
		now := c.config.Clock.Now()
		c.mu.Lock()
		nextPoll = earliest(nextPoll, c.detection.NextPoll)
		if c.primaryWaiters > 0 && c.view.Primary == "" {
			nextPoll = earliest(nextPoll, lastPoll.Add(noPrimaryPollInterval))
		}
		nextStep := earliest(nextPoll, c.nextStep)
		c.mu.Unlock()
		if !now.Before(nextPoll) {
			c.pollAll()
			lastPoll = now
			nextPoll = now.Add(c.config.Settings.PollInterval)
			nextStep = earliest(nextPoll, nextStep)
		}
		timer.Reset(max(nextStep.Sub(now), time.Millisecond))
	}
}

// updateView applies a change to the view and publishes the result.
func (c *Controller) updateView(apply func(View) View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = apply(c.view)
	c.config.Section.Store(c.view)
}

// commitWaitLoop waits for one server to receive the pending writes. One Wait
// call at a time serves all of them: its response reports the end of the
// server's log, which may cover several writes.
func (c *Controller) commitWaitLoop(ctx context.Context, server *serverLink) {
	for {
		position, found := c.nextPendingCommit(server)
		if !found {
			select {
			case <-server.commitAdded:
				continue
			case <-ctx.Done():
				return
			}
		}
		requestedAt := c.config.Clock.Now()
		timeout := c.config.Settings.CommitWaitTimeout
		callCtx, cancel := context.WithTimeout(ctx, timeout+c.config.Settings.PollTimeout)
		status, err := server.Control.Wait(callCtx, position, timeout)
		cancel()
		c.recordResponse(server, requestedAt, status, err)
		if err == nil && status.Log.Compare(position) >= 0 && status.PromisedTerm <= position.Term {
			continue
		}
		// The server failed, did not receive the position in time, or promised a
		// later term. Retrying at once would only add load.
		if sleepOrChange(ctx, nil, c.config.Settings.RetryInterval) != nil {
			return
		}
	}
}

// earliest returns the earlier of two times. The zero time counts as never.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || (!a.IsZero() && a.Before(b)) {
		return a
	}
	return b
}

// notify wakes the receiver of a channel with a buffer of one. It does nothing
// if a notification is already pending.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleepOrChange waits until changed is closed or the duration has passed. It
// returns an error if the context has ended.
func sleepOrChange(ctx context.Context, changed <-chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}
