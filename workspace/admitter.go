package workspace

import (
	"maps"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// hedgeDelay is the time without an answer after which the other pool is asked
	// as well. Answers take two to four milliseconds.
	hedgeDelay = 15 * time.Millisecond
	// failedOwnerBackoff is the time for which the owner of a pool is not asked after
	// a failed call. Then one call finds out whether it answers again.
	failedOwnerBackoff = 500 * time.Millisecond
	// minEmptyPoolBackoff and maxEmptyPoolBackoff bound the time for which a pool that
	// was empty is not asked again, so that a workspace over its rate costs few
	// messages.
	minEmptyPoolBackoff = 20 * time.Millisecond
	maxEmptyPoolBackoff = 200 * time.Millisecond
	// tokenBatchDuration determines how many tokens are taken in one call: those for
	// the expected demand in this time, or in half of the tokens' lifetime.
	tokenBatchDuration = 250 * time.Millisecond
	// prefetchLead is the time for which the held tokens should last at least.
	prefetchLead = 60 * time.Millisecond
	// minPrefetchDemand is the demand, in requests per second, above which tokens are
	// requested in advance. Below, most of them would expire unused.
	minPrefetchDemand = 3
	// maxTakesPerCall keeps a call and its answer within one datagram.
	maxTakesPerCall = 7
	// maxRetryAfter bounds the retry time of a refusal: by then the lease of an owner
	// that does not answer has ended.
	maxRetryAfter = 4500 * time.Millisecond
	// retryJitter is the fraction by which a retry time is extended at random, so that
	// callers that were refused together do not return together.
	retryJitter = 0.5
	// defaultTargetLatency applies to routes without one.
	defaultTargetLatency = 200 * time.Millisecond
	// accountSweepInterval is the time between two removals of idle accounts.
	accountSweepInterval = 10 * time.Second
)

// Ticket identifies a request that waits for its admission. It is never zero.
type Ticket uint64

// Request is one operation that asks for admission.
type Request struct {
	// Priority orders the requests of a workspace; lower values go first.
	Priority int
	// WaitUntil is how long the request may wait for a token.
	WaitUntil time.Time
	Workspace fleet.WorkspaceID
}

// TokenDeadline returns how long a request that arrives now may wait for a token: half of
// the target latency of its route, so that the rest is left to run it.
func TokenDeadline(now time.Time, target time.Duration, deadline time.Time) time.Time {
	if target <= 0 {
		target = defaultTargetLatency
	}
	until := now.Add(target / 2)
	if deadline.After(now) && deadline.Before(until) {
		return deadline
	}
	return until
}

// TokenCall is a call to the owner of pools that the instance must make.
type TokenCall struct {
	ID    uint64
	Owner fleet.InstanceID
	Takes []TakeRequest
}

// Outcome is the decision on a request that waited.
type Outcome struct {
	Decision Decision
	Ticket   Ticket
}

// Step is what the instance has to do after an event.
type Step struct {
	// Calls are to be made now, without waiting for one another.
	Calls []TokenCall
	// Decided are the decisions on requests that waited.
	Decided []Outcome
	// WakeAt is when Advance must be called unless another event comes first. It is
	// zero if no request waits.
	WakeAt time.Time
}

// tokenCall is a call without an answer.
type tokenCall struct {
	id     uint64
	owner  fleet.InstanceID
	sentAt time.Time
	takes  []TakeRequest
}

// poolPeer is what this instance knows about the owner of pools.
type poolPeer struct {
	// calls are the unanswered calls, the oldest one first.
	calls []*tokenCall
	// failed is true after a failed call until the next answer.
	failed      bool
	silentUntil time.Time
}

// isSuspect reports whether the owner has failed or has an overdue call.
func (p *poolPeer) isSuspect(now time.Time) bool {
	return p.failed || (len(p.calls) > 0 && now.Sub(p.calls[0].sentAt) >= hedgeDelay)
}

