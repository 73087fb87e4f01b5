package primacy

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// catchUpBound is how long a handover waits for a replica that has all of
	// the old primary's log. Replicas are tens of milliseconds behind.
	catchUpBound = time.Second
	// promoteBound is how long an ordered promotion may take before the order
	// is given again: twice the longest one in use.
	promoteBound = 2 * time.Second
	// statusBound is how long statuses are waited for before the choice is
	// made among the servers that answered.
	statusBound = 700 * time.Millisecond
	// lateBound is how long after it an order without answer may still take
	// effect. Calls to the platform's store do so up to 6 s later.
	lateBound = 6 * time.Second
	// targetBound is how long a target may stay silent before another one is
	// chosen. An order that was lost takes effect within seconds or never.
	targetBound = 8 * time.Second
)

// Role is what a server says of itself.
type Role string

// Roles of servers.
const (
	RolePrimary Role = "Primary"
	RoleReplica Role = "Replica"
)

// Server is what the leader knows of one server of a group.
type Server struct {
	// Eligible is false for servers that leave or stand in a data centre that
	// is out of service.
	Eligible bool
	ID       fleet.ServerID
	// Position is the end of the received log.
	Position fleet.Position
	// RegisteredAsPrimary says that the server's registration names it as primary. It
	// comes without a term.
	RegisteredAsPrimary bool
	// Registered is false for servers that are not listed any more.
	Registered bool
	Role       Role
	// StatusAt is when the status was asked for that Position and Role come
	// from; zero means never.
	StatusAt time.Time
	Term     fleet.Term
}

// Member is what the leader knows of one instance.
type Member struct {
	// Left is the generation that the instance has confirmed to have left.
	Left Generation
	// Live is false once the instance's own lease has certainly ended.
	Live bool
	// Unreachable says that the instance can't reach the primary.
	Unreachable bool
}

// Situation is all that the leader's next step depends on.
type Situation struct {
	// Changed is when the leader first saw the record's present generation.
	GenerationSeenAt time.Time
	// Members are all instances, the leader included.
	Members []Member
	// Ordered is when the leader last ordered the promotion of the target.
	LastOrderAt time.Time
	// Permitted says that the leader itself wrote the present record, and has
	// not given the last of its orders yet.
	OrderPending bool
	// Record is the zero Record if there is none.
	Record  Record
	Servers []Server
	// SyncReplicas is the number of replicas that hold each acknowledged
	// commit.
	SyncReplicas int
}

// StepKind says what the leader does next.
type StepKind string

// Kinds of steps.
const (
	// StepNone waits.
	StepNone StepKind = "None"
	// StepPromote orders the promotion of the target.
	StepPromote StepKind = "Promote"
	// StepStatus asks all servers of the group for their status.
	StepStatus StepKind = "Status"
	// StepWrite writes the next record.
	StepWrite StepKind = "Write"
)

// Step is what the leader does next.
type Step struct {
	Kind   StepKind
	Record Record
	Target fleet.ServerID
}

// Decide returns the leader's next step for one group.
func Decide(now time.Time, s Situation) Step {
	switch {
	case s.Record.Generation == 0:
		return s.first(now)
	case s.Record.Phase == PhaseServing:
		return s.serving(now)
	case s.Record.Target != "":
		return s.promoting(now)
	default:
		return s.changing(now)
	}
}

// first finds the primary of a group without a record.
func (s Situation) first(now time.Time) Step {
	if !s.fresh(now) {
		return Step{Kind: StepStatus}
	}
	primary, found := s.leading()
	if !found {
		return Step{Kind: StepStatus}
	}
	return Step{Kind: StepWrite, Record: Record{Generation: 1, Phase: PhaseServing, Primary: primary.ID, Term: primary.Term}}
}

// serving starts a change when the primary is to be replaced.
func (s Situation) serving(now time.Time) Step {
	primary, known := s.server(s.Record.Primary)
	next := Record{Generation: s.Record.Generation + 1, Phase: PhaseChanging, Primary: s.Record.Primary, Term: s.Record.Term}
	if other, found := s.leading(); found && other.ID != s.Record.Primary && other.Term > s.Record.Term {
		next.Reason = ReasonReplaced
		return Step{Kind: StepWrite, Record: next}
	}
	// An order too many may still come and would undo a further change.
	late := s.Record.Orders > 1 && now.Before(s.GenerationSeenAt.Add(lateBound))
	if late || !s.hasCandidate() {
		return Step{Kind: StepNone}
	}
	switch {
	case s.unreachable():
		next.Reason = ReasonFailure
	case known && primary.Registered && !primary.Eligible:
		next.Reason = ReasonHandover
	default:
		return Step{Kind: StepNone}
	}
	return Step{Kind: StepWrite, Record: next}
}

