package pool

import (
	"math"
	"time"
)

const (
	// maxSampleExcess bounds the logarithm by which a sample may exceed the mean: a statement
	// of a heavy tail takes 7 times as long as usual and counts as 4 times.
	maxSampleExcess = 2 * math.Ln2
	// runLength is the number of samples in a row that differ from the mean in the same
	// direction, by runDifference or more, from which on earlier samples count no more than
	// these. Of the usual times of one class, 6 in a row do so rarely.
	runLength     = 6
	runDifference = 0.4
)

// memory says how long the samples of a mean count.
type memory struct {
	// constant is the time constant with which samples lose their weight.
	constant time.Duration
	// limit bounds the weight of the earlier samples.
	limit float64
	// runs means that a run of samples reduces the weight of the earlier ones.
	runs bool
}

var (
	// failureMemory tells a server that fails a sixth of the statements from one that fails
	// a hundredth.
	failureMemory = memory{constant: 4 * time.Second, limit: 64}
	// recentMemory follows a change within some tens of samples, or a few if it is large.
	recentMemory = memory{constant: 4 * time.Second, limit: 48, runs: true}
)

// decayingMean is a mean whose samples lose their weight over time.
type decayingMean struct {
	at time.Time
	// run is the number of samples in a row above the mean, or negative, below it.
	run    int
	value  float64
	weight float64
}

// weightAt returns the weight of the samples at a time.
func (m *decayingMean) weightAt(now time.Time, kept memory) float64 {
	if m.weight == 0 {
		return 0
	}
	return m.weight * math.Exp(-max(0, now.Sub(m.at).Seconds())/kept.constant.Seconds())
}

// add adds a sample.
func (m *decayingMean) add(now time.Time, sample float64, kept memory) {
	if m.weight > 0 {
		sample = min(sample, m.value+maxSampleExcess)
	}
	m.weight = min(kept.limit, m.weightAt(now, kept))
	if kept.runs {
		m.addToRun(sample)
	}
	m.weight++
	m.value += (sample - m.value) / m.weight
	m.at = now
}

// addToRun counts a sample that differs from the mean, and reduces the weight of the earlier
// ones at the end of a run.
func (m *decayingMean) addToRun(sample float64) {
	switch difference := sample - m.value; {
	case difference >= runDifference:
		m.run = max(0, m.run) + 1
	case difference <= -runDifference:
		m.run = min(0, m.run) - 1
	default:
		m.run = 0
	}
	if max(m.run, -m.run) >= runLength {
		m.weight = min(m.weight, runLength)
	}
}

// classTimes are the logarithms of the times of statements of one class on a server, and
// how many timed out.
type classTimes struct {
	class StatementClass
	mean  decayingMean
	// timeouts is the fraction of the statements that timed out.
	timeouts decayingMean
}
