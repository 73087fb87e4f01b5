// Package workspace implements the admission of requests by workspace: rate limits that
// are divided among the instances, and the fair queue of an instance.
package workspace

import (
	"math"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Limit is the rate limit of one workspace over all instances.
type Limit struct {
	// Burst is the capacity of the token bucket, in requests.
	Burst float64
	// Rate is in requests per second.
	Rate      float64
	Workspace fleet.WorkspaceID
}

// Share is the part of a workspace's limit that one instance holds, as a token bucket.
// The level never exceeds the capacity.
type Share struct {
	// Capacity is the maximum level, in requests.
	Capacity float64
	// Level is the number of requests that can be admitted immediately.
	Level float64
	// Rate is the refill rate in requests per second.
	Rate float64
}

// FullShare returns the whole limit as a share with a full bucket.
func FullShare(limit Limit) Share {
	return Share{Capacity: limit.Burst, Level: limit.Burst, Rate: limit.Rate}
}

// Merge returns the sum of two shares.
func Merge(a, b Share) Share {
	return Share{Capacity: a.Capacity + b.Capacity, Level: a.Level + b.Level, Rate: a.Rate + b.Rate}.clamped()
}

// Minimum returns the smaller value of two shares for each field.
func Minimum(a, b Share) Share {
	return Share{
		Capacity: math.Min(a.Capacity, b.Capacity),
		Level:    math.Min(a.Level, b.Level),
		Rate:     math.Min(a.Rate, b.Rate),
	}.clamped()
}

// Scale converts a share of the limit from into the same fraction of the limit to. It
// doesn't raise the level, because a raised limit must not grant a second burst.
func (s Share) Scale(from, to Limit) Share {
	return Share{
		Capacity: s.Capacity * ratio(to.Burst, from.Burst),
		Level:    s.Level,
		Rate:     s.Rate * ratio(to.Rate, from.Rate),
	}.clamped()
}

// Split divides the share into a fraction, which is clamped to the range from zero to
// one, and the rest.
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

// clamped returns the share with negative and non-finite values set to zero and the
// level limited to the capacity.
func (s Share) clamped() Share {
	s.Capacity = clampPositive(s.Capacity)
	s.Level = math.Min(clampPositive(s.Level), s.Capacity)
	s.Rate = clampPositive(s.Rate)
	return s
}

// clampPositive returns the value, or zero if it is negative or not finite.
func clampPositive(value float64) float64 {
	if value > 0 && !math.IsInf(value, 1) {
		return value
	}
	return 0
}

// ratio returns to divided by from, or zero if from isn't positive.
func ratio(to, from float64) float64 {
	if from <= 0 {
		return 0
	}
	return to / from
}
