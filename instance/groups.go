package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/settings"
)

// controlCloseTimeout bounds how long closing the control connections of a group
// may take.
const controlCloseTimeout = time.Second

// groupController is the controller of one group with the control connections to
// its backend servers.
type groupController struct {
	*group.Controller

	controls []*backend.Control
	settings settings.Group
}

// newGroupController returns the controller of a group that the settings define.
func (i *Instance) newGroupController(configured settings.Group, section GroupSection, seed uint64) (*groupController, error) {
	controller := &groupController{settings: configured}
	var servers []group.ServerConfig
	for _, server := range configured.Servers {
		control, err := backend.NewControl(backend.ControlConfig{
			Address:  server.Address,
			Database: string(configured.Group),
			Dial:     i.config.Dial,
			Password: i.config.BackendPassword,
			User:     i.config.Settings.Backend.User,
		})
		if err != nil {
			return nil, &Error{Op: "configure control connection to " + string(server.Server), Kind: KindSettings, Err: err}
		}
		controller.controls = append(controller.controls, control)
		servers = append(servers, group.ServerConfig{
			Control:    control,
			DataCentre: server.DataCentre,
			ID:         server.Server,
		})
	}
	controller.Controller = group.New(group.Config{
		Clock:     clock(i.config.Now),
		Epoch:     i.config.Epoch,
		Events:    i.recorder,
		Group:     configured.Group,
		Instance:  i.config.Settings.Instance,
		Peers:     &groupPeers{now: i.config.Now, peers: i.peers, self: i.config.Settings.Instance},
		Placement: i.placement,
		Random:    rand.New(rand.NewPCG(seed, uint64(i.config.Epoch))),
		Section:   section.Section,
		Servers:   servers,
		Settings:  i.groupSettings(),
	})
	return controller, nil
}

// close closes the control connections.
func (c *groupController) close() {
	ctx, cancel := context.WithTimeout(context.Background(), controlCloseTimeout)
	defer cancel()
	for _, control := range c.controls {
		control.Close(ctx)
	}
}

// groupSettings returns the default settings of group controllers with the
// configured detection times.
func (i *Instance) groupSettings() group.Settings {
	result := group.DefaultSettings()
	detection := i.config.Settings.Detection
	result.DetectTime = detection.DetectTime
	result.PollInterval = detection.PollInterval
	result.SuspectInterval = detection.SuspectInterval
	return result
}

// placement returns the placement of the sheet in force.
func (i *Instance) placement() group.Placement {
	return i.board.Sheet.Load().Placement
}
