package peer

import (
	"slices"
	"time"
)

// Validity decides until when this instance may serve, and which instances
// it has vouched for. It is not safe for concurrent use.
type Validity struct {
	given    map[Member]time.Time
	held     Versions
	lease    time.Duration
	quorums  [][]Member
	read     basis
	self     Member
	vouchers map[Member]*basis
}

// basis is the newest evidence of one source. Evidence counts from before the
// request was sent, and only once the versions that it names are held.
type basis struct {
	counted        time.Time
	waiting        time.Time
	waitingVersion Versions
}

// NewValidity returns the validity of an instance that holds nothing.
func NewValidity(self Member, lease time.Duration) *Validity {
	return &Validity{
		given:    make(map[Member]time.Time),
		lease:    lease,
		self:     self,
		vouchers: make(map[Member]*basis),
	}
}

// Forget drops the records of a run that ended.
func (v *Validity) Forget(member Member) {
	delete(v.given, member)
	delete(v.vouchers, member)
}

// Give records that this instance answers a request for a voucher, and returns
// how long it vouches. The instance proposes no eviction of the member before
// the voucher has ended for certain.
func (v *Validity) GrantLease(now time.Time, member Member) time.Duration {
	until := now.Add(expiryWait(v.lease))
	if until.After(v.given[member]) {
		v.given[member] = until
	}
	return v.lease
}

// NoGrantOutstanding reports whether no voucher for the member is outstanding.
func (v *Validity) NoGrantOutstanding(now time.Time, member Member) bool {
	return !now.Before(v.given[member])
}

// RecordStoreRead records an answer from the table that names the versions of
// the head row. Sent is the time before the request was sent.
func (v *Validity) RecordStoreRead(sent time.Time, versions Versions) {
	v.read.record(sent, versions, v.held)
}

// RecordLeaseGrant records a voucher. Sent is the time before the request was
// sent, versions is what the voucher's sender holds.
func (v *Validity) RecordLeaseGrant(from Member, sent time.Time, duration time.Duration, versions Versions) {
	if duration <= 0 || from == v.self {
		return
	}
	if duration < v.lease {
		sent = sent.Add(duration - v.lease)
	}
	if v.vouchers[from] == nil {
		v.vouchers[from] = &basis{}
	}
	v.vouchers[from].record(sent, versions, v.held)
}

// SetHeld records what this instance holds. Versions only grow.
func (v *Validity) SetHeld(held Versions) {
	v.held.Generation = max(v.held.Generation, held.Generation)
	v.held.Sheet = max(v.held.Sheet, held.Sheet)
	v.read.settle(v.held)
	for _, b := range v.vouchers {
		b.settle(v.held)
	}
}

// SetQuorums sets the groups of members. Vouchers count only from a majority
// of each group. Without a group, vouchers do not count.
func (v *Validity) SetQuorums(quorums ...[]Member) {
	v.quorums = quorums
}

// LastStoreRead returns the time from which the newest counted read counts.
func (v *Validity) LastStoreRead() time.Time {
	return v.read.counted
}

// Valid reports whether the instance may serve at this time.
func (v *Validity) Valid(now time.Time) bool {
	return now.Before(v.ValidUntil(now))
}

// ValidUntil returns the end of the validity with the evidence held now.
func (v *Validity) ValidUntil(now time.Time) time.Time {
	from := v.read.counted
	if vouched := v.vouchedFrom(now); vouched.After(from) {
		from = vouched
	}
	if from.IsZero() {
		return from
	}
	return from.Add(v.lease)
}

// vouchedFrom returns the latest time from which a majority of each quorum
// vouches, or zero. The instance always vouches for itself.
func (v *Validity) vouchedFrom(now time.Time) time.Time {
	var from time.Time
	for i, quorum := range v.quorums {
		times := make([]time.Time, 0, len(quorum))
		for _, member := range quorum {
			times = append(times, v.countedFrom(now, member))
		}
		slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
		if len(times) == 0 {
			return time.Time{}
		}
		majority := times[len(times)/2]
		if i == 0 || majority.Before(from) {
			from = majority
		}
	}
	return from
}

func (v *Validity) countedFrom(now time.Time, member Member) time.Time {
	if member == v.self {
		return now
	}
	if b := v.vouchers[member]; b != nil {
		return b.counted
	}
	return time.Time{}
}

func (b *basis) record(sent time.Time, versions, held Versions) {
	if held.Covers(versions) {
		if sent.After(b.counted) {
			b.counted = sent
		}
		return
	}
	if !sent.Before(b.waiting) {
		b.waiting = sent
		b.waitingVersion = versions
	}
}

// settle counts evidence that waited for versions that are now held.
func (b *basis) settle(held Versions) {
	if b.waiting.After(b.counted) && held.Covers(b.waitingVersion) {
		b.counted = b.waiting
	}
}
