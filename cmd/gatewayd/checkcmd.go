package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/nutmegpier/nutmegpier/gateway"
)

// configVariable is the environment variable with the path of the settings file,
// which is used without the flag --config.
const configVariable = "NUTMEGPIER_CONFIG"

func newCheckCmd() *cobra.Command {
	var config string
	command := &cobra.Command{
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := readSettings(config)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "settings of instance %s are valid\n", settings.Instance)
			return err
		},
		Short: "Check a settings file",
		Use:   "check",
	}
	command.Flags().StringVar(&config, "config", "", "settings file; default: the file that "+configVariable+" names")
	return command
}

// readSettings reads the settings file, by default the one that configVariable names.
func readSettings(file string) (gateway.Settings, error) {
	if file == "" {
		file = os.Getenv(configVariable)
	}
	if file == "" {
		return gateway.Settings{}, errors.New("no settings file: use --config or set " + configVariable)
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return gateway.Settings{}, err
	}
	return gateway.ParseSettings(file, content)
}
