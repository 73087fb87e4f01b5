package group

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// maxPromoteCalls is the number of times that Promote is called in one term.
// Continuing with a higher term is always safe, so giving up early on a dead
// server is cheap.
const maxPromoteCalls = 2

// Phase is a phase of a promotion.
type Phase string

// Phases of a promotion, in order.
const (
	// PhaseIdle means that no promotion is in progress.
	PhaseIdle Phase = "Idle"
	// PhaseRankDelay leaves time for the instances that rank before this one.
	PhaseRankDelay Phase = "RankDelay"
	// PhaseDrain fences the old primary in a handover, after its running
	// transactions have finished or the drain time has passed.
	PhaseDrain Phase = "Drain"
	// PhaseCatchUp waits until the target of a handover has received the old
	// primary's whole log.
	PhaseCatchUp Phase = "CatchUp"
	// PhaseFence collects promises of the term from a majority of servers.
	PhaseFence Phase = "Fence"
	// PhasePromote makes the chosen server the primary.
	PhasePromote Phase = "Promote"
	// PhaseEstablish waits until the new term is established.
	PhaseEstablish Phase = "Establish"
	// PhaseBackoff waits after a failed attempt.
	PhaseBackoff Phase = "Backoff"
)

// CallKind is the kind of a control call.
type CallKind string

// Kinds of control calls that a promoter requests.
const (
	CallFence   CallKind = "Fence"
	CallPromote CallKind = "Promote"
	CallWait    CallKind = "Wait"
)

// Call is a control call that a promoter requests.
type Call struct {
	// Drain is the time that running transactions get to finish; it is used by
	// CallFence.
	Drain time.Duration
	Kind  CallKind
	// Position is the position that CallWait waits for.
	Position fleet.Position
	Server   fleet.ServerID
	// Term is the term of the attempt: the one to promise or to become primary of.
	Term fleet.Term
	// Timeout limits the call.
	Timeout time.Duration
}

// CallResult is the result of a Call.
type CallResult struct {
	Call Call
	// Failed means that the call returned an error. It may still have taken
	// effect.
	Failed bool
	// Granted means that the server promised the term; it is set by CallFence.
	Granted bool
	Status  ServerStatus
}

// PromotionRecord describes one promotion. Times of steps that were not reached
// are zero.
type PromotionRecord struct {
	// Attempts is the number of terms that were tried.
	Attempts int
	// DecidedAt is the time at which the first fence call was requested.
	DecidedAt time.Time
	// DetectedAt is the time at which the promoter started to act on the failure
	// or on the handover request.
	DetectedAt time.Time
	// EstablishedAt is the time at which the term was known to be established.
	EstablishedAt time.Time
	// FencedAt is the time at which a majority had promised the term of the last
	// attempt.
	FencedAt time.Time
	Group    fleet.GroupID
	// Handover reports whether this was a planned change of primary.
	Handover bool
	// OldTerm is the term of the replaced primary.
	OldTerm fleet.Term
	// PromotedAt is the time at which the chosen server confirmed that it is the
	// primary.
	PromotedAt time.Time
	Reason     Reason
	// Server is the server that was chosen last.
	Server fleet.ServerID
	// SuspectedAt is the time since which the old primary was not Healthy.
	SuspectedAt time.Time
	// Term is the term of the last attempt.
	Term fleet.Term
}

// PromoterInput is the input of a promoter's step.
type PromoterInput struct {
	Detection Detection
	Now       time.Time
	Placement Placement
	Random    *rand.Rand
	// Rank is this instance's zero-based rank among the live ones.
	Rank int
	View View
}

// PromoterOutput is the output of a promoter's step.
type PromoterOutput struct {
	Calls []Call
	// Record is set when the term of a server that this promoter promoted is
	// established.
	Record *PromotionRecord
	// NextStep is the time at which the next step is due even if no result
	// arrives. Zero means none.
	NextStep time.Time
}

