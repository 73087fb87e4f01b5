package group

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// promoteTries is the number of times that Promote is tried in one term. A
// higher term is always safe to go on with, so a dead server costs little time.
const promoteTries = 2

// Phase is the step at which a promoter is.
type Phase string

// Phases of a promotion, in order.
const (
	// PhaseIdle means that no promotion is due.
	PhaseIdle Phase = "Idle"
	// PhaseRankDelay leaves time for candidates that rank before this one.
	PhaseRankDelay Phase = "RankDelay"
	// PhaseDrain fences the old primary after its running transactions.
	PhaseDrain Phase = "Drain"
	// PhaseCatchUp waits until the target of a handover has the whole log.
	PhaseCatchUp Phase = "CatchUp"
	// PhaseFence collects promises of a majority.
	PhaseFence Phase = "Fence"
	// PhasePromote makes the chosen server primary.
	PhasePromote Phase = "Promote"
	// PhaseEstablish waits until a majority holds the new term.
	PhaseEstablish Phase = "Establish"
	// PhaseBackoff waits after a lost attempt.
	PhaseBackoff Phase = "Backoff"
)

// CallKind names a control call.
type CallKind string

// Control calls that a promoter asks for.
const (
	CallFence   CallKind = "Fence"
	CallPromote CallKind = "Promote"
	CallWait    CallKind = "Wait"
)

// Call is a control call that a promoter asks for.
type Call struct {
	// Drain is the time for running transactions; set for CallFence.
	Drain time.Duration
	Kind  CallKind
	// Position is what CallWait waits for.
	Position fleet.Position
	Server   fleet.ServerID
	// Term is the term to promise or to lead.
	Term fleet.Term
	// Timeout bounds the call.
	Timeout time.Duration
}

// CallResult is the outcome of a Call.
type CallResult struct {
	Call Call
	// Failed means that the call returned an error. It may have taken effect.
	Failed bool
	// Granted means that a promise was given; set for CallFence.
	Granted bool
	Status  ServerStatus
}

// PromotionRecord holds the times of one promotion. Times that were not
// reached are zero.
type PromotionRecord struct {
	// Attempts counts the terms that were tried.
	Attempts int
	// Decided is the time at which the first fence was ordered.
	DecidedAt time.Time
	// Detected is the time at which the failure or the request was seen.
	DetectedAt time.Time
	// Established is the time at which a majority was known to hold the term.
	EstablishedAt time.Time
	// Fenced is the time at which a majority had promised the last term.
	FencedAt time.Time
	Group    fleet.GroupID
	Handover bool
	// OldTerm is the term of the primary that was replaced.
	OldTerm fleet.Term
	// Promoted is the time at which the chosen server confirmed.
	PromotedAt time.Time
	Reason     Reason
	Server     fleet.ServerID
	// Suspected is the time at which the suspicion began.
	SuspectedAt time.Time
	Term        fleet.Term
}

// PromoterInput is what a promoter decides on besides its own state.
type PromoterInput struct {
	Detection Detection
	Now       time.Time
	Placement Placement
	Random    *rand.Rand
	// Rank is this instance's place among the live ones.
	Rank int
	View View
}

// PromoterOutput is what a step of a promoter asks for.
type PromoterOutput struct {
	Calls []Call
	// Record is set when a promotion of this promoter is established.
	Record *PromotionRecord
	// Wake is the time of the next step that is due without an answer. Zero
	// means none.
	NextStep time.Time
}

// grant is a promise of the current attempt.
type grant struct {
	server fleet.ServerID
	status ServerStatus
}

// retry is a failed call that is repeated at a time.
type retry struct {
	at   time.Time
	call Call
}

