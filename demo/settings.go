package demo

import (
	"encoding/json"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/instance"
	"github.com/nutmegpier/nutmegpier/settings"
	"github.com/nutmegpier/nutmegpier/standin"
)

// settingsFile is the part of the settings file that the demo fills in. All
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

// settingsOf returns the settings of an instance, read from a settings file as
// for a real instance.
func (d *Demo) settingsOf(id fleet.InstanceID, dataCentre fleet.DataCentre, listeners instance.Listeners) (settings.Settings, error) {
	encoded, err := json.Marshal(d.settingsFile(id, dataCentre, listeners))
	if err != nil {
		return settings.Settings{}, &Error{Op: "encode settings", Kind: KindStart, Err: err}
	}
	return settings.Parse(string(id), encoded)
}

func (d *Demo) settingsFile(id fleet.InstanceID, dataCentre fleet.DataCentre, listeners instance.Listeners) settingsFile {
	file := settingsFile{
		Admin:      adminSection{Tokens: []settings.Token{{Role: settings.RolePublish, TokenSHA256: d.tokenSum()}}},
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
	for _, running := range d.groups {
		file.Groups = append(file.Groups, running.section())
	}
	return file
}

// runningGroup is a group of stand-in servers with its place in a deployment.
type runningGroup struct {
	connections int
	dataCentres []fleet.DataCentre
	servers     *standin.Group
}

func (g runningGroup) section() groupSection {
	section := groupSection{Connections: g.connections, Group: g.servers.ID(), Slots: slotsPerServer}
	for number, server := range g.servers.Servers() {
		section.Servers = append(section.Servers, settings.Server{
			Address:    server.Addr(),
			DataCentre: g.dataCentres[number%len(g.dataCentres)],
			Server:     server.ID(),
		})
	}
	return section
}
