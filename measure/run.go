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

// maxDuration bounds Options.Duration.
const maxDuration = 10 * time.Minute

// Options configure a run.
type Options struct {
	// Command is the command line that is recorded in the result.
	Command string
	// Deployments are run one after the other.
	Deployments []demo.Deployment
	// Duration is how long the load of one variant runs in one repetition. Some
	// scenarios divide or multiply it, or wait for events instead.
	Duration time.Duration
	// Instances is the number of instances of each deployment.
	Instances int
	// Progress receives a line when a deployment and a repetition start. It may be nil.
	Progress io.Writer
	// Repeat is the number of repetitions.
	Repeat int
	// Scenarios holds the names of the scenarios to run. They run in the order of the
	// function Scenarios.
	Scenarios []string
	// Seed seeds the arrival times and the mix of requests. Each repetition adds its
	// index to it.
	Seed uint64
	// Version is the program version that is recorded in the result.
	Version string
}

// scenario is an experiment that runs on one deployment.
type scenario struct {
	// adaptDeployment changes the deployment before it starts. It may be nil.
	adaptDeployment func(*demo.Deployment)
	name            string
	// run runs all variants once and adds their figures to the collector.
	run func(ctx context.Context, r *repetition) error
}

// repetition holds the parameters of one repetition of a scenario.
type repetition struct {
	collector *collector
	duration  time.Duration
	// index is the number of earlier repetitions.
	index   int
	seed    uint64
	testbed *testbed
}

// scenarios returns all scenarios in the order in which they run.
func scenarios() []scenario {
	return []scenario{
		{name: "ReplicaShare", run: runReplicaShare, adaptDeployment: addMarksTable},
		{name: "FailoverGap", run: runFailoverGap, adaptDeployment: addMarksTable},
		{name: "WorstWorkspace", run: runWorstWorkspace, adaptDeployment: addMarksTable},
		{name: "WrongfulRefusals", run: runWrongfulRefusals},
		{name: "DataCentreLeave", run: runDataCentreLeave, adaptDeployment: addMarksTable},
		{name: "Overhead", run: runOverhead, adaptDeployment: adaptForOverhead},
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
	if err := options.validate(); err != nil {
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
			results, err := options.runScenario(ctx, s, deployment)
			if err != nil {
				return nil, &Error{Op: "run " + s.name + " on " + deployment.Name, Kind: KindRun, Err: err}
			}
			result.Scenarios = append(result.Scenarios, results...)
		}
	}
	return result, nil
}

func (o Options) validate() error {
	for _, name := range o.Scenarios {
		if !slices.Contains(Scenarios(), name) {
			return fmt.Errorf("unknown scenario %q, want one of %s", name, strings.Join(Scenarios(), ", "))
		}
	}
	switch {
	case o.Duration <= 0 || o.Duration > maxDuration:
		return fmt.Errorf("the duration is %v, want more than 0 and at most %v", o.Duration, maxDuration)
	case o.Instances < 1:
		return fmt.Errorf("the number of instances is %d, want at least 1", o.Instances)
	case o.Repeat < 1:
		return fmt.Errorf("the number of repetitions is %d, want at least 1", o.Repeat)
	}
	return nil
}

// runScenario starts the deployment and runs all repetitions of the scenario on it.
func (o Options) runScenario(ctx context.Context, s scenario, deployment demo.Deployment) ([]ScenarioResult, error) {
	if s.adaptDeployment != nil {
		s.adaptDeployment(&deployment)
	}
	o.logProgress("%s on %s: starting %d instances", s.name, deployment.Name, o.Instances)
	tb, err := startTestbed(ctx, deployment, o.Instances)
	if err != nil {
		return nil, err
	}
	defer tb.close()
	collected := newCollector(deployment.Name, s.name)
	for index := range o.Repeat {
		o.logProgress("%s on %s: repetition %d of %d", s.name, deployment.Name, index+1, o.Repeat)
		r := &repetition{
			collector: collected,
			duration:  o.Duration,
			index:     index,
			seed:      o.Seed + uint64(index),
			testbed:   tb,
		}
		if err := s.run(ctx, r); err != nil {
			return nil, err
		}
	}
	return collected.results, nil
}

func (o Options) logProgress(format string, arguments ...any) {
	if o.Progress != nil {
		fmt.Fprintf(o.Progress, time.Now().Format(time.TimeOnly)+" "+format+"\n", arguments...)
	}
}
