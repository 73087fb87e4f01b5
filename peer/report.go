package peer

import "github.com/nutmegpier/nutmegpier/fleet"

// Report is what an instance says of its shares to its peers.
type Report struct {
	// Full is the newest generation whose joint phase is over, or zero.
	FullPhase fleet.RosterGeneration
	// GuestGifts is true when the instance gave shares of the generation that
	// it holds to an instance outside the roster.
	GuestGifts bool
	Held       Versions
	// Joint is the newest generation for which the instance holds the smaller share.
	JointPhase fleet.RosterGeneration
	// NeedsReset is true when shares were lost that only a new generation
	// brings back.
	NeedsReset bool
	// PriorGifts is GuestGifts for the generation before.
	PriorGifts bool
}
