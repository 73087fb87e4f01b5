package measure

import (
	"slices"
	"time"
)

// collector gathers the figures of all variants of one scenario over the repetitions.
type collector struct {
	deployment string
	results    []ScenarioResult
	scenario   string
}

func newCollector(deployment, scenario string) *collector {
	return &collector{deployment: deployment, scenario: scenario}
}

// add adds one sample of a figure.
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

// count adds a sample of a count of which less is better.
func (c *collector) count(variant, name string, value int) {
	c.add(variant, name, float64(value), UnitCount, DirectionLower)
}

// millis adds a sample of a duration.
func (c *collector) millis(variant, name string, value time.Duration) {
	c.add(variant, name, float64(value)/float64(time.Millisecond), UnitMilliseconds, DirectionLower)
}

// percent adds a sample of a part of a whole. It adds nothing when the whole is zero.
func (c *collector) percent(variant, name string, part, whole int64, better Direction) {
	if whole > 0 {
		c.add(variant, name, 100*float64(part)/float64(whole), UnitPercent, better)
	}
}

// errors adds the errors of a tally to a variant.
func (c *collector) errors(variant string, codes map[string]int64) {
	result := c.variant(variant)
	for code, count := range codes {
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

// series replaces the line of a plot of the same name.
func (c *collector) series(variant string, line Series) {
	result := c.variant(variant)
	result.Series = slices.DeleteFunc(result.Series, func(s Series) bool { return s.Name == line.Name })
	result.Series = append(result.Series, line)
}

func (c *collector) variant(name string) *ScenarioResult {
	for i := range c.results {
		if c.results[i].Variant == name {
			return &c.results[i]
		}
	}
	c.results = append(c.results, ScenarioResult{Deployment: c.deployment, Scenario: c.scenario, Variant: name})
	return &c.results[len(c.results)-1]
}
