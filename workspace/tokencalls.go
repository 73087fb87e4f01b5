package workspace

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// takeRequests returns the requests to an owner for the tokens that a workspace needs: for
// the waiting requests of each class for which the pool was not just empty, and, with the
// first, for expected requests. A pool is not asked for tokens of the future while the
// other can be asked as well, because that may have some now.
func (a *Admitter) takeRequests(now time.Time, account *account, open []waiter, location PoolLocation, owner fleet.InstanceID) []TakeRequest {
	var takes []TakeRequest
	for _, w := range open {
		if account.isBlocked(now, owner, w.class) {
			continue
		}
		if len(takes) == 0 || takes[len(takes)-1].Class != w.class {
			takes = append(takes, TakeRequest{Class: w.class, Workspace: account.workspace})
		}
		take := &takes[len(takes)-1]
		take.Want++
		if !a.canAskOther(now, account, location, owner, w.class) {
			take.MaxWait = max(take.MaxWait, w.until.Sub(now))
		}
	}
	if len(takes) > 0 {
		takes[0].Extra = math.Max(0, a.batch(now, account, location)-float64(len(open)))
	}
	return takes
}

// batch returns the number of tokens for the expected requests.
func (a *Admitter) batch(now time.Time, account *account, location PoolLocation) float64 {
	demand := account.demand.Rate(now)
	if demand < minPrefetchDemand {
		return 0
	}
	return math.Ceil(demand * min(tokenBatchDuration, location.Lifetime/2).Seconds())
}

// canAskOther reports whether there is another pool that can be asked for requests of a
// class. This instance is asked first anyway, because that costs no message.
func (a *Admitter) canAskOther(now time.Time, account *account, location PoolLocation, owner fleet.InstanceID, class Class) bool {
	return slices.ContainsFunc(location.Owners, func(other fleet.InstanceID) bool {
		return other != owner && other != a.self && !account.isBlocked(now, other, class) && account.calls[other] == nil && !a.peer(other).isSuspect(now)
	})
}

// isHopeless reports whether a call is overdue to an owner that has failed before. Nothing
// waits for it.
func (a *Admitter) isHopeless(now time.Time, call *tokenCall) bool {
	return a.peer(call.owner).failed && now.Sub(call.sentAt) >= hedgeDelay
}

// mayGetToken reports whether a call is under way that may bring a token for a waiting
// request.
func (a *Admitter) mayGetToken(now time.Time, account *account, w waiter) bool {
	for owner, call := range account.calls {
		covers := slices.ContainsFunc(call.takes, func(t TakeRequest) bool { return t.Workspace == account.workspace && t.Class >= w.class })
		if !a.isHopeless(now, call) && (covers || !account.isBlocked(now, owner, w.class)) {
			return true
		}
	}
	return false
}

// ask requests tokens for waiting requests from an owner. A call that is overdue, or an
// owner that failed before, is hedged by asking the other owner at the same time.
func (a *Admitter) ask(now time.Time, account *account, open []waiter, step *Step) {
	location := a.limiter.PoolLocation(now, account.workspace)
	var healthy, suspect []fleet.InstanceID
	for _, owner := range location.askOrder(account.rotation) {
		peer := a.peer(owner)
		if call := account.calls[owner]; call != nil {
			if now.Sub(call.sentAt) < hedgeDelay && !peer.failed {
				return
			}
			continue
		}
		switch {
		case owner == a.self || account.isBlocked(now, owner, open[0].class) || now.Before(peer.silentUntil):
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
	account.forgetMissed(now)
	for _, owner := range append(healthy, suspect...) {
		takes := a.takeRequests(now, account, open, location, owner)
		for i := range takes {
			takes[i].Missed, account.missed[takes[i].Class] = account.missed[takes[i].Class], 0
		}
		if peer := a.peer(owner); peer.failed {
			peer.silentUntil = now.Add(failedOwnerBackoff)
		}
		a.call(now, owner, account, takes, step)
	}
}

// prefetch requests tokens in advance if few are left for the demand.
func (a *Admitter) prefetch(now time.Time, account *account, step *Step) {
	location := a.limiter.PoolLocation(now, account.workspace)
	if !a.needsPrefetch(now, account, prefetchLead) {
		return
	}
	for _, owner := range location.askOrder(account.rotation) {
		if owner == a.self {
			return
		}
		if account.isBlocked(now, owner, classCount-1) || a.peer(owner).isSuspect(now) {
			continue
		}
		account.rotation++
		a.call(now, owner, account, []TakeRequest{a.prefetchRequest(now, account, location)}, step)
		return
	}
}

// prefetchRequest returns the request for tokens for expected requests only.
func (a *Admitter) prefetchRequest(now time.Time, account *account, location PoolLocation) TakeRequest {
	return TakeRequest{Class: classCount - 1, Extra: a.batch(now, account, location), Workspace: account.workspace}
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
func (a *Admitter) call(now time.Time, owner fleet.InstanceID, account *account, takes []TakeRequest, step *Step) {
	a.lastCall++
	call := &tokenCall{id: a.lastCall, owner: owner, sentAt: now, takes: takes}
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
		if len(call.takes) < maxTakesPerCall && slices.Contains(location.Owners, owner) && !slices.Contains(location.Owners, a.self) && !other.isBlocked(now, owner, classCount-1) {
			call.takes = append(call.takes, a.prefetchRequest(now, other, location))
			other.calls[owner] = call
		}
	}
	a.calls[call.id] = call
	peer := a.peer(owner)
	peer.calls = append(peer.calls, call)
	step.Calls = append(step.Calls, TokenCall{ID: call.id, Owner: owner, Takes: call.takes})
}
