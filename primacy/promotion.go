package primacy

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// handoverCatchUpTimeout is how long a handover waits for a replica to
	// receive all of the old primary's log. Replicas are tens of milliseconds
	// behind.
	handoverCatchUpTimeout = time.Second
	// promotionRetryInterval is how long an ordered promotion may take before
	// the order is repeated: twice the longest promotion in use.
	promotionRetryInterval = 2 * time.Second
	// statusTimeout is how long to wait for the statuses of servers before the
	// target is chosen among those that answered. A status is recent if it is
	// no older than this.
	statusTimeout = 700 * time.Millisecond
	// maxOrderDelay is how long after it was given an unanswered order may
	// still take effect. Calls to the platform's store do so up to 6 s later.
	maxOrderDelay = 6 * time.Second
	// handoverRetryInterval is how long after a handover without a target the next one
	// begins. Each one interrupts writes for about handoverCatchUpTimeout.
	handoverRetryInterval = 5 * time.Second
	// targetTimeout is how long a target may stay unresponsive before another
	// one is chosen. A lost order takes effect within seconds or never.
	targetTimeout = 8 * time.Second
	// maxHistoryTerms limits the size of a record. A server that is so many terms
	// behind has long been replaced.
	maxHistoryTerms = 16
)

// Role is the replication role that a server reports.
type Role string

// Roles of servers.
const (
	RolePrimary Role = "Primary"
	RoleReplica Role = "Replica"
)

// Server is the leader's view of one server of a group.
type Server struct {
	Address string
	// Born is the start time in Unix milliseconds.
	Born int64
	// Eligible is false if the server is draining, or if its data centre is out
	// of service.
	Eligible bool
	// Gone is true once a server has had no registration for so long that it won't come
	// back by itself, and doesn't respond. It is false while that is not known.
	Gone bool
	ID   fleet.ServerID
	// Position is the end of the log that the server has received.
	Position fleet.Position
	// Registered is false if the server has no registration entry.
	Registered bool
	Role       Role
	// StatusAt is when the status was requested that Position, Role and Term
	// come from. It is zero if the server has never answered.
	StatusAt time.Time
	Term     fleet.Term
}

// eligibleRank is 1 if the server is eligible, and 0 if not.
func (s Server) eligibleRank() int {
	if s.Eligible {
		return 1
	}
	return 0
}

// Member is the leader's view of one instance.
type Member struct {
	// Bystander says that the instance is not asked whether it can reach the primary,
	// because it uses the primary through other instances, or doesn't know yet.
	Bystander bool
	// Left is the latest generation for which the instance has confirmed that
	// it no longer uses the primary.
	Left Generation
	// Live is false once the instance's lease has certainly expired.
	Live bool
	// Unreachable says that the instance can't reach the primary.
	Unreachable bool
}

// Situation is the input of Decide for one group.
type Situation struct {
	// GenerationSeenAt is when the leader first saw the record's current
	// generation.
	GenerationSeenAt time.Time
	// Members are all instances, including the leader.
	Members []Member
	// LastOrderAt is when the leader last ordered the promotion of the target,
	// or the zero time.
	LastOrderAt time.Time
	// OrderPending says that the leader itself wrote the current record, and
	// has not yet given the last order that it counts.
	OrderPending bool
	// Record is the group's current record, or the zero Record if there is
	// none.
	Record  Record
	Servers []Server
	// SyncReplicas is the number of replicas that must hold a commit before it
	// is acknowledged.
	SyncReplicas int
}

// StepKind says what the leader does next.
type StepKind string

// Kinds of steps.
const (
	// StepNone does nothing.
	StepNone StepKind = "None"
	// StepPromote orders the promotion of the target.
	StepPromote StepKind = "Promote"
	// StepStatus asks all servers of the group for their status.
	StepStatus StepKind = "Status"
	// StepWrite writes the next record.
	StepWrite StepKind = "Write"
)

