package workspace

import (
	"math"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// admissionTolerance absorbs rounding errors, so that a bucket that was refilled
	// in many small steps still admits its last whole request.
	admissionTolerance = 1e-9
	// defaultRetryAfter is the retry time if no better one can be computed: the
	// limiter isn't valid, or the workspace has no share or one that never refills
	// to a whole request.
	defaultRetryAfter = time.Second
)

// Decision says whether a request is admitted.
type Decision struct {
	Admitted bool
	// Owner is the owner of a pool that does not answer, if that is the reason.
	Owner fleet.InstanceID
	// Reason is why an Admitter refused the request.
	Reason RefusalReason
	// RetryAfter is the time after which a retry can succeed. It is zero if the
	// request was admitted.
	RetryAfter time.Duration
}

// Limiter holds the token buckets of one instance, one for each workspace. It admits
// requests and refills the buckets only until the end of its validity, which Renew
// extends. It is not safe for concurrent use.
type Limiter struct {
	buckets    map[fleet.WorkspaceID]*bucket
	validUntil time.Time
}

// bucket is a share with the time up to which it was refilled.
type bucket struct {
	// debt is the number of tokens that were granted before they were refilled.
	debt     float64
	filledAt time.Time
	share    Share
}

// NewLimiter returns a limiter without shares that isn't valid yet.
func NewLimiter() *Limiter {
	return &Limiter{buckets: make(map[fleet.WorkspaceID]*bucket)}
}

// Admit takes one token from the workspace's share, if there is one.
func (l *Limiter) Admit(now time.Time, workspace fleet.WorkspaceID) Decision {
	b := l.buckets[workspace]
	if b == nil || !now.Before(l.validUntil) {
		return Decision{RetryAfter: defaultRetryAfter}
	}
	b.fill(now, l.validUntil)
	if b.share.Level+admissionTolerance >= 1 {
		b.share.Level = math.Max(0, b.share.Level-1)
		return Decision{Admitted: true}
	}
	return Decision{RetryAfter: b.retryAfter()}
}

// Take takes up to want tokens from the workspace's share for another instance. It
// takes at least one token, or none and returns the time after which a retry can
// succeed.
func (l *Limiter) Take(now time.Time, workspace fleet.WorkspaceID, want float64) (taken float64, retryAfter time.Duration) {
	first := l.Admit(now, workspace)
	if !first.Admitted {
		return 0, first.RetryAfter
	}
	b := l.buckets[workspace]
	more := math.Max(0, math.Min(want-1, b.share.Level))
	b.share.Level -= more
	return 1 + more, 0
}

// Reserve takes tokens from the workspace's share for another instance, as whole tokens.
// Those wanted for waiting requests may be tokens of the near future, up to
// maxReservation. They must fall in the validity, outside of which the share is not
// refilled. Extra tokens come only from the upper half of the bucket. While the workspace
// is over its rate, some tokens are kept for more urgent requests.
func (l *Limiter) Reserve(now time.Time, take TakeRequest, demand *poolDemand) TakeGrant {
	grant := TakeGrant{Workspace: take.Workspace}
	b := l.buckets[take.Workspace]
	if b == nil || !now.Before(l.validUntil) || b.share.Rate <= 0 {
		grant.RetryAfter, grant.Unknown = defaultRetryAfter, b == nil || b.share.Capacity <= 0 || !now.Before(l.validUntil)
		return grant
	}
	b.fill(now, l.validUntil)
	demand.record(now, take, b.share.Rate)
	keep, urgent := demand.restriction(take.Class, b.share.Rate)
	keep = math.Min(keep, b.share.Capacity/2)
	want := math.Floor(take.Want)
	horizon := min(take.MaxWait, maxReservation, l.validUntil.Sub(now))
	if urgent {
		horizon = min(horizon, lessUrgentReservation)
	}
	// Without a token left for them, less urgent requests would get none while more urgent
	// ones can wait longer and so take all tokens of the future first.
	owed, leave := demand.owesFloor(take.Class, b.share.Rate), keep
	if owed {
		leave = math.Max(keep, math.Min(1, b.share.Capacity-1))
	}
	grant.Taken = b.withdraw(want, leave)
	if grant.Taken == 0 && keep == 0 && !owed {
		grant.Taken, grant.Delay = b.reserve(want, horizon)
	}
	if grant.Taken == 0 && keep > 0 && demand.floor >= 1 {
		grant.Taken, grant.Delay = b.reserve(math.Min(want, math.Floor(demand.floor)), min(take.MaxWait, maxReservation, l.validUntil.Sub(now)))
		demand.floor -= grant.Taken
	}
	if grant.Taken == want {
		if grant.Delay == 0 {
			grant.Taken += b.withdraw(math.Floor(take.Extra), b.share.Capacity/2)
		}
		return grant
	}
	// Other callers return as well. Of those of a workspace over its rate, only some
	// will be admitted.
	wait := float64(b.retryAfter()) + leave/b.share.Rate*float64(time.Second)
	grant.RetryAfter = time.Duration(min(wait*math.Max(1, demand.pressure(b.share.Rate)), float64(maxRetryAfter)))
	return grant
}

