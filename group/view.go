package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// keptReceipts is the number of terms for which a server's receipts are
	// kept. An answer can wait over at most a few changes of term, because
	// CommitBound ends it.
	keptReceipts = 4
	// keptSamples bounds the memory of a view.
	keptSamples = 64
	// sampleSpacing keeps a burst of barriers from pushing older samples out.
	sampleSpacing = 100 * time.Millisecond
	// unreachableFailures is the number of failures in a row from which a server
	// is not used for routing. One lost poll is not enough.
	unreachableFailures = 2
	// roundTripWeight is the weight of the old average in RoundTrip.
	roundTripWeight = 7
)

// Member is the configuration of one server of a group.
type Member struct {
	DataCentre fleet.DataCentre
	Server     fleet.ServerID
}

// Observation is one answer of a server.
type Observation struct {
	// Answered is the time at which the answer arrived.
	RespondedAt time.Time
	// Asked is the time before the request was sent.
	RequestedAt time.Time
	Server      fleet.ServerID
	Status      ServerStatus
}

// Receipt says that a server received the log of a term up to a position
// while it had promised no later term.
type Receipt struct {
	// History is the history of the log at that time. It ends in Position.Term.
	History  fleet.History
	Position fleet.Position
}

// ConfirmedPosition is a position of the primary that was confirmed by a majority.
type ConfirmedPosition struct {
	// Begun is the time before the earliest request of the round was sent.
	RoundStart time.Time
	// Position contains every write that was acknowledged before Begun.
	Position fleet.Position
}

// ServerView is what an instance knows of one server.
type ServerView struct {
	Member
	// Answered is the time at which Status arrived. It is zero before the
	// first answer.
	RespondedAt time.Time
	// Asked is the time before the request for Status was sent.
	RequestedAt time.Time
	// FailingSince is the time before the first request that failed since the
	// last answer. It is zero if none failed.
	FailingSince time.Time
	// Failures is the number of requests that failed since the last answer.
	Failures int
	// Receipts lists what the server received, in rising order of terms.
	Receipts []Receipt
	// RoundTrip is the moving average of the time to an answer.
	RoundTrip time.Duration
	Status    ServerStatus
}

// Heard reports whether the server answered a request that began at or after since.
func (s ServerView) RespondedSince(since time.Time) bool {
	return !s.RespondedAt.IsZero() && !s.RequestedAt.Before(since)
}

// Reachable reports whether recent requests to the server succeeded.
func (s ServerView) Reachable() bool {
	return s.Failures < unreachableFailures
}

// fail notes a number of failures of a request, unless a later one was answered.
func (s *ServerView) fail(asked time.Time, failures int) {
	if asked.Before(s.RequestedAt) {
		return
	}
	s.Failures += failures
	if s.FailingSince.IsZero() || asked.Before(s.FailingSince) {
		s.FailingSince = asked
	}
}

// received reports whether the server holds a receipt for the position.
func (s ServerView) received(p fleet.Position) bool {
	for _, receipt := range s.Receipts {
		if receipt.Position.Term == p.Term && receipt.Position.Log >= p.Log {
			return true
		}
	}
	return false
}

// View is what an instance knows of a group. Views are immutable: the methods
// that add knowledge return a new view.
type View struct {
	// Established reports whether Term is established.
	Established bool
	Group       fleet.GroupID
	// History is the history of Term.
	History fleet.History
	// Primary leads Term. It is empty when no server is known that can
	// gather a majority for its term.
	Primary fleet.ServerID
	// Samples lists confirmed positions of the primary, oldest first.
	ConfirmedPositions []ConfirmedPosition
	// Servers holds one entry for each configured server, ordered by id.
	Servers []ServerView
	// Settled is the history of the newest established term. All later
	// established histories extend it.
	EstablishedHistory fleet.History
	// Term is the newest term for which a primary or an established log is known.
	Term fleet.Term
}

// NewView returns the view of a group of which nothing is known but its members.
func NewView(group fleet.GroupID, members []Member) View {
	view := View{Group: group}
	for _, member := range members {
		view.Servers = append(view.Servers, ServerView{Member: member})
	}
	slices.SortFunc(view.Servers, func(a, b ServerView) int { return cmp.Compare(a.Server, b.Server) })
	return view
}

