package instance

import (
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/operator"
	"github.com/nutmegpier/nutmegpier/settings"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// newOperator returns the administration API.
func (i *Instance) newOperator() *operator.Server {
	published := &publisher{
		holders: i.peers,
		now:     i.config.Now,
		table:   i.config.Platform,
		usage:   i.usage,
	}
	return operator.New(operator.Config{
		Archive:   i.archive,
		Publisher: published,
		Recorder:  i.config.Events,
		Sheets:    published,
		Status:    i,
		Timeline:  i.config.Events,
		Tokens:    func() []settings.Token { return i.settings.Load().Admin.Tokens },
	})
}

// usage returns what this instance knows of the deployment.
func (i *Instance) usage() sheet.Deployment {
	usage := sheet.Deployment{
		BusyWorkspaces: i.metrics.busy(),
		DataCentres:    []fleet.DataCentre{i.config.Settings.DataCentre},
	}
	for _, configured := range i.config.Settings.Groups {
		for _, server := range configured.Servers {
			usage.Servers = append(usage.Servers, sheet.ServerLocation{
				DataCentre: server.DataCentre,
				Group:      configured.Group,
				Server:     server.Server,
			})
		}
	}
	return usage
}
