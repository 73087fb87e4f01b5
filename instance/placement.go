package instance

import (
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// placement returns what a sheet says about where work may go, as seen from a
// data centre.
func placement(s sheet.Sheet, local fleet.DataCentre) group.Placement {
	result := group.Placement{Local: local}
	for _, server := range s.Servers {
		if server.State == sheet.StateLeaving {
			result.Leaving = append(result.Leaving, server.Server)
		}
	}
	for _, dataCentre := range s.DataCentres {
		if dataCentre.State == sheet.StateOut {
			result.OutOfService = append(result.OutOfService, dataCentre.DataCentre)
		}
	}
	return result
}
