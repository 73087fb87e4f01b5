package primacy

import (
	"time"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
)

// HandoverGracePeriod is how long the transactions of an instance may continue
// on a primary that is handed over. Most take much less; waiting for longer
// ones would hold up all other writes.
const HandoverGracePeriod = 400 * time.Millisecond

// PrimaryLease is the lease of one instance on the primary of one group. It
// holds the known record and the uses of the primary. It isn't safe for
// concurrent use.
type PrimaryLease struct {
	// changeSeenAt is when the start of the current change was observed.
	changeSeenAt time.Time
	// activeUses counts the calls of Acquire without a Release.
	activeUses int
	// leftGeneration is the generation for which the instance last confirmed
	// that it has stopped using the primary.
	leftGeneration Generation
	// leaseStart is the time from which the lease runs for LeaseTime.
	leaseStart time.Time
	record     Record
	// revision is the store's revision of record.
	revision feed.Revision
}

// Observe processes a record that was current at leaseStart, with its revision in the
// store. One that is older than the known record is ignored: it comes from a copy of the
// table that is behind. A zero leaseStart doesn't extend the lease.
func (l *PrimaryLease) Observe(now time.Time, record Record, revision feed.Revision, leaseStart time.Time) {
	if record.Generation < l.record.Generation || revision < l.revision {
		return
	}
	l.revision = revision
	if record.Generation > l.record.Generation && record.Phase == PhaseChanging {
		l.changeSeenAt = now
	}
	l.record = record
	l.Extend(leaseStart)
}

// Extend records that the known record was current at leaseStart. It never
// shortens the lease.
func (l *PrimaryLease) Extend(leaseStart time.Time) {
	if leaseStart.After(l.leaseStart) {
		l.leaseStart = leaseStart
	}
}

// Record returns the known record.
func (l *PrimaryLease) Record() Record {
	return l.record
}

// Revision returns the store's revision of the known record, or zero.
func (l *PrimaryLease) Revision() feed.Revision {
	return l.revision
}

// ChangingFor returns how long ago the start of the current change of primary was
// observed, or zero if none is under way.
func (l *PrimaryLease) ChangingFor(now time.Time) time.Duration {
	if l.record.Phase != PhaseChanging {
		return 0
	}
	return now.Sub(l.changeSeenAt)
}

// Acquire starts a use of the primary. It reports false if the primary may not
// be used now. Each use must be ended by Release.
func (l *PrimaryLease) Acquire(now time.Time) (server fleet.ServerID, generation Generation, usable bool) {
	if l.record.Phase != PhaseServing || !l.Active(now) {
		return "", 0, false
	}
	l.activeUses++
	return l.record.Primary, l.record.Generation, true
}

// Release ends a use of the primary.
func (l *PrimaryLease) Release() {
	l.activeUses--
}

// Exclusive reports whether the primary that was acquired with a generation has
// been the only primary up to now. During a change this stays true until the
// instance has confirmed that it left the primary.
func (l *PrimaryLease) Exclusive(now time.Time, generation Generation) bool {
	if !l.Active(now) {
		return false
	}
	if l.record.Phase == PhaseServing {
		return l.record.Generation == generation
	}
	// The start of a change increments the generation; setting the target keeps
	// it.
	return l.record.Generation == generation+1 && l.leftGeneration < l.record.Generation
}

// ConfirmLeave reports whether the instance confirms that it has left the
// primary, and for which generation. Once it has, Exclusive returns false. In a
// handover it waits for active uses to end, up to HandoverGracePeriod.
func (l *PrimaryLease) ConfirmLeave(now time.Time) (generation Generation, confirmed bool) {
	if l.record.Phase != PhaseChanging {
		return 0, false
	}
	withinGracePeriod := l.record.Reason == ReasonHandover && l.activeUses > 0 && now.Before(l.changeSeenAt.Add(HandoverGracePeriod))
	if withinGracePeriod && l.leftGeneration < l.record.Generation {
		return 0, false
	}
	l.leftGeneration = l.record.Generation
	return l.leftGeneration, true
}

// Active reports whether the lease has not expired.
func (l *PrimaryLease) Active(now time.Time) bool {
	return now.Before(l.leaseStart.Add(LeaseTime))
}
