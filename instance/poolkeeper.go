package instance

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/peer"
	"github.com/nutmegpier/nutmegpier/settings"
)

// keepInterval is the longest time after which the pool follows a change of
// the permits held.
const keepInterval = 100 * time.Millisecond

// keepPool makes the pool follow the permits that the instance holds, and asks
// peers for permits when requests wait for them.
func (i *Instance) keepPool(ctx context.Context) error {
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		i.applyPermits()
		i.warmPrimaries()
		select {
		case <-ctx.Done():
			return nil
		case <-i.starved:
			i.applyPermits()
			_ = i.peers.RequestShares(ctx)
		case <-ticker.C:
		}
	}
}

func (i *Instance) applyPermits() {
	i.peers.ApplyPermits(func(id fleet.ServerID, permits int) peer.PermitUse {
		configured, server, found := i.serverSettings(id)
		if !found {
			return peer.PermitUse{}
		}
		i.pool.SetServer(id, server.Address, backend.Limits{Permits: permits, Slots: slotsOf(configured, permits)})
		return i.permitUse(id)
	})
}

// warmPrimaries keeps connections to the primaries open, so that a change of
// primary is not followed by an opening in the path of each first write.
func (i *Instance) warmPrimaries() {
	for number, controller := range i.groups {
		primary := i.board.Groups[number].Section.Load().Primary
		for _, server := range controller.settings.Servers {
			warm := 0
			if server.Server == primary {
				permits := i.limits.Permits(server.Server)
				warm = min(permits, slotsOf(controller.settings, permits))
			}
			i.pool.SetMinConnections(server.Server, warm)
		}
	}
}

// releasePermits gives up as many of the wanted permits as are not in use.
func (i *Instance) releasePermits(server fleet.ServerID, wanted int) peer.PermitUse {
	for range wanted {
		if !i.pool.ReleasePermit(server) {
			break
		}
	}
	return i.permitUse(server)
}

func (i *Instance) permitUse(server fleet.ServerID) peer.PermitUse {
	return peer.PermitUse{InEffect: i.pool.HeldPermits(server), Waiting: i.pool.Counts(server).Waiting}
}

// noteStarved wakes the keeper of the pool. It does not block.
func (i *Instance) noteStarved(fleet.ServerID) {
	select {
	case i.starved <- struct{}{}:
	default:
	}
}

// slotsOf returns the number of statements that may run on a server at a time.
func slotsOf(configured settings.Group, permits int) int {
	if configured.Slots == 0 {
		return permits
	}
	return configured.Slots
}

func (i *Instance) serverSettings(id fleet.ServerID) (settings.Group, settings.Server, bool) {
	for _, configured := range i.settings.Load().Groups {
		for _, server := range configured.Servers {
			if server.Server == id {
				return configured, server, true
			}
		}
	}
	return settings.Group{}, settings.Server{}, false
}
