package demo

import (
	"encoding/json"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/instance"
	"github.com/nutmegpier/nutmegpier/settings"
	"github.com/nutmegpier/nutmegpier/standin"
)

// settingsFile is the part of an instance's settings file that the demo sets. All
// other settings keep their defaults.
type settingsFile struct {
	Admin      adminSection
	Backend    backendSection
	DataCentre fleet.DataCentre
	Groups     []groupSection
	Instance   fleet.InstanceID
	Listen     settings.Listen
	Platform   platformSection
}

type adminSection struct {
	Tokens []settings.Token
}

type backendSection struct {
	User string
}

type groupSection struct {
	Connections int
	Group       fleet.GroupID
	Servers     []settings.Server
	Slots       int
}

type platformSection struct {
	URL string
}

// parseSettings returns the settings of an instance. They are encoded as a settings
// file and parsed, so that they get the same checks and defaults as those of a real
// instance.
func (d *Demo) parseSettings(id fleet.InstanceID, dataCentre fleet.DataCentre, listeners instance.Listeners) (settings.Settings, error) {
	encoded, err := json.Marshal(d.settingsFile(id, dataCentre, listeners))
	if err != nil {
		return settings.Settings{}, &Error{Op: "encode settings", Kind: KindStart, Err: err}
	}
	return settings.Parse(string(id), encoded)
}

func (d *Demo) settingsFile(id fleet.InstanceID, dataCentre fleet.DataCentre, listeners instance.Listeners) settingsFile {
	file := settingsFile{
		Admin:      adminSection{Tokens: []settings.Token{{Role: settings.RolePublish, TokenSHA256: d.tokenHash()}}},
		Backend:    backendSection{User: backendUser},
		DataCentre: dataCentre,
		Instance:   id,
		Listen: settings.Listen{
			Admin:   listeners.Admin.Addr().String(),
			Callers: listeners.Callers.Addr().String(),
			Peers:   listeners.Peers.Addr().String(),
		},
		Platform: platformSection{URL: d.platformURL},
	}
	for _, group := range d.groups {
		file.Groups = append(file.Groups, group.section())
	}
	return file
}

// runningGroup is a group of stand-in servers with its connection budget and the data
// centres of its servers.
type runningGroup struct {
	connections int
	// dataCentres are assigned to the servers in turn.
	dataCentres []fleet.DataCentre
	standIn     *standin.Group
}

func (g runningGroup) section() groupSection {
	section := groupSection{Connections: g.connections, Group: g.standIn.ID(), Slots: slotsPerServer}
	for index, server := range g.standIn.Servers() {
		section.Servers = append(section.Servers, settings.Server{
			Address:    server.Addr(),
			DataCentre: g.dataCentres[index%len(g.dataCentres)],
			Server:     server.ID(),
		})
	}
	return section
}
