package group

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// DecideBarrier returns a log position that covers every write acknowledged
// before a session's request arrived. It reports false until a majority has
// confirmed a round of status requests that started at or after the arrival.
// One round serves all sessions that arrived before it started.
func DecideBarrier(view View, arrivedAt time.Time) (fleet.Position, bool) {
	for _, confirmed := range view.ConfirmedPositions {
		if !confirmed.RoundStart.Before(arrivedAt) {
			return confirmed.Position, true
		}
	}
	return fleet.Position{}, false
}
