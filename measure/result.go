// Package measure is the load and experiment tool. It runs scenarios on
// instances and stand-ins over loopback and reports what it saw.
package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// ResultFormat is the version of the JSON form of a Result.
const ResultFormat = 1

// Unit is the unit of a figure.
type Unit string

// Units of figures.
const (
	UnitBytes        Unit = "B"
	UnitCount        Unit = "count"
	UnitMicroseconds Unit = "us"
	UnitMilliseconds Unit = "ms"
	UnitPercent      Unit = "%"
	UnitPerSecond    Unit = "1/s"
)

// Direction says which way a figure improves.
type Direction string

// Directions of improvement.
const (
	// DirectionHigher is for figures that are better when larger.
	DirectionHigher Direction = "Higher"
	// DirectionLower is for figures that are better when smaller.
	DirectionLower Direction = "Lower"
)

// Figure is one measured quantity of a scenario. Samples holds one value for
// each repetition.
type Figure struct {
	Better  Direction
	Name    string
	Samples []float64
	Unit    Unit
}

// Point is one point of a series.
type Point struct {
	X, Y float64
}

// Series is a line of a plot.
type Series struct {
	Name   string
	Points []Point
	XLabel string
	YLabel string
}

// ScenarioResult is what one variant of a scenario showed. The product and its
// baselines are variants of the same scenario and run in the same process.
type ScenarioResult struct {
	Deployment string
	Errors     []ErrorCount
	Figures    []Figure
	Scenario   string
	Series     []Series
	Variant    string
}

// ErrorCount counts the requests that ended with an SQLSTATE.
type ErrorCount struct {
	Code  string
	Count int64
}

// Result is the outcome of one run of the tool.
type Result struct {
	Command  string
	Duration time.Duration
	Format   int
	Machine  string
	Seed     uint64
	Started  time.Time
	Version  string

	Scenarios []ScenarioResult
}

// ReadResult reads the JSON form of a result and checks its version.
func ReadResult(r io.Reader) (*Result, error) {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	var result Result
	if err := decoder.Decode(&result); err != nil {
		return nil, &Error{Op: "read result", Kind: KindInput, Err: err}
	}
	if result.Format != ResultFormat {
		return nil, &Error{Op: "read result", Kind: KindInput, Err: fmt.Errorf("format is %d, want %d", result.Format, ResultFormat)}
	}
	return &result, nil
}

// Write writes the JSON form.
func (r *Result) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return &Error{Op: "write result", Kind: KindRun, Err: err}
	}
	return nil
}
