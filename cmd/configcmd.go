package cmd

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/nutmegpier/nutmegpier/document"
	"github.com/nutmegpier/nutmegpier/settings"
)

// checkReport is the result of checking a settings file or sheet.
type checkReport struct {
	File     string
	Problems []document.Problem
}

func newConfigCmd(options *globalOptions) *cobra.Command {
	check := &cobra.Command{
		Args:    exactArgs("FILE"),
		Example: "  nutmegpier config check /etc/nutmegpier/serve.hujson",
		Long:    "Check reads a settings file and reports all its problems, each with line and column.\nThe exit status is 2 if there are any.",
		RunE: func(cmd *cobra.Command, args []string) error {
			return runConfigCheck(cmd, options, args[0])
		},
		Short: "Check a settings file",
		Use:   "check FILE",
	}
	return newGroupCmd("config", "Work with settings files", check)
}

func runConfigCheck(cmd *cobra.Command, options *globalOptions, file string) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return inputError(cmd, err)
	}
	report := checkReport{File: file}
	var invalid *settings.Error
	if _, err := settings.Parse(file, content); errors.As(err, &invalid) {
		report.Problems = invalid.Problems
	}
	return options.printReport(cmd, report)
}

// printReport prints the result of checking a file, and returns an error if the file
// has problems.
func (o *globalOptions) printReport(cmd *cobra.Command, report checkReport) error {
	report.Problems = nonNil(report.Problems)
	err := o.print(cmd, report, func(out io.Writer) error {
		for _, problem := range report.Problems {
			fmt.Fprintln(out, problem)
		}
		if len(report.Problems) == 0 {
			fmt.Fprintf(out, "%s: no problems\n", report.File)
		}
		return nil
	})
	if err != nil || len(report.Problems) == 0 {
		return err
	}
	return inputError(cmd, fmt.Errorf("%s has %d problems", report.File, len(report.Problems)))
}
