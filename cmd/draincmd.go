package cmd

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/operator"
)

func newDrainCmd(options *globalOptions) *cobra.Command {
	force := false
	dataCentre := &cobra.Command{
		Args:    exactArgs("NAME"),
		Example: "  nutmegpier drain data-centre gt-2 --token-file token",
		Long:    "Takes a data centre out of service. Instances there drain, backend servers there get no new\nrequests, and primaries there hand over to other servers. The command edits and publishes the\nsheet in force.",
		RunE: func(cmd *cobra.Command, args []string) error {
			return runServiceStateChange(cmd, options, func(ctx context.Context, client *operator.Client) (operator.Publication, error) {
				return client.DrainDataCentre(ctx, fleet.DataCentre(args[0]), force)
			})
		},
		Short: "Take a data centre out of service",
		Use:   "data-centre NAME",
	}
	server := &cobra.Command{
		Args:    exactArgs("NAME"),
		Example: "  nutmegpier drain server orders-3 --token-file token",
		Long:    "Takes a backend server out of service. It gets no new requests, and hands over to another\nserver if it is primary. The command edits and publishes the sheet in force.",
		RunE: func(cmd *cobra.Command, args []string) error {
			return runServiceStateChange(cmd, options, func(ctx context.Context, client *operator.Client) (operator.Publication, error) {
				return client.DrainServer(ctx, fleet.ServerID(args[0]), force)
			})
		},
		Short: "Take a backend server out of service",
		Use:   "server NAME",
	}
	drain := newGroupCmd("drain", "Take a data centre or backend server out of service", dataCentre, server)
	drain.PersistentFlags().BoolVar(&force, "force", false, "accept unsafe changes")
	return drain
}