// Fail returns the view after a request to a server failed.
func (v View) RecordFailure(server fleet.ServerID, asked time.Time) View {
	return v.change(server, func(s *ServerView) { s.fail(asked, 1) })
}

// Refuse returns the view after a connection to a server failed. The server is
// not used for routing until it answers a request that began later.
func (v View) MarkUnreachable(server fleet.ServerID, now time.Time) View {
	return v.change(server, func(s *ServerView) { s.fail(now, unreachableFailures) })
}

// Heard returns the number of servers that answered a request that began at
// or after since.
func (v View) RespondedSince(since time.Time) int {
	n := 0
	for _, server := range v.Servers {
		if server.RespondedSince(since) {
			n++
		}
	}
	return n
}

// Majority returns the smallest number of servers that is a majority.
func (v View) Majority() int {
	return len(v.Servers)/2 + 1
}

// Observe returns the view after an answer of a server. An answer to a request
// that began before the one already known adds its receipt only.
func (v View) Observe(o Observation) View {
	return v.change(o.Server, func(s *ServerView) {
		s.Receipts = addReceipt(s.Receipts, receiptOf(o.Status))
		if !s.RespondedAt.IsZero() && o.RequestedAt.Before(s.RequestedAt) {
			return
		}
		took := o.RespondedAt.Sub(o.RequestedAt)
		if s.RespondedAt.IsZero() {
			s.RoundTrip = took
		}
		s.RoundTrip = (s.RoundTrip*roundTripWeight + took) / (roundTripWeight + 1)
		s.RespondedAt, s.RequestedAt, s.Status = o.RespondedAt, o.RequestedAt, o.Status
		s.Failures, s.FailingSince = 0, time.Time{}
	})
}

// ObserveApplied returns the view after a server reported on a session that
// reads see the position. A report of another term than the one the server is
// known to follow is ignored, because its log may have been cut back since.
func (v View) ObserveApplied(server fleet.ServerID, applied fleet.Position) View {
	if !v.advances(server, applied) {
		return v
	}
	return v.change(server, func(s *ServerView) {
		s.Status.Applied = applied
		s.Status.Log.Log = max(s.Status.Log.Log, applied.Log)
	})
}

// advances reports whether a report on a session says more than is known.
func (v View) advances(server fleet.ServerID, applied fleet.Position) bool {
	i := v.index(server)
	if i < 0 {
		return false
	}
	status := &v.Servers[i].Status
	return status.Term == applied.Term && status.Log.Term == applied.Term && status.Applied.Compare(applied) < 0
}

// ObserveWrite returns the view after the primary of the position's term
// answered that it wrote an entry there. The answer is the primary's receipt.
func (v View) ObserveWrite(p fleet.Position) View {
	if v.Primary == "" || v.Term != p.Term {
		return v
	}
	return v.change(v.Primary, func(s *ServerView) {
		s.Receipts = addReceipt(s.Receipts, Receipt{History: v.History, Position: p})
	})
}

// PrimaryAt returns the server to send writes to and its term. It reports false
// when none is known, it does not answer, or its last status is older than maxAge.
func (v View) PrimaryAt(now time.Time, maxAge time.Duration) (fleet.ServerID, fleet.Term, bool) {
	primary, found := v.Server(v.Primary)
	if !found || !primary.Reachable() || !primary.RespondedSince(now.Add(-maxAge)) {
		return "", 0, false
	}
	return v.Primary, v.Term, true
}

// Promised returns the highest term that any server is known to have promised.
func (v View) HighestPromisedTerm() fleet.Term {
	term := v.Term
	for _, server := range v.Servers {
		term = max(term, server.Status.PromisedTerm, server.Status.Term)
	}
	return term
}

// Server returns what is known of one server.
func (v View) Server(id fleet.ServerID) (ServerView, bool) {
	i := v.index(id)
	if i < 0 {
		return ServerView{}, false
	}
	return v.Servers[i], true
}

func (v View) index(id fleet.ServerID) int {
	return slices.IndexFunc(v.Servers, func(s ServerView) bool { return s.Server == id })
}

