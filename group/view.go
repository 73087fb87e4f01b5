package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// maxReceipts is the number of terms for which a server's receipts are
	// kept. Few are needed: a request waits for its commit over at most a few
	// changes of term, because the CommitBound setting ends the wait.
	maxReceipts = 4
	// maxConfirmedPositions limits the memory that a view uses.
	maxConfirmedPositions = 64
	// minConfirmedSpacing is the minimum time between the rounds of a new
	// confirmed position and the last but one; otherwise the new one replaces
	// the last one. It keeps a burst of barrier requests from evicting all
	// older positions.
	minConfirmedSpacing = 100 * time.Millisecond
	// unreachableFailures is the number of consecutive failures after which a
	// server is not used for routing. One lost poll is not enough.
	unreachableFailures = 2
	// roundTripWeight is the weight of the previous average in RoundTrip; the
	// weight of the new measurement is 1.
	roundTripWeight = 7
)

// Member identifies one server of a group and its data centre.
type Member struct {
	DataCentre fleet.DataCentre
	Server     fleet.ServerID
}

// Observation is one response of a server to a control call.
type Observation struct {
	// RespondedAt is the time at which the response arrived.
	RespondedAt time.Time
	// RequestedAt is a time just before the request was sent.
	RequestedAt time.Time
	Server      fleet.ServerID
	Status      ServerStatus
}

// Receipt records that a server received the log of a term up to a position
// while it had promised no later term.
type Receipt struct {
	// History is the history of the log at that time. It ends in Position.Term.
	History  fleet.History
	Position fleet.Position
}

// ConfirmedPosition is the end of the primary's log as read in a round of status
// requests in which a majority of servers had promised no later term.
type ConfirmedPosition struct {
	// RoundStart is a time just before the earliest request of the round was sent.
	RoundStart time.Time
	// Position covers every write that was acknowledged before RoundStart.
	Position fleet.Position
}

// ServerView is what an instance knows about one server.
type ServerView struct {
	Member
	// RespondedAt is the time at which Status arrived. It is zero before the
	// first response.
	RespondedAt time.Time
	// RequestedAt is a time just before the request for Status was sent.
	RequestedAt time.Time
	// FailingSince is the send time of the first request that failed since the
	// last response. It is zero if none failed.
	FailingSince time.Time
	// Failures is the number of requests that failed since the last response.
	// A failed session connection counts as unreachableFailures.
	Failures int
	// Receipts holds the server's receipts, one for each term, in ascending
	// order of terms.
	Receipts []Receipt
	// RoundTrip is the moving average of the time from request to response.
	RoundTrip time.Duration
	Status    ServerStatus
}

// RespondedSince reports whether the server responded to a request that was
// sent at or after since.
func (s ServerView) RespondedSince(since time.Time) bool {
	return !s.RespondedAt.IsZero() && !s.RequestedAt.Before(since)
}

// Reachable reports whether fewer than unreachableFailures requests to the
// server failed since its last response.
func (s ServerView) Reachable() bool {
	return s.Failures < unreachableFailures
}

// recordFailures adds a number of failures for a request, unless the server
// responded to a later request.
func (s *ServerView) recordFailures(requestedAt time.Time, failures int) {
	if requestedAt.Before(s.RequestedAt) {
		return
	}
	s.Failures += failures
	if s.FailingSince.IsZero() || requestedAt.Before(s.FailingSince) {
		s.FailingSince = requestedAt
	}
}

// hasReceipt reports whether the server is known to have received the position
// in the position's term.
func (s ServerView) hasReceipt(p fleet.Position) bool {
	for _, receipt := range s.Receipts {
		if receipt.Position.Term == p.Term && receipt.Position.Log >= p.Log {
			return true
		}
	}
	return false
}

// View is what an instance knows about a group. Views are immutable: the methods
// that add information return a new view.
type View struct {
	// Established reports whether Term is established.
	Established bool
	Group       fleet.GroupID
	// History is the history of Term.
	History fleet.History
	// Primary is the primary of Term. It is empty if no primary is known that
	// could still get its writes received by a majority in its term.
	Primary fleet.ServerID
	// ConfirmedPositions lists positions of the primary that a majority
	// confirmed, oldest first.
	ConfirmedPositions []ConfirmedPosition
	// Servers holds one entry for each configured server, ordered by ID.
	Servers []ServerView
	// EstablishedHistory is the history of the newest established term. The
	// histories of all later established terms extend it.
	EstablishedHistory fleet.History
	// Term is the newest term that is known to have a primary or to be
	// established.
	Term fleet.Term
}