// Admitter decides on requests by this instance's direct shares and by tokens from pools.
// It decides which tokens to request from which owners, in advance and for requests that
// wait. It isn't safe for concurrent use.
type Admitter struct {
	accounts map[fleet.WorkspaceID]*account
	calls    map[uint64]*tokenCall
	lastCall uint64
	limiter  *DistributedLimiter
	peers    map[fleet.InstanceID]*poolPeer
	// prefetching holds the accounts that got tokens in advance.
	prefetching map[fleet.WorkspaceID]*account
	// random returns a random number in [0, 1).
	random     func() float64
	lastTicket Ticket
	self       fleet.InstanceID
	sweepAt    time.Time
	// waiting holds the accounts with waiting requests.
	waiting map[fleet.WorkspaceID]*account
}

// NewAdmitter returns an admitter that uses the shares and pools of a limiter.
func NewAdmitter(self fleet.InstanceID, limiter *DistributedLimiter, random func() float64) *Admitter {
	return &Admitter{
		accounts:    map[fleet.WorkspaceID]*account{},
		calls:       map[uint64]*tokenCall{},
		limiter:     limiter,
		peers:       map[fleet.InstanceID]*poolPeer{},
		prefetching: map[fleet.WorkspaceID]*account{},
		random:      random,
		self:        self,
		waiting:     map[fleet.WorkspaceID]*account{},
	}
}

// Admit decides on a request. If the ticket is not zero, the request waits and is decided
// in a later step.
func (a *Admitter) Admit(now time.Time, request Request) (Decision, Ticket, Step) {
	var step Step
	a.limiter.RecordDemand(now, request.Workspace)
	account := a.account(now, request.Workspace)
	account.demand.Record(now, true)
	if len(account.waiters) == 0 {
		if decision, _ := a.useToken(now, account); decision.Admitted {
			a.prefetch(now, account, &step)
			a.finish(now, &step)
			return decision, 0, step
		}
	}
	a.lastTicket++
	ticket := a.lastTicket
	account.insert(waiter{class: ClassOf(request.Priority), ticket: ticket, until: request.WaitUntil})
	a.settle(now, account, &step)
	a.finish(now, &step)
	if i := slices.IndexFunc(step.Decided, func(o Outcome) bool { return o.Ticket == ticket }); i >= 0 {
		decision := step.Decided[i].Decision
		step.Decided = slices.Delete(step.Decided, i, i+1)
		return decision, 0, step
	}
	return Decision{}, ticket, step
}

// Advance decides on the requests for which something is due.
func (a *Admitter) Advance(now time.Time) Step {
	var step Step
	a.finish(now, &step)
	return step
}

// finish settles the accounts that are due, and sets the time of the next wake-up.
func (a *Admitter) finish(now time.Time, step *Step) {
	var due []fleet.WorkspaceID
	for id, account := range a.waiting {
		if !account.wakeAt.IsZero() && !now.Before(account.wakeAt) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		a.settle(now, a.waiting[id], step)
	}
	for _, account := range a.waiting {
		if at := account.wakeAt; !at.IsZero() && (step.WakeAt.IsZero() || at.Before(step.WakeAt)) {
			step.WakeAt = at
		}
	}
}

// Answered processes the answer to a call.
func (a *Admitter) Answered(now time.Time, id uint64, grants []TakeGrant) Step {
	call := a.endCall(id)
	if call == nil {
		return a.Advance(now)
	}
	peer := a.peer(call.owner)
	peer.failed, peer.silentUntil = false, time.Time{}
	for i, take := range call.takes {
		if i < len(grants) && grants[i].Workspace == take.Workspace {
			a.receive(now, call.owner, call.sentAt, take, grants[i])
		}
	}
	return a.settleAll(now, call.takes)
}

// Failed processes that a call had no answer.
func (a *Admitter) Failed(now time.Time, id uint64) Step {
	call := a.endCall(id)
	if call == nil {
		return a.Advance(now)
	}
	peer := a.peer(call.owner)
	peer.failed, peer.silentUntil = true, now.Add(failedOwnerBackoff)
	return a.settleAll(now, call.takes)
}