// Promoter orders promotions in one group. It is not safe for concurrent use.
//
// A promoter sends at most one server a Promote for a term. An answer to
// Promote can be lost after it took effect, so after a failure it goes on with
// a higher term instead of another server.
type Promoter struct {
	// avoid is the server that failed. A majority without it is preferred: a
	// primary that is cut off from its replicas may have the longest log.
	avoid    fleet.ServerID
	chosen   fleet.ServerID
	deadline time.Time
	due      time.Time
	// failures counts the failed calls of Promote in this attempt.
	failures int
	grants   []grant
	group    fleet.GroupID
	handover *HandoverRequest
	// hold is the time up to which the choice waits for preferred servers.
	hold     time.Time
	lost     int
	majority int
	phase    Phase
	record   PromotionRecord
	refused  []fleet.ServerID
	retries  []retry
	settings Settings
	term     fleet.Term
}

// HandoverRequest asks for a planned change of primary.
type HandoverRequest struct {
	// Deadline is the time after which the request is given up if the
	// primary was not fenced.
	Deadline time.Time
	// Drain is the time for running transactions on the old primary.
	Drain time.Duration
	// Target is the preferred server; empty means any.
	Target fleet.ServerID
}

// NewPromoter returns an idle promoter.
func NewPromoter(group fleet.GroupID, settings Settings) *Promoter {
	return &Promoter{group: group, phase: PhaseIdle, settings: settings}
}

// Handover asks for a planned change of primary. It replaces a request that
// has not begun.
func (p *Promoter) QueueHandover(request HandoverRequest) {
	p.handover = &request
}

// Phase returns the step at which the promoter is.
func (p *Promoter) Phase() Phase {
	return p.phase
}

// Pending reports whether a requested handover has not begun.
func (p *Promoter) HandoverPending() bool {
	return p.handover != nil
}

// Step advances the promoter by an answer, or by the time alone if answer is nil.
func (p *Promoter) Step(in PromoterInput, answer *CallResult) PromoterOutput {
	var out PromoterOutput
	p.majority = in.View.Majority()
	if answer != nil {
		p.answered(in, *answer, &out)
	}
	p.advance(in, &out)
	p.repeat(in, &out)
	out.NextStep = p.wake()
	return out
}

// advance moves on by time and view.
func (p *Promoter) advance(in PromoterInput, out *PromoterOutput) {
	switch p.phase {
	case PhaseIdle:
		p.idle(in, out)
	case PhaseRankDelay:
		p.rankDelay(in, out)
	case PhaseDrain, PhaseCatchUp:
		if !in.Now.Before(p.deadline) {
			p.fence(in, out)
		}
	case PhaseFence, PhasePromote:
		if in.View.Term > p.term || !in.Now.Before(p.deadline) {
			p.backOff(in)
		} else if p.phase == PhaseFence {
			p.choose(in, out)
		}
	case PhaseEstablish:
		p.establish(in, out)
	case PhaseBackoff:
		p.resume(in, out)
	}
}

// idle starts a promotion if the primary failed, or a handover.
func (p *Promoter) idle(in PromoterInput, out *PromoterOutput) {
	if in.Detection.Health == Failed {
		p.begin(in, in.Detection.Reason, false)
		p.phase, p.due = PhaseRankDelay, in.Now.Add(time.Duration(in.Rank)*p.settings.RankDelay)
		p.rankDelay(in, out)
		return
	}
	if p.handover == nil {
		return
	}
	if !in.Now.Before(p.handover.Deadline) {
		p.handover = nil
		return
	}
	if p.handover.Target == in.View.Primary && in.View.Primary != "" {
		p.drain(in, in.View.Primary, out)
		return
	}
	if target := handoverTarget(in, *p.handover, p.settings.MaxHandoverLag); target != "" {
		p.drain(in, target, out)
	}
}

// begin opens the record of a promotion.
func (p *Promoter) begin(in PromoterInput, reason Reason, handover bool) {
	p.lost = 0
	p.avoid = ""
	if !handover {
		p.avoid = in.View.Primary
	}
	p.record = PromotionRecord{
		DetectedAt: in.Now, Group: p.group, Handover: handover, OldTerm: in.View.Term,
		Reason: reason, SuspectedAt: in.Detection.SuspectedAt,
	}
}

