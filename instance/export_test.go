package instance

import (
	"math/rand/v2"
	"time"

	"github.com/nutmegpier/nutmegpier/blackboard"
	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/settings"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// NewTestRouter returns a router for one group, with a fake group controller and
// connection pool.
func NewTestRouter(id fleet.GroupID, control groupControl, connections pool, view *blackboard.Section[group.View], published sheet.Sheet) caller.Router {
	return &router{
		groups:   []routedGroup{{control: control, id: id, view: view}},
		now:      time.Now,
		pool:     connections,
		random:   rand.New(rand.NewPCG(1, 2)),
		sheet:    blackboard.New(SheetInForce{Index: sheet.NewIndex(published)}),
		strategy: group.FreshnessDistance,
		timeouts: func() settings.Timeouts { return settings.Timeouts{} },
	}
}
