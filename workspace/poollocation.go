package workspace

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// PoolLocation says which instances own the pools of a workspace.
type PoolLocation struct {
	// Lifetime is how long tokens can be used, counted from before the request.
	Lifetime time.Duration
	Owners   []fleet.InstanceID
}