// settleAll decides on the waiting requests of the workspaces of a call.
func (a *Admitter) settleAll(now time.Time, takes []TakeRequest) Step {
	var step Step
	for _, take := range takes {
		a.settle(now, a.account(now, take.Workspace), &step)
	}
	a.finish(now, &step)
	return step
}

// endCall removes and returns an unanswered call.
func (a *Admitter) endCall(id uint64) *tokenCall {
	call := a.calls[id]
	if call == nil {
		return nil
	}
	delete(a.calls, id)
	peer := a.peer(call.owner)
	peer.calls = slices.DeleteFunc(peer.calls, func(c *tokenCall) bool { return c == call })
	for _, take := range call.takes {
		if account := a.accounts[take.Workspace]; account != nil && account.calls[call.owner] == call {
			delete(account.calls, call.owner)
		}
	}
	return call
}

// receive adds granted tokens, or records that a pool was empty.
func (a *Admitter) receive(now time.Time, owner fleet.InstanceID, sentAt time.Time, take TakeRequest, grant TakeGrant) {
	account := a.account(now, take.Workspace)
	if grant.Taken >= 1 {
		if take.Extra > 0 {
			a.prefetching[take.Workspace] = account
		}
		lifetime := a.limiter.PoolLocation(now, take.Workspace).Lifetime
		lot := tokenLot{class: take.Class, count: grant.Taken, usableFrom: now.Add(grant.Delay), expiresAt: sentAt.Add(grant.Delay + lifetime)}
		if take.Want == 0 {
			// Tokens taken in advance are for any request.
			lot.class = 0
		}
		account.addLot(lot)
	} else if take.Extra > 0 {
		account.prefetchAfter = now.Add(maxEmptyPoolBackoff)
	}
	if grant.Taken < take.Want {
		backoff := max(minEmptyPoolBackoff, min(maxEmptyPoolBackoff, grant.RetryAfter))
		if owner == a.self {
			backoff = 0
		}
		account.block(now, owner, take.Class, grant, backoff)
	}
}

// useToken admits a request by the direct share or by a token from a pool. It returns the
// index of the waiter that is admitted, if there are waiters.
func (a *Admitter) useToken(now time.Time, account *account) (decision Decision, next int) {
	decision = a.limiter.Admit(now, account.workspace)
	if decision.Admitted {
		return decision, 0
	}
	if next, found := account.takeToken(now); found {
		return Decision{Admitted: true}, next
	}
	return decision, 0
}

// settle decides on the waiting requests of a workspace, and requests tokens for those
// that none is held for. A request for which no tokens can be requested is refused.
func (a *Admitter) settle(now time.Time, account *account, step *Step) {
	defer a.updateWaiting(now, account)
	direct := a.admitWaiting(now, account, step)
	open, _ := account.uncovered(now)
	if len(open) > 0 && a.takeFromSelf(now, account, open) {
		direct = a.admitWaiting(now, account, step)
		open, _ = account.uncovered(now)
	}
	if len(open) == 0 {
		return
	}
	a.ask(now, account, open, step)
	mayGet := false
	for i, w := range open {
		if i == 0 || w.class != open[i-1].class {
			mayGet = a.mayGetToken(now, account, w)
		}
		if mayGet {
			continue
		}
		// The most urgent one can wait for the next token of the direct share.
		if i == 0 && direct.RetryAfter > 0 && now.Add(direct.RetryAfter).Before(w.until) {
			continue
		}
		a.refuse(now, account, w, direct, step)
	}
}

// admitWaiting admits waiting requests while there are tokens, and refuses those that can
// wait no longer. It returns the last decision by the direct share.
func (a *Admitter) admitWaiting(now time.Time, account *account, step *Step) Decision {
	var decision Decision
	for len(account.waiters) > 0 {
		var next int
		if decision, next = a.useToken(now, account); !decision.Admitted {
			break
		}
		step.Decided = append(step.Decided, Outcome{Decision: Decision{Admitted: true}, Ticket: account.waiters[next].ticket})
		account.waiters = slices.Delete(account.waiters, next, next+1)
	}
	for _, w := range slices.Clone(account.waiters) {
		if !now.Before(w.until) {
			a.refuse(now, account, w, decision, step)
		}
	}
	return decision
}

