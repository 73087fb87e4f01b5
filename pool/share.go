package pool

import (
	"math"
	"slices"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// minConnections lets a transaction and a statement run side by side.
	minConnections = 2
	// connectionPart is the part of the budget that all instances use together.
	// The rest is for status queries, and for the time after a loss of power:
	// a server counts connections whose far end is gone for 3 s more.
	connectionPart = 0.6
)

// ConnectionLimits returns how many connections to one server this instance may hold and
// how many of them idle, of the budget over all live instances. Part is its part
// of all demand. Where the budget has less than two connections for each, one
// that is not in use takes the place of another instance's; so the first
// instances by rendezvous hashing keep idle ones, and the others none.
func ConnectionLimits(budget int, part float64, self fleet.InstanceID, live []fleet.InstanceID, server fleet.ServerID) (limit, idle int) {
	if budget <= 0 {
		return minConnections, minConnections
	}
	shared := connectionPart * float64(budget)
	if part*shared >= minConnections {
		limit = int(math.Round(part * shared))
		return limit, limit
	}
	idle = int(shared) / len(live)
	if slices.Contains(fleet.Owners(string(server), live, int(shared)%len(live)), self) {
		idle++
	}
	return minConnections, min(idle, minConnections)
}
