package demo

import (
	"errors"
	"fmt"
	"strings"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/standin"
)

// FaultHelp describes the fault commands.
const FaultHelp = `crash-primary DATABASE   crash the primary of a database
cut-primary DATABASE     cut the primary off from its group and from the instances
pause-primary DATABASE   pause the primary
heal DATABASE            undo all of these for a database
kill-instance INSTANCE   end an instance without a drain
stop-instance INSTANCE   end an instance with a drain
stop-store               make the platform's store unavailable
start-store              end the outage of the store
help                     list the commands`

// instancePrefix starts the application name of each connection of an instance.
const instancePrefix = "nutmegpier"

// Fault carries out a fault command.
func (d *Demo) Fault(command string) error {
	words := strings.Fields(command)
	if len(words) == 0 {
		return nil
	}
	argument := ""
	if len(words) > 1 {
		argument = words[1]
	}
	switch words[0] {
	case "crash-primary":
		return d.withPrimary(argument, func(_ *standin.Group, primary *standin.Server) { primary.Crash() })
	case "cut-primary":
		return d.withPrimary(argument, func(group *standin.Group, primary *standin.Server) {
			group.IsolateServer(primary.ID(), instancePrefix)
		})
	case "heal":
		return d.heal(argument)
	case "kill-instance":
		return d.Kill(fleet.InstanceID(argument))
	case "pause-primary":
		return d.withPrimary(argument, func(_ *standin.Group, primary *standin.Server) { primary.Pause(true) })
	case "start-store":
		d.platform.SetOutage(standin.OutageNone)
	case "stop-instance":
		return d.Stop(fleet.InstanceID(argument))
	case "stop-store":
		d.platform.SetOutage(standin.OutageFail)
	default:
		return &Error{Op: "fault", Kind: KindCommand, Err: fmt.Errorf("unknown command %q", words[0])}
	}
	return nil
}

func (d *Demo) withPrimary(database string, apply func(*standin.Group, *standin.Server)) error {
	group := d.Group(fleet.GroupID(database))
	if group == nil {
		return &Error{Op: "fault", Kind: KindCommand, Err: fmt.Errorf("unknown database %q", database)}
	}
	primary := group.Primary()
	if primary == nil {
		return &Error{Op: "fault", Kind: KindCommand, Err: errors.New("the database has no running primary")}
	}
	apply(group, primary)
	return nil
}

func (d *Demo) heal(database string) error {
	group := d.Group(fleet.GroupID(database))
	if group == nil {
		return &Error{Op: "fault", Kind: KindCommand, Err: fmt.Errorf("unknown database %q", database)}
	}
	for _, server := range group.Servers() {
		group.CutServer(server.ID(), false)
		server.CutClients()
		server.Pause(false)
		server.Restart(true)
	}
	return nil
}
