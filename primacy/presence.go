package primacy

import "time"

// Presence tracks when an instance wrote its own membership row. A change of
// primary waits only for the instances whose rows are recent, so the instance
// may use a primary only while its row is. It isn't safe for concurrent use.
type Presence struct {
	// visibleSince is when the first of the current series of timely writes was
	// answered.
	visibleSince time.Time
	// lastWrite is when the last successful write was sent.
	lastWrite time.Time
}

// WriteSucceeded records a write of the row by a call that was sent and
// answered at the given times. It reports whether the row may have been missing
// or expired before.
func (p *Presence) WriteSucceeded(sent, answered time.Time) (newlyVisible bool) {
	newlyVisible = p.lastWrite.IsZero() || sent.Sub(p.lastWrite) >= LeaseTime
	if newlyVisible {
		p.visibleSince = answered
	}
	p.lastWrite = sent
	return newlyVisible
}

// Reset records that the row is deleted.
func (p *Presence) Reset() {
	*p = Presence{}
}

// LastWrite returns when the last successful write was sent, or the zero time.
func (p *Presence) LastWrite() time.Time {
	return p.lastWrite
}

// LeaseStart returns the time from which the leases on primaries run, given the
// time at which the records were last verified to be current. That is no later
// than the last write of the row. A verification from before the row was
// visible counts for nothing, because a change of primary may not have waited
// for this instance: the result is then the zero time.
func (p *Presence) LeaseStart(verifiedAt time.Time) time.Time {
	switch {
	case p.lastWrite.IsZero() || verifiedAt.Before(p.visibleSince):
		return time.Time{}
	case p.lastWrite.Before(verifiedAt):
		return p.lastWrite
	default:
		return verifiedAt
	}
}

// IsLeaseExpired reports whether the leases of an instance have certainly
// expired. Age is the time on the store's clock between the sending and the
// reading of the instance's row.
func IsLeaseExpired(age time.Duration) bool {
	return age >= LeaseTime+LeaseMargin
}
