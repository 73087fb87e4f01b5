package cmd

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/nutmegpier/nutmegpier/sheet"
)

// version describes the build of the binary.
type version struct {
	Go          string
	Revision    string
	SheetFormat int
	Version     string
}

func newVersionCmd(options *globalOptions) *cobra.Command {
	return &cobra.Command{
		Args:    exactArgs(),
		Example: "  nutmegpier version --format json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runVersion(cmd, options)
		},
		Short: "Show the version of the binary",
		Use:   "version",
	}
}

func runVersion(cmd *cobra.Command, options *globalOptions) error {
	built := builtVersion()
	return options.print(cmd, built, func(out io.Writer) error {
		_, err := fmt.Fprintf(out, "nutmegpier %s, revision %s, %s, sheet format %d\n", built.Version, built.Revision, built.Go, built.SheetFormat)
		return err
	})
}

// builtVersion returns the version of the running binary from its build
// information.
func builtVersion() version {
	built := version{Go: runtime.Version(), Revision: "unknown", SheetFormat: sheet.FormatVersion, Version: "unknown"}
	if info, known := debug.ReadBuildInfo(); known {
		built.Version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				built.Revision = setting.Value
			}
		}
	}
	return built
}
