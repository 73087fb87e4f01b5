package instance

import (
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/operator"
	"github.com/nutmegpier/nutmegpier/settings"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// newAdminAPI returns the server of the administration API.
func (i *Instance) newAdminAPI() *operator.Server {
	sheetPublisher := &publisher{
		distributor: i.peers,
		now:         i.config.Now,
		table:       i.config.Platform,
		deployment:  i.deployment,
	}
	return operator.New(operator.Config{
		Archive:   i.archive,
		Publisher: sheetPublisher,
		Recorder:  i.config.Events,
		Sheets:    sheetPublisher,
		Status:    i,
		Timeline:  i.config.Events,
		Tokens:    func() []settings.Token { return i.settings.Load().Admin.Tokens },
	})
}

// deployment returns what this instance knows of the deployment, for the checks of
// unsafe changes to the sheet.
func (i *Instance) deployment() sheet.Deployment {
	deployment := sheet.Deployment{
		BusyWorkspaces: i.metrics.activeWorkspaces(),
		DataCentres:    []fleet.DataCentre{i.config.Settings.DataCentre},
	}
	for _, configured := range i.config.Settings.Groups {
		for _, server := range configured.Servers {
			deployment.Servers = append(deployment.Servers, sheet.ServerLocation{
				DataCentre: server.DataCentre,
				Group:      configured.Group,
				Server:     server.Server,
			})
		}
	}
	return deployment
}
