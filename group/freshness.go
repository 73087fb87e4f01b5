package group

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// ReadRequirement says what a read must see.
type ReadRequirement struct {
	// MaxAge is the largest age of the data; zero means no bound.
	MaxAge time.Duration
	// Seen is the newest position that the session has read.
	Seen fleet.Position
	// Written is the newest position that the session has written.
	Written fleet.Position
}

// IsFresh reports whether reads on a server are known to see all the positions.
// The server's applied log must be part of the group's history, so that a
// server that was cut off does not serve entries that are lost.
func IsFresh(view View, server fleet.ServerID, positions ...fleet.Position) bool {
	i := view.index(server)
	return i >= 0 && fresh(&view, &view.Servers[i], positions...)
}

func fresh(view *View, server *ServerView, positions ...fleet.Position) bool {
	if server.RespondedAt.IsZero() {
		return false
	}
	for _, position := range positions {
		if !covers(view, server, position) {
			return false
		}
	}
	return server.Server == view.Primary || view.History.Contains(server.Status.Applied)
}

// IsLost reports whether a position is certainly not part of the group's
// history. A session that wrote it can never be served.
func IsLost(view View, p fleet.Position) bool {
	return view.EstablishedHistory.LastTerm() > p.Term && !view.EstablishedHistory.Contains(p)
}

// TruncateToForkPoint returns a position that a session has read, cut back to the fork
// point if what lies beyond was lost.
func TruncateToForkPoint(view View, seen fleet.Position) fleet.Position {
	if !IsLost(view, seen) {
		return seen
	}
	var last fleet.Position
	for i, start := range view.EstablishedHistory {
		if start.Term > seen.Term || i+1 == len(view.EstablishedHistory) {
			break
		}
		last = fleet.Position{Log: view.EstablishedHistory[i+1].First - 1, Term: start.Term}
	}
	return last
}

// covers reports whether a server is known to have applied a position of the
// group's history. The primary has applied all of its own term.
func covers(view *View, server *ServerView, p fleet.Position) bool {
	if !view.History.Contains(p) || p.Term > view.Term {
		return false
	}
	if server.Server == view.Primary {
		return true
	}
	return view.History.Contains(server.Status.Applied) && server.Status.Applied.Compare(p) >= 0
}

// coversAge reports whether a server is known to have applied a sample that
// began at or after since.
func coversAge(view *View, server *ServerView, since time.Time) bool {
	for i := range view.ConfirmedPositions {
		sample := view.ConfirmedPositions[len(view.ConfirmedPositions)-1-i]
		if sample.RoundStart.Before(since) {
			return false
		}
		if covers(view, server, sample.Position) {
			return true
		}
	}
	return false
}

// coversSample reports whether a log end covers a sample that began at or after since.
func coversSample(view View, end fleet.Position, since time.Time) bool {
	if !view.History.Contains(end) {
		return false
	}
	for _, sample := range view.ConfirmedPositions {
		if !sample.RoundStart.Before(since) && view.History.Contains(sample.Position) && end.Compare(sample.Position) >= 0 {
			return true
		}
	}
	return false
}