// grant is a server's promise of the current attempt's term.
type grant struct {
	server fleet.ServerID
	status ServerStatus
}

// retry is a failed call and the time at which to repeat it.
type retry struct {
	at   time.Time
	call Call
}

// Promoter replaces the primary of one group after a failure or for a handover.
// It is a state machine that requests control calls and is stepped with their
// results. It is not safe for concurrent use.
//
// A promoter calls Promote on at most one server in each term. The response to
// Promote can be lost after the call took effect, so after a failure the promoter
// continues with a higher term rather than with another server in the same term.
type Promoter struct {
	// avoidServer is the failed server. A majority of promises without it is
	// preferred, because a primary that is cut off from its replicas may have
	// the longest log and would then be chosen again.
	avoidServer fleet.ServerID
	// chosen is the target of a handover, and from PhasePromote on the server
	// that is promoted.
	chosen fleet.ServerID
	// deadline is the end of the current phase.
	deadline time.Time
	// waitUntil is the end of PhaseRankDelay or PhaseBackoff.
	waitUntil time.Time
	// promoteFailures counts the failed Promote calls of the current attempt.
	promoteFailures int
	grants          []grant
	group           fleet.GroupID
	pendingHandover *HandoverRequest
	// preferUntil is the time until which PhaseFence waits for promises of
	// preferred servers.
	preferUntil time.Time
	// failedAttempts counts the consecutive failed attempts.
	failedAttempts int
	majority       int
	phase          Phase
	record         PromotionRecord
	// refusedBy lists the servers that refused to promise the current term.
	refusedBy []fleet.ServerID
	retries   []retry
	settings  Settings
	// term is the term of the current or last attempt.
	term fleet.Term
}

// HandoverRequest requests a planned change of primary.
type HandoverRequest struct {
	// Deadline is the time after which the request is dropped if the handover
	// has not started.
	Deadline time.Time
	// Drain is the time that running transactions on the old primary get to
	// finish.
	Drain time.Duration
	// Target is the preferred server; empty means any.
	Target fleet.ServerID
}

// NewPromoter returns an idle promoter.
func NewPromoter(group fleet.GroupID, settings Settings) *Promoter {
	return &Promoter{group: group, phase: PhaseIdle, settings: settings}
}

// QueueHandover requests a planned change of primary. It replaces an earlier
// request whose handover has not started.
func (p *Promoter) QueueHandover(request HandoverRequest) {
	p.pendingHandover = &request
}

// Phase returns the current phase.
func (p *Promoter) Phase() Phase {
	return p.phase
}

// HandoverPending reports whether a handover was requested and has not started.
func (p *Promoter) HandoverPending() bool {
	return p.pendingHandover != nil
}

// Step advances the promoter by the result of a call and the passing of time, or
// by the passing of time alone if result is nil.
func (p *Promoter) Step(in PromoterInput, result *CallResult) PromoterOutput {
	var out PromoterOutput
	p.majority = in.View.Majority()
	if result != nil {
		p.handleResult(in, *result, &out)
	}
	p.advance(in, &out)
	p.retryDueCalls(in, &out)
	out.NextStep = p.nextStep()
	return out
}

// advance changes the phase if the time or the view requires it.
func (p *Promoter) advance(in PromoterInput, out *PromoterOutput) {
	switch p.phase {
	case PhaseIdle:
		p.stepIdle(in, out)
	case PhaseRankDelay:
		p.stepRankDelay(in, out)
	case PhaseDrain, PhaseCatchUp:
		if !in.Now.Before(p.deadline) {
			p.fence(in, out)
		}
	case PhaseFence, PhasePromote:
		if in.View.Term > p.term || !in.Now.Before(p.deadline) {
			p.startBackoff(in)
		} else if p.phase == PhaseFence {
			p.promoteBest(in, out)
		}
	case PhaseEstablish:
		p.stepEstablish(in, out)
	case PhaseBackoff:
		p.stepBackoff(in, out)
	}
}

