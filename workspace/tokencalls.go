package workspace

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// takeRequest returns the request for the tokens that a workspace needs: for those that
// wait, and for expected requests.
func (a *Admitter) takeRequest(now time.Time, account *account, open []waiter, location PoolLocation) TakeRequest {
	take := TakeRequest{Want: float64(len(open)), Workspace: account.workspace}
	for _, w := range open {
		take.MaxWait = max(take.MaxWait, w.until.Sub(now))
	}
	if demand := account.demand.Rate(now); demand >= minPrefetchDemand {
		batch := min(tokenBatchDuration, location.Lifetime/2)
		take.Extra = math.Max(0, math.Ceil(demand*batch.Seconds())-take.Want)
	}
	return take
}

// canAskOther reports whether there is another pool that can be asked. If there is, a pool
// is not asked for tokens of the future, because the other may have some now.
func (a *Admitter) canAskOther(now time.Time, account *account, location PoolLocation, owner fleet.InstanceID) bool {
	return slices.ContainsFunc(location.Owners, func(other fleet.InstanceID) bool {
		return other != owner && !account.isBlocked(now, other) && account.calls[other] == nil && !a.peer(other).isSuspect(now)
	})
}

// ask requests tokens for waiting requests from an owner. A call that is overdue, or an
// owner that failed before, is hedged by asking the other owner at the same time. It
// reports whether a call is under way.
func (a *Admitter) ask(now time.Time, account *account, open []waiter, step *Step) bool {
	location := a.limiter.PoolLocation(now, account.workspace)
	underWay := false
	var healthy, suspect []fleet.InstanceID
	for i := range location.Owners {
		owner := location.Owners[(i+account.rotation)%len(location.Owners)]
		peer := a.peer(owner)
		if call := account.calls[owner]; call != nil {
			overdue := now.Sub(call.sentAt) >= hedgeDelay
			if !overdue && !peer.failed {
				return true
			}
			// Nothing waits long for an owner that has failed before.
			underWay = underWay || !overdue || !peer.failed
			continue
		}
		switch {
		case owner == a.self || account.isBlocked(now, owner) || now.Before(peer.silentUntil):
		case peer.isSuspect(now):
			suspect = append(suspect, owner)
		default:
			healthy = append(healthy, owner)
		}
	}
	if len(healthy) > 0 {
		suspect = slices.DeleteFunc(suspect, func(owner fleet.InstanceID) bool { return !a.peer(owner).failed })
		healthy = healthy[:1]
	}
	account.rotation++
	for _, owner := range append(healthy, suspect...) {
		take := a.takeRequest(now, account, open, location)
		if a.canAskOther(now, account, location, owner) {
			take.MaxWait = 0
		}
		if peer := a.peer(owner); peer.failed {
			peer.silentUntil = now.Add(failedOwnerBackoff)
		}
		a.call(now, owner, account, take, step)
		underWay = true
	}
	return underWay
}

// prefetch requests tokens in advance if few are left for the demand.
func (a *Admitter) prefetch(now time.Time, account *account, step *Step) {
	location := a.limiter.PoolLocation(now, account.workspace)
	if !a.needsPrefetch(now, account, prefetchLead) {
		return
	}
	for i := range location.Owners {
		owner := location.Owners[(i+account.rotation)%len(location.Owners)]
		if owner == a.self {
			return
		}
		if account.isBlocked(now, owner) || a.peer(owner).isSuspect(now) {
			continue
		}
		account.rotation++
		a.call(now, owner, account, a.takeRequest(now, account, nil, location), step)
		return
	}
}

// needsPrefetch reports whether the held tokens do not last for the lead and none are
// under way.
func (a *Admitter) needsPrefetch(now time.Time, account *account, lead time.Duration) bool {
	demand := account.demand.Rate(now)
	return demand >= minPrefetchDemand && len(account.calls) == 0 && !now.Before(account.prefetchAfter) &&
		account.held(now) < demand*lead.Seconds()
}

// call adds a call to the step. Tokens that other workspaces need from the same owner
// are requested in the same call.
func (a *Admitter) call(now time.Time, owner fleet.InstanceID, account *account, take TakeRequest, step *Step) {
	a.lastCall++
	call := &tokenCall{id: a.lastCall, owner: owner, sentAt: now, takes: []TakeRequest{take}}
	account.calls[owner] = call
	for _, id := range slices.Sorted(maps.Keys(a.prefetching)) {
		other := a.prefetching[id]
		if other == account || len(other.waiters) > 0 || !a.needsPrefetch(now, other, 2*prefetchLead) {
			if other.demand.Rate(now) < minPrefetchDemand {
				delete(a.prefetching, id)
			}
			continue
		}
		location := a.limiter.PoolLocation(now, id)
		if len(call.takes) < maxTakesPerCall && slices.Contains(location.Owners, owner) && !slices.Contains(location.Owners, a.self) && !other.isBlocked(now, owner) {
			call.takes = append(call.takes, a.takeRequest(now, other, nil, location))
			other.calls[owner] = call
		}
	}
	a.calls[call.id] = call
	peer := a.peer(owner)
	peer.calls = append(peer.calls, call)
	step.Calls = append(step.Calls, TokenCall{ID: call.id, Owner: owner, Takes: call.takes})
}