// drain fences the old primary alone, so that its replicas still confirm the
// transactions that finish within the drain time.
func (p *Promoter) drain(in PromoterInput, target fleet.ServerID, out *PromoterOutput) {
	p.begin(in, ReasonNone, true)
	drain := p.handover.Drain
	p.handover = nil
	p.chosen = target
	p.nextTerm(in)
	p.phase, p.deadline = PhaseDrain, in.Now.Add(drain+p.settings.StepTimeout)
	call := Call{
		Drain: drain, Kind: CallFence, Server: in.View.Primary, Term: p.term,
		Timeout: drain + p.settings.StepTimeout,
	}
	out.Calls = append(out.Calls, call)
}

// rankDelay fences when the delay is over, unless the primary came back.
func (p *Promoter) rankDelay(in PromoterInput, out *PromoterOutput) {
	if in.Detection.Health != Failed || in.View.Term != p.record.OldTerm {
		p.phase = PhaseIdle
		return
	}
	if in.Now.Before(p.due) {
		return
	}
	p.nextTerm(in)
	p.fence(in, out)
}

// nextTerm opens an attempt at a term above all that are known.
func (p *Promoter) nextTerm(in PromoterInput) {
	p.term = max(p.term, in.View.HighestPromisedTerm()) + 1
	p.failures, p.grants, p.refused, p.retries = 0, nil, nil, nil
	p.record.Attempts++
	p.record.Term = p.term
	if p.record.DecidedAt.IsZero() {
		p.record.DecidedAt = in.Now
	}
}

// fence asks the servers that have not promised the term yet.
func (p *Promoter) fence(in PromoterInput, out *PromoterOutput) {
	p.phase, p.deadline = PhaseFence, in.Now.Add(p.settings.StepTimeout)
	p.hold = in.Now.Add(p.settings.StepTimeout / 2)
	p.retries = nil
	for _, server := range in.View.Servers {
		if p.granted(server.Server) {
			continue
		}
		out.Calls = append(out.Calls, Call{
			Kind: CallFence, Server: server.Server, Term: p.term, Timeout: p.settings.PollTimeout,
		})
	}
	p.choose(in, out)
}

// answered handles an answer to a call of the current attempt.
func (p *Promoter) answered(in PromoterInput, answer CallResult, out *PromoterOutput) {
	if answer.Call.Term != p.term {
		return
	}
	switch answer.Call.Kind {
	case CallFence:
		p.fenceAnswered(in, answer, out)
	case CallPromote:
		p.promoteAnswered(in, answer, out)
	case CallWait:
		if p.phase == PhaseCatchUp {
			p.fence(in, out)
		}
	}
}

func (p *Promoter) fenceAnswered(in PromoterInput, answer CallResult, out *PromoterOutput) {
	if p.phase != PhaseFence && p.phase != PhaseDrain {
		return
	}
	switch {
	case answer.Failed:
		p.retryLater(in, answer.Call)
		return
	case !answer.Granted:
		p.refuse(in, answer.Call.Server)
		return
	case !p.granted(answer.Call.Server):
		p.grants = append(p.grants, grant{server: answer.Call.Server, status: answer.Status})
	}
	if p.phase == PhaseDrain {
		p.catchUp(in, answer.Status.Log, out)
		return
	}
	p.choose(in, out)
}

// refuse notes a refusal. The attempt is lost when no majority is left.
func (p *Promoter) refuse(in PromoterInput, server fleet.ServerID) {
	if !slices.Contains(p.refused, server) {
		p.refused = append(p.refused, server)
	}
	if p.phase == PhaseDrain || len(in.View.Servers)-len(p.refused) < in.View.Majority() {
		p.backOff(in)
	}
}

// catchUp waits until the target has the log that the old primary ended with.
func (p *Promoter) catchUp(in PromoterInput, end fleet.Position, out *PromoterOutput) {
	p.phase, p.deadline = PhaseCatchUp, in.Now.Add(p.settings.CatchUpTimeout)
	out.Calls = append(out.Calls, Call{
		Kind: CallWait, Position: end, Server: p.chosen, Term: p.term, Timeout: p.settings.CatchUpTimeout,
	})
}

