// Package measure runs load tests and experiments. Each scenario runs on instances and
// on stand-ins for the platform and the backend servers, in one process over loopback.
// Results are stored as JSON, reported as HTML, and compared with each other.
package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// ResultFormat is the version of the JSON format of a Result.
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

// Direction says whether higher or lower values of a figure are better.
type Direction string

// Directions in which figures improve.
const (
	// DirectionHigher means that higher values are better.
	DirectionHigher Direction = "Higher"
	// DirectionLower means that lower values are better.
	DirectionLower Direction = "Lower"
)

// Figure is one measured quantity of a variant of a scenario. Samples holds the values
// of all repetitions, usually one for each.
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

// Series is a list of points that is drawn as a line in a plot.
type Series struct {
	Name   string
	Points []Point
	XLabel string
	YLabel string
}

// ScenarioResult is the result of one variant of a scenario on one deployment. The
// product and its baselines are variants of the same scenario and run in the same
// process.
type ScenarioResult struct {
	Deployment string
	Errors     []ErrorCount
	Figures    []Figure
	Scenario   string
	Series     []Series
	Variant    string
}

// ErrorCount is the number of requests that failed with an SQLSTATE, or with a
// connection error.
type ErrorCount struct {
	Code  string
	Count int64
}

// Result is the result of one run.
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

// ReadResult reads a result in JSON. It rejects unknown fields and other format
// versions.
func ReadResult(r io.Reader) (*Result, error) {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	var result Result
	if err := decoder.Decode(&result); err != nil {
		return nil, &Error{Op: "read result", Kind: KindInput, Err: err}
	}
	if result.Format != ResultFormat {
		return nil, &Error{Op: "read result", Kind: KindInput, Err: fmt.Errorf("the format version is %d, want %d", result.Format, ResultFormat)}
	}
	return &result, nil
}

// Write writes the result as JSON.
func (r *Result) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return &Error{Op: "write result", Kind: KindRun, Err: err}
	}
	return nil
}
