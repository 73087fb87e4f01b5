package fleet

import (
	"fmt"
	"strconv"
	"strings"
)

// TermStart says at which log position a term begins. The log entries of the
// term have positions from First on.
type TermStart struct {
	First LogPosition
	Term  Term
}

// History lists the terms of a log in ascending order. The entries of a term
// end just before the first position of the next one (the fork point).
type History []TermStart

// ParseHistory parses the text form "term:first,term:first". Terms must be
// strictly ascending, and first positions must not decrease.
func ParseHistory(text string) (History, error) {
	if text == "" {
		return nil, nil
	}
	var history History
	for _, part := range strings.Split(text, ",") {
		start, err := parseTermStart(part)
		if err != nil {
			return nil, &Error{Op: "parse history", Kind: KindMalformed, Err: fmt.Errorf("%q: %w", text, err)}
		}
		if n := len(history); n > 0 && (start.Term <= history[n-1].Term || start.First < history[n-1].First) {
			return nil, &Error{Op: "parse history", Kind: KindMalformed, Err: fmt.Errorf("%q: term %d is out of order", text, start.Term)}
		}
		history = append(history, start)
	}
	return history, nil
}

// Contains reports whether an entry at position p is part of this history. A
// position of a term that the history does not list is not. The zero position
// is part of every history.
func (h History) Contains(p Position) bool {
	if p.IsZero() {
		return true
	}
	fork, known := h.ForkPoint(p.Term)
	return known && p.Log <= fork
}

// ForkPoint returns the last log position of a term that the history keeps. For
// the latest term that is the largest possible position. It reports false if
// the history does not list the term.
func (h History) ForkPoint(term Term) (LogPosition, bool) {
	for i, start := range h {
		if start.Term != term {
			continue
		}
		if i+1 < len(h) {
			return h[i+1].First - 1, true
		}
		return ^LogPosition(0), true
	}
	return 0, false
}

// Continue returns the history of a server's log once the server leads a new term, given
// the position at which its log ended before. Later terms than that of the position are
// not part of the log and are left out. The result lists only the new term if the history
// doesn't list the term of the position, or if the position is already of the new term.
func (h History) Continue(term Term, end Position) History {
	if end.Term >= term {
		return History{{First: 1, Term: term}}
	}
	var continued History
	if _, known := h.ForkPoint(end.Term); known {
		for _, start := range h {
			if start.Term <= end.Term {
				continued = append(continued, start)
			}
		}
	}
	return append(continued, TermStart{First: end.Log + 1, Term: term})
}

// LastTerm returns the latest term, or zero for an empty history.
func (h History) LastTerm() Term {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Term
}

// String returns the text form "term:first,term:first".
func (h History) String() string {
	parts := make([]string, 0, len(h))
	for _, start := range h {
		parts = append(parts, strconv.FormatUint(uint64(start.Term), 10)+":"+strconv.FormatUint(uint64(start.First), 10))
	}
	return strings.Join(parts, ",")
}

// parseTermStart parses the text form "term:first".
func parseTermStart(text string) (TermStart, error) {
	termText, firstText, found := strings.Cut(text, ":")
	if !found {
		return TermStart{}, fmt.Errorf("%q: want term:first", text)
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return TermStart{}, fmt.Errorf("%q: term: %w", text, err)
	}
	first, err := strconv.ParseUint(firstText, 10, 64)
	if err != nil {
		return TermStart{}, fmt.Errorf("%q: first position: %w", text, err)
	}
	if first == 0 {
		return TermStart{}, fmt.Errorf("%q: first position must be at least 1", text)
	}
	return TermStart{First: LogPosition(first), Term: Term(term)}, nil
}
