package cmd

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/operator"
)

func newRestoreCmd(options *globalOptions) *cobra.Command {
	dataCentre := &cobra.Command{
		Args:    exactArgs("NAME"),
		Example: "  nutmegpier restore data-centre gt-2 --token-file token",
		RunE: func(cmd *cobra.Command, args []string) error {
			return runServiceStateChange(cmd, options, func(ctx context.Context, client *operator.Client) (operator.Publication, error) {
				return client.RestoreDataCentre(ctx, fleet.DataCentre(args[0]))
			})
		},
		Short: "Bring a data centre back into service",
		Use:   "data-centre NAME",
	}
	server := &cobra.Command{
		Args:    exactArgs("NAME"),
		Example: "  nutmegpier restore server orders-3 --token-file token",
		RunE: func(cmd *cobra.Command, args []string) error {
			return runServiceStateChange(cmd, options, func(ctx context.Context, client *operator.Client) (operator.Publication, error) {
				return client.RestoreServer(ctx, fleet.ServerID(args[0]))
			})
		},
		Short: "Bring a backend server back into service",
		Use:   "server NAME",
	}
	return newGroupCmd("restore", "Bring a data centre or backend server back into service", dataCentre, server)
}

// runServiceStateChange calls a drain or restore method of the administration API and
// prints its outcome.
func runServiceStateChange(cmd *cobra.Command, options *globalOptions, call func(context.Context, *operator.Client) (operator.Publication, error)) error {
	client, err := options.client(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := options.context(cmd)
	defer cancel()
	published, err := call(ctx, client)
	if err != nil {
		return callError(cmd, err)
	}
	return options.printPublication(cmd, published)
}
