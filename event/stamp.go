package event

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Stamp is a timestamp of a hybrid logical clock. It stays close to wall-clock time,
// and is always greater than all stamps that were observed before it was taken.
type Stamp struct {
	// Count distinguishes stamps with the same wall time.
	Count uint32
	// Wall is the largest wall time seen, in nanoseconds since the Unix epoch.
	Wall int64
}

// Compare returns -1, 0 or 1 if the stamp is before, equal to or after the other.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, other.Wall), cmp.Compare(s.Count, other.Count))
}

// MarshalText returns the text form of the stamp.
func (s Stamp) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// String returns the text form "wall.count", which is sent between instances.
func (s Stamp) String() string {
	return strconv.FormatInt(s.Wall, 10) + "." + strconv.FormatUint(uint64(s.Count), 10)
}

// UnmarshalText parses the text form of a stamp.
func (s *Stamp) UnmarshalText(text []byte) error {
	parsed, err := ParseStamp(string(text))
	if err != nil {
		return err
	}
	*s = parsed
	return nil
}

// ParseStamp parses the text form "wall.count" of a stamp.
func ParseStamp(text string) (Stamp, error) {
	wallText, countText, found := strings.Cut(text, ".")
	if !found {
		return Stamp{}, &Error{Op: "parse stamp", Kind: KindMalformed, Err: fmt.Errorf("stamp %q: want the form wall.count", text)}
	}
	wall, err := strconv.ParseInt(wallText, 10, 64)
	if err != nil {
		return Stamp{}, &Error{Op: "parse stamp", Kind: KindMalformed, Err: fmt.Errorf("stamp %q: parse wall time: %w", text, err)}
	}
	count, err := strconv.ParseUint(countText, 10, 32)
	if err != nil {
		return Stamp{}, &Error{Op: "parse stamp", Kind: KindMalformed, Err: fmt.Errorf("stamp %q: parse count: %w", text, err)}
	}
	return Stamp{Count: uint32(count), Wall: wall}, nil
}

// next returns the smallest stamp that is greater than both s and observed and whose
// wall time is at least now. When the count overflows, the wall time advances by one
// nanosecond.
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
