package workspace

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// tokenLot is a number of tokens that were taken from a pool in one call.
type tokenLot struct {
	count                 float64
	usableFrom, expiresAt time.Time
}

// waiter is a request that waits for a token until a time.
type waiter struct {
	class  Class
	ticket Ticket
	until  time.Time
}

// compare orders waiters by urgency.
func (w waiter) compare(other waiter) int {
	return cmp.Or(cmp.Compare(w.class, other.class), w.until.Compare(other.until), cmp.Compare(w.ticket, other.ticket))
}

// account holds the tokens from pools and the waiting requests of one workspace at one
// instance.
type account struct {
	workspace fleet.WorkspaceID
	// blocks holds the pools that were empty.
	blocks map[fleet.InstanceID]poolBlock
	// calls holds the unanswered calls that request tokens for this workspace.
	calls map[fleet.InstanceID]*tokenCall
	// demand is the recent demand. It follows a change within a second.
	demand *Demand
	// missed counts the requests that were refused without a call since the last one.
	missed [classCount]float64
	// lots are ordered by the time from which they can be used.
	lots []tokenLot
	// prefetchAfter is the time before which no tokens are requested in advance.
	prefetchAfter time.Time
	// rotation alternates between the pools.
	rotation int
	// waiters are ordered by urgency.
	waiters []waiter
	// wakeAt is when the waiters have to be looked at again.
	wakeAt time.Time
}

// poolBlock says that a pool was empty for requests of a class and less urgent ones.
type poolBlock struct {
	class Class
	// retryAt is when the pool expects to have a token.
	retryAt time.Time
	// until is the time before which the pool is not asked.
	until time.Time
	// unknown is true if the instance does not have the pool.
	unknown bool
}

// addLot adds tokens, unless they expire before they can be used.
func (a *account) addLot(lot tokenLot) {
	if !lot.usableFrom.Before(lot.expiresAt) {
		return
	}
	a.lots = append(a.lots, lot)
	slices.SortStableFunc(a.lots, func(x, y tokenLot) int { return x.usableFrom.Compare(y.usableFrom) })
}

// takeToken uses one token that came from a pool. It reports false if there is none.
func (a *account) takeToken(now time.Time) bool {
	a.lots = slices.DeleteFunc(a.lots, func(l tokenLot) bool { return l.count < 1 || !now.Before(l.expiresAt) })
	if len(a.lots) == 0 || now.Before(a.lots[0].usableFrom) {
		return false
	}
	a.lots[0].count--
	return true
}

// held returns the number of tokens that can be used now or later.
func (a *account) held(now time.Time) float64 {
	total := 0.0
	for _, lot := range a.lots {
		if now.Before(lot.expiresAt) {
			total += lot.count
		}
	}
	return total
}

// uncovered returns the waiters for which no token is held that becomes usable before
// they have to be refused, and when the next held token becomes usable.
func (a *account) uncovered(now time.Time) (waiters []waiter, nextToken time.Time) {
	lot, left := -1, 0.0
	for _, w := range a.waiters {
		for left < 1 && lot+1 < len(a.lots) {
			lot++
			left = a.lots[lot].count
		}
		if left < 1 || !a.lots[lot].usableFrom.Before(w.until) {
			waiters = append(waiters, w)
			continue
		}
		left--
		if nextToken.IsZero() {
			nextToken = a.lots[lot].usableFrom
		}
	}
	return waiters, nextToken
}

// isBlocked reports whether a pool was empty a moment ago for requests of a class.
func (a *account) isBlocked(now time.Time, owner fleet.InstanceID, class Class) bool {
	block := a.blocks[owner]
	return now.Before(block.until) && block.class <= class
}

// block records that a pool was empty for requests of a class, and is not to be asked again
// for a time.
func (a *account) block(now time.Time, owner fleet.InstanceID, class Class, grant TakeGrant, backoff time.Duration) {
	if a.isBlocked(now, owner, class) {
		return
	}
	a.blocks[owner] = poolBlock{
		class:   class,
		retryAt: now.Add(grant.RetryAfter),
		unknown: grant.Unknown,
		until:   now.Add(backoff),
	}
}

// nextWake returns when the waiters have to be looked at next, given the time until the
// direct share has a token.
func (a *account) nextWake(now time.Time, direct time.Duration) time.Time {
	var wakeAt time.Time
	_, nextToken := a.uncovered(now)
	times := []time.Time{nextToken, now.Add(direct)}
	for _, w := range a.waiters {
		times = append(times, w.until)
	}
	for _, call := range a.calls {
		times = append(times, call.sentAt.Add(hedgeDelay))
	}
	for _, at := range times {
		if at.After(now) && (wakeAt.IsZero() || at.Before(wakeAt)) {
			wakeAt = at
		}
	}
	return wakeAt
}

// insert adds a waiter in order of urgency.
func (a *account) insert(w waiter) {
	i, _ := slices.BinarySearchFunc(a.waiters, w, waiter.compare)
	a.waiters = slices.Insert(a.waiters, i, w)
}

// isIdle reports whether the account holds nothing that is still needed.
func (a *account) isIdle(now time.Time) bool {
	return len(a.waiters) == 0 && len(a.calls) == 0 && a.held(now) == 0
}
