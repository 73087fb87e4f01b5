package group

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// freshInterval is the time between polls while a read waits for a replica.
	freshInterval = 5 * time.Millisecond
	// leaderInterval is the time between polls while a request waits for a
	// primary and none is known. All requests share the polls.
	leaderInterval = 10 * time.Millisecond
)

// Controller keeps the view of one group up to date and carries out what the
// decisions of this package ask for. Its methods are safe for concurrent use.
type Controller struct {
	config  Config
	servers []*serverLink
	stepped chan struct{}

	mu           sync.Mutex
	detection    Detection
	detector     *Detector
	handoverNext time.Time
	pending      commitSet
	phase        Phase
	promoter     *Promoter
	view         View
	// waiting is the number of requests that wait for a primary.
	waiting int
	wake    time.Time
}

// serverLink is the controller's side of one server.
type serverLink struct {
	ServerConfig
	// commits wakes the wait loop.
	commits chan struct{}
	// poll asks for a status request at once.
	poll chan struct{}
}

// New returns a controller. Run must be called for it to work.
func New(config Config) *Controller {
	c := &Controller{
		config:   config,
		detector: NewDetector(config.Settings),
		phase:    PhaseIdle,
		promoter: NewPromoter(config.Group, config.Settings),
		stepped:  make(chan struct{}, 1),
	}
	var members []Member
	for _, server := range config.Servers {
		members = append(members, Member{DataCentre: server.DataCentre, Server: server.ID})
		c.servers = append(c.servers, &serverLink{
			ServerConfig: server, commits: make(chan struct{}, 1), poll: make(chan struct{}, 1),
		})
	}
	c.view = NewView(config.Group, members)
	config.Section.Store(c.view)
	return c
}

// AwaitCommit waits until the outcome of a write is known that the primary
// answered at a position. If the context ends first the outcome is unknown:
// the decision is Pending and the error is of KindOutcomeUnknown.
func (c *Controller) AwaitCommit(ctx context.Context, p fleet.Position) (CommitDecision, error) {
	c.update(func(v View) View { return v.ObserveWrite(p) })
	c.mu.Lock()
	c.pending.add(p)
	c.mu.Unlock()
	defer c.forget(p)
	for _, server := range c.servers {
		notify(server.commits)
	}
	decision := Pending
	err := c.await(ctx, func(v View) bool {
		decision = DecideCommit(v, p)
		return decision != Pending
	})
	if err != nil {
		return Pending, &Error{Err: err, Kind: KindOutcomeUnknown, Op: "await commit"}
	}
	return decision, nil
}

// AwaitFresh waits until a replica may serve the read, at most for the bound,
// and returns the candidates in order. Without a replica these hold the
// primary alone. The error is of KindWriteLost if the session's writes are not part
// of the group's history, and of KindStale if there is no candidate.
func (c *Controller) AwaitFresh(ctx context.Context, need ReadRequirement, choice ReplicaSelection, bound time.Duration) ([]fleet.ServerID, error) {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	for {
		view, changed := c.config.Section.Watch()
		if IsLost(view, need.Written) {
			return nil, &Error{Kind: KindWriteLost, Op: "await fresh"}
		}
		servers := ReadCandidates(c.config.Clock.Now(), view, need, choice)
		if len(servers) > 0 && servers[0] != view.Primary {
			return servers, nil
		}
		c.pollAll()
		if err := sleepOrChange(ctx, changed, freshInterval); err == nil {
			continue
		}
		if len(servers) == 0 {
			return nil, &Error{Err: ctx.Err(), Kind: KindStale, Op: "await fresh"}
		}
		return servers, nil
	}
}

// AwaitPrimary waits until a primary is known that answers.
func (c *Controller) AwaitPrimary(ctx context.Context) (fleet.ServerID, fleet.Term, error) {
	var server fleet.ServerID
	var term fleet.Term
	if server, term, ok := c.config.Section.Load().PrimaryAt(c.config.Clock.Now(), c.config.Settings.MaxStatusAge); ok {
		return server, term, nil
	}
	c.addWaiting(1)
	defer c.addWaiting(-1)
	notify(c.stepped)
	err := c.await(ctx, func(v View) bool {
		var ok bool
		server, term, ok = v.PrimaryAt(c.config.Clock.Now(), c.config.Settings.MaxStatusAge)
		return ok
	})
	if err != nil {
		return "", 0, &Error{Err: err, Kind: KindNoPrimary, Op: "await primary"}
	}
	return server, term, nil
}

