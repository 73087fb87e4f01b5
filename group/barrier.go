package group

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// DecideBarrier returns a position that contains every write acknowledged
// before a session arrived. It reports false until a round that began at or
// after the arrival is confirmed. One round serves all sessions that arrived
// before it began.
func DecideBarrier(view View, arrived time.Time) (fleet.Position, bool) {
	for _, sample := range view.ConfirmedPositions {
		if !sample.RoundStart.Before(arrived) {
			return sample.Position, true
		}
	}
	return fleet.Position{}, false
}
