package measure

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Verdict is the conclusion of a comparison of one figure in two results.
type Verdict string

// Verdicts of comparisons.
const (
	// VerdictBetter means that the figure improved significantly.
	VerdictBetter Verdict = "Better"
	// VerdictNoise means that there is no difference, or that it is not significant.
	VerdictNoise Verdict = "Noise"
	// VerdictTooFew means that one of the results has too few samples for a test.
	VerdictTooFew Verdict = "TooFew"
	// VerdictWorse means that the figure became significantly worse.
	VerdictWorse Verdict = "Worse"
)

const (
	// minSamples is the smallest number of samples with which the rank test can reach
	// significance at the 5% level if both results have equally many.
	minSamples = 4
	// significanceLevel is the largest p-value at which a difference counts as
	// significant.
	significanceLevel = 0.05
)

// Comparison compares one figure of two results.
type Comparison struct {
	// After is the median in the second result.
	After float64
	// Before is the median in the first result.
	Before     float64
	Deployment string
	Figure     string
	// P is the p-value of the rank test. It is 1 if there are too few samples.
	P        float64
	Scenario string
	Unit     Unit
	Variant  string
	Verdict  Verdict
}

// Compare compares the figures that are in both results, in the order of the second
// result. It tests for a significant difference with a two-sided Mann-Whitney rank test
// and reports the medians of the samples.
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

// findFigure returns the figure with the given name and with the deployment, scenario
// and variant of key.
func findFigure(result *Result, key ScenarioResult, name string) (Figure, bool) {
	for _, scenario := range result.Scenarios {
		if scenario.Scenario != key.Scenario || scenario.Variant != key.Variant || scenario.Deployment != key.Deployment {
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
	comparison.P = rankTestP(before.Samples, after.Samples)
	comparison.Verdict = verdictFor(comparison, after.Better)
	return comparison
}

func verdictFor(comparison Comparison, better Direction) Verdict {
	if comparison.P > significanceLevel || comparison.Before == comparison.After {
		return VerdictNoise
	}
	higher := comparison.After > comparison.Before
	if higher == (better == DirectionHigher) {
		return VerdictBetter
	}
	return VerdictWorse
}

// rankTestP returns the p-value of the two-sided Mann-Whitney rank test. It computes the
// exact distribution of the rank sum of a by dynamic programming. Tied samples get the
// mean of their ranks.
func rankTestP(a, b []float64) float64 {
	ranks := doubledRanks(a, b)
	rankSum := 0
	for _, rank := range ranks[:len(a)] {
		rankSum += rank
	}
	counts := rankSumCounts(ranks, len(a))
	mean := stat.Mean(intsToFloats(ranks), nil) * float64(len(a))
	deviation := math.Abs(float64(rankSum) - mean)
	var total, extreme float64
	for sum, count := range counts {
		total += count
		if math.Abs(float64(sum)-mean) >= deviation-1e-9 {
			extreme += count
		}
	}
	return extreme / total
}

// doubledRanks returns twice the rank of each sample of a, then of b, among all samples.
// Tied samples get the mean of their ranks. Doubling makes the ranks integers, because
// a mean rank is a multiple of one half.
func doubledRanks(a, b []float64) []int {
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

// rankSumCounts returns, indexed by sum, the number of subsets of subsetSize ranks that
// have this sum.
func rankSumCounts(ranks []int, subsetSize int) []float64 {
	maxSum := 0
	for _, rank := range ranks {
		maxSum += rank
	}
	// subsets[n][sum] is the number of subsets of n ranks that have this sum.
	subsets := make([][]float64, subsetSize+1)
	for i := range subsets {
		subsets[i] = make([]float64, maxSum+1)
	}
	subsets[0][0] = 1
	for _, rank := range ranks {
		for taken := subsetSize; taken >= 1; taken-- {
			for sum := maxSum; sum >= rank; sum-- {
				subsets[taken][sum] += subsets[taken-1][sum-rank]
			}
		}
	}
	return subsets[subsetSize]
}

func intsToFloats(values []int) []float64 {
	floats := make([]float64, len(values))
	for i, value := range values {
		floats[i] = float64(value)
	}
	return floats
}
