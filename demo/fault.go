package demo

import (
	"errors"
	"fmt"
	"strings"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/standin"
)

// FaultHelp lists the fault commands and their arguments, one command per line.
// RunFaultCommand checks commands against this text.
const FaultHelp = `crash-primary DATABASE   crash the primary of a database
cut-primary DATABASE     cut the primary off from its group and from the instances
pause-primary DATABASE   pause the primary
heal DATABASE            undo all of these for a database
kill-instance INSTANCE   end an instance without a drain
stop-instance INSTANCE   end an instance with a drain
stop-store               make the platform's store unavailable
start-store              end the outage of the store
help                     list the commands`

// instanceApplicationPrefix is the common prefix of the application names that
// instances set on their connections to database servers.
const instanceApplicationPrefix = "nutmegpier"

// RunFaultCommand runs one of the commands that FaultHelp lists. An empty command does
// nothing.
func (d *Demo) RunFaultCommand(command string) error {
	fields := strings.Fields(command)
	if len(fields) == 0 {
		return nil
	}
	if err := checkArguments(fields); err != nil {
		return err
	}
	argument := fields[len(fields)-1]
	switch fields[0] {
	case "crash-primary":
		return d.withPrimary(argument, func(_ *standin.Group, primary *standin.Server) { primary.Crash() })
	case "cut-primary":
		return d.withPrimary(argument, func(group *standin.Group, primary *standin.Server) {
			group.IsolateServer(primary.ID(), instanceApplicationPrefix)
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

// checkArguments checks the name and the number of arguments of a command against
// FaultHelp, in which a word in upper case after the name stands for an argument.
func checkArguments(command []string) error {
	fail := func(err error) error { return &Error{Op: "fault", Kind: KindCommand, Err: err} }
	for line := range strings.Lines(FaultHelp) {
		usage := strings.Fields(line)
		if usage[0] != command[0] {
			continue
		}
		argument := usage[1]
		takesArgument := argument == strings.ToUpper(argument)
		switch {
		case takesArgument && len(command) == 1:
			return fail(fmt.Errorf("%s: argument %s is missing", command[0], argument))
		case takesArgument && len(command) > 2:
			return fail(fmt.Errorf("%s: unexpected argument %q", command[0], command[2]))
		case !takesArgument && len(command) > 1:
			return fail(fmt.Errorf("%s: unexpected argument %q", command[0], command[1]))
		}
		return nil
	}
	return fail(fmt.Errorf("unknown command %q; help lists the commands", command[0]))
}

// withPrimary calls apply with the group of a database and the group's primary.
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

// heal undoes all faults of the servers of a database: partitions, pauses and crashes.
func (d *Demo) heal(database string) error {
	group := d.Group(fleet.GroupID(database))
	if group == nil {
		return &Error{Op: "fault", Kind: KindCommand, Err: fmt.Errorf("unknown database %q", database)}
	}
	for _, server := range group.Servers() {
		group.PartitionServer(server.ID(), false)
		// Without prefixes, BlockClients unblocks all clients.
		server.BlockClients()
		server.SetPaused(false)
		server.Restart(true)
	}
	return nil
}
