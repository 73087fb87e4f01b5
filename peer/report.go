package peer

import "github.com/nutmegpier/nutmegpier/fleet"

// Report describes the versions and shares of an instance to its peers. It is
// sent as v1.Versions, from which the names GuestGifts, PriorGifts and
// NeedsReset come.
type Report struct {
	// FullPhase is the generation that the instance holds if its joint phase is
	// over, or zero. See Ledger for the phases.
	FullPhase fleet.RosterGeneration
	// GuestGifts is true if the instance gave shares of the generation that it
	// holds to an instance that is not part of the roster.
	GuestGifts bool
	// Held is the pair of versions that the instance holds.
	Held Versions
	// JointPhase is the newest generation for which the instance holds no more
	// than the smaller of its old and its new share.
	JointPhase fleet.RosterGeneration
	// NeedsReset is true if shares were lost, or given to an instance outside the
	// roster. Only a new generation divides them among the members again.
	NeedsReset bool
	// PriorGifts is GuestGifts for the previous generation.
	PriorGifts bool
}