// Step is what the leader does next for a group. Record is set for StepWrite,
// and Target for StepPromote.
type Step struct {
	// Blocked is set if servers have answered, but none of them has a log that is part
	// of the recorded history.
	Blocked bool
	Kind    StepKind
	// Missing lists the servers that may hold acknowledged commits which the best target
	// lacks. It is set if Unproven is.
	Missing []fleet.ServerID
	Record  Record
	Target  fleet.ServerID
	// Unproven is set if the best target may lack acknowledged commits. The change waits
	// for other servers with StepStatus, or chooses the target with StepWrite because they
	// have been missing for too long.
	Unproven bool
}

// Decide returns the leader's next step for one group.
func Decide(now time.Time, s Situation) Step {
	switch {
	case s.Record.Generation == 0:
		return s.decideInitial(now)
	case s.Record.Phase == PhaseServing:
		return s.decideServing(now)
	case s.Record.Target != "":
		return s.decidePromoting(now)
	default:
		return s.decideChanging(now)
	}
}

// decideInitial writes the first record of a group, once its primary is known.
func (s Situation) decideInitial(now time.Time) Step {
	if !s.allStatusesRecent(now) {
		return Step{Kind: StepStatus}
	}
	primary, found := s.currentPrimary()
	if !found {
		return Step{Kind: StepStatus}
	}
	return Step{Kind: StepWrite, Record: Record{
		Generation: 1, History: s.historyOf(primary), Phase: PhaseServing, Primary: primary.ID, Servers: s.initialServers(), Term: primary.Term,
	}}
}

// initialServers returns the servers of the first record of a group.
func (s Situation) initialServers() []GroupServer {
	if s.SyncReplicas == 0 {
		return nil
	}
	return s.currentServers(time.Time{}, fleet.Position{})
}

// decideServing starts a change if the primary must be replaced, and otherwise keeps the
// record's servers up to date.
func (s Situation) decideServing(now time.Time) Step {
	primary, known := s.server(s.Record.Primary)
	next := Record{Generation: s.Record.Generation + 1, History: s.Record.History, Phase: PhaseChanging, Primary: s.Record.Primary, Servers: s.Record.Servers, Term: s.Record.Term}
	if newer, found := s.currentPrimary(); found && newer.Registered && newer.ID != s.Record.Primary && newer.Term > s.Record.Term {
		next.Reason = ReasonReplaced
		return Step{Kind: StepWrite, Record: next}
	}
	// If the last promotion was ordered repeatedly, an excess order may still
	// take effect, and would undo a further change.
	orderInFlight := s.Record.Orders > 1 && now.Before(s.GenerationSeenAt.Add(maxOrderDelay))
	if orderInFlight {
		return s.decideServers(now)
	}
	handoverGivenUp := s.Record.Reason == ReasonHandover && now.Before(s.GenerationSeenAt.Add(handoverRetryInterval))
	switch {
	case s.primaryUnreachable() && slices.ContainsFunc(s.Servers, s.promotable):
		next.Reason = ReasonFailure
	case known && primary.Registered && !primary.Eligible && !handoverGivenUp && slices.ContainsFunc(s.Servers, s.eligibleReplica):
		next.Reason = ReasonHandover
	default:
		return s.decideServers(now)
	}
	return Step{Kind: StepWrite, Record: next}
}

// decideChanging waits until no instance uses the old primary, and chooses the
// promotion target.
func (s Situation) decideChanging(now time.Time) Step {
	if !s.allInstancesLeft(now) {
		return Step{Kind: StepNone}
	}
	if !s.candidatesAnsweredSince(s.GenerationSeenAt) && now.Before(s.GenerationSeenAt.Add(statusTimeout)) {
		return Step{Kind: StepStatus}
	}
	old, known := s.server(s.Record.Primary)
	catchingUp := known && s.Record.Reason == ReasonHandover && old.StatusAt.After(s.GenerationSeenAt) &&
		now.Before(s.GenerationSeenAt.Add(handoverCatchUpTimeout))
	accepted := s.promotable
	if catchingUp {
		accepted = s.eligibleReplica
	}
	target, found := s.promotionCandidate(accepted)
	returned := known && s.returned(old)
	step := Step{Kind: StepWrite, Record: s.Record}
	step.Record.Orders = 1
	switch {
	case found && catchingUp && !s.leadsLatestTerm(target) && target.Position.Compare(old.Position) < 0:
		return Step{Kind: StepStatus}
	case found && s.hasAllCommits(target):
	case returned && s.leadsAlone(old):
		return s.endWithoutPromotion(old, found)
	case returned:
		target = old
	case found:
		_, step.Missing = s.missingReplicas(target)
		step.Unproven = true
		if now.Before(s.GenerationSeenAt.Add(missingServerTimeout)) {
			return Step{Kind: StepStatus, Missing: step.Missing, Unproven: true}
		}
	default:
		return Step{Blocked: slices.ContainsFunc(s.Servers, s.diverged), Kind: StepStatus}
	}
	step.Record.Target = target.ID
	return step
}

