package group

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// ReadRequirement defines how fresh the data of a read must be.
type ReadRequirement struct {
	// MaxAge is the maximum age of the data; zero means no limit.
	MaxAge time.Duration
	// Seen is the newest position that the session has read.
	Seen fleet.Position
	// Written is the newest position that the session has written.
	Written fleet.Position
}

// IsFresh reports whether a server is known to have applied all the positions.
// The log applied on the server must be part of the group's history, so that a
// server that was cut off does not serve entries that were lost.
func IsFresh(view View, server fleet.ServerID, positions ...fleet.Position) bool {
	i := view.index(server)
	return i >= 0 && isFresh(&view, &view.Servers[i], positions...)
}

func isFresh(view *View, server *ServerView, positions ...fleet.Position) bool {
	if server.RespondedAt.IsZero() {
		return false
	}
	for _, position := range positions {
		if !hasApplied(view, server, position) {
			return false
		}
	}
	return server.Server == view.Primary || view.History.Contains(server.Status.Applied)
}

// IsLost reports whether a position is certain not to be part of the group's
// history. No server can ever satisfy a read that requires such a write.
func IsLost(view View, p fleet.Position) bool {
	return view.EstablishedHistory.LastTerm() > p.Term && !view.EstablishedHistory.Contains(p)
}

// TruncateToForkPoint returns a position that a session has read or, if the
// position was lost, the last position of the group's history up to its term.
func TruncateToForkPoint(view View, seen fleet.Position) fleet.Position {
	if !IsLost(view, seen) {
		return seen
	}
	var truncated fleet.Position
	for i, start := range view.EstablishedHistory {
		if start.Term > seen.Term || i+1 == len(view.EstablishedHistory) {
			break
		}
		truncated = fleet.Position{Log: view.EstablishedHistory[i+1].First - 1, Term: start.Term}
	}
	return truncated
}

// hasApplied reports whether a position is part of the group's history and the
// server is known to have applied it. The primary counts as having applied all
// entries of its history.
func hasApplied(view *View, server *ServerView, p fleet.Position) bool {
	if !view.History.Contains(p) || p.Term > view.Term {
		return false
	}
	if server.Server == view.Primary {
		return true
	}
	return view.History.Contains(server.Status.Applied) && server.Status.Applied.Compare(p) >= 0
}

// hasAppliedSince reports whether a server is known to have applied a confirmed
// position whose round started at or after since.
func hasAppliedSince(view *View, server *ServerView, since time.Time) bool {
	for i := range view.ConfirmedPositions {
		confirmed := view.ConfirmedPositions[len(view.ConfirmedPositions)-1-i]
		if confirmed.RoundStart.Before(since) {
			return false
		}
		if hasApplied(view, server, confirmed.Position) {
			return true
		}
	}
	return false
}

// coversConfirmedSince reports whether a log that ends at logEnd contains a
// confirmed position whose round started at or after since.
func coversConfirmedSince(view View, logEnd fleet.Position, since time.Time) bool {
	if !view.History.Contains(logEnd) {
		return false
	}
	for _, confirmed := range view.ConfirmedPositions {
		if !confirmed.RoundStart.Before(since) && view.History.Contains(confirmed.Position) && logEnd.Compare(confirmed.Position) >= 0 {
			return true
		}
	}
	return false
}