// withdraw takes up to want whole tokens and leaves the given level.
func (b *bucket) withdraw(want, leave float64) float64 {
	taken := math.Min(want, math.Floor(b.share.Level-leave+admissionTolerance))
	if taken <= 0 {
		return 0
	}
	b.share.Level = math.Max(0, b.share.Level-taken)
	return taken
}

// reserve takes up to want tokens that will be refilled within the horizon, and returns
// the time after which all of them are.
func (b *bucket) reserve(want float64, horizon time.Duration) (taken float64, delay time.Duration) {
	available := b.share.Level - b.debt + b.share.Rate*horizon.Seconds()
	taken = math.Min(want, math.Floor(available))
	if taken <= 0 {
		return 0, 0
	}
	if taken <= b.share.Level {
		b.share.Level -= taken
		return taken, 0
	}
	b.debt += taken - b.share.Level
	b.share.Level = 0
	return taken, time.Duration(math.Ceil(b.debt / b.share.Rate * float64(time.Second)))
}

// Remove removes the share of a workspace.
func (l *Limiter) Remove(workspace fleet.WorkspaceID) {
	delete(l.buckets, workspace)
}

// Renew sets the end of the validity. The buckets aren't refilled for the time between
// the end of the previous validity and now.
func (l *Limiter) Renew(now, validUntil time.Time) {
	for _, b := range l.buckets {
		b.fill(now, l.validUntil)
	}
	l.validUntil = validUntil
}

// Set replaces the share of a workspace. Its bucket is refilled from now on, starting
// at the level of the share.
func (l *Limiter) Set(now time.Time, workspace fleet.WorkspaceID, share Share) {
	share = share.clamped()
	b := l.buckets[workspace]
	if b == nil {
		l.buckets[workspace] = &bucket{filledAt: now, share: share}
		return
	}
	b.fill(now, l.validUntil)
	b.share = share
}

// Share returns the workspace's share with its level as of now.
func (l *Limiter) Share(now time.Time, workspace fleet.WorkspaceID) Share {
	b := l.buckets[workspace]
	if b == nil {
		return Share{}
	}
	b.fill(now, l.validUntil)
	return b.share
}

// TimeToToken returns the time until the workspace's share holds a whole token, or
// defaultRetryAfter if that isn't known.
func (l *Limiter) TimeToToken(now time.Time, workspace fleet.WorkspaceID) time.Duration {
	b := l.buckets[workspace]
	if b == nil || !now.Before(l.validUntil) {
		return defaultRetryAfter
	}
	b.fill(now, l.validUntil)
	return max(0, b.retryAfter())
}

// ValidUntil returns the end of the validity.
func (l *Limiter) ValidUntil() time.Time {
	return l.validUntil
}

// fill adds the tokens for the time since the last refill, up to the end of the
// validity. A time before the last refill changes nothing.
func (b *bucket) fill(now, validUntil time.Time) {
	if !now.After(b.filledAt) {
		return
	}
	end := now
	if validUntil.Before(end) {
		end = validUntil
	}
	if end.After(b.filledAt) {
		refill := b.share.Rate * end.Sub(b.filledAt).Seconds()
		repaid := math.Min(b.debt, refill)
		b.debt -= repaid
		b.share.Level += refill - repaid
	}
	b.filledAt = now
	b.share = b.share.clamped()
}

// retryAfter returns the time until the bucket holds a whole token.
func (b *bucket) retryAfter() time.Duration {
	if b.share.Rate <= 0 {
		return defaultRetryAfter
	}
	seconds := (1 - b.share.Level + b.debt) / b.share.Rate
	if seconds > defaultRetryAfter.Seconds() && b.share.Capacity < 1 {
		return defaultRetryAfter
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