// endWithoutPromotion ends a change in which the primary stays the same. If a handover has
// found only targets that may lack commits, its reason is kept so that the next one does
// not follow at once.
func (s Situation) endWithoutPromotion(primary Server, targetFound bool) Step {
	next := Record{
		Generation: s.Record.Generation + 1, History: s.Record.History, Phase: PhaseServing,
		Primary: primary.ID, Servers: s.Record.Servers, Term: primary.Term,
	}
	if targetFound && s.Record.Reason == ReasonHandover {
		next.Reason = ReasonHandover
	}
	return Step{Kind: StepWrite, Record: next}
}

// decidePromoting orders the promotion of the recorded target and waits until
// it is primary. It gives up a target that stays unresponsive.
func (s Situation) decidePromoting(now time.Time) Step {
	target, known := s.server(s.Record.Target)
	// The target's registration is no evidence: it has no term, and a server that was cut
	// off while another one was promoted still registers as primary.
	if known && target.StatusAt.After(s.GenerationSeenAt) && s.leadsLatestTerm(target) {
		return Step{Kind: StepWrite, Record: Record{
			Generation: s.Record.Generation + 1, History: s.historyOf(target), Orders: s.Record.Orders, Phase: PhaseServing,
			Primary: target.ID, Servers: s.Record.Servers, Term: target.Term,
		}}
	}
	removed := !known || !target.Registered
	if now.After(s.GenerationSeenAt.Add(targetTimeout)) && (removed || target.StatusAt.Before(now.Add(-statusTimeout))) {
		next := s.Record
		next.Target = ""
		next.Orders = 0
		next.Generation++
		return Step{Kind: StepWrite, Record: next}
	}
	if s.OrderPending {
		return Step{Kind: StepPromote, Target: s.Record.Target}
	}
	if s.LastOrderAt.IsZero() || now.Sub(s.LastOrderAt) >= promotionRetryInterval {
		next := s.Record
		next.Orders++
		return Step{Kind: StepWrite, Record: next}
	}
	return Step{Kind: StepStatus}
}

// allInstancesLeft reports whether no instance uses the old primary any more:
// each one has confirmed that, or its lease has certainly expired.
func (s Situation) allInstancesLeft(now time.Time) bool {
	if !now.Before(s.GenerationSeenAt.Add(LeaseTime + LeaseMargin)) {
		return true
	}
	return !slices.ContainsFunc(s.Members, func(m Member) bool { return m.Live && m.Left < s.Record.Generation })
}

// primaryUnreachable reports whether at least half of the live instances that are no
// bystanders, and at least one, can't reach the primary.
func (s Situation) primaryUnreachable() bool {
	live, unreachable := 0, 0
	for _, m := range s.Members {
		if m.Live && !m.Bystander {
			live++
			if m.Unreachable {
				unreachable++
			}
		}
	}
	return unreachable > 0 && 2*unreachable >= live
}

// currentPrimary returns the server that reports to be primary, in the latest
// term if there are several.
func (s Situation) currentPrimary() (Server, bool) {
	return mostAdvanced(s.Servers, func(server Server) bool { return server.Role == RolePrimary && !server.StatusAt.IsZero() })
}

// eligibleReplica reports whether a server other than the recorded primary can be
// promoted and stay in use, whether or not it answers.
func (s Situation) eligibleReplica(server Server) bool {
	return server.Registered && server.Eligible && server.ID != s.Record.Primary
}

// promotable reports whether a server can be promoted, whether or not it answers. With
// synchronous replicas, a server that is not eligible can be as well: it may be the only
// one with the last acknowledged commits, and is replaced once another one has them.
func (s Situation) promotable(server Server) bool {
	return s.eligibleReplica(server) || (s.SyncReplicas > 0 && server.Registered && server.ID != s.Record.Primary)
}

