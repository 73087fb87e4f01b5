package workspace

import (
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// joinDelay is how long an instance that joins others holds no part of a
	// limit. All others have seen it by then, or may not admit any more: they do
	// so for 4.5 s after a look at the rows.
	joinDelay = 4700 * time.Millisecond
	// coldDelay is how long an instance that sees nobody hold parts waits for
	// others that start with it: two looks at the rows.
	coldDelay = 600 * time.Millisecond
	// shrinkAhead is how long before a joining instance may hold its parts of
	// limits they are left to it: clocks of the store's time differ by less.
	shrinkAhead = 100 * time.Millisecond
)

// Phase says whether an instance holds parts of limits.
type Phase string

// Phases of an instance.
const (
	// PhaseHolding means that it holds its parts.
	PhaseHolding Phase = "Holding"
	// PhaseJoining means that it has seen others hold parts, and holds its own
	// from joinDelay on.
	PhaseJoining Phase = "Joining"
	// PhaseStarting means that it may hold parts as soon as it has seen nobody
	// else hold any.
	PhaseStarting Phase = "Starting"
)

// Member is a live instance, as its row shows it.
type Member struct {
	// Age is how long its row has been there without a gap.
	Age      time.Duration
	Instance fleet.InstanceID
	Phase    Phase
}

// holds reports whether a member may hold parts after a span.
func (m Member) holds(after time.Duration) bool {
	return m.Phase == PhaseHolding || m.Age+after >= joinDelay
}

// mayHold reports whether a member may hold parts at any moment.
func (m Member) mayHold() bool {
	return m.Phase == PhaseStarting || m.holds(shrinkAhead)
}

// Participation decides when this instance begins to hold parts of limits. An instance
// that writes that it holds them, and then looks at the rows, sees every other
// that has done the same, or is seen by it. It isn't safe for concurrent use.
type Participation struct {
	// confirmed is true once the rows were looked at after the phase Holding
	// was written.
	confirmed bool
	phase     Phase
	written   Phase
}

// NewParticipation returns a participation without a row.
func NewParticipation() *Participation {
	return &Participation{phase: PhaseStarting}
}

// Lapse says that the own row may have counted as gone.
func (p *Participation) Reset() {
	*p = Participation{phase: PhaseStarting}
}

// Look takes in the other live instances. Age is that of the own row, which
// must have been written before the look.
func (p *Participation) ObserveMembers(age time.Duration, others []Member) {
	if p.written == PhaseHolding {
		p.confirmed = true
	}
	switch {
	case p.written == "" || p.phase == PhaseHolding:
	case age >= joinDelay:
		p.phase = PhaseHolding
	case slices.ContainsFunc(others, func(m Member) bool { return m.holds(0) }):
		p.phase = PhaseJoining
	case p.phase == PhaseStarting && age >= coldDelay:
		p.phase = PhaseHolding
	}
}

// NeedsFreshRead reports whether the next look must show the own row as it was last
// written, and so may not come from a copy.
func (p *Participation) NeedsFreshRead() bool {
	return p.phase == PhaseStarting || (p.phase == PhaseHolding && !p.confirmed)
}

// Next returns the phase that the own row is to show, and whether it shows
// another one.
func (p *Participation) NextPhase() (phase Phase, changed bool) {
	return p.phase, p.phase != p.written
}

// Own returns the phase by which this instance counts itself.
func (p *Participation) EffectivePhase() Phase {
	if p.phase == PhaseHolding && !p.confirmed {
		return PhaseJoining
	}
	return p.phase
}

// Resume takes over the phase of the own row, which still counts, from an
// earlier run of the instance.
func (p *Participation) Resume(phase Phase) {
	*p = Participation{confirmed: phase == PhaseHolding, phase: phase, written: phase}
}

// Written says that the own row shows a phase.
func (p *Participation) PhaseWritten(phase Phase) {
	p.written = phase
}
