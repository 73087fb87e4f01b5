package measure

import (
	"slices"
	"time"
)

// collector collects the results of all variants of one scenario on one deployment.
// Each repetition adds one sample to each figure.
type collector struct {
	deployment string
	results    []ScenarioResult
	scenario   string
}

func newCollector(deployment, scenario string) *collector {
	return &collector{deployment: deployment, scenario: scenario}
}

// add adds a sample to a figure of a variant. It creates the figure if there is none
// of that name yet.
func (c *collector) add(variant, name string, value float64, unit Unit, better Direction) {
	result := c.variant(variant)
	for i := range result.Figures {
		if result.Figures[i].Name == name {
			result.Figures[i].Samples = append(result.Figures[i].Samples, value)
			return
		}
	}
	result.Figures = append(result.Figures, Figure{Better: better, Name: name, Samples: []float64{value}, Unit: unit})
}

// count adds a sample of a count, of which lower values are better.
func (c *collector) count(variant, name string, value int) {
	c.add(variant, name, float64(value), UnitCount, DirectionLower)
}

// milliseconds adds a sample of a duration, of which lower values are better.
func (c *collector) milliseconds(variant, name string, value time.Duration) {
	c.add(variant, name, float64(value)/float64(time.Millisecond), UnitMilliseconds, DirectionLower)
}

// percent adds part as a percentage of whole. It adds no sample if whole is zero.
func (c *collector) percent(variant, name string, part, whole int64, better Direction) {
	if whole > 0 {
		c.add(variant, name, 100*float64(part)/float64(whole), UnitPercent, better)
	}
}

// errors adds numbers of errors by code to those of a variant, sorted by code.
func (c *collector) errors(variant string, countsByCode map[string]int64) {
	result := c.variant(variant)
	for code, count := range countsByCode {
		i := slices.IndexFunc(result.Errors, func(e ErrorCount) bool { return e.Code == code })
		if i < 0 {
			result.Errors = append(result.Errors, ErrorCount{Code: code})
			i = len(result.Errors) - 1
		}
		result.Errors[i].Count += count
	}
	slices.SortFunc(result.Errors, func(a, b ErrorCount) int {
		if a.Code < b.Code {
			return -1
		}
		return 1
	})
}

// series sets a series of a variant. It replaces the series of the same name, so that
// the last repetition is kept.
func (c *collector) series(variant string, line Series) {
	result := c.variant(variant)
	result.Series = slices.DeleteFunc(result.Series, func(s Series) bool { return s.Name == line.Name })
	result.Series = append(result.Series, line)
}

// variant returns the result of a variant, which it creates if there is none yet.
func (c *collector) variant(name string) *ScenarioResult {
	for i := range c.results {
		if c.results[i].Variant == name {
			return &c.results[i]
		}
	}
	c.results = append(c.results, ScenarioResult{Deployment: c.deployment, Scenario: c.scenario, Variant: name})
	return &c.results[len(c.results)-1]
}
