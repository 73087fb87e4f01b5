package primacy

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// minSampleInterval limits the number of samples: a new sample replaces the
	// newest one if it is less than this after the one before that. It is small
	// compared with the maximum ages of routes.
	minSampleInterval = 50 * time.Millisecond
	// sampleRetention is how long samples are kept: the largest maximum age of
	// a route in use, 2.5 s, plus a margin.
	sampleRetention = 4 * time.Second
)

// sample is the log position of the primary at a time.
type sample struct {
	position fleet.Position
	time     time.Time
}

// PositionSamples holds recent positions of a group's log, each observed at its
// primary. A replica whose log contains a sample's position has all commits
// that were acknowledged before the sample's time. It isn't safe for concurrent
// use.
type PositionSamples struct {
	samples []sample
}

// Add records that the primary's log ended at a position, at a time when the
// server was the only primary. A sample of an earlier term or time than the
// newest one is ignored.
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
	if n >= 2 && at.Sub(s.samples[n-2].time) < minSampleInterval {
		s.samples[n-1] = sample{position: position, time: at}
		return
	}
	s.samples = append(s.samples, sample{position: position, time: at})
	expired := 0
	for expired < len(s.samples)-1 && at.Sub(s.samples[expired].time) > sampleRetention {
		expired++
	}
	s.samples = append(s.samples[:0], s.samples[expired:]...)
}

// FirstSince returns the first position that was observed at or after a time,
// which is the one that the most replicas have reached.
func (s *PositionSamples) FirstSince(notBefore time.Time) (fleet.Position, bool) {
	for _, candidate := range s.samples {
		if !candidate.time.Before(notBefore) {
			return candidate.position, true
		}
	}
	return fleet.Position{}, false
}

// RequiredPosition returns the position that a replica's log must contain to
// serve a read of a session. It covers the first position observed at or after
// a time, and the session's own last commit. It reports false if no position
// was observed since that time.
//
// The own commit is used if it is of the same term as the observed position or
// of a later one. A new primary reports a position of the previous term until
// its first commit, so the observed position may be behind the own commit in
// both term and log position. An own commit of an earlier term is contained in
// the log of each later term, or was rolled back.
func (s *PositionSamples) RequiredPosition(notBefore time.Time, ownCommit fleet.Position) (fleet.Position, bool) {
	oldest, found := s.FirstSince(notBefore)
	if !found {
		return fleet.Position{}, false
	}
	if ownCommit.Compare(oldest) > 0 {
		return ownCommit, true
	}
	return oldest, true
}