// stepIdle starts a promotion if the primary failed, or else a handover if one
// is pending and possible.
func (p *Promoter) stepIdle(in PromoterInput, out *PromoterOutput) {
	if in.Detection.Health == Failed {
		p.startRecord(in, in.Detection.Reason, false)
		p.phase, p.waitUntil = PhaseRankDelay, in.Now.Add(time.Duration(in.Rank)*p.settings.RankDelay)
		p.stepRankDelay(in, out)
		return
	}
	if p.pendingHandover == nil {
		return
	}
	if !in.Now.Before(p.pendingHandover.Deadline) {
		p.pendingHandover = nil
		return
	}
	if p.pendingHandover.Target == in.View.Primary && in.View.Primary != "" {
		p.drain(in, in.View.Primary, out)
		return
	}
	if target := handoverTarget(in, *p.pendingHandover, p.settings.MaxHandoverLag); target != "" {
		p.drain(in, target, out)
	}
}

// startRecord starts a promotion and its record.
func (p *Promoter) startRecord(in PromoterInput, reason Reason, handover bool) {
	p.failedAttempts = 0
	p.avoidServer = ""
	if !handover {
		p.avoidServer = in.View.Primary
	}
	p.record = PromotionRecord{
		DetectedAt: in.Now, Group: p.group, Handover: handover, OldTerm: in.View.Term,
		Reason: reason, SuspectedAt: in.Detection.SuspectedAt,
	}
}

// drain starts the drain phase. It fences only the old primary, so that the
// replicas still accept the transactions that finish within the drain time.
func (p *Promoter) drain(in PromoterInput, target fleet.ServerID, out *PromoterOutput) {
	p.startRecord(in, ReasonNone, true)
	drain := p.pendingHandover.Drain
	p.pendingHandover = nil
	p.chosen = target
	p.startAttempt(in)
	p.phase, p.deadline = PhaseDrain, in.Now.Add(drain+p.settings.StepTimeout)
	call := Call{
		Drain: drain, Kind: CallFence, Server: in.View.Primary, Term: p.term,
		Timeout: drain + p.settings.StepTimeout,
	}
	out.Calls = append(out.Calls, call)
}

// stepRankDelay starts fencing when the delay is over. It stops the promotion if
// the primary is no longer Failed or another term has started.
func (p *Promoter) stepRankDelay(in PromoterInput, out *PromoterOutput) {
	if in.Detection.Health != Failed || in.View.Term != p.record.OldTerm {
		p.phase = PhaseIdle
		return
	}
	if in.Now.Before(p.waitUntil) {
		return
	}
	p.startAttempt(in)
	p.fence(in, out)
}

// startAttempt starts an attempt with a term above all known terms.
func (p *Promoter) startAttempt(in PromoterInput) {
	p.term = max(p.term, in.View.HighestPromisedTerm()) + 1
	p.promoteFailures, p.grants, p.refusedBy, p.retries = 0, nil, nil, nil
	p.record.Attempts++
	p.record.Term = p.term
	if p.record.DecidedAt.IsZero() {
		p.record.DecidedAt = in.Now
	}
}

// fence starts the fence phase. It requests the promise from all servers that
// have not promised the term yet.
func (p *Promoter) fence(in PromoterInput, out *PromoterOutput) {
	p.phase, p.deadline = PhaseFence, in.Now.Add(p.settings.StepTimeout)
	p.preferUntil = in.Now.Add(p.settings.StepTimeout / 2)
	p.retries = nil
	for _, server := range in.View.Servers {
		if p.hasGrant(server.Server) {
			continue
		}
		out.Calls = append(out.Calls, Call{
			Kind: CallFence, Server: server.Server, Term: p.term, Timeout: p.settings.PollTimeout,
		})
	}
	p.promoteBest(in, out)
}

