package fleet

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// LogPosition is the number of a log entry inside a group's log, counted from
// one. Zero is the empty log.
type LogPosition uint64

// Term counts the primaries of a group. It only grows; zero means none.
type Term uint64

// Position is a place in the log of a group. Positions of different terms are
// comparable only with the group's History.
type Position struct {
	Term Term
	Log  LogPosition
}

// Compare orders positions by term, then by log position. This is the order
// of log ends in a promotion; it says nothing about inclusion.
func (p Position) Compare(other Position) int {
	if c := cmp.Compare(p.Term, other.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Log, other.Log)
}

// IsZero reports whether p is the start of the log.
func (p Position) IsZero() bool {
	return p == Position{}
}

// String returns the text form "term/position".
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + "/" + strconv.FormatUint(uint64(p.Log), 10)
}

// ParsePosition parses the text form "term/position".
func ParsePosition(text string) (Position, error) {
	termText, logText, found := strings.Cut(text, "/")
	if !found {
		return Position{}, &Error{Op: "parse position", Kind: KindMalformed, Err: fmt.Errorf("%q: want term/position", text)}
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return Position{}, &Error{Op: "parse position", Kind: KindMalformed, Err: fmt.Errorf("%q: term: %w", text, err)}
	}
	log, err := strconv.ParseUint(logText, 10, 64)
	if err != nil {
		return Position{}, &Error{Op: "parse position", Kind: KindMalformed, Err: fmt.Errorf("%q: log position: %w", text, err)}
	}
	return Position{Term: Term(term), Log: LogPosition(log)}, nil
}
