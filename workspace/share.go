// Package workspace decides the admission of requests: shares of the rate
// limits of workspaces, and the fair queue of an instance.
package workspace

import (
	"math"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Limit is the rate limit of one workspace, counted over all instances.
type Limit struct {
	// Burst in requests.
	Burst float64
	// Rate in requests a second.
	Rate      float64
	Workspace fleet.WorkspaceID
}

// Share is the part of a workspace's limit that one instance holds. The level
// never exceeds the capacity.
type Share struct {
	// Capacity in requests.
	Capacity float64
	// Level in requests that can be admitted at once.
	Level float64
	// Rate in requests a second.
	Rate float64
}

// FullShare returns the whole limit as one share with a full bucket.
func FullShare(limit Limit) Share {
	return Share{Capacity: limit.Burst, Level: limit.Burst, Rate: limit.Rate}
}

// Merge returns the sum of two shares.
func Merge(a, b Share) Share {
	return Share{Capacity: a.Capacity + b.Capacity, Level: a.Level + b.Level, Rate: a.Rate + b.Rate}.clamped()
}

// Minimum returns the smaller of two shares in each part.
func Minimum(a, b Share) Share {
	return Share{
		Capacity: math.Min(a.Capacity, b.Capacity),
		Level:    math.Min(a.Level, b.Level),
		Rate:     math.Min(a.Rate, b.Rate),
	}.clamped()
}

// Scale returns the same fraction of another limit. It adds nothing to the
// level, because a raised limit must not grant a second burst.
func (s Share) Scale(from, to Limit) Share {
	return Share{
		Capacity: s.Capacity * ratio(to.Burst, from.Burst),
		Level:    s.Level,
		Rate:     s.Rate * ratio(to.Rate, from.Rate),
	}.clamped()
}

// Split divides the share. The first part holds the fraction, which is cut to
// the range from zero to one; the second part holds the rest.
func (s Share) Split(fraction float64) (given, kept Share) {
	if !(fraction > 0) {
		return Share{}, s
	}
	fraction = math.Min(fraction, 1)
	given = Share{Capacity: s.Capacity * fraction, Level: s.Level * fraction, Rate: s.Rate * fraction}.clamped()
	if fraction == 1 {
		return given, Share{}
	}
	kept = Share{Capacity: s.Capacity - given.Capacity, Level: s.Level - given.Level, Rate: s.Rate - given.Rate}
	return given, kept.clamped()
}

// clamped removes negative parts, values that are not finite numbers, and
// levels above the capacity.
func (s Share) clamped() Share {
	s.Capacity = positive(s.Capacity)
	s.Level = math.Min(positive(s.Level), s.Capacity)
	s.Rate = positive(s.Rate)
	return s
}

func positive(value float64) float64 {
	if value > 0 && !math.IsInf(value, 1) {
		return value
	}
	return 0
}

func ratio(to, from float64) float64 {
	if from <= 0 {
		return 0
	}
	return to / from
}
