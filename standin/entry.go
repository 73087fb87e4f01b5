package standin

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// loggedStatement is a statement with its bound values.
type loggedStatement struct {
	args []any
	sql  string
}

// entry is one entry of a group's log: a committed write transaction or the
// start of a term.
type entry struct {
	statements []loggedStatement
	term       fleet.Term
}

// logged is an entry in the log of one server.
type logged struct {
	*entry
	// at is the time at which the server appended or received the entry.
	at time.Time
}

// historyOf returns the terms of a log.
func historyOf(log []logged) fleet.History {
	var history fleet.History
	for i, e := range log {
		if e.term != history.LastTerm() {
			history = append(history, fleet.TermStart{First: fleet.LogPosition(i + 1), Term: e.term})
		}
	}
	return history
}

// commonPrefix returns the number of entries that two logs share. Entries
// with the same term and position are the same, because a term has one primary.
func commonPrefix(a, b []logged) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1].term != b[n-1].term {
		n--
	}
	return n
}

// positionAt returns the position of the entry with the given number.
func positionAt(log []logged, number int) fleet.Position {
	if number == 0 {
		return fleet.Position{}
	}
	return fleet.Position{Log: fleet.LogPosition(number), Term: log[number-1].term}
}