// Barrier returns a position that contains every write acknowledged before
// the session arrived. Sessions that wait at the same time share one round.
func (c *Controller) Barrier(ctx context.Context, arrived time.Time) (fleet.Position, error) {
	var position fleet.Position
	if p, ok := DecideBarrier(c.config.Section.Load(), arrived); ok {
		return p, nil
	}
	c.pollAll()
	err := c.await(ctx, func(v View) bool {
		var ok bool
		position, ok = DecideBarrier(v, arrived)
		return ok
	})
	if err != nil {
		return fleet.Position{}, &Error{Err: err, Kind: KindNoMajority, Op: "barrier"}
	}
	return position, nil
}

// ObserveApplied notes the position that a server reported on a session.
func (c *Controller) ObserveApplied(server fleet.ServerID, applied fleet.Position) {
	if c.config.Section.Load().advances(server, applied) {
		c.update(func(v View) View { return v.ObserveApplied(server, applied) })
	}
}

// ReportFailure notes that a connection to a server failed, and asks all
// servers for their status at once.
func (c *Controller) ReportFailure(server fleet.ServerID) {
	c.update(func(v View) View { return v.MarkUnreachable(server, c.config.Clock.Now()) })
	c.pollAll()
}

// ReportRefusal notes that a primary refused a write because it does not lead
// any more, and asks all servers for their status at once.
func (c *Controller) ReportRefusal() {
	c.pollAll()
}

// QueueHandover asks for a planned change of primary. The recorder tells
// when it is established.
func (c *Controller) RequestHandover(request HandoverRequest) {
	c.mu.Lock()
	c.promoter.QueueHandover(request)
	c.mu.Unlock()
	notify(c.stepped)
}

// Run keeps the view up to date until the context ends. It returns after all
// calls to servers have returned.
func (c *Controller) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, server := range c.servers {
		group.Go(func() { c.pollLoop(ctx, server) })
		group.Go(func() { c.waitLoop(ctx, server) })
	}
	c.stepLoop(ctx, &group)
	group.Wait()
}

// Suspicion returns this instance's report for its peers. It reports false if
// the primary answers.
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

func (c *Controller) addWaiting(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += n
}

