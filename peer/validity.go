package peer

import (
	"slices"
	"time"
)

// Validity tracks the validity lease of this instance and the leases that it
// grants to its peers. It is not safe for concurrent use.
//
// An instance may serve while it is valid. It becomes valid for the duration of
// the lease by reading the head row from the store, or by lease grants from a
// majority of the members (called vouchers in the protocol). Both name the
// newest versions that the store or the granting member knows, and count only
// once this instance holds these versions. The lease counts from before the
// request was sent, so a slow response cannot prolong it.
type Validity struct {
	// grantedUntil is the time until which a grant to a member may be in use.
	grantedUntil map[Member]time.Time
	held         Versions
	lease        time.Duration
	quorums      [][]Member
	storeRead    evidence
	self         Member
	// peerGrants holds the grants that each member gave to this instance.
	peerGrants map[Member]*evidence
}

// evidence tracks the responses from one source, either the store or a peer, that
// named the newest versions known there.
type evidence struct {
	// effectiveFrom is the send time of the newest request whose response named
	// only versions that this instance holds.
	effectiveFrom time.Time
	// deferredFrom is the send time of the newest request whose response named
	// versions that this instance did not hold, and deferredVersions are these.
	deferredFrom     time.Time
	deferredVersions Versions
}

// NewValidity returns the validity of an instance that holds no versions and is
// not valid.
func NewValidity(self Member, lease time.Duration) *Validity {
	return &Validity{
		grantedUntil: make(map[Member]time.Time),
		lease:        lease,
		self:         self,
		peerGrants:   make(map[Member]*evidence),
	}
}

// Forget deletes the records of a member that ended.
func (v *Validity) Forget(member Member) {
	delete(v.grantedUntil, member)
	delete(v.peerGrants, member)
}

// GrantLease grants a lease to a member and returns its duration. This instance
// proposes no eviction of the member before the lease has certainly expired.
func (v *Validity) GrantLease(now time.Time, member Member) time.Duration {
	until := now.Add(expiryWait(v.lease))
	if until.After(v.grantedUntil[member]) {
		v.grantedUntil[member] = until
	}
	return v.lease
}

// NoGrantOutstanding reports whether all leases that this instance granted to the
// member have expired.
func (v *Validity) NoGrantOutstanding(now time.Time, member Member) bool {
	return !now.Before(v.grantedUntil[member])
}

// RecordStoreRead records a read of the head row, which names the versions. Sent
// is a time before the request was sent.
func (v *Validity) RecordStoreRead(sent time.Time, versions Versions) {
	v.storeRead.record(sent, versions, v.held)
}

// RecordLeaseGrant records a lease grant from a peer, which holds the versions.
// Sent is a time before the request was sent.
func (v *Validity) RecordLeaseGrant(from Member, sent time.Time, duration time.Duration, versions Versions) {
	if duration <= 0 || from == v.self {
		return
	}
	if duration < v.lease {
		sent = sent.Add(duration - v.lease)
	}
	if v.peerGrants[from] == nil {
		v.peerGrants[from] = &evidence{}
	}
	v.peerGrants[from].record(sent, versions, v.held)
}

// SetHeld records the versions that this instance holds. They never decrease.
func (v *Validity) SetHeld(held Versions) {
	v.held.Generation = max(v.held.Generation, held.Generation)
	v.held.Sheet = max(v.held.Sheet, held.Sheet)
	v.storeRead.applyDeferred(v.held)
	for _, grant := range v.peerGrants {
		grant.applyDeferred(v.held)
	}
}

// SetQuorums sets the quorums. Lease grants count only from a majority of each
// quorum, and do not count at all without a quorum.
func (v *Validity) SetQuorums(quorums ...[]Member) {
	v.quorums = quorums
}

// LastStoreRead returns the send time of the newest store read that named only
// versions that this instance holds, or zero.
func (v *Validity) LastStoreRead() time.Time {
	return v.storeRead.effectiveFrom
}

// Valid reports whether this instance may serve now.
func (v *Validity) Valid(now time.Time) bool {
	return now.Before(v.ValidUntil(now))
}

// ValidUntil returns the end of the validity lease according to the responses
// recorded so far, or zero if there is none.
func (v *Validity) ValidUntil(now time.Time) time.Time {
	from := v.storeRead.effectiveFrom
	if granted := v.majorityGrantedFrom(now); granted.After(from) {
		from = granted
	}
	if from.IsZero() {
		return from
	}
	return from.Add(v.lease)
}

// majorityGrantedFrom returns the latest time from which a majority of each quorum
// granted a lease, or zero. This instance always grants a lease to itself.
func (v *Validity) majorityGrantedFrom(now time.Time) time.Time {
	var from time.Time
	for i, quorum := range v.quorums {
		times := make([]time.Time, 0, len(quorum))
		for _, member := range quorum {
			times = append(times, v.grantedFrom(now, member))
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

// grantedFrom returns the time from which the newest lease grant of a member
// counts, or zero.
func (v *Validity) grantedFrom(now time.Time, member Member) time.Time {
	if member == v.self {
		return now
	}
	if grant := v.peerGrants[member]; grant != nil {
		return grant.effectiveFrom
	}
	return time.Time{}
}

// record records a response that named the versions to a request sent at that
// time.
func (e *evidence) record(sent time.Time, versions, held Versions) {
	if held.Covers(versions) {
		if sent.After(e.effectiveFrom) {
			e.effectiveFrom = sent
		}
		return
	}
	if !sent.Before(e.deferredFrom) {
		e.deferredFrom = sent
		e.deferredVersions = versions
	}
}

// applyDeferred counts the deferred response if its versions are held now.
func (e *evidence) applyDeferred(held Versions) {
	if e.deferredFrom.After(e.effectiveFrom) && held.Covers(e.deferredVersions) {
		e.effectiveFrom = e.deferredFrom
	}
}
