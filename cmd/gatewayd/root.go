package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit statuses of the command.
const (
	exitOK    = 0
	exitError = 1
)

// run executes the command line and returns the exit status.
func run(args []string, out, errOut io.Writer) int {
	root := &cobra.Command{
		Long:          "gatewayd runs one instance of nutmegpier on the host platform.",
		Short:         "Run nutmegpier on the host platform",
		SilenceErrors: true,
		SilenceUsage:  true,
		Use:           "gatewayd",
	}
	root.AddCommand(newCheckCmd(), newServeCmd())
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintf(errOut, "gatewayd: %v\n", err)
		return exitError
	}
	return exitOK
}