// change applies a change to a copy of one server and derives the rest.
func (v View) change(id fleet.ServerID, apply func(*ServerView)) View {
	i := v.index(id)
	if i < 0 {
		return v
	}
	v.Servers = slices.Clone(v.Servers)
	apply(&v.Servers[i])
	v.settle()
	v.lead()
	v.sample()
	return v
}

// lead derives the primary, its term and history.
func (v *View) lead() {
	v.Primary = ""
	for _, server := range v.Servers {
		status := server.Status
		if status.Role != RolePrimary || status.PromisedTerm > status.Term || status.Term < v.Term {
			continue
		}
		v.Primary, v.Term, v.History = server.Server, status.Term, status.History
	}
	moved := 0
	for _, server := range v.Servers {
		if server.Status.PromisedTerm > v.Term {
			moved++
		}
	}
	if moved >= v.Majority() {
		v.Primary = ""
	}
	v.Established = v.Term > 0 && v.EstablishedHistory.LastTerm() == v.Term
}

// sample derives a confirmed sample: the primary and enough others promised
// the primary's term in answers to requests that began at or after Begun.
func (v *View) sample() {
	primary, found := v.Server(v.Primary)
	if !found {
		return
	}
	var asked []time.Time
	for _, server := range v.Servers {
		if server.Server != v.Primary && !server.RespondedAt.IsZero() && server.Status.PromisedTerm == v.Term {
			asked = append(asked, server.RequestedAt)
		}
	}
	others := v.Majority() - 1
	if len(asked) < others {
		return
	}
	begun := primary.RequestedAt
	if others > 0 {
		slices.SortFunc(asked, func(a, b time.Time) int { return b.Compare(a) })
		if asked[others-1].Before(begun) {
			begun = asked[others-1]
		}
	}
	v.ConfirmedPositions = addSample(v.ConfirmedPositions, ConfirmedPosition{RoundStart: begun, Position: primary.Status.Log})
}

// settle derives the history of the newest established term.
func (v *View) settle() {
	for _, server := range v.Servers {
		for _, receipt := range server.Receipts {
			term := receipt.Position.Term
			if term > v.EstablishedHistory.LastTerm() && establishedTerm(*v, term) {
				v.EstablishedHistory = receipt.History
			}
		}
	}
	if term := v.EstablishedHistory.LastTerm(); term > v.Term {
		v.Term, v.History = term, v.EstablishedHistory
	}
}

// addReceipt returns the receipts with one more.
func addReceipt(receipts []Receipt, add Receipt) []Receipt {
	if add.Position.Term == 0 {
		return receipts
	}
	i, found := slices.BinarySearchFunc(receipts, add, func(a, b Receipt) int {
		return cmp.Compare(a.Position.Term, b.Position.Term)
	})
	if found && receipts[i].Position.Log >= add.Position.Log {
		return receipts
	}
	receipts = slices.Clone(receipts)
	if found {
		receipts[i] = add
		return receipts
	}
	receipts = slices.Insert(receipts, i, add)
	return receipts[max(0, len(receipts)-keptReceipts):]
}

// addSample returns the samples with one more. A sample that begins close to
// the last but one replaces the last one.
func addSample(samples []ConfirmedPosition, add ConfirmedPosition) []ConfirmedPosition {
	n := len(samples)
	if n > 0 && !add.RoundStart.After(samples[n-1].RoundStart) {
		return samples
	}
	if n > 1 && add.RoundStart.Sub(samples[n-2].RoundStart) < sampleSpacing {
		n--
	}
	first := max(0, n+1-keptSamples)
	return append(slices.Clone(samples[first:n]), add)
}

// receiptOf returns the receipt that a status shows. A server that promised a
// later term may have received the entries from a later primary that can
// still be superseded by another log, so its status is no receipt.
func receiptOf(status ServerStatus) Receipt {
	if status.Log.Term == 0 || status.PromisedTerm > status.Log.Term || status.History.LastTerm() != status.Log.Term {
		return Receipt{}
	}
	return Receipt{History: status.History, Position: status.Log}
}
