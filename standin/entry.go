package standin

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// loggedStatement is a statement in a log entry, with its bound values.
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

// storedEntry is an entry as stored in the log of one server.
type storedEntry struct {
	*entry
	// storedAt is when the server appended or received the entry.
	storedAt time.Time
}

// termHistory returns the first log position of each term in a log.
func termHistory(log []storedEntry) fleet.History {
	var history fleet.History
	for i, e := range log {
		if e.term != history.LastTerm() {
			history = append(history, fleet.TermStart{First: fleet.LogPosition(i + 1), Term: e.term})
		}
	}
	return history
}

// commonPrefix returns the length of the common prefix of two logs. Entries with
// the same term and position are identical, because a term has only one primary.
func commonPrefix(a, b []storedEntry) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1].term != b[n-1].term {
		n--
	}
	return n
}

// positionAt returns the position of the entry with the given number. Numbers
// start at 1; 0 gives the zero position.
func positionAt(log []storedEntry, number int) fleet.Position {
	if number == 0 {
		return fleet.Position{}
	}
	return fleet.Position{Log: fleet.LogPosition(number), Term: log[number-1].term}
}
