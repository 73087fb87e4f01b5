// Package cmd implements the commands of the nutmegpier binary.
package cmd

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

// Exit statuses of the binary. docs/guide/operators.md documents them.
const (
	exitOK = 0
	// exitFailure means that the command failed and changed nothing.
	exitFailure = 1
	// exitUsage means a usage error or invalid input.
	exitUsage = 2
	// exitConflict means that another sheet was published first, and nothing was
	// changed.
	exitConflict = 3
	// exitUnknown means that it is unknown whether a change took effect.
	exitUnknown = 4
	// exitUnconfirmed means that a change took effect, but a majority of the
	// instances has not confirmed it yet.
	exitUnconfirmed = 5
)

// Error is the error of a command with its exit status.
type Error struct {
	Err error
	// Op is the full path of the command, such as "nutmegpier sheet publish".
	Op string
	// Status is the exit status.
	Status int
}

// Error returns the command and the cause.
func (e *Error) Error() string {
	return e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Main runs the command line and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	root := newRootCmd()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	var cmdErr *Error
	if !errors.As(err, &cmdErr) {
		fmt.Fprintf(stderr, "nutmegpier: %v\n", err)
		return exitFailure
	}
	fmt.Fprintln(stderr, cmdErr)
	return cmdErr.Status
}

// newRootCmd returns the root command with all commands and the global flags.
func newRootCmd() *cobra.Command {
	options := &globalOptions{}
	root := newGroupCmd("nutmegpier", "PostgreSQL proxy with session consistency",
		newConfigCmd(options),
		newDemoCmd(options),
		newDrainCmd(options),
		newKeyCmd(options),
		newMeasureCmd(options),
		newRestoreCmd(options),
		newServeCmd(options),
		newSheetCmd(options),
		newStatusCmd(options),
		newTimelineCmd(options),
		newVersionCmd(options),
	)
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.PersistentPreRunE = func(*cobra.Command, []string) error { return options.validate() }
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error { return usageError(cmd, err) })
	options.register(root.PersistentFlags())
	return root
}

// newGroupCmd returns a command that only groups other commands. Run without one of
// them, it shows its help.
func newGroupCmd(use, short string, children ...*cobra.Command) *cobra.Command {
	group := &cobra.Command{
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return nil
			}
			return usageError(cmd, unknownCommand(cmd, args[0]))
		},
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
		Short: short,
		Use:   use,
	}
	group.AddCommand(children...)
	return group
}

// unknownCommand returns the error for an unknown command, with similar names.
func unknownCommand(cmd *cobra.Command, name string) error {
	message := fmt.Sprintf("unknown command %q", name)
	cmd.SuggestionsMinimumDistance = 2
	if suggestions := cmd.SuggestionsFor(name); len(suggestions) > 0 {
		message += ", did you mean " + strings.Join(suggestions, " or ") + "?"
	}
	return errors.New(message)
}

// exactArgs requires exactly the named arguments.
func exactArgs(names ...string) cobra.PositionalArgs {
	return rangeArgs(len(names), names...)
}

// rangeArgs accepts the named arguments, of which those after the first required
// ones are optional.
func rangeArgs(required int, names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		switch {
		case len(args) < required:
			return usageError(cmd, fmt.Errorf("argument %s is missing", names[len(args)]))
		case len(args) > len(names):
			return usageError(cmd, fmt.Errorf("unexpected argument %q", args[len(names)]))
		default:
			return nil
		}
	}
}

// inputError returns an error about a command's input.
func inputError(cmd *cobra.Command, err error) error {
	return &Error{Err: err, Op: cmd.CommandPath(), Status: exitUsage}
}

// usageError returns an error about a command's arguments or flags.
func usageError(cmd *cobra.Command, err error) error {
	return &Error{Err: fmt.Errorf("%w\nRun '%s --help' for usage", err, cmd.CommandPath()), Op: cmd.CommandPath(), Status: exitUsage}
}