// refuse refuses a waiting request. The time to retry is the one at which the first pool
// can be asked again.
func (a *Admitter) refuse(now time.Time, account *account, w waiter, direct Decision, step *Step) {
	decision := Decision{Reason: RefusalLimitUnknown, RetryAfter: direct.RetryAfter}
	for _, owner := range a.limiter.PoolLocation(now, account.workspace).Owners {
		block, peer := account.blocks[owner], a.peer(owner)
		retryAt := block.retryAt
		if peer.silentUntil.After(retryAt) {
			retryAt = peer.silentUntil
		}
		if wait := retryAt.Sub(now); wait > 0 {
			decision.RetryAfter = min(decision.RetryAfter, wait)
		}
		switch {
		case owner != a.self && peer.isSuspect(now):
			decision.Owner, decision.Reason = owner, RefusalPoolSilent
		case !block.unknown && decision.Reason == RefusalLimitUnknown:
			decision.Reason = RefusalOverRate
		}
	}
	decision.RetryAfter = min(time.Duration(float64(decision.RetryAfter)*(1+retryJitter*a.random())), maxRetryAfter)
	account.forgetMissed(now)
	account.missed[w.class]++
	account.waiters = slices.DeleteFunc(account.waiters, func(other waiter) bool { return other.ticket == w.ticket })
	step.Decided = append(step.Decided, Outcome{Decision: decision, Ticket: w.ticket})
}

// takeFromSelf takes tokens for waiting requests from the pool of this instance, if it
// owns one that was not just empty. It reports whether it took any.
func (a *Admitter) takeFromSelf(now time.Time, account *account, open []waiter) bool {
	location := a.limiter.PoolLocation(now, account.workspace)
	if !slices.Contains(location.Owners, a.self) {
		return false
	}
	took := false
	for _, take := range a.takeRequests(now, account, open, location, a.self) {
		take.Extra = 0
		for _, w := range open {
			if w.class == take.Class && w.ticket <= account.countedAtSelf {
				take.Repeated++
			}
		}
		grant := a.limiter.Grant(now, []TakeRequest{take})[0]
		a.receive(now, a.self, now, take, grant)
		took = took || grant.Taken >= 1
	}
	account.countedAtSelf = a.lastTicket
	return took
}

// updateWaiting keeps the set of accounts with waiting requests, and when they have to be
// looked at.
func (a *Admitter) updateWaiting(now time.Time, account *account) {
	if len(account.waiters) == 0 {
		account.wakeAt = time.Time{}
		delete(a.waiting, account.workspace)
		return
	}
	account.wakeAt = account.nextWake(now, a.limiter.TimeToDirect(now, account.workspace))
	a.waiting[account.workspace] = account
}

// account returns the account of a workspace and creates it if needed. From time to time
// it removes idle ones, and what is known about owners that are not asked.
func (a *Admitter) account(now time.Time, id fleet.WorkspaceID) *account {
	if now.After(a.sweepAt) {
		a.sweepAt = now.Add(accountSweepInterval)
		for other, account := range a.accounts {
			if account.isIdle(now) {
				delete(a.accounts, other)
				delete(a.prefetching, other)
			}
		}
		maps.DeleteFunc(a.peers, func(_ fleet.InstanceID, p *poolPeer) bool {
			return len(p.calls) == 0 && now.Sub(p.silentUntil) > accountSweepInterval
		})
	}
	found := a.accounts[id]
	if found == nil {
		found = &account{
			blocks:    map[fleet.InstanceID]poolBlock{},
			calls:     map[fleet.InstanceID]*tokenCall{},
			demand:    NewDemand(now),
			rotation:  int(2 * a.random()),
			workspace: id,
		}
		a.accounts[id] = found
	}
	return found
}

// peer returns what is known about an owner.
func (a *Admitter) peer(owner fleet.InstanceID) *poolPeer {
	peer := a.peers[owner]
	if peer == nil {
		peer = &poolPeer{}
		a.peers[owner] = peer
	}
	return peer
}
