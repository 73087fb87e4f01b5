package primacy

import "time"

// Presence is when an instance last wrote the row by which a change of primary
// knows whom to wait for. It isn't safe for concurrent use.
type Presence struct {
	since   time.Time
	written time.Time
}

// Written says that the row was written by a call between two times. It reports
// whether the row may have counted as silent before.
func (p *Presence) WriteSucceeded(sent, answered time.Time) (began bool) {
	began = p.written.IsZero() || sent.Sub(p.written) >= LeaseTime
	if began {
		p.since = answered
	}
	p.written = sent
	return began
}

// End says that the row is dropped.
func (p *Presence) Reset() {
	*p = Presence{}
}

// At is when the last write was sent that succeeded.
func (p *Presence) LastWrite() time.Time {
	return p.written
}

// Bound returns the time up to which a look at the records lets the instance
// use primaries. A look from before the row was visible proves nothing, because
// a change may not have waited for this instance.
func (p *Presence) LeaseStart(proof time.Time) time.Time {
	switch {
	case p.written.IsZero() || proof.Before(p.since):
		return time.Time{}
	case p.written.Before(proof):
		return p.written
	default:
		return proof
	}
}

// IsLeaseExpired reports whether the lease of an instance has certainly ended. Age is
// the time on the store's clock from when the row was sent to a look at it.
func IsLeaseExpired(age time.Duration) bool {
	return age >= LeaseTime+LeaseMargin
}
