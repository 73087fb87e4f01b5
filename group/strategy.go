package group

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// distanceStep is the difference of round trips that counts as distance.
	// Smaller ones are noise inside a region, and following them would send
	// the requests of all instances to the same replica.
	distanceStep = 5 * time.Millisecond
	// usualServers is the group size up to which a choice allocates its result only.
	usualServers = 8
)

// Strategy orders the replicas that are fresh enough for a read.
type Strategy string

// Strategies of replica choice.
const (
	// FreshnessDistance prefers few outstanding requests, then distance, then
	// chance.
	FreshnessDistance Strategy = "FreshnessDistance"
	// LeastOutstanding prefers few outstanding requests, then chance.
	LeastOutstanding Strategy = "LeastOutstanding"
	// Random leaves the order to chance.
	Random Strategy = "Random"
	// SampledTwo compares the outstanding requests of two random replicas.
	SampledTwo Strategy = "SampledTwo"
)

// Load is the number of requests that this instance has running on a server.
type Load struct {
	Outstanding int
	Server      fleet.ServerID
}

// ReplicaSelection says how to order the candidates of a read.
type ReplicaSelection struct {
	Loads     []Load
	Placement Placement
	// Random must be set, except for FreshnessDistance, which without it orders
	// equal replicas by id. Instances then all choose the same replica.
	Random   *rand.Rand
	Strategy Strategy
}

// outstanding returns the number of requests running on a server.
func (c ReplicaSelection) outstanding(server fleet.ServerID) int {
	for _, load := range c.Loads {
		if load.Server == server {
			return load.Outstanding
		}
	}
	return 0
}

// ReadCandidates returns the servers that may serve a read at the time now, in
// the order in which to try them. Servers that do not answer and replicas that
// are not targets by placement are excluded. The primary comes last if it qualifies. The result is empty if
// no server is known to see enough.
func ReadCandidates(now time.Time, view View, need ReadRequirement, choice ReplicaSelection) []fleet.ServerID {
	seen := TruncateToForkPoint(view, need.Seen)
	var buffer [usualServers]*ServerView
	replicas := buffer[:0]
	primary := false
	for i := range view.Servers {
		server := &view.Servers[i]
		if !server.Reachable() {
			continue
		}
		if !fresh(&view, server, need.Written, seen) || !youngEnough(now, &view, server, need) {
			continue
		}
		if server.Server == view.Primary {
			primary = true
		} else if choice.Placement.IsEligible(server.Member) {
			replicas = append(replicas, server)
		}
	}
	choice.sort(replicas)
	ids := make([]fleet.ServerID, 0, len(replicas)+1)
	for _, replica := range replicas {
		ids = append(ids, replica.Server)
	}
	if primary {
		ids = append(ids, view.Primary)
	}
	return ids
}

func youngEnough(now time.Time, view *View, server *ServerView, need ReadRequirement) bool {
	return need.MaxAge <= 0 || coversAge(view, server, now.Add(-need.MaxAge))
}

// sort orders replicas by the strategy.
func (c ReplicaSelection) sort(replicas []*ServerView) {
	if c.Random != nil || c.Strategy != FreshnessDistance {
		c.Random.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	}
	switch c.Strategy {
	case FreshnessDistance:
		slices.SortStableFunc(replicas, func(a, b *ServerView) int {
			return cmp.Or(c.compareLoad(a, b), c.compareDistance(a, b))
		})
	case LeastOutstanding:
		slices.SortStableFunc(replicas, c.compareLoad)
	case SampledTwo:
		slices.SortStableFunc(replicas[:min(2, len(replicas))], c.compareLoad)
	}
}

func (c ReplicaSelection) compareLoad(a, b *ServerView) int {
	return cmp.Compare(c.outstanding(a.Server), c.outstanding(b.Server))
}

// compareDistance prefers the own data centre, then the clearly shorter round trip.
func (c ReplicaSelection) compareDistance(a, b *ServerView) int {
	if local := c.Placement.isLocal(a.Member); local != c.Placement.isLocal(b.Member) {
		if local {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.RoundTrip/distanceStep, b.RoundTrip/distanceStep)
}
