package group

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// roundTripBucket is the width of the buckets in which round-trip times
	// are compared. Smaller differences are noise inside a region, and acting
	// on them would send the requests of all instances to the same replica.
	roundTripBucket = 5 * time.Millisecond
	// commonGroupSize is the group size up to which ReadCandidates allocates
	// nothing but its result.
	commonGroupSize = 8
)

// Strategy is how the replicas that are fresh enough for a read are ordered.
type Strategy string

// Strategies for ordering replicas.
const (
	// FreshnessDistance orders by outstanding requests, then by network
	// distance, then at random.
	FreshnessDistance Strategy = "FreshnessDistance"
	// LeastOutstanding orders by outstanding requests, then at random.
	LeastOutstanding Strategy = "LeastOutstanding"
	// Random orders replicas at random.
	Random Strategy = "Random"
	// SampledTwo takes two random replicas and puts the one with fewer
	// outstanding requests first (power of two choices).
	SampledTwo Strategy = "SampledTwo"
)

// Load is the number of requests from this instance that are running on
// or waiting for a server.
type Load struct {
	Outstanding int
	Server      fleet.ServerID
}

// ReplicaSelection defines how the candidates of a read are ordered.
type ReplicaSelection struct {
	Loads     []Load
	Placement Placement
	// Random must be set, except for FreshnessDistance: without Random it orders
	// equal replicas by id, and all instances then choose the same replica.
	Random   *rand.Rand
	Strategy Strategy
}

// outstanding returns the number of outstanding requests on a server.
func (s ReplicaSelection) outstanding(server fleet.ServerID) int {
	for _, load := range s.Loads {
		if load.Server == server {
			return load.Outstanding
		}
	}
	return 0
}

// ReadCandidates returns the servers that may serve a read at the time now, in
// the order in which to try them. Unreachable servers and replicas that are not
// eligible by placement are excluded. The primary comes last if it qualifies.
// The result is empty if no server is known to be fresh enough.
func ReadCandidates(now time.Time, view View, requirement ReadRequirement, selection ReplicaSelection) []fleet.ServerID {
	seen := TruncateToForkPoint(view, requirement.Seen)
	var buffer [commonGroupSize]*ServerView
	replicas := buffer[:0]
	primary := false
	for i := range view.Servers {
		server := &view.Servers[i]
		if !server.Reachable() {
			continue
		}
		if !isFresh(&view, server, requirement.Written, seen) || !meetsMaxAge(now, &view, server, requirement) {
			continue
		}
		if server.Server == view.Primary {
			primary = true
		} else if selection.Placement.IsEligible(server.Member) {
			replicas = append(replicas, server)
		}
	}
	selection.sort(replicas)
	ids := make([]fleet.ServerID, 0, len(replicas)+1)
	for _, replica := range replicas {
		ids = append(ids, replica.Server)
	}
	if primary {
		ids = append(ids, view.Primary)
	}
	return ids
}

func meetsMaxAge(now time.Time, view *View, server *ServerView, requirement ReadRequirement) bool {
	return requirement.MaxAge <= 0 || hasAppliedSince(view, server, now.Add(-requirement.MaxAge))
}

// sort orders replicas by the strategy.
func (s ReplicaSelection) sort(replicas []*ServerView) {
	if s.Random != nil || s.Strategy != FreshnessDistance {
		s.Random.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	}
	switch s.Strategy {
	case FreshnessDistance:
		slices.SortStableFunc(replicas, func(a, b *ServerView) int {
			return cmp.Or(s.compareLoad(a, b), s.compareDistance(a, b))
		})
	case LeastOutstanding:
		slices.SortStableFunc(replicas, s.compareLoad)
	case SampledTwo:
		slices.SortStableFunc(replicas[:min(2, len(replicas))], s.compareLoad)
	}
}

func (s ReplicaSelection) compareLoad(a, b *ServerView) int {
	return cmp.Compare(s.outstanding(a.Server), s.outstanding(b.Server))
}

// compareDistance orders servers in this instance's data centre first, then by
// round-trip time in buckets of roundTripBucket.
func (s ReplicaSelection) compareDistance(a, b *ServerView) int {
	if aIsLocal := s.Placement.isLocal(a.Member); aIsLocal != s.Placement.isLocal(b.Member) {
		if aIsLocal {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.RoundTrip/roundTripBucket, b.RoundTrip/roundTripBucket)
}