// choose promotes the server with the highest log end once a majority promised.
func (p *Promoter) choose(in PromoterInput, out *PromoterOutput) {
	candidates := p.candidates(in)
	if len(candidates) < in.View.Majority() {
		return
	}
	best := slices.MaxFunc(candidates, func(a, b grant) int { return p.compare(in, a, b) })
	p.chosen = best.server
	p.record.FencedAt, p.record.Server = in.Now, best.server
	p.phase, p.deadline = PhasePromote, in.Now.Add(p.settings.StepTimeout)
	p.retries = nil
	out.Calls = append(out.Calls, Call{
		Kind: CallPromote, Server: best.server, Term: p.term, Timeout: p.settings.PollTimeout,
	})
}

// candidates returns the promises to choose from. Any majority of promises is
// safe to choose from, so the choice waits a while for one that excludes the
// failed server, or that includes the target of a handover.
func (p *Promoter) candidates(in PromoterInput) []grant {
	waiting := in.Now.Before(p.hold) && len(p.grants)+len(p.refused) < len(in.View.Servers)
	if p.chosen != "" && !p.granted(p.chosen) && !slices.Contains(p.refused, p.chosen) && waiting {
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(p.grants), func(g grant) bool { return g.server == p.avoid })
	if len(others) >= in.View.Majority() || waiting {
		return others
	}
	return p.grants
}

// compare orders grants by log end, then by placement, handover target and id.
func (p *Promoter) compare(in PromoterInput, a, b grant) int {
	if c := a.status.Log.Compare(b.status.Log); c != 0 {
		return c
	}
	if c := preference(in, a.server, p.chosen) - preference(in, b.server, p.chosen); c != 0 {
		return c
	}
	if a.server < b.server {
		return 1
	}
	return -1
}

// preference weighs servers with equal logs: not leaving first, then in
// service, then the target of a handover.
func preference(in PromoterInput, id, target fleet.ServerID) int {
	server, _ := in.View.Server(id)
	weight := 0
	if !in.Placement.isLeaving(server.Member) {
		weight += 4
	}
	if !in.Placement.isOut(server.Member) {
		weight += 2
	}
	if id == target {
		weight++
	}
	return weight
}

func (p *Promoter) promoteAnswered(in PromoterInput, answer CallResult, out *PromoterOutput) {
	if p.phase != PhasePromote {
		return
	}
	status := answer.Status
	switch {
	case answer.Failed && p.failures+1 < promoteTries:
		p.failures++
		p.retryLater(in, answer.Call)
	case answer.Failed:
		p.backOff(in)
	case status.PromisedTerm > p.term || status.Term != p.term || status.Role != RolePrimary:
		p.backOff(in)
	default:
		p.phase, p.deadline = PhaseEstablish, in.Now.Add(p.settings.EstablishTimeout)
		p.record.PromotedAt = in.Now
		p.awaitStart(in, status.Log, out)
	}
}

// awaitStart asks the other servers to answer when they have the start of the term.
func (p *Promoter) awaitStart(in PromoterInput, start fleet.Position, out *PromoterOutput) {
	for _, server := range in.View.Servers {
		if server.Server == p.chosen {
			continue
		}
		out.Calls = append(out.Calls, Call{
			Kind: CallWait, Position: start, Server: server.Server, Term: p.term, Timeout: p.settings.EstablishTimeout,
		})
	}
}

// establish ends the promotion when the term, or a later one, is established.
func (p *Promoter) establish(in PromoterInput, out *PromoterOutput) {
	switch {
	case in.View.EstablishedHistory.LastTerm() == p.term:
		p.record.EstablishedAt = in.Now
		record := p.record
		out.Record = &record
		p.stop()
	case in.View.Term > p.term || in.Detection.Health == Failed || !in.Now.Before(p.deadline):
		p.backOff(in)
	}
}