// handleResult handles the result of a call of the current attempt.
func (p *Promoter) handleResult(in PromoterInput, result CallResult, out *PromoterOutput) {
	if result.Call.Term != p.term {
		return
	}
	switch result.Call.Kind {
	case CallFence:
		p.handleFenceResult(in, result, out)
	case CallPromote:
		p.handlePromoteResult(in, result, out)
	case CallWait:
		if p.phase == PhaseCatchUp {
			p.fence(in, out)
		}
	}
}

func (p *Promoter) handleFenceResult(in PromoterInput, result CallResult, out *PromoterOutput) {
	if p.phase != PhaseFence && p.phase != PhaseDrain {
		return
	}
	switch {
	case result.Failed:
		p.scheduleRetry(in, result.Call)
		return
	case !result.Granted:
		p.handleRefusal(in, result.Call.Server)
		return
	case !p.hasGrant(result.Call.Server):
		p.grants = append(p.grants, grant{server: result.Call.Server, status: result.Status})
	}
	if p.phase == PhaseDrain {
		p.catchUp(in, result.Status.Log, out)
		return
	}
	p.promoteBest(in, out)
}

// handleRefusal records that a server refused the promise. The attempt has failed
// if that was the old primary in a handover, or if the servers that have not
// refused are no majority.
func (p *Promoter) handleRefusal(in PromoterInput, server fleet.ServerID) {
	if !slices.Contains(p.refusedBy, server) {
		p.refusedBy = append(p.refusedBy, server)
	}
	if p.phase == PhaseDrain || len(in.View.Servers)-len(p.refusedBy) < in.View.Majority() {
		p.startBackoff(in)
	}
}

// catchUp starts the catch-up phase, in which the target receives the old
// primary's log up to its end.
func (p *Promoter) catchUp(in PromoterInput, logEnd fleet.Position, out *PromoterOutput) {
	p.phase, p.deadline = PhaseCatchUp, in.Now.Add(p.settings.CatchUpTimeout)
	out.Calls = append(out.Calls, Call{
		Kind: CallWait, Position: logEnd, Server: p.chosen, Term: p.term, Timeout: p.settings.CatchUpTimeout,
	})
}

// promoteBest promotes the server with the highest log end once a majority has
// promised the term.
func (p *Promoter) promoteBest(in PromoterInput, out *PromoterOutput) {
	candidates := p.candidates(in)
	if len(candidates) < in.View.Majority() {
		return
	}
	best := slices.MaxFunc(candidates, func(a, b grant) int { return p.compareGrants(in, a, b) })
	p.chosen = best.server
	p.record.FencedAt, p.record.Server = in.Now, best.server
	p.phase, p.deadline = PhasePromote, in.Now.Add(p.settings.StepTimeout)
	p.retries = nil
	out.Calls = append(out.Calls, Call{
		Kind: CallPromote, Server: best.server, Term: p.term, Timeout: p.settings.PollTimeout,
	})
}

// candidates returns the promises to choose from. It is safe to choose from any
// majority of promises, so until preferUntil, or until all servers have responded,
// it waits for a majority that excludes the failed server, or that includes the
// target of a handover.
func (p *Promoter) candidates(in PromoterInput) []grant {
	waiting := in.Now.Before(p.preferUntil) && len(p.grants)+len(p.refusedBy) < len(in.View.Servers)
	if p.chosen != "" && !p.hasGrant(p.chosen) && !slices.Contains(p.refusedBy, p.chosen) && waiting {
		return nil
	}
	preferred := slices.DeleteFunc(slices.Clone(p.grants), func(g grant) bool { return g.server == p.avoidServer })
	if len(preferred) >= in.View.Majority() || waiting {
		return preferred
	}
	return p.grants
}

