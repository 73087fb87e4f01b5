package workspace

import (
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// PoolLocation says which instances own the pools of a workspace.
type PoolLocation struct {
	// Lifetime is how long tokens can be used, counted from before the request.
	Lifetime time.Duration
	Owners   []fleet.InstanceID
}

// askOrder returns the owners in the order in which to ask them, which begins with another
// one at each rotation.
func (p PoolLocation) askOrder(rotation int) []fleet.InstanceID {
	if len(p.Owners) == 0 {
		return nil
	}
	first := rotation % len(p.Owners)
	return slices.Concat(p.Owners[first:], p.Owners[:first])
}
