package instance

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/peer"
	"github.com/nutmegpier/nutmegpier/settings"
)

// pollInterval is the interval at which the instance checks its permits, its
// validity lease and the state of its data centre. It bounds how long the pool lags
// behind a change of permits.
const pollInterval = 100 * time.Millisecond

// maintainPool keeps the limits of the connection pool equal to the permits that
// the instance holds, and requests permits from the peers when requests wait for
// them.
func (i *Instance) maintainPool(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		i.applyPermits()
		i.warmPrimaries()
		select {
		case <-ctx.Done():
			return nil
		case <-i.permitsNeeded:
			i.applyPermits()
			_ = i.peers.RequestShares(ctx)
		case <-ticker.C:
		}
	}
}

// applyPermits sets the limits of the pool to the permits that the instance holds.
func (i *Instance) applyPermits() {
	i.peers.ApplyPermits(func(id fleet.ServerID, permits int) peer.PermitUse {
		configured, server, found := i.serverSettings(id)
		if !found {
			return peer.PermitUse{}
		}
		i.pool.SetServer(id, server.Address, backend.Limits{Permits: permits, Slots: statementSlots(configured, permits)})
		return i.permitUse(id)
	})
}

// warmPrimaries keeps idle connections to the primaries open, so that the first
// writes after a change of primary need not wait for connections to be opened.
func (i *Instance) warmPrimaries() {
	for number, controller := range i.groups {
		primary := i.board.Groups[number].Section.Load().Primary
		for _, server := range controller.settings.Servers {
			warm := 0
			if server.Server == primary {
				permits := i.limiter.Permits(server.Server)
				warm = min(permits, statementSlots(controller.settings, permits))
			}
			i.pool.SetMinConnections(server.Server, warm)
		}
	}
}

// releasePermits gives up to the wanted number of permits that are not in use.
func (i *Instance) releasePermits(server fleet.ServerID, wanted int) peer.PermitUse {
	for range wanted {
		if !i.pool.ReleasePermit(server) {
			break
		}
	}
	return i.permitUse(server)
}

// permitUse returns how the pool uses the permits for a backend server.
func (i *Instance) permitUse(server fleet.ServerID) peer.PermitUse {
	return peer.PermitUse{InEffect: i.pool.HeldPermits(server), Waiting: i.pool.Counts(server).Waiting}
}

// signalPermitsNeeded makes maintainPool request permits now. It does not block.
func (i *Instance) signalPermitsNeeded(fleet.ServerID) {
	select {
	case i.permitsNeeded <- struct{}{}:
	default:
	}
}

// statementSlots returns the number of statements that may run concurrently on a
// server; without a setting it is the number of permits.
func statementSlots(configured settings.Group, permits int) int {
	if configured.Slots == 0 {
		return permits
	}
	return configured.Slots
}

// serverSettings returns the settings of a backend server and of its group.
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
