package workspace

import (
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// joinDelay is how long an instance that joins running ones holds no shares.
	// By then all others have seen its row or may no longer admit requests, which
	// they may for 4.5 s after reading the membership rows.
	joinDelay = 4700 * time.Millisecond
	// coldStartDelay is how long an instance that sees no other one hold shares
	// waits for instances that start at the same time: two reads of the membership
	// rows.
	coldStartDelay = 600 * time.Millisecond
	// clockSkewMargin is how long before a joining instance may hold its shares the
	// others give them up. The instances' estimates of the store's time differ by
	// less.
	clockSkewMargin = 100 * time.Millisecond
)

// Phase says whether an instance holds shares of the rate limits.
type Phase string

// Phases of an instance.
const (
	// PhaseHolding means that the instance holds its shares.
	PhaseHolding Phase = "Holding"
	// PhaseJoining means that the instance has seen others hold shares. It holds
	// its own once its row is joinDelay old.
	PhaseJoining Phase = "Joining"
	// PhaseStarting means that the instance may hold shares as soon as it has seen
	// that no other one holds any.
	PhaseStarting Phase = "Starting"
)

// Member is a live instance, as described by its membership row in the store.
type Member struct {
	// Age is how long the row has existed without expiring.
	Age        time.Duration
	DataCentre fleet.DataCentre
	Instance   fleet.InstanceID
	Phase      Phase
	// ProcessorShare is the processor time that the instance may use, in cores. Zero
	// counts as one. Like the data centre, it changes only together with the age.
	ProcessorShare float64
}

// holdsAfter reports whether a member may hold shares once the duration has passed.
func (m Member) holdsAfter(after time.Duration) bool {
	return m.Phase == PhaseHolding || m.Age+after >= joinDelay
}

// mayHoldSoon reports whether a member may hold shares now or, given the clock skew,
// at any moment.
func (m Member) mayHoldSoon() bool {
	return m.Phase == PhaseStarting || m.holdsAfter(clockSkewMargin)
}

// Participation decides when this instance starts to hold shares of the rate limits.
// An instance first writes to its membership row that it holds them and then reads
// all rows. Of two instances that do so at the same time, at least one sees the
// other. It isn't safe for concurrent use.
type Participation struct {
	// confirmed is true once the rows were read after PhaseHolding was written.
	confirmed bool
	phase     Phase
	// written is the phase in this instance's row, or empty.
	written Phase
}

// NewParticipation returns the state of an instance without a membership row.
func NewParticipation() *Participation {
	return &Participation{phase: PhaseStarting}
}

// Reset starts over, because others may have considered this instance's row as
// expired.
func (p *Participation) Reset() {
	*p = Participation{phase: PhaseStarting}
}

// ObserveMembers updates the phase after a read of the membership rows. Age is the
// age of this instance's row, which the read must include as it was last written.
func (p *Participation) ObserveMembers(age time.Duration, others []Member) {
	if p.written == PhaseHolding {
		p.confirmed = true
	}
	switch {
	case p.written == "" || p.phase == PhaseHolding:
	case age >= joinDelay:
		p.phase = PhaseHolding
	case slices.ContainsFunc(others, func(m Member) bool { return m.holdsAfter(0) }):
		p.phase = PhaseJoining
	case p.phase == PhaseStarting && age >= coldStartDelay:
		p.phase = PhaseHolding
	}
}

// NeedsFreshRead reports whether this instance waits for a read that includes its row as
// it was last written.
func (p *Participation) NeedsFreshRead() bool {
	return p.phase == PhaseStarting || (p.phase == PhaseHolding && !p.confirmed)
}

// NextPhase returns the phase to write to this instance's row, and whether it
// differs from the written one.
func (p *Participation) NextPhase() (phase Phase, changed bool) {
	return p.phase, p.phase != p.written
}

// EffectivePhase returns the phase that this instance assumes for itself when it
// computes shares. PhaseHolding counts only once it is confirmed.
func (p *Participation) EffectivePhase() Phase {
	if p.phase == PhaseHolding && !p.confirmed {
		return PhaseJoining
	}
	return p.phase
}

// Resume continues with the phase in this instance's row from an earlier run, which
// has not expired.
func (p *Participation) Resume(phase Phase) {
	*p = Participation{confirmed: phase == PhaseHolding, phase: phase, written: phase}
}

// PhaseWritten records that the phase was written to this instance's row.
func (p *Participation) PhaseWritten(phase Phase) {
	p.written = phase
}
