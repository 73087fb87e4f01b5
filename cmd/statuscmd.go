package cmd

import (
	"github.com/spf13/cobra"
)

func newStatusCmd(options *globalOptions) *cobra.Command {
	return &cobra.Command{
		Args:    exactArgs(),
		Example: "  nutmegpier status --admin http://127.0.0.1:6434 --token-file token\n  nutmegpier status --format json --token-file token",
		Long:    "Status prints the state of one instance and what it knows of the others: instances, servers,\npools, workspaces, and the data centres and servers that are out of service.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runStatus(cmd, options)
		},
		Short: "Show the state of an instance",
		Use:   "status",
	}
}

func runStatus(cmd *cobra.Command, options *globalOptions) error {
	client, err := options.client(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := options.context(cmd)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return callError(cmd, err)
	}
	return options.print(cmd, status, status.Render)
}
