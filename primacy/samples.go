package primacy

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// sampleSpacing is the least time between two kept samples. It is small
	// against the ages that routes accept, and bounds the ring.
	sampleSpacing = 50 * time.Millisecond
	// sampleKeep is how long samples are kept: the largest age of a route in
	// use, 2.5 s, and some more.
	sampleKeep = 4 * time.Second
)

type sample struct {
	position fleet.Position
	time     time.Time
}

// PositionSamples are positions of a group's log, each seen at the primary. A log that
// holds a position holds all commits that were acknowledged before the
// sample's time. It isn't safe for concurrent use.
type PositionSamples struct {
	samples []sample
}

// Add notes that the primary's log ended at a position, at a time when it was
// the only primary. A sample of an earlier term than the newest is dropped.
func (s *PositionSamples) Add(position fleet.Position, at time.Time) {
	n := len(s.samples)
	if n > 0 {
		newest := s.samples[n-1]
		if position.Term < newest.position.Term || at.Before(newest.time) {
			return
		}
		if position.Term > newest.position.Term {
			// Positions of an earlier term may have been rolled back.
			s.samples = s.samples[:0]
		}
	}
	n = len(s.samples)
	if n >= 2 && at.Sub(s.samples[n-2].time) < sampleSpacing {
		s.samples[n-1] = sample{position: position, time: at}
		return
	}
	s.samples = append(s.samples, sample{position: position, time: at})
	expired := 0
	for expired < len(s.samples)-1 && at.Sub(s.samples[expired].time) > sampleKeep {
		expired++
	}
	s.samples = append(s.samples[:0], s.samples[expired:]...)
}

// Oldest returns the first position that was seen at or after a time. It asks
// least of a replica.
func (s *PositionSamples) FirstSince(notBefore time.Time) (fleet.Position, bool) {
	for _, candidate := range s.samples {
		if !candidate.time.Before(notBefore) {
			return candidate.position, true
		}
	}
	return fleet.Position{}, false
}

// Requirement returns what the log must hold that a read of a session runs on:
// the oldest position seen at or after a time, and the session's own last
// commit. It reports false if there is no such position.
//
// The own commit counts if it is in the same term or a later one. A position
// that was seen at a new primary before its first commit is still one of the
// term before, so it may be behind the own commit in both. An own commit of an
// earlier term is in the log of each later one, or was rolled back.
func (s *PositionSamples) RequiredPosition(notBefore time.Time, own fleet.Position) (fleet.Position, bool) {
	oldest, found := s.FirstSince(notBefore)
	if !found {
		return fleet.Position{}, false
	}
	if own.Compare(oldest) > 0 {
		return own, true
	}
	return oldest, true
}