// changing waits until nobody uses the old primary, and chooses the target.
func (s Situation) changing(now time.Time) Step {
	if !s.allLeft(now) {
		return Step{Kind: StepNone}
	}
	if !s.candidatesSince(s.GenerationSeenAt) && now.Before(s.GenerationSeenAt.Add(statusBound)) {
		return Step{Kind: StepStatus}
	}
	target, found := s.candidate()
	if !found || !s.hearsCommits() {
		return Step{Kind: StepStatus}
	}
	old, known := s.server(s.Record.Primary)
	if known && s.Record.Reason == ReasonHandover && old.StatusAt.After(s.GenerationSeenAt) &&
		target.Position.Compare(old.Position) < 0 && now.Before(s.GenerationSeenAt.Add(catchUpBound)) {
		return Step{Kind: StepStatus}
	}
	next := s.Record
	next.Target = target.ID
	next.Orders = 1
	return Step{Kind: StepWrite, Record: next}
}

// promoting orders the promotion of the recorded target and waits for it.
func (s Situation) promoting(now time.Time) Step {
	target, known := s.server(s.Record.Target)
	leads := known && target.Role == RolePrimary && target.Term > s.Record.Term && target.StatusAt.After(s.GenerationSeenAt)
	// A server that is full answers no status, but its registration tells.
	claims := known && target.RegisteredAsPrimary && !s.LastOrderAt.IsZero()
	if leads || claims {
		return Step{Kind: StepWrite, Record: Record{
			Generation: s.Record.Generation + 1, Orders: s.Record.Orders, Phase: PhaseServing,
			Primary: target.ID, Term: max(target.Term, s.Record.Term+1),
		}}
	}
	gone := !known || !target.Registered
	if now.After(s.GenerationSeenAt.Add(targetBound)) && (gone || target.StatusAt.Before(now.Add(-statusBound))) {
		next := s.Record
		next.Target = ""
		next.Orders = 0
		next.Generation++
		return Step{Kind: StepWrite, Record: next}
	}
	if s.OrderPending {
		return Step{Kind: StepPromote, Target: s.Record.Target}
	}
	if s.LastOrderAt.IsZero() || now.Sub(s.LastOrderAt) >= promoteBound {
		next := s.Record
		next.Orders++
		return Step{Kind: StepWrite, Record: next}
	}
	return Step{Kind: StepStatus}
}

// allLeft reports whether no instance uses the old primary any more: each has
// confirmed, or its lease has certainly ended.
func (s Situation) allLeft(now time.Time) bool {
	if !now.Before(s.GenerationSeenAt.Add(LeaseTime + LeaseMargin)) {
		return true
	}
	return !slices.ContainsFunc(s.Members, func(m Member) bool { return m.Live && m.Left < s.Record.Generation })
}

// unreachable reports whether at least half of the live instances, and one at
// least, can't reach the primary.
func (s Situation) unreachable() bool {
	live, cut := 0, 0
	for _, m := range s.Members {
		if m.Live {
			live++
			if m.Unreachable {
				cut++
			}
		}
	}
	return cut > 0 && 2*cut >= live
}

// leading returns the server that leads the latest term.
func (s Situation) leading() (Server, bool) {
	return best(s.Servers, func(server Server) bool { return server.Role == RolePrimary && !server.StatusAt.IsZero() })
}

// hearsCommits reports whether enough replicas have answered since the change
// that one of them holds the last acknowledged commit.
func (s Situation) hearsCommits() bool {
	replicas, answered := 0, 0
	for _, server := range s.Servers {
		if server.ID == s.Record.Primary {
			continue
		}
		replicas++
		if server.StatusAt.After(s.GenerationSeenAt) {
			answered++
		}
	}
	return s.SyncReplicas == 0 || answered >= replicas-s.SyncReplicas+1
}

func (s Situation) hasCandidate() bool {
	return slices.ContainsFunc(s.Servers, func(server Server) bool {
		return server.Registered && server.Eligible && server.ID != s.Record.Primary
	})
}

// candidate returns the server with the longest log of those that answered
// since the change, and can take the lead. A server that leads a later term
// already comes first.
func (s Situation) candidate() (Server, bool) {
	if leading, found := s.leading(); found && leading.Term > s.Record.Term && leading.StatusAt.After(s.GenerationSeenAt) {
		return leading, true
	}
	return best(s.Servers, func(server Server) bool {
		return server.Registered && server.Eligible && server.ID != s.Record.Primary && server.StatusAt.After(s.GenerationSeenAt)
	})
}

func best(servers []Server, accepted func(Server) bool) (Server, bool) {
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
		return cmp.Or(cmp.Compare(a.Term, b.Term), a.Position.Compare(b.Position), cmp.Compare(b.ID, a.ID))
	}), true
}

// fresh reports whether all registered servers answered a moment ago.
func (s Situation) fresh(now time.Time) bool {
	return len(s.Servers) > 0 && s.statusSince(now.Add(-statusBound))
}

// candidatesSince reports whether all servers that can be chosen have answered.
// In a handover the old primary has as well, because its log must be reached.
func (s Situation) candidatesSince(since time.Time) bool {
	return !slices.ContainsFunc(s.Servers, func(server Server) bool {
		old := server.ID == s.Record.Primary
		asked := (server.Eligible && !old) || (old && s.Record.Reason == ReasonHandover)
		return server.Registered && asked && !server.StatusAt.After(since)
	})
}

func (s Situation) statusSince(since time.Time) bool {
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
