package pool

import "time"

// maxSampleRatio bounds a sample by the average, so that the statements that were running
// while a server was frozen don't make it seem overloaded afterwards.
const maxSampleRatio = 4

// averageWeight is the weight of a new sample in an average: a change of the load is
// followed within some tens of samples, and one statement of a heavy tail moves the
// average by little.
const averageWeight = 0.03

// average is an exponentially weighted moving average of durations, with a value for the
// time before the first sample.
type average struct {
	initial time.Duration
	samples int
	value   time.Duration
}

// add adds a sample. The first samples have equal weights.
func (a *average) add(sample time.Duration) {
	a.samples++
	weight := max(averageWeight, 1/float64(a.samples))
	if a.samples > 1 {
		sample = min(sample, maxSampleRatio*max(a.value, time.Millisecond))
	}
	a.value += time.Duration(weight * float64(sample-a.value))
}

// get returns the average.
func (a *average) get() time.Duration {
	if a.samples == 0 {
		return a.initial
	}
	return a.value
}
