package fleet

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// LogPosition is the number of an entry in a group's log, counted from one.
// Zero is the position of the empty log.
type LogPosition uint64

// Term numbers the successive primaries of a group. It only increases; zero
// means that there was none.
type Term uint64

// Position is a place in the log of a group. Whether the log up to one position
// contains one of another term can only be told from the group's History.
type Position struct {
	Term Term
	Log  LogPosition
}

// Compare orders positions by term, then by log position. A promotion chooses
// the longest log in this order. It does not tell whether one log contains the
// other.
func (p Position) Compare(other Position) int {
	if c := cmp.Compare(p.Term, other.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Log, other.Log)
}

// IsZero reports whether p is the position of an empty log in no term.
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
