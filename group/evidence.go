package group

import "github.com/nutmegpier/nutmegpier/fleet"

// CommitDecision says what is known of the outcome of a write.
type CommitDecision string

// Outcomes of a write.
const (
	// Committed means that every later established history contains the write.
	Committed CommitDecision = "Committed"
	// NotRun means that no established history contains the write, now or later.
	NotRun CommitDecision = "NotRun"
	// Pending means that neither is known yet.
	Pending CommitDecision = "Pending"
)

// DecideCommit decides the outcome of a write at a position from what is known
// of the group.
//
// A write is committed when a majority received it in its own term. A copy
// received from the primary of a later term is no evidence before that term is
// established: a log of a term in between can still supersede both. Once a
// later term is established, its fork point decides.
func DecideCommit(view View, p fleet.Position) CommitDecision {
	if p.IsZero() || countReceipts(view, p) >= view.Majority() {
		return Committed
	}
	if view.EstablishedHistory.LastTerm() <= p.Term {
		return Pending
	}
	if view.EstablishedHistory.Contains(p) {
		return Committed
	}
	return NotRun
}

// countReceipts returns the number of servers that received the position in its term.
func countReceipts(view View, p fleet.Position) int {
	n := 0
	for _, server := range view.Servers {
		if server.received(p) {
			n++
		}
	}
	return n
}

// establishedTerm reports whether a majority received entries of the term in
// that term. Its history is then part of every later primary's.
func establishedTerm(view View, term fleet.Term) bool {
	return countReceipts(view, fleet.Position{Term: term}) >= view.Majority()
}
