package event

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Stamp is a time of a hybrid logical clock. It stays near wall time, and a
// stamp taken after observing another one is always later than that one.
type Stamp struct {
	// Count tells stamps of the same wall time apart.
	Count uint32
	// Wall is the largest wall time seen, in nanoseconds since 1970.
	Wall int64
}

// Compare orders stamps.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, other.Wall), cmp.Compare(s.Count, other.Count))
}

// MarshalText returns the text form.
func (s Stamp) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// String returns the text form "wall.count", which travels in peer messages.
func (s Stamp) String() string {
	return strconv.FormatInt(s.Wall, 10) + "." + strconv.FormatUint(uint64(s.Count), 10)
}

// UnmarshalText parses the text form.
func (s *Stamp) UnmarshalText(text []byte) error {
	parsed, err := ParseStamp(string(text))
	if err != nil {
		return err
	}
	*s = parsed
	return nil
}

// ParseStamp parses the text form "wall.count".
func ParseStamp(text string) (Stamp, error) {
	wallText, countText, found := strings.Cut(text, ".")
	if !found {
		return Stamp{}, &Error{Op: "parse stamp", Kind: KindMalformed, Err: fmt.Errorf("stamp %q: want wall.count", text)}
	}
	wall, err := strconv.ParseInt(wallText, 10, 64)
	if err != nil {
		return Stamp{}, &Error{Op: "parse stamp", Kind: KindMalformed, Err: fmt.Errorf("stamp %q: wall: %w", text, err)}
	}
	count, err := strconv.ParseUint(countText, 10, 32)
	if err != nil {
		return Stamp{}, &Error{Op: "parse stamp", Kind: KindMalformed, Err: fmt.Errorf("stamp %q: count: %w", text, err)}
	}
	return Stamp{Count: uint32(count), Wall: wall}, nil
}

// next returns the stamp after both s and observed at a wall time.
func (s Stamp) next(observed Stamp, now time.Time) Stamp {
	latest := s
	if observed.Compare(latest) > 0 {
		latest = observed
	}
	if wall := now.UnixNano(); wall > latest.Wall {
		return Stamp{Wall: wall}
	}
	if latest.Count == ^uint32(0) {
		return Stamp{Wall: latest.Wall + 1}
	}
	return Stamp{Count: latest.Count + 1, Wall: latest.Wall}
}
