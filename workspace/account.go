package workspace

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// tokenLot is a number of tokens that were taken from a pool in one call.
type tokenLot struct {
	// class is the class for which the pool granted them.
	class                 Class
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
	// countedAtSelf is the last request that the pool of this instance has counted.
	countedAtSelf Ticket
	// demand is the recent demand. It follows a change within a second.
	demand *Demand
	// missed counts the requests that were refused without a call since the last one and
	// since missedSince.
	missed      [classCount]float64
	missedSince time.Time
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

// takeToken uses one token that came from a pool, and returns the index of the waiter that
// gets it, if there are waiters. It reports false if there is none.
func (a *account) takeToken(now time.Time) (next int, found bool) {
	a.lots = slices.DeleteFunc(a.lots, func(l tokenLot) bool { return l.count < 1 || !now.Before(l.expiresAt) })
	if len(a.lots) == 0 || now.Before(a.lots[0].usableFrom) {
		return 0, false
	}
	a.lots[0].count--
	return max(0, a.lots[0].nextWaiter(a.waiters)), true
}

// nextWaiter returns the index of the waiter that gets a token of a lot: the most urgent one
// or, if the token was granted for less urgent requests, the most urgent of these. Urgent
// requests that wait longer would otherwise use the minimum of the others. It returns -1 if
// no waiter can wait for the token.
func (l tokenLot) nextWaiter(waiters []waiter) int {
	canWait := func(w waiter) bool { return l.usableFrom.Before(w.until) }
	i := slices.IndexFunc(waiters, func(w waiter) bool { return w.class >= l.class && canWait(w) })
	if i < 0 {
		i = slices.IndexFunc(waiters, canWait)
	}
	return i
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
	waiters = a.waiters
	shared := true
	for _, lot := range a.lots {
		for left := lot.count; left >= 1; left-- {
			i := lot.nextWaiter(waiters)
			if i < 0 {
				return slices.Clone(waiters), nextToken
			}
			switch {
			case i == 0:
				waiters = waiters[1:]
			case shared:
				waiters, shared = slices.Concat(waiters[:i], waiters[i+1:]), false
			default:
				waiters = slices.Delete(waiters, i, i+1)
			}
			if nextToken.IsZero() {
				nextToken = lot.usableFrom
			}
		}
	}
	return slices.Clone(waiters), nextToken
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

// forgetMissed resets the counts of refused requests that are too old to be reported as
// demand. Otherwise the refusals of a long partition would be reported all at once.
func (a *account) forgetMissed(now time.Time) {
	if now.Sub(a.missedSince) > demandWindow {
		a.missed, a.missedSince = [classCount]float64{}, now
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
