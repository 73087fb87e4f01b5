package group

import "github.com/nutmegpier/nutmegpier/fleet"

// CommitDecision is what is known about the outcome of a write.
type CommitDecision string

// Outcomes of a write.
const (
	// Committed means that the history of every later established term
	// contains the write.
	Committed CommitDecision = "Committed"
	// NotRun means that the history of no established term contains the write,
	// now or later.
	NotRun CommitDecision = "NotRun"
	// Pending means that the outcome is not known yet.
	Pending CommitDecision = "Pending"
)

// DecideCommit decides the outcome of a write at a position from the view of
// the group.
//
// A write is committed once a majority of servers received it in its own term.
// Copies received from the primary of a later term do not count before that
// term is established, because a log of a term in between can still replace
// them. Once a later term is established, the write is committed if it lies
// before the fork point in that term's history, and lost otherwise.
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

// countReceipts returns the number of servers that received the position in
// its own term.
func countReceipts(view View, p fleet.Position) int {
	n := 0
	for _, server := range view.Servers {
		if server.hasReceipt(p) {
			n++
		}
	}
	return n
}

// isTermEstablished reports whether a majority of servers received entries of
// the term in that term. The history of every later primary then contains the
// history of the term.
func isTermEstablished(view View, term fleet.Term) bool {
	return countReceipts(view, fleet.Position{Term: term}) >= view.Majority()
}