// compareGrants orders grants by log end, then by placement and handover target,
// and then by server ID, where the lower ID ranks higher.
func (p *Promoter) compareGrants(in PromoterInput, a, b grant) int {
	if order := a.status.Log.Compare(b.status.Log); order != 0 {
		return order
	}
	if order := placementScore(in, a.server, p.chosen) - placementScore(in, b.server, p.chosen); order != 0 {
		return order
	}
	if a.server < b.server {
		return 1
	}
	return -1
}

// placementScore returns the preference for a server among those with equal logs.
// Not leaving counts most, then a data centre in service, then being the target
// of a handover.
func placementScore(in PromoterInput, id, target fleet.ServerID) int {
	server, _ := in.View.Server(id)
	score := 0
	if !in.Placement.isLeaving(server.Member) {
		score += 4
	}
	if !in.Placement.isOutOfService(server.Member) {
		score += 2
	}
	if id == target {
		score++
	}
	return score
}

func (p *Promoter) handlePromoteResult(in PromoterInput, result CallResult, out *PromoterOutput) {
	if p.phase != PhasePromote {
		return
	}
	status := result.Status
	switch {
	case result.Failed && p.promoteFailures+1 < maxPromoteCalls:
		p.promoteFailures++
		p.scheduleRetry(in, result.Call)
	case result.Failed:
		p.startBackoff(in)
	case status.PromisedTerm > p.term || status.Term != p.term || status.Role != RolePrimary:
		p.startBackoff(in)
	default:
		p.phase, p.deadline = PhaseEstablish, in.Now.Add(p.settings.EstablishTimeout)
		p.record.PromotedAt = in.Now
		p.waitForTermStart(in, status.Log, out)
	}
}

// waitForTermStart makes the other servers respond as soon as they have received
// the start of the term, so that its establishment is seen without delay.
func (p *Promoter) waitForTermStart(in PromoterInput, start fleet.Position, out *PromoterOutput) {
	for _, server := range in.View.Servers {
		if server.Server == p.chosen {
			continue
		}
		out.Calls = append(out.Calls, Call{
			Kind: CallWait, Position: start, Server: server.Server, Term: p.term, Timeout: p.settings.EstablishTimeout,
		})
	}
}

// stepEstablish ends the promotion once the term is established. It backs off if
// a later term is known, the new primary fails, or the time is over.
func (p *Promoter) stepEstablish(in PromoterInput, out *PromoterOutput) {
	switch {
	case in.View.EstablishedHistory.LastTerm() == p.term:
		p.record.EstablishedAt = in.Now
		record := p.record
		out.Record = &record
		p.reset()
	case in.View.Term > p.term || in.Detection.Health == Failed || !in.Now.Before(p.deadline):
		p.startBackoff(in)
	}
}

// stepBackoff returns to idle if there is an established primary that has not
// failed. Otherwise it starts the next attempt when the back-off is over, or
// backs off again if this instance reaches no majority of the servers.
func (p *Promoter) stepBackoff(in PromoterInput, out *PromoterOutput) {
	if in.View.Primary != "" && in.View.Established && in.Detection.Health != Failed {
		p.reset()
		return
	}
	if in.Now.Before(p.waitUntil) {
		return
	}
	if in.Detection.Reason == ReasonNoMajority {
		p.waitUntil = in.Now.Add(p.backoffDelay(in.Random))
		return
	}
	p.startAttempt(in)
	p.fence(in, out)
}

// startBackoff ends a failed attempt and starts the back-off. If the server that
// was to be promoted is at fault, the next attempt avoids it.
func (p *Promoter) startBackoff(in PromoterInput) {
	p.failedAttempts++
	if p.phase == PhasePromote || p.phase == PhaseEstablish {
		p.avoidServer = p.chosen
	}
	p.phase, p.waitUntil = PhaseBackoff, in.Now.Add(p.backoffDelay(in.Random))
	p.chosen, p.retries = "", nil
}