// NewView returns the view of a group whose servers have not responded yet.
func NewView(group fleet.GroupID, members []Member) View {
	view := View{Group: group}
	for _, member := range members {
		view.Servers = append(view.Servers, ServerView{Member: member})
	}
	slices.SortFunc(view.Servers, func(a, b ServerView) int { return cmp.Compare(a.Server, b.Server) })
	return view
}

// RecordFailure returns the view after a control call to a server failed.
func (v View) RecordFailure(server fleet.ServerID, requestedAt time.Time) View {
	return v.updateServer(server, func(s *ServerView) { s.recordFailures(requestedAt, 1) })
}

// MarkUnreachable returns the view after a connection to a server failed. The
// server is not used for routing until it responds to a request that was sent
// later.
func (v View) MarkUnreachable(server fleet.ServerID, now time.Time) View {
	return v.updateServer(server, func(s *ServerView) { s.recordFailures(now, unreachableFailures) })
}

// RespondedSince returns the number of servers that responded to a request that
// was sent at or after since.
func (v View) RespondedSince(since time.Time) int {
	n := 0
	for _, server := range v.Servers {
		if server.RespondedSince(since) {
			n++
		}
	}
	return n
}

// Majority returns the number of servers that form a majority.
func (v View) Majority() int {
	return len(v.Servers)/2 + 1
}

// Observe returns the view after a response of a server. If the server already
// responded to a later request, only the receipt of the response is added.
func (v View) Observe(o Observation) View {
	return v.updateServer(o.Server, func(s *ServerView) {
		s.Receipts = addReceipt(s.Receipts, receiptOf(o.Status))
		if !s.RespondedAt.IsZero() && o.RequestedAt.Before(s.RequestedAt) {
			return
		}
		roundTrip := o.RespondedAt.Sub(o.RequestedAt)
		if s.RespondedAt.IsZero() {
			s.RoundTrip = roundTrip
		}
		s.RoundTrip = (s.RoundTrip*roundTripWeight + roundTrip) / (roundTripWeight + 1)
		s.RespondedAt, s.RequestedAt, s.Status = o.RespondedAt, o.RequestedAt, o.Status
		s.Failures, s.FailingSince = 0, time.Time{}
	})
}

// ObserveApplied returns the view after a server reported the position that it
// has applied over a session connection. The report is ignored if its term is
// not the one that the server is known to follow, because the server's log may
// have been truncated since.
func (v View) ObserveApplied(server fleet.ServerID, applied fleet.Position) View {
	if !v.advancesApplied(server, applied) {
		return v
	}
	return v.updateServer(server, func(s *ServerView) {
		s.Status.Applied = applied
		s.Status.Log.Log = max(s.Status.Log.Log, applied.Log)
	})
}

// advancesApplied reports whether the position that a server reported over a
// session connection is ahead of its known applied position in the same term.
func (v View) advancesApplied(server fleet.ServerID, applied fleet.Position) bool {
	i := v.index(server)
	if i < 0 {
		return false
	}
	status := &v.Servers[i].Status
	return status.Term == applied.Term && status.Log.Term == applied.Term && status.Applied.Compare(applied) < 0
}

// ObserveWrite returns the view after the primary of the position's term
// reported a write at the position. The report counts as the primary's receipt.
func (v View) ObserveWrite(p fleet.Position) View {
	if v.Primary == "" || v.Term != p.Term {
		return v
	}
	return v.updateServer(v.Primary, func(s *ServerView) {
		s.Receipts = addReceipt(s.Receipts, Receipt{History: v.History, Position: p})
	})
}

// PrimaryAt returns the server to send writes to and its term. It reports false
// if no primary is known, if it is unreachable, or if its last status is older
// than maxAge.
func (v View) PrimaryAt(now time.Time, maxAge time.Duration) (fleet.ServerID, fleet.Term, bool) {
	primary, found := v.Server(v.Primary)
	if !found || !primary.Reachable() || !primary.RespondedSince(now.Add(-maxAge)) {
		return "", 0, false
	}
	return v.Primary, v.Term, true
}

// HighestPromisedTerm returns the highest term that is known to be in use or
// promised by any server.
func (v View) HighestPromisedTerm() fleet.Term {
	term := v.Term
	for _, server := range v.Servers {
		term = max(term, server.Status.PromisedTerm, server.Status.Term)
	}
	return term
}

