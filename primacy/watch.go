package primacy

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// HandoverGracePeriod is how long the transactions of an instance may go on at a
// primary that is handed over. Most take well under it; longer ones would hold
// up all other writes.
const HandoverGracePeriod = 400 * time.Millisecond

// PrimaryLease is what one instance knows of one group's primary, and whether it has
// left it. It isn't safe for concurrent use.
type PrimaryLease struct {
	changing time.Time
	inUse    int
	left     Generation
	proof    time.Time
	record   Record
}

// Observe takes a record in that was the newest one at the time of proof. An
// older record than the known one changes nothing.
func (w *PrimaryLease) Observe(now time.Time, record Record, proof time.Time) {
	if record.Generation < w.record.Generation {
		return
	}
	if record.Generation > w.record.Generation && record.Phase == PhaseChanging {
		w.changing = now
	}
	w.record = record
	w.Extend(proof)
}

// Prove says that the known record was the newest one at a time.
func (w *PrimaryLease) Extend(proof time.Time) {
	if proof.After(w.proof) {
		w.proof = proof
	}
}

// Record returns the known record.
func (w *PrimaryLease) Record() Record {
	return w.record
}

// Use starts one use of the primary. It reports false if the primary may not
// be used now. Each use is ended by Done.
func (w *PrimaryLease) Acquire(now time.Time) (server fleet.ServerID, generation Generation, usable bool) {
	if w.record.Phase != PhaseServing || !w.leased(now) {
		return "", 0, false
	}
	w.inUse++
	return w.record.Primary, w.record.Generation, true
}

// Done ends one use.
func (w *PrimaryLease) Release() {
	w.inUse--
}

// Exclusive reports whether the primary of a use was the only one up to now.
// During a change that stays true until the instance has left the primary.
func (w *PrimaryLease) Exclusive(now time.Time, generation Generation) bool {
	if !w.leased(now) {
		return false
	}
	if w.record.Phase == PhaseServing {
		return w.record.Generation == generation
	}
	// A change writes the next generation, and its target the same one again.
	return w.record.Generation == generation+1 && w.left < w.record.Generation
}

// Leave reports whether the instance can confirm that it has left the primary,
// and notes that it does: from then on no use is exclusive.
func (w *PrimaryLease) ConfirmLeave(now time.Time) (generation Generation, confirmed bool) {
	if w.record.Phase != PhaseChanging {
		return 0, false
	}
	patient := w.record.Reason == ReasonHandover && w.inUse > 0 && now.Before(w.changing.Add(HandoverGracePeriod))
	if patient && w.left < w.record.Generation {
		return 0, false
	}
	w.left = w.record.Generation
	return w.left, true
}

func (w *PrimaryLease) leased(now time.Time) bool {
	return now.Before(w.proof.Add(LeaseTime))
}
