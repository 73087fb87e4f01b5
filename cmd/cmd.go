// Package cmd holds the commands of the nutmegpier binary.
package cmd

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit statuses of the binary.
const (
	exitOK      = 0
	exitFailure = 1
)

// Main runs the command line and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	root := newRootCmd()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		fmt.Fprintf(stderr, "nutmegpier: %v\n", err)
		return exitFailure
	}
	return exitOK
}

func newRootCmd() *cobra.Command {
	return &cobra.Command{
		Use:           "nutmegpier",
		Short:         "PostgreSQL proxy with session consistency",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
}
