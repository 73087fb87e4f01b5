package instance

import (
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// placement returns the data centres and backend servers that a sheet takes out
// of service, for an instance in the local data centre.
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
