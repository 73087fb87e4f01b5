package workspace

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// TakeRequest requests tokens from the owner of a pool of a workspace's limit.
type TakeRequest struct {
	// Class is the urgency of the requests that wait.
	Class Class `json:",omitempty"`
	// Extra is the number of tokens wanted for expected requests. They are granted
	// only from what the pool does not need.
	Extra float64 `json:",omitempty"`
	// MaxWait is how long the requests that wait for tokens can still wait.
	MaxWait time.Duration `json:",omitempty"`
	// Missed is the number of requests of the class that were refused without a call
	// since the last one.
	Missed float64 `json:",omitempty"`
	// Repeated is the number of requests in Want that an earlier TakeRequest to the owner
	// has counted.
	Repeated float64 `json:",omitempty"`
	// Want is the number of tokens for requests that wait.
	Want      float64
	Workspace fleet.WorkspaceID
}

// TakeGrant is the answer to one TakeRequest.
type TakeGrant struct {
	// Delay is the time after which the tokens can be used.
	Delay time.Duration `json:",omitempty"`
	// RetryAfter is set if fewer tokens than wanted were granted.
	RetryAfter time.Duration `json:",omitempty"`
	// Taken is the number of tokens granted.
	Taken float64
	// Unknown is set if the instance may not give tokens: it does not own a pool of
	// the workspace, or can't prove that its share is in force.
	Unknown   bool `json:",omitempty"`
	Workspace fleet.WorkspaceID
}

const (
	// minTokenLifetime is how long the tokens of a large limit can be used, counted
	// from before they were requested. Tokens that are held unused while their pool
	// refills add to the burst of a workspace, by at most the rate times their
	// lifetime. The tolerance of a limit over 5 s is a tenth, which is the tokens of
	// 500 ms, and 20 operations.
	minTokenLifetime = 250 * time.Millisecond
	// maxTokenLifetime bounds the lifetime of the tokens of small limits.
	maxTokenLifetime = time.Second
	// lifetimeTokens is the number of tokens by which the lifetime of a small limit
	// may exceed minTokenLifetime: half of the 20 operations of the tolerance.
	lifetimeTokens = 10
	// maxReservation bounds how far ahead a pool grants tokens that it does not hold
	// yet. When a pool changes hands, the new owner does not know these.
	maxReservation = 200 * time.Millisecond
)

// tokenLifetime returns how long tokens of a limit with a rate can be used.
func tokenLifetime(rate float64) time.Duration {
	if rate <= 0 {
		return minTokenLifetime
	}
	return min(maxTokenLifetime, minTokenLifetime+time.Duration(lifetimeTokens/rate*float64(time.Second)))
}

// Grant takes tokens for an instance from the pools that this instance owns. A pool
// without tokens grants those of the near future, if the requests can wait for them.
func (d *DistributedLimiter) Grant(now time.Time, takes []TakeRequest) []TakeGrant {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshShares(now)
	grants := make([]TakeGrant, len(takes))
	for i, take := range takes {
		demand := d.poolDemand[take.Workspace]
		if demand == nil {
			demand = newPoolDemand(now)
			// That of a workspace without a limit would never be removed.
			if d.divided[take.Workspace] {
				d.poolDemand[take.Workspace] = demand
			}
		}
		grants[i] = d.pools.Reserve(now, take, demand)
	}
	return grants
}
