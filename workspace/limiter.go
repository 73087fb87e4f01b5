package workspace

import (
	"math"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// admissionTolerance absorbs rounding, so that a bucket that was filled in
	// many small steps still admits its last whole request.
	admissionTolerance = 1e-9
	// noRetry is the retry time of a workspace whose share never refills.
	noRetry = time.Second
)

// Decision is the answer to one request for admission.
type Decision struct {
	Admitted bool
	// RetryAfter is the time after which a retry can succeed. It is zero for
	// an admitted request.
	RetryAfter time.Duration
}

// Limiter is the token buckets of one instance. It mints only while the
// instance is valid. It is not safe for concurrent use.
type Limiter struct {
	buckets    map[fleet.WorkspaceID]*bucket
	validUntil time.Time
}

// bucket is one share with the time up to which its level is counted.
type bucket struct {
	counted time.Time
	share   Share
}

// NewLimiter returns a limiter without shares and without validity.
func NewLimiter() *Limiter {
	return &Limiter{buckets: make(map[fleet.WorkspaceID]*bucket)}
}

// Admit takes one request from the workspace's share, if there is one.
func (l *Limiter) Admit(now time.Time, workspace fleet.WorkspaceID) Decision {
	b := l.buckets[workspace]
	if b == nil || !now.Before(l.validUntil) {
		return Decision{RetryAfter: noRetry}
	}
	b.fill(now, l.validUntil)
	if b.share.Level+admissionTolerance >= 1 {
		b.share.Level = math.Max(0, b.share.Level-1)
		return Decision{Admitted: true}
	}
	return Decision{RetryAfter: b.retryAfter()}
}

// Take takes up to want requests for another instance, at least one or none.
// Without any, the retry time is given.
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

// Remove drops the share of a workspace.
func (l *Limiter) Remove(workspace fleet.WorkspaceID) {
	delete(l.buckets, workspace)
}

// Renew sets the end of the validity. Nothing is minted for the time between
// the end of the earlier validity and now.
func (l *Limiter) Renew(now, validUntil time.Time) {
	for _, b := range l.buckets {
		b.fill(now, l.validUntil)
	}
	l.validUntil = validUntil
}

// Set replaces the share of a workspace. The level of the new share counts
// from now.
func (l *Limiter) Set(now time.Time, workspace fleet.WorkspaceID, share Share) {
	share = share.clamped()
	b := l.buckets[workspace]
	if b == nil {
		l.buckets[workspace] = &bucket{counted: now, share: share}
		return
	}
	b.fill(now, l.validUntil)
	b.share = share
}

// Share returns the share that the instance holds, filled up to now.
func (l *Limiter) Share(now time.Time, workspace fleet.WorkspaceID) Share {
	b := l.buckets[workspace]
	if b == nil {
		return Share{}
	}
	b.fill(now, l.validUntil)
	return b.share
}

// ValidUntil returns the end of the validity.
func (l *Limiter) ValidUntil() time.Time {
	return l.validUntil
}

// fill mints for the time since the last count, up to the end of validity. A
// time before the last count mints nothing and does not move the count back.
func (b *bucket) fill(now, validUntil time.Time) {
	if !now.After(b.counted) {
		return
	}
	end := now
	if validUntil.Before(end) {
		end = validUntil
	}
	if end.After(b.counted) {
		b.share.Level += b.share.Rate * end.Sub(b.counted).Seconds()
	}
	b.counted = now
	b.share = b.share.clamped()
}

func (b *bucket) retryAfter() time.Duration {
	if b.share.Rate <= 0 {
		return noRetry
	}
	seconds := (1 - b.share.Level) / b.share.Rate
	if seconds > noRetry.Seconds() && b.share.Capacity < 1 {
		return noRetry
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