// Server returns what is known about one server.
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

// updateServer applies a change to a copy of one server's entry and updates the
// fields of the view that derive from the servers.
func (v View) updateServer(id fleet.ServerID, apply func(*ServerView)) View {
	i := v.index(id)
	if i < 0 {
		return v
	}
	v.Servers = slices.Clone(v.Servers)
	apply(&v.Servers[i])
	v.updateEstablishedHistory()
	v.updatePrimary()
	v.updateConfirmedPositions()
	return v
}

// updatePrimary derives the primary, its term and its history. No primary is
// known once a majority of servers promised a later term.
func (v *View) updatePrimary() {
	v.Primary = ""
	for _, server := range v.Servers {
		status := server.Status
		if status.Role != RolePrimary || status.PromisedTerm > status.Term || status.Term < v.Term {
			continue
		}
		v.Primary, v.Term, v.History = server.Server, status.Term, status.History
	}
	promisedLater := 0
	for _, server := range v.Servers {
		if server.Status.PromisedTerm > v.Term {
			promisedLater++
		}
	}
	if promisedLater >= v.Majority() {
		v.Primary = ""
	}
	v.Established = v.Term > 0 && v.EstablishedHistory.LastTerm() == v.Term
}

// updateConfirmedPositions adds the end of the primary's log as a confirmed
// position if the primary and enough other servers to form a majority have
// promised the primary's term and none later. The round starts with the earliest
// request among the latest responses that form the majority.
func (v *View) updateConfirmedPositions() {
	primary, found := v.Server(v.Primary)
	if !found {
		return
	}
	var requestTimes []time.Time
	for _, server := range v.Servers {
		if server.Server != v.Primary && !server.RespondedAt.IsZero() && server.Status.PromisedTerm == v.Term {
			requestTimes = append(requestTimes, server.RequestedAt)
		}
	}
	othersNeeded := v.Majority() - 1
	if len(requestTimes) < othersNeeded {
		return
	}
	roundStart := primary.RequestedAt
	if othersNeeded > 0 {
		slices.SortFunc(requestTimes, func(a, b time.Time) int { return b.Compare(a) })
		if requestTimes[othersNeeded-1].Before(roundStart) {
			roundStart = requestTimes[othersNeeded-1]
		}
	}
	v.ConfirmedPositions = addConfirmedPosition(v.ConfirmedPositions, ConfirmedPosition{RoundStart: roundStart, Position: primary.Status.Log})
}

// updateEstablishedHistory derives the history of the newest established term.
func (v *View) updateEstablishedHistory() {
	for _, server := range v.Servers {
		for _, receipt := range server.Receipts {
			term := receipt.Position.Term
			if term > v.EstablishedHistory.LastTerm() && isTermEstablished(*v, term) {
				v.EstablishedHistory = receipt.History
			}
		}
	}
	if term := v.EstablishedHistory.LastTerm(); term > v.Term {
		v.Term, v.History = term, v.EstablishedHistory
	}
}

// addReceipt returns the receipts with one added. Of each term only the receipt
// with the highest position is kept, and only the newest maxReceipts terms.
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
	return receipts[max(0, len(receipts)-maxReceipts):]
}

// addConfirmedPosition returns the positions with one added. If its round started
// less than minConfirmedSpacing after that of the last but one, it replaces the
// last one.
func addConfirmedPosition(positions []ConfirmedPosition, add ConfirmedPosition) []ConfirmedPosition {
	n := len(positions)
	if n > 0 && !add.RoundStart.After(positions[n-1].RoundStart) {
		return positions
	}
	if n > 1 && add.RoundStart.Sub(positions[n-2].RoundStart) < minConfirmedSpacing {
		n--
	}
	first := max(0, n+1-maxConfirmedPositions)
	return append(slices.Clone(positions[first:n]), add)
}

// receiptOf returns the receipt that follows from a status, or none. A server
// that promised a later term than that of its log may have received the entries
// from a later primary whose log can still be replaced by another one, so its
// status is no receipt.
func receiptOf(status ServerStatus) Receipt {
	if status.Log.Term == 0 || status.PromisedTerm > status.Log.Term || status.History.LastTerm() != status.Log.Term {
		return Receipt{}
	}
	return Receipt{History: status.History, Position: status.Log}
}
