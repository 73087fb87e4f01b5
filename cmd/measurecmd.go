package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
	"unicode"

	"github.com/spf13/cobra"

	"github.com/nutmegpier/nutmegpier/demo"
	"github.com/nutmegpier/nutmegpier/measure"
)

// Defaults of the flags of measure.
const (
	defaultMeasureDuration = 5 * time.Second
	defaultMeasureRepeat   = 5
)

// measureOptions holds the flags of the commands that run scenarios.
type measureOptions struct {
	databases  int
	deployment string
	duration   time.Duration
	instances  int
	out        string
	repeat     int
	report     string
	scenarios  []string
	seed       uint64
}

func newMeasureCmd(options *globalOptions) *cobra.Command {
	all := newMeasureRunCmd("all", "Run all scenarios", measure.Scenarios())
	compare := &cobra.Command{
		Args:    exactArgs("BEFORE", "AFTER"),
		Example: "  nutmegpier measure compare before.json after.json",
		Long:    "Compare reads two results and compares the medians of each figure. A difference\nthat is not significant in a two-sided rank test at the 5% level has the verdict Noise.",
		RunE: func(cmd *cobra.Command, args []string) error {
			return runMeasureCompare(cmd, options, args[0], args[1])
		},
		Short: "Compare two results",
		Use:   "compare BEFORE AFTER",
	}
	children := []*cobra.Command{all, compare}
	for _, name := range measure.Scenarios() {
		children = append(children, newMeasureRunCmd(kebabCase(name), "Run the scenario "+name, []string{name}))
	}
	return newGroupCmd("measure", "Run load and experiments on instances and stand-ins in this process", children...)
}

// kebabCase converts a name in Pascal case to a command name in kebab case.
func kebabCase(name string) string {
	var text strings.Builder
	for i, letter := range name {
		if i > 0 && unicode.IsUpper(letter) {
			text.WriteByte('-')
		}
		text.WriteRune(unicode.ToLower(letter))
	}
	return text.String()
}

func newMeasureRunCmd(use, short string, scenarios []string) *cobra.Command {
	local := &measureOptions{scenarios: scenarios}
	command := &cobra.Command{
		Args:    exactArgs(),
		Example: "  nutmegpier measure " + use + " --duration 5s --repeat 5 --out result.json --report report.html",
		RunE:    func(cmd *cobra.Command, _ []string) error { return runMeasureCmd(cmd, local) },
		Short:   short,
		Use:     use,
	}
	flags := command.Flags()
	flags.IntVar(&local.databases, "databases", 0, "number of databases of each deployment; zero means all")
	flags.StringVar(&local.deployment, "deployment", "", "name of the only deployment to run; empty means all")
	flags.DurationVar(&local.duration, "duration", defaultMeasureDuration, "length of each variant in each repetition")
	flags.IntVar(&local.instances, "instances", measure.DefaultInstances, "number of instances of each deployment")
	flags.StringVar(&local.out, "out", "", "file for the result as JSON; empty means standard output")
	flags.IntVar(&local.repeat, "repeat", defaultMeasureRepeat, "number of repetitions")
	flags.StringVar(&local.report, "report", "", "file for the report as HTML; empty means none")
	flags.Uint64Var(&local.seed, "seed", 1, "seed of the random request arrivals")
	return command
}

func runMeasureCmd(cmd *cobra.Command, local *measureOptions) error {
	deployments, err := local.deployments()
	if err != nil {
		return usageError(cmd, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	result, err := measure.Run(ctx, measure.Options{
		Command:     strings.Join(os.Args, " "),
		Deployments: deployments,
		Duration:    local.duration,
		Instances:   local.instances,
		Progress:    cmd.ErrOrStderr(),
		Repeat:      local.repeat,
		Scenarios:   local.scenarios,
		Seed:        local.seed,
		Version:     builtVersion().Revision,
	})
	if err != nil {
		return err
	}
	if err := writeOutput(cmd, local.out, result.Write); err != nil {
		return err
	}
	if local.report == "" {
		return nil
	}
	return writeOutput(cmd, local.report, func(w io.Writer) error { return measure.WriteReport(w, result) })
}

// deployments returns the deployments to run, each reduced to the requested number
// of databases.
func (o *measureOptions) deployments() ([]demo.Deployment, error) {
	var selected []demo.Deployment
	for _, deployment := range demo.Deployments() {
		if o.deployment != "" && !strings.EqualFold(deployment.Name, o.deployment) {
			continue
		}
		if o.databases < 0 || o.databases > len(deployment.Databases) {
			return nil, fmt.Errorf("--databases %d: deployment %s has %d databases", o.databases, deployment.Name, len(deployment.Databases))
		}
		if o.databases > 0 {
			deployment.Databases = deployment.Databases[:o.databases]
			for i := range deployment.Workspaces {
				deployment.Workspaces[i].Databases = deployment.Workspaces[i].Databases[:o.databases]
			}
		}
		selected = append(selected, deployment)
	}
	if len(selected) == 0 {
		return nil, fmt.Errorf("--deployment %q: no such deployment", o.deployment)
	}
	return selected, nil
}

// writeOutput writes to a file, or to standard output if the name is empty.
func writeOutput(cmd *cobra.Command, file string, write func(io.Writer) error) error {
	if file == "" {
		return write(cmd.OutOrStdout())
	}
	created, err := os.Create(file)
	if err != nil {
		return inputError(cmd, err)
	}
	if err := write(created); err != nil {
		_ = created.Close()
		return err
	}
	return created.Close()
}

func runMeasureCompare(cmd *cobra.Command, options *globalOptions, before, after string) error {
	earlier, err := readMeasureResult(cmd, before)
	if err != nil {
		return err
	}
	later, err := readMeasureResult(cmd, after)
	if err != nil {
		return err
	}
	comparisons := nonNil(measure.Compare(earlier, later))
	return options.print(cmd, comparisons, func(out io.Writer) error {
		for _, c := range comparisons {
			fmt.Fprintf(out, "%-10s %-17s %-14s %-24s %12.4g %12.4g %-5s p=%.3f %s\n",
				c.Deployment, c.Scenario, c.Variant, c.Figure, c.Before, c.After, c.Unit, c.P, c.Verdict)
		}
		return nil
	})
}

// readMeasureResult reads a result that a run wrote as JSON.
func readMeasureResult(cmd *cobra.Command, file string) (*measure.Result, error) {
	opened, err := os.Open(file)
	if err != nil {
		return nil, inputError(cmd, err)
	}
	defer opened.Close()
	result, err := measure.ReadResult(opened)
	if err != nil {
		return nil, inputError(cmd, err)
	}
	return result, nil
}
