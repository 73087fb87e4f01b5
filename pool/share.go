package pool

import (
	"math"
	"slices"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// minConnections allows a transaction and a single statement to run at the same
	// time.
	minConnections = 2
	// sharedFraction is the fraction of a server's connection budget that is
	// divided among the instances. The rest is for status queries, and for
	// connections of instances that lost power: the server counts them for 3 s
	// more.
	sharedFraction = 0.6
)

// ConnectionLimits returns how many connections to one server this instance may
// open, and how many of them it may keep idle. Budget is the number of connections
// for all live instances together, or zero if none is configured. The argument
// demandFraction is this instance's fraction of the total demand.
//
// If its fraction of the budget is less than minConnections, it may still open
// that many. Idle connections would then take the places of other instances, so
// there are only as many as the budget allows, and rendezvous hashing selects the
// instances that may keep one more than the others.
func ConnectionLimits(budget int, demandFraction float64, self fleet.InstanceID, live []fleet.InstanceID, server fleet.ServerID) (limit, idle int) {
	if budget <= 0 {
		return minConnections, minConnections
	}
	shared := sharedFraction * float64(budget)
	if demandFraction*shared >= minConnections {
		limit = int(math.Round(demandFraction * shared))
		return limit, limit
	}
	idle = int(shared) / len(live)
	if slices.Contains(fleet.Owners(string(server), live, int(shared)%len(live)), self) {
		idle++
	}
	return minConnections, min(idle, minConnections)
}

const (
	// firstOwnerFraction and secondOwnerFraction are the fractions of a server's
	// connection budget that its owners may use. The rest is as for sharedFraction,
	// and for instances that can't reach an owner.
	firstOwnerFraction  = 0.6
	secondOwnerFraction = 0.2
)

// NeedsOwner reports whether the connection budget of a server is so small that most
// instances could not keep one connection to it. The server is then used through an
// instance that owns it. A zero budget means that it is unknown.
func NeedsOwner(budget, live int) bool {
	return budget > 0 && sharedFraction*float64(budget) < float64(live)
}

// OwnerLimits returns how many connections an owner of a server may open, and how many
// of them it may keep idle. The rank is that of the owner, from zero.
func OwnerLimits(budget, rank int) (limit, idle int) {
	fraction := firstOwnerFraction
	if rank > 0 {
		fraction = secondOwnerFraction
	}
	limit = max(minConnections, int(fraction*float64(budget)))
	return limit, limit
}

// DirectLimits returns the same for an instance that uses an owned server itself,
// which it does only while it can't reach an owner.
func DirectLimits() (limit, idle int) {
	return minConnections, 0
}