// promotionCandidate returns the server with the longest log among the accepted ones
// that have answered since the change. A server that leads the latest term already takes
// precedence.
func (s Situation) promotionCandidate(accepted func(Server) bool) (Server, bool) {
	if currentPrimary, found := s.currentPrimary(); found && currentPrimary.Registered && s.leadsLatestTerm(currentPrimary) && currentPrimary.StatusAt.After(s.GenerationSeenAt) {
		return currentPrimary, true
	}
	return mostAdvanced(s.Servers, func(server Server) bool {
		return accepted(server) && server.StatusAt.After(s.GenerationSeenAt) && !s.diverged(server)
	})
}

// leadsLatestTerm reports whether a server is the primary of a later term than the
// record's, or is the recorded primary, which has returned under another ID.
func (s Situation) leadsLatestTerm(server Server) bool {
	return server.Role == RolePrimary && (server.Term > s.Record.Term || (server.Term == s.Record.Term && server.ID != s.Record.Primary))
}

// diverged reports whether the server has answered, and its log is no part of the
// recorded history: it has not followed the term of the record, and may have commits that
// this term lacks. Reads were served without them, so the server can't be promoted.
func (s Situation) diverged(server Server) bool {
	return !server.StatusAt.IsZero() && server.Term < s.Record.Term && !s.Record.History.Contains(server.Position)
}

// returned reports whether the recorded primary has returned, and can be used by most
// instances.
func (s Situation) returned(primary Server) bool {
	return s.hasReturned(primary) && !s.primaryUnreachable()
}

// leadsAlone reports whether the recorded primary still leads its term, and no server is
// known to have led a later one.
func (s Situation) leadsAlone(primary Server) bool {
	current, found := s.currentPrimary()
	return primary.Role == RolePrimary && found && current.Term <= s.Record.Term
}

// historyOf returns the history of a primary's log.
func (s Situation) historyOf(primary Server) fleet.History {
	if primary.Term == s.Record.Term {
		return s.Record.History
	}
	history := s.Record.History.Continue(primary.Term, primary.Position)
	return history[max(0, len(history)-maxHistoryTerms):]
}

// mostAdvanced returns the accepted server with the latest term and, within it,
// the longest log. Of equal servers it returns an eligible one, and of those the one
// with the lowest ID.
func mostAdvanced(servers []Server, accepted func(Server) bool) (Server, bool) {
	var candidates []Server
	for _, server := range servers {
		if accepted(server) {
			candidates = append(candidates, server)
		}
	}
	if len(candidates) == 0 {
		return Server{}, false
	}
	return slices.MaxFunc(candidates, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Term, b.Term), a.Position.Compare(b.Position), cmp.Compare(a.eligibleRank(), b.eligibleRank()), cmp.Compare(b.ID, a.ID))
	}), true
}

// allStatusesRecent reports whether all registered servers have answered within
// statusTimeout.
func (s Situation) allStatusesRecent(now time.Time) bool {
	return len(s.Servers) > 0 && s.allAnsweredSince(now.Add(-statusTimeout))
}

// candidatesAnsweredSince reports whether all servers that can be promoted have
// answered since a time. In a handover the old primary must have answered as
// well, because the target has to reach the end of its log.
func (s Situation) candidatesAnsweredSince(since time.Time) bool {
	return !slices.ContainsFunc(s.Servers, func(server Server) bool {
		isOldPrimary := server.ID == s.Record.Primary
		required := s.promotable(server) || (isOldPrimary && server.Registered && s.Record.Reason == ReasonHandover)
		return required && !server.StatusAt.After(since)
	})
}

// allAnsweredSince reports whether all registered servers have answered since a
// time.
func (s Situation) allAnsweredSince(since time.Time) bool {
	return !slices.ContainsFunc(s.Servers, func(server Server) bool { return server.Registered && !server.StatusAt.After(since) })
}

func (s Situation) server(id fleet.ServerID) (Server, bool) {
	for _, server := range s.Servers {
		if server.ID == id {
			return server, true
		}
	}
	return Server{}, false
}
