package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/nutmegpier/nutmegpier/instance"
	"github.com/nutmegpier/nutmegpier/settings"
)

func newServeCmd(*globalOptions) *cobra.Command {
	var config string
	command := &cobra.Command{
		Args:    exactArgs(),
		Example: "  nutmegpier serve --config /etc/nutmegpier/settings.hujson",
		Long: `Run an instance with a settings file until SIGINT or SIGTERM. It then drains:
readiness becomes false, new connections are refused with a retryable error,
running transactions finish within Timeouts.StopBound, and idle sessions are
closed. SIGHUP reads the settings file again.`,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runServeCmd(cmd, config) },
		Short: "Run an instance",
		Use:   "serve",
	}
	command.Flags().StringVar(&config, "config", "", "settings file")
	_ = command.MarkFlagRequired("config")
	return command
}

func runServeCmd(cmd *cobra.Command, file string) error {
	configured, err := readSettings(file)
	if err != nil {
		return inputError(cmd, err)
	}
	listeners, err := instance.Listen(configured.Listen)
	if err != nil {
		return err
	}
	descriptors, err := descriptorLimit()
	if err != nil {
		return err
	}
	inst, err := instance.Open(instance.Options{
		Descriptors: descriptors,
		Listeners:   listeners,
		LogOutput:   cmd.ErrOrStderr(),
		Settings:    configured,
	})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	go reloadSettings(ctx, reload, file, inst)
	return inst.Run(ctx)
}

// maxDescriptors replaces an unlimited or very large descriptor limit.
const maxDescriptors = 1 << 20

// descriptorLimit returns the descriptor limit of the process.
func descriptorLimit() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	return int(min(limit.Cur, maxDescriptors)), nil
}

// reloadSettings reads the settings file again at each signal and applies it. An
// invalid file changes nothing.
func reloadSettings(ctx context.Context, reload <-chan os.Signal, file string, inst *instance.Instance) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			configured, err := readSettings(file)
			inst.Reload(configured, err)
		}
	}
}

func readSettings(name string) (settings.Settings, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return settings.Settings{}, err
	}
	return settings.Parse(name, content)
}
