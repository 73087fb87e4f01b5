package measure

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/nutmegpier/nutmegpier/demo"
)

// DefaultInstances is the number of instances of each deployment.
const DefaultInstances = 9

// maxDuration bounds one variant of one repetition.
const maxDuration = 10 * time.Minute

// Options say what a run does.
type Options struct {
	// Command is the command line, for the result.
	Command string
	// Deployments are run one after the other.
	Deployments []demo.Deployment
	// Duration is the length of each variant in each repetition.
	Duration time.Duration
	// Instances is the number of instances of each deployment.
	Instances int
	// Progress receives a line for each step.
	Progress io.Writer
	// Repeat is the number of repetitions.
	Repeat int
	// Scenarios are the names to run, in the order of Scenarios.
	Scenarios []string
	Seed      uint64
	Version   string
}

// scenario is an experiment on one deployment.
type scenario struct {
	// adapt changes the deployment before it starts. It may be nil.
	adapt func(*demo.Deployment)
	name  string
	// run does one repetition of all variants.
	run func(ctx context.Context, r *repetition) error
}

// repetition is what one repetition of a scenario gets.
type repetition struct {
	collector *collector
	duration  time.Duration
	number    int
	seed      uint64
	world     *world
}

// scenarios returns all scenarios in the order in which they run.
func scenarios() []scenario {
	return []scenario{
		{name: "ReplicaShare", run: runReplicaShare, adapt: marksTable},
		{name: "FailoverGap", run: runFailoverGap, adapt: marksTable},
		{name: "WorstWorkspace", run: runWorstWorkspace, adapt: marksTable},
		{name: "WrongfulRefusals", run: runWrongfulRefusals},
		{name: "DataCentreLeave", run: runDataCentreLeave, adapt: marksTable},
		{name: "Overhead", run: runOverhead, adapt: unlimitedRates},
		{name: "SheetSpread", run: runSheetSpread},
		{name: "Control", run: runControl},
	}
}

// Scenarios returns the names of all scenarios in the order in which they run.
func Scenarios() []string {
	var names []string
	for _, s := range scenarios() {
		names = append(names, s.name)
	}
	return names
}

// Run runs the scenarios on each deployment.
func Run(ctx context.Context, options Options) (*Result, error) {
	if err := options.check(); err != nil {
		return nil, &Error{Op: "check options", Kind: KindInput, Err: err}
	}
	result := &Result{
		Command:  options.Command,
		Duration: options.Duration,
		Format:   ResultFormat,
		Machine:  fmt.Sprintf("%s/%s, %d processors", runtime.GOOS, runtime.GOARCH, runtime.NumCPU()),
		Seed:     options.Seed,
		Started:  time.Now().UTC().Truncate(time.Second),
		Version:  options.Version,
	}
	for _, s := range scenarios() {
		if !slices.Contains(options.Scenarios, s.name) {
			continue
		}
		for _, deployment := range options.Deployments {
			collected, err := options.runScenario(ctx, s, deployment)
			if err != nil {
				return nil, &Error{Op: "run " + s.name + " on " + deployment.Name, Kind: KindRun, Err: err}
			}
			result.Scenarios = append(result.Scenarios, collected...)
		}
	}
	return result, nil
}

func (o Options) check() error {
	for _, name := range o.Scenarios {
		if !slices.Contains(Scenarios(), name) {
			return fmt.Errorf("unknown scenario %q, want one of %s", name, strings.Join(Scenarios(), ", "))
		}
	}
	switch {
	case o.Duration <= 0 || o.Duration > maxDuration:
		return fmt.Errorf("duration %v: want more than 0 and at most %v", o.Duration, maxDuration)
	case o.Instances < 1:
		return fmt.Errorf("%d instances: want at least 1", o.Instances)
	case o.Repeat < 1:
		return fmt.Errorf("%d repetitions: want at least 1", o.Repeat)
	}
	return nil
}

func (o Options) runScenario(ctx context.Context, s scenario, deployment demo.Deployment) ([]ScenarioResult, error) {
	if s.adapt != nil {
		s.adapt(&deployment)
	}
	o.progress("%s on %s: start of %d instances", s.name, deployment.Name, o.Instances)
	w, err := startWorld(ctx, deployment, o.Instances)
	if err != nil {
		return nil, err
	}
	defer w.close()
	collected := newCollector(deployment.Name, s.name)
	for number := range o.Repeat {
		o.progress("%s on %s: repetition %d of %d", s.name, deployment.Name, number+1, o.Repeat)
		r := &repetition{
			collector: collected,
			duration:  o.Duration,
			number:    number,
			seed:      o.Seed + uint64(number),
			world:     w,
		}
		if err := s.run(ctx, r); err != nil {
			return nil, err
		}
	}
	return collected.results, nil
}

func (o Options) progress(format string, arguments ...any) {
	if o.Progress != nil {
		fmt.Fprintf(o.Progress, time.Now().Format(time.TimeOnly)+" "+format+"\n", arguments...)
	}
}
