package cmd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/nutmegpier/nutmegpier/demo"
)

const (
	// demoInstances is the default number of instances. With three, a majority
	// remains when one fails.
	demoInstances = 3
	// demoStartTimeout bounds the start of a demo. The start takes at least a
	// validity lease, because only then the shares of the first sheet are usable.
	demoStartTimeout = time.Minute
)

// demoOptions holds the flags of demo.
type demoOptions struct {
	external    int
	externalDir string
	faults      []string
	instances   int
	listen      string
	logFile     string
	tokenFile   string
}

func newDemoCmd(options *globalOptions) *cobra.Command {
	local := &demoOptions{}
	command := &cobra.Command{
		Args: exactArgs(),
		Example: `  nutmegpier demo
  nutmegpier demo --listen 127.0.0.1:6432 --instances 5
  nutmegpier demo --listen 127.0.0.1:0 --fault '10s crash-primary quetzal_orders'`,
		Long: `Run a complete deployment in one process: stand-ins for the platform and for
the database groups of two firms, instances, and a published sheet.

The first lines on standard output are connection URLs. The demo serves until
it is interrupted. It reads these commands from standard input, one per line:

` + demo.FaultHelp,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runDemoCmd(cmd, options, local) },
		Short: "Run a complete deployment in one process",
		Use:   "demo",
	}
	flags := command.Flags()
	flags.IntVar(&local.external, "external", 0, "number of settings files to write for instances that run with nutmegpier serve")
	flags.StringVar(&local.externalDir, "external-dir", ".", "directory for the files of --external")
	flags.StringArrayVar(&local.faults, "fault", nil, "a delay after the start and a fault command to run then; can be repeated")
	flags.IntVar(&local.instances, "instances", demoInstances, "number of instances")
	flags.StringVar(&local.listen, "listen", "127.0.0.1:0", "address of the first instance; the others take the following ports; port 0 takes free ports")
	flags.StringVar(&local.logFile, "log-file", "", "file for the log lines of all instances; empty means none")
	flags.StringVar(&local.tokenFile, "write-token", "", "file to which the token of the administration API is written")
	return command
}

// scheduledFault is a fault command that runs at a time after the start.
type scheduledFault struct {
	after   time.Duration
	command string
}

func runDemoCmd(cmd *cobra.Command, options *globalOptions, local *demoOptions) error {
	faults, err := parseFaults(local.faults)
	if err != nil {
		return usageError(cmd, err)
	}
	if local.instances < 1 {
		return usageError(cmd, fmt.Errorf("--instances %d: want at least 1", local.instances))
	}
	logOutput, closeLog, err := openLog(local.logFile)
	if err != nil {
		return inputError(cmd, err)
	}
	defer closeLog()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	startCtx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	d, err := demo.Start(startCtx, demo.Options{
		Deployments: demo.Deployments(),
		Instances:   local.instances,
		Listen:      local.listen,
		LogFormat:   options.format,
		LogOutput:   logOutput,
	})
	if err != nil {
		return err
	}
	if err := printDemoInfo(cmd, d, local); err != nil {
		return errors.Join(err, d.Close())
	}
	go runFaultsFromInput(cmd, d)
	for _, fault := range faults {
		timer := time.AfterFunc(fault.after, func() { runFault(cmd, d, fault.command) })
		defer timer.Stop()
	}
	<-ctx.Done()
	return d.Close()
}

// printDemoInfo prints the connection URLs to standard output, and how to operate the
// demo to standard error. It also writes the files that the flags request.
func printDemoInfo(cmd *cobra.Command, d *demo.Demo, local *demoOptions) error {
	out := cmd.OutOrStdout()
	for _, url := range d.URLs() {
		fmt.Fprintln(out, url)
	}
	if local.tokenFile != "" {
		if err := os.WriteFile(local.tokenFile, []byte(d.Token()+"\n"), 0o600); err != nil {
			return inputError(cmd, err)
		}
	}
	errOut := cmd.ErrOrStderr()
	for number := range local.external {
		external, err := d.AddExternalInstance(local.externalDir, number+1)
		if err != nil {
			return err
		}
		fmt.Fprintf(errOut, "nutmegpier serve --config %s\n  %s\n", external.SettingsPath, external.URLs[0])
	}
	fmt.Fprintf(errOut, "administration API: %s\n", strings.Join(d.AdminURLs(), " "))
	fmt.Fprintln(errOut, "serving until interrupted; type help for the fault commands")
	return nil
}

// runFaultsFromInput runs the fault commands of standard input until its end.
func runFaultsFromInput(cmd *cobra.Command, d *demo.Demo) {
	lines := bufio.NewScanner(cmd.InOrStdin())
	for lines.Scan() {
		runFault(cmd, d, lines.Text())
	}
}

// runFault runs a fault command and prints its outcome.
func runFault(cmd *cobra.Command, d *demo.Demo, command string) {
	errOut := cmd.ErrOrStderr()
	if strings.TrimSpace(command) == "help" {
		fmt.Fprintln(errOut, demo.FaultHelp)
		return
	}
	if err := d.RunFaultCommand(command); err != nil {
		fmt.Fprintln(errOut, err)
		return
	}
	fmt.Fprintf(errOut, "done: %s\n", command)
}

// parseFaults parses values of --fault such as "10s crash-primary quetzal_orders".
func parseFaults(texts []string) ([]scheduledFault, error) {
	var faults []scheduledFault
	for _, text := range texts {
		delay, command, found := strings.Cut(strings.TrimSpace(text), " ")
		if !found {
			return nil, fmt.Errorf("--fault %q: want a delay and a command", text)
		}
		after, err := time.ParseDuration(delay)
		if err != nil || after < 0 {
			return nil, fmt.Errorf("--fault %q: %q is not a delay such as 10s", text, delay)
		}
		faults = append(faults, scheduledFault{after: after, command: command})
	}
	return faults, nil
}

// openLog opens a log file for appending. With an empty name the log is discarded.
func openLog(name string) (out io.Writer, closeLog func(), err error) {
	if name == "" {
		return io.Discard, func() {}, nil
	}
	file, err := os.OpenFile(filepath.Clean(name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	return file, func() { _ = file.Close() }, nil
}
