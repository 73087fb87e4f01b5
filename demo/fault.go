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
func (d *Demo) RunFaultCommand(command string) error {
	words := strings.Fields(command)
	if len(words) == 0 {
		return nil
	}
	if err := checkArguments(words); err != nil {
		return err
	}
	argument := words[len(words)-1]
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
		return d.withPrimary(argument, func(_ *standin.Group, primary *standin.Server) { primary.SetPaused(true) })
	case "start-store":
		d.platform.SetOutage(standin.OutageNone)
	case "stop-instance":
		return d.Stop(fleet.InstanceID(argument))
	case "stop-store":
		d.platform.SetOutage(standin.OutageFail)
	}
	return nil
}

// checkArguments checks a command against the list in FaultHelp.
func checkArguments(words []string) error {
	fail := func(err error) error { return &Error{Op: "fault", Kind: KindCommand, Err: err} }
	for line := range strings.Lines(FaultHelp) {
		usage := strings.Fields(line)
		if usage[0] != words[0] {
			continue
		}
		name := usage[1]
		takesOne := name == strings.ToUpper(name)
		switch {
		case takesOne && len(words) == 1:
			return fail(fmt.Errorf("%s: argument %s is missing", words[0], name))
		case takesOne && len(words) > 2:
			return fail(fmt.Errorf("%s: unexpected argument %q", words[0], words[2]))
		case !takesOne && len(words) > 1:
			return fail(fmt.Errorf("%s: unexpected argument %q", words[0], words[1]))
		}
		return nil
	}
	return fail(fmt.Errorf("unknown command %q; help lists the commands", words[0]))
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
		group.PartitionServer(server.ID(), false)
		server.BlockClients()
		server.SetPaused(false)
		server.Restart(true)
	}
	return nil
}
