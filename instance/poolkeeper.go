package instance

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/backend"
)

// keepInterval is the longest time after which the pool follows a change of
// the permits held.
const keepInterval = 100 * time.Millisecond

// keepPool makes the pool follow the permits that the instance holds and the
// placement of the sheet.
func (i *Instance) keepPool(ctx context.Context) error {
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		i.adjustPool()
		_, sheetChanged := i.board.Sheet.Watch()
		select {
		case <-ctx.Done():
			return nil
		case <-sheetChanged:
		case <-ticker.C:
		}
	}
}

func (i *Instance) adjustPool() {
	for _, controller := range i.groups {
		for _, server := range controller.settings.Servers {
			i.pool.SetServer(server.Server, server.Address, backend.Limits{
				Permits: i.config.Limits.Permits(server.Server),
				Slots:   controller.settings.Slots,
			})
		}
	}
}