// resume ends a back-off: the promoter stops if there is a healthy primary,
// or else tries the next term.
func (p *Promoter) resume(in PromoterInput, out *PromoterOutput) {
	if in.View.Primary != "" && in.View.Established && in.Detection.Health != Failed {
		p.stop()
		return
	}
	if in.Now.Before(p.due) {
		return
	}
	if in.Detection.Reason == ReasonNoMajority {
		p.due = in.Now.Add(p.backoff(in.Random))
		return
	}
	p.nextTerm(in)
	p.fence(in, out)
}

// backOff waits before the next attempt.
func (p *Promoter) backOff(in PromoterInput) {
	p.lost++
	if p.phase == PhasePromote || p.phase == PhaseEstablish {
		p.avoid = p.chosen
	}
	p.phase, p.due = PhaseBackoff, in.Now.Add(p.backoff(in.Random))
	p.chosen, p.retries = "", nil
}

// backoff returns a random wait that grows with the number of lost attempts.
func (p *Promoter) backoff(random *rand.Rand) time.Duration {
	limit := p.settings.BackoffMin << min(p.lost, 16)
	limit = min(limit, p.settings.BackoffMax)
	return p.settings.BackoffMin/2 + time.Duration(random.Int64N(int64(limit)))
}

func (p *Promoter) stop() {
	p.phase, p.chosen, p.lost, p.retries = PhaseIdle, "", 0, nil
}

func (p *Promoter) granted(server fleet.ServerID) bool {
	return slices.ContainsFunc(p.grants, func(g grant) bool { return g.server == server })
}

func (p *Promoter) retryLater(in PromoterInput, call Call) {
	p.retries = append(p.retries, retry{at: in.Now.Add(p.settings.RetryInterval), call: call})
}

// repeat asks again for failed calls whose time has come.
func (p *Promoter) repeat(in PromoterInput, out *PromoterOutput) {
	p.retries = slices.DeleteFunc(p.retries, func(r retry) bool {
		if in.Now.Before(r.at) {
			return false
		}
		out.Calls = append(out.Calls, r.call)
		return true
	})
}

// wake returns the time of the next step that is due without an answer.
func (p *Promoter) wake() time.Time {
	var wake time.Time
	switch p.phase {
	case PhaseIdle:
		return wake
	case PhaseRankDelay, PhaseBackoff:
		return p.due
	default:
		wake = p.deadline
	}
	if p.phase == PhaseFence && len(p.grants) >= p.majority && p.hold.Before(wake) {
		wake = p.hold
	}
	for _, r := range p.retries {
		if r.at.Before(wake) {
			wake = r.at
		}
	}
	return wake
}

// handoverTarget returns the replica to hand over to: one that is a target by
// placement and covers a sample no older than lag. The preferred one comes
// first, then the longest log, then the lowest id.
func handoverTarget(in PromoterInput, request HandoverRequest, lag time.Duration) fleet.ServerID {
	var best ServerView
	since := in.Now.Add(-lag)
	for _, server := range in.View.Servers {
		if server.Server == in.View.Primary || !in.Placement.IsEligible(server.Member) || !server.RespondedSince(since) {
			continue
		}
		if !coversSample(in.View, server.Status.Log, since) {
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

// HandoverDue returns the handover that this instance has to order, if it
// ranks first. One is due if the primary is not a target by placement but a
// replica is. One to the primary itself is due if a server promised a later
// term for delay: it follows again once the primary leads a higher term.
func HandoverDue(in PromoterInput, delay time.Duration) (target fleet.ServerID, due bool) {
	primary, found := in.View.Server(in.View.Primary)
	if !found || in.Rank != 0 || !in.View.Established {
		return "", false
	}
	if !in.Placement.IsEligible(primary.Member) {
		return "", slices.ContainsFunc(in.View.Servers, func(s ServerView) bool {
			return s.Server != primary.Server && in.Placement.IsEligible(s.Member)
		})
	}
	ahead := in.Detection.Reason == ReasonPromiseAhead && in.Now.Sub(in.Detection.SuspectedAt) >= delay
	return primary.Server, ahead
}