// await waits until the view satisfies a condition.
func (c *Controller) await(ctx context.Context, satisfied func(View) bool) error {
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

// call carries out a call of the promoter and steps it with the answer.
func (c *Controller) call(ctx context.Context, calls *sync.WaitGroup, call Call) {
	server := c.link(call.Server)
	if server == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	holder := PromiseHolder(c.config.Instance, c.config.Epoch)
	answer := CallResult{Call: call}
	asked := c.config.Clock.Now()
	var err error
	switch call.Kind {
	case CallFence:
		answer.Granted, answer.Status, err = server.Control.Fence(ctx, call.Term, holder, call.Drain)
	case CallPromote:
		answer.Status, err = server.Control.Promote(ctx, call.Term, holder)
	case CallWait:
		answer.Status, err = server.Control.Wait(ctx, call.Position, call.Timeout)
	}
	answer.Failed = err != nil
	c.observe(server, asked, answer.Status, err)
	c.step(ctx, calls, &answer)
}

// forget ends the wait for a commit.
func (c *Controller) forget(p fleet.Position) {
	c.mu.Lock()
	c.pending.remove(p)
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

// observe adds an answer, or its failure, to the view.
func (c *Controller) observe(server *serverLink, asked time.Time, status ServerStatus, err error) {
	answered := c.config.Clock.Now()
	c.update(func(v View) View {
		if err != nil {
			return v.RecordFailure(server.ID, asked)
		}
		return v.Observe(Observation{RespondedAt: answered, RequestedAt: asked, Server: server.ID, Status: status})
	})
	notify(c.stepped)
}

// pollAll asks all servers for their status at once.
func (c *Controller) pollAll() {
	for _, server := range c.servers {
		notify(server.poll)
	}
}

// pollLoop asks one server for its status when asked to.
func (c *Controller) pollLoop(ctx context.Context, server *serverLink) {
	for {
		select {
		case <-server.poll:
		case <-ctx.Done():
			return
		}
		asked := c.config.Clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, c.config.Settings.PollTimeout)
		status, err := server.Control.Status(callCtx)
		cancel()
		c.observe(server, asked, status, err)
	}
}

// nextCommit returns the lowest position that a write waits for and the server
// is not known to have received.
func (c *Controller) nextCommit(server *serverLink) (fleet.Position, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.view.Server(server.ID)
	if !found {
		return fleet.Position{}, false
	}
	return c.pending.lowest(func(p fleet.Position) bool {
		return !known.received(p) && DecideCommit(c.view, p) == Pending
	})
}

// step lets the detector and the promoter decide, and starts the calls that
// the promoter asks for.
func (c *Controller) step(ctx context.Context, calls *sync.WaitGroup, answer *CallResult) {
	reports := c.config.Peers.Suspicions(c.config.Group)
	live := c.config.Peers.Live()
	placement := c.config.Placement()
	c.mu.Lock()
	now := c.config.Clock.Now()
	before := c.detection
	c.detection = c.detector.Step(now, c.view, reports, len(live))
	in := PromoterInput{
		Detection: c.detection, Now: now, Placement: placement, Random: c.config.Random,
		Rank: Rank(c.config.Group, c.config.Instance, live), View: c.view,
	}
	c.planHandover(in)
	out := c.promoter.Step(in, answer)
	c.wake = earliest(c.detection.NextPoll, out.NextStep)
	phase := c.promoter.Phase()
	entered := phase != c.phase
	c.phase = phase
	detection, term := c.detection, c.promoter.term
	c.mu.Unlock()
	if detection.Health != before.Health || detection.Reason != before.Reason {
		c.config.Events.RecordDetection(c.config.Group, detection)
	}
	if entered {
		c.config.Events.RecordPhase(c.config.Group, phase, term)
	}
	if out.Record != nil {
		c.config.Events.RecordPromotion(*out.Record)
	}
	for _, call := range out.Calls {
		calls.Go(func() { c.call(context.WithoutCancel(ctx), calls, call) })
	}
}

// planHandover requests the handover that the placement calls for.
func (c *Controller) planHandover(in PromoterInput) {
	if c.promoter.HandoverPending() || in.Now.Before(c.handoverNext) {
		return
	}
	target, due := HandoverDue(in, c.config.Settings.DetectTime)
	if !due {
		return
	}
	c.handoverNext = in.Now.Add(c.config.Settings.HandoverRetry)
	c.promoter.QueueHandover(HandoverRequest{
		Deadline: c.handoverNext, Drain: c.config.Settings.HandoverDrain, Target: target,
	})
}

// stepLoop steps the decisions when something was observed and when the next
// step or poll is due.
func (c *Controller) stepLoop(ctx context.Context, calls *sync.WaitGroup) {
	c.pollAll()
	c.step(ctx, calls, nil)
	polled := c.config.Clock.Now()
	nextPoll := polled.Add(c.config.Settings.PollInterval)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.stepped:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		c.step(ctx, calls, nil)
		now := c.config.Clock.Now()
		c.mu.Lock()
		nextPoll = earliest(nextPoll, c.detection.NextPoll)
		if c.waiting > 0 && c.view.Primary == "" {
			nextPoll = earliest(nextPoll, polled.Add(leaderInterval))
		}
		wake := earliest(nextPoll, c.wake)
		c.mu.Unlock()
		if !now.Before(nextPoll) {
			c.pollAll()
			polled = now
			nextPoll = now.Add(c.config.Settings.PollInterval)
			wake = earliest(nextPoll, wake)
		}
		timer.Reset(max(wake.Sub(now), time.Millisecond))
	}
}

// update replaces the view and publishes it if it changed.
func (c *Controller) update(change func(View) View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = change(c.view)
	c.config.Section.Store(c.view)
}

// waitLoop gathers the evidence for waiting commits from one server. One call
// serves all commits that wait.
func (c *Controller) waitLoop(ctx context.Context, server *serverLink) {
	for {
		position, found := c.nextCommit(server)
		if !found {
			select {
			case <-server.commits:
				continue
			case <-ctx.Done():
				return
			}
		}
		asked := c.config.Clock.Now()
		wait := c.config.Settings.CommitWaitTimeout
		callCtx, cancel := context.WithTimeout(ctx, wait+c.config.Settings.PollTimeout)
		status, err := server.Control.Wait(callCtx, position, wait)
		cancel()
		c.observe(server, asked, status, err)
		if err == nil && status.Log.Compare(position) >= 0 && status.PromisedTerm <= position.Term {
			continue
		}
		// The server failed or moved on to a later term, so that asking again
		// at once would only load it.
		if sleepOrChange(ctx, nil, c.config.Settings.RetryInterval) != nil {
			return
		}
	}
}

// earliest returns the earlier of two times. Zero counts as never.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || (!a.IsZero() && a.Before(b)) {
		return a
	}
	return b
}

// notify wakes the receiver of a channel with one place.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleepOrChange waits for a change, at most for the duration. It returns an
// error if the context ends.
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
