package workspace

import "time"

const (
	// directFraction is the fraction of a limit that is divided equally among the
	// instances, so that they can admit requests while the owners of the pools are
	// unreachable. The rest is pooled and follows the demand. Limits are about 1.6
	// times the usual demand, so if one of the two owners fails, slightly more than
	// the usual demand is still available.
	directFraction = 0.3
	// minDirectShare is the smallest direct share for which a limit is divided, in
	// requests per second of rate and in requests of burst. Smaller shares would
	// refuse requests that arrive at random intervals, and a bucket of one whole
	// request for each instance would add up to more than the burst.
	minDirectShare = 1
)

// PooledFraction returns the fraction of a limit that isn't divided into direct
// shares but held in pools, from which each instance takes tokens on demand. It is
// one if the direct shares would be smaller than minDirectShare.
func PooledFraction(limit Limit, instances int) float64 {
	directShare := directFraction / float64(instances)
	if limit.Rate*directShare < minDirectShare || limit.Burst*directShare < minDirectShare {
		return 1
	}
	return 1 - directFraction
}

// holders returns the members for which mayHold returns true.
func holders(members []Member, mayHold func(Member) bool) []Member {
	var found []Member
	for _, m := range members {
		if mayHold(m) {
			found = append(found, m)
		}
	}
	return found
}

// timeToNextChange returns the time until the set of holders changes next because of
// the age of a member, or zero if it won't.
func timeToNextChange(members []Member) time.Duration {
	next := time.Duration(0)
	for _, m := range members {
		for _, age := range []time.Duration{joinDelay - clockSkewMargin, joinDelay} {
			if wait := age - m.Age; m.Phase != PhaseHolding && wait > 0 && (next == 0 || wait < next) {
				next = wait
			}
		}
	}
	return next
}
