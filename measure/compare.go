package measure

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Verdict says what a comparison of two results shows for a figure.
type Verdict string

// Verdicts of a comparison.
const (
	// VerdictBetter is a change for the better that noise does not explain.
	VerdictBetter Verdict = "Better"
	// VerdictNoise is a difference that noise explains.
	VerdictNoise Verdict = "Noise"
	// VerdictTooFew is given when a side has too few samples to tell.
	VerdictTooFew Verdict = "TooFew"
	// VerdictWorse is a change for the worse that noise does not explain.
	VerdictWorse Verdict = "Worse"
)

const (
	// minSamples is the least number of samples for which the rank test can
	// reach significance at the 5% level with equal sides.
	minSamples = 4
	// significance is the largest probability at which a difference is not
	// taken as noise.
	significance = 0.05
)

// Comparison compares one figure of two results.
type Comparison struct {
	After      float64
	Before     float64
	Deployment string
	Figure     string
	P          float64
	Scenario   string
	Unit       Unit
	Variant    string
	Verdict    Verdict
}

// Compare compares the figures that both results have, in the order of the
// second. Values are medians over the samples. The probability is that of a
// two-sided Mann-Whitney rank test.
func Compare(before, after *Result) []Comparison {
	var comparisons []Comparison
	for _, scenario := range after.Scenarios {
		for _, figure := range scenario.Figures {
			earlier, found := findFigure(before, scenario, figure.Name)
			if !found {
				continue
			}
			comparison := compareFigures(earlier, figure)
			comparison.Deployment = scenario.Deployment
			comparison.Scenario = scenario.Scenario
			comparison.Variant = scenario.Variant
			comparisons = append(comparisons, comparison)
		}
	}
	return comparisons
}

// Median returns the median of the samples, or NaN when there are none.
func Median(samples []float64) float64 {
	if len(samples) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(samples))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

func findFigure(result *Result, like ScenarioResult, name string) (Figure, bool) {
	for _, scenario := range result.Scenarios {
		if scenario.Scenario != like.Scenario || scenario.Variant != like.Variant || scenario.Deployment != like.Deployment {
			continue
		}
		for _, figure := range scenario.Figures {
			if figure.Name == name {
				return figure, true
			}
		}
	}
	return Figure{}, false
}

func compareFigures(before, after Figure) Comparison {
	comparison := Comparison{
		After:  Median(after.Samples),
		Before: Median(before.Samples),
		Figure: after.Name,
		P:      1,
		Unit:   after.Unit,
	}
	if len(before.Samples) < minSamples || len(after.Samples) < minSamples {
		comparison.Verdict = VerdictTooFew
		return comparison
	}
	comparison.P = rankTest(before.Samples, after.Samples)
	comparison.Verdict = verdict(comparison, after.Better)
	return comparison
}

func verdict(comparison Comparison, better Direction) Verdict {
	if comparison.P > significance || comparison.Before == comparison.After {
		return VerdictNoise
	}
	higher := comparison.After > comparison.Before
	if higher == (better == DirectionHigher) {
		return VerdictBetter
	}
	return VerdictWorse
}

// rankTest returns the two-sided probability of the Mann-Whitney rank test by
// enumeration-free recursion over the exact distribution, with tied ranks
// averaged and rounded to half ranks.
func rankTest(a, b []float64) float64 {
	ranks := tiedRanks(a, b)
	total := 0
	for _, rank := range ranks[:len(a)] {
		total += rank
	}
	counts := rankSumCounts(ranks, len(a))
	mean := stat.Mean(intsToFloats(ranks), nil) * float64(len(a))
	distance := math.Abs(float64(total) - mean)
	var all, extreme float64
	for sum, count := range counts {
		all += count
		if math.Abs(float64(sum)-mean) >= distance-1e-9 {
			extreme += count
		}
	}
	return extreme / all
}

// tiedRanks returns twice the rank of each sample of a, then of b.
func tiedRanks(a, b []float64) []int {
	all := slices.Concat(a, b)
	sorted := slices.Sorted(slices.Values(all))
	ranks := make([]int, len(all))
	for i, value := range all {
		first, _ := slices.BinarySearch(sorted, value)
		last := first
		for last < len(sorted) && sorted[last] == value {
			last++
		}
		ranks[i] = first + 1 + last
	}
	return ranks
}

// rankSumCounts returns, for each sum of ranks, the number of ways in which
// size of the ranks have that sum.
func rankSumCounts(ranks []int, size int) []float64 {
	limit := 0
	for _, rank := range ranks {
		limit += rank
	}
	ways := make([][]float64, size+1)
	for i := range ways {
		ways[i] = make([]float64, limit+1)
	}
	ways[0][0] = 1
	for _, rank := range ranks {
		for chosen := size; chosen >= 1; chosen-- {
			for sum := limit; sum >= rank; sum-- {
				ways[chosen][sum] += ways[chosen-1][sum-rank]
			}
		}
	}
	return ways[size]
}

func intsToFloats(values []int) []float64 {
	floats := make([]float64, len(values))
	for i, value := range values {
		floats[i] = float64(value)
	}
	return floats
}