// backoffDelay returns a random delay whose range grows with the number of failed
// attempts.
func (p *Promoter) backoffDelay(random *rand.Rand) time.Duration {
	limit := p.settings.BackoffMin << min(p.failedAttempts, 16)
	limit = min(limit, p.settings.BackoffMax)
	return p.settings.BackoffMin/2 + time.Duration(random.Int64N(int64(limit)))
}

func (p *Promoter) reset() {
	p.phase, p.chosen, p.failedAttempts, p.retries = PhaseIdle, "", 0, nil
}

func (p *Promoter) hasGrant(server fleet.ServerID) bool {
	return slices.ContainsFunc(p.grants, func(g grant) bool { return g.server == server })
}

// scheduleRetry schedules a failed call to be repeated after RetryInterval.
func (p *Promoter) scheduleRetry(in PromoterInput, call Call) {
	p.retries = append(p.retries, retry{at: in.Now.Add(p.settings.RetryInterval), call: call})
}

// retryDueCalls requests the failed calls that are due again.
func (p *Promoter) retryDueCalls(in PromoterInput, out *PromoterOutput) {
	p.retries = slices.DeleteFunc(p.retries, func(r retry) bool {
		if in.Now.Before(r.at) {
			return false
		}
		out.Calls = append(out.Calls, r.call)
		return true
	})
}

// nextStep returns the time at which the next step is due even if no result
// arrives. Zero means none.
func (p *Promoter) nextStep() time.Time {
	var nextStep time.Time
	switch p.phase {
	case PhaseIdle:
		return nextStep
	case PhaseRankDelay, PhaseBackoff:
		return p.waitUntil
	default:
		nextStep = p.deadline
	}
	if p.phase == PhaseFence && len(p.grants) >= p.majority && p.preferUntil.Before(nextStep) {
		nextStep = p.preferUntil
	}
	for _, r := range p.retries {
		if r.at.Before(nextStep) {
			nextStep = r.at
		}
	}
	return nextStep
}

// handoverTarget returns the replica to hand over to, or none. The replica must be
// eligible by placement, must have responded recently, and its log must cover a
// confirmed position no older than maxLag. The requested target is taken if it
// qualifies, otherwise the replica with the longest log, and of equal ones that
// with the lowest ID.
func handoverTarget(in PromoterInput, request HandoverRequest, maxLag time.Duration) fleet.ServerID {
	var best ServerView
	notBefore := in.Now.Add(-maxLag)
	for _, server := range in.View.Servers {
		if server.Server == in.View.Primary || !in.Placement.IsEligible(server.Member) || !server.RespondedSince(notBefore) {
			continue
		}
		if !coversConfirmedSince(in.View, server.Status.Log, notBefore) {
			continue
		}
		if server.Server == request.Target {
			return server.Server
		}
		if best.Server == "" || server.Status.Log.Compare(best.Status.Log) > 0 {
			best = server
		}
	}
	return best.Server
}

// HandoverDue reports whether this instance has to start a handover, and the
// target of it; an empty target means any. Only the instance that ranks first
// starts one. A handover is due if the primary is not eligible by placement but a
// replica is. A handover to the primary itself is due if a server has promised a
// later term for at least delay: the server follows the primary again once the
// primary has a higher term.
func HandoverDue(in PromoterInput, delay time.Duration) (target fleet.ServerID, isDue bool) {
	primary, found := in.View.Server(in.View.Primary)
	if !found || in.Rank != 0 || !in.View.Established {
		return "", false
	}
	if !in.Placement.IsEligible(primary.Member) {
		return "", slices.ContainsFunc(in.View.Servers, func(s ServerView) bool {
			return s.Server != primary.Server && in.Placement.IsEligible(s.Member)
		})
	}
	promiseIsAhead := in.Detection.Reason == ReasonPromiseAhead && in.Now.Sub(in.Detection.SuspectedAt) >= delay
	return primary.Server, promiseIsAhead
}
