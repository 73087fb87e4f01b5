package workspace

// equalPart is the part that is divided equally, whatever the demand, so that an
// instance can serve its first requests before others know of them.
const equalPart = 0.25

// DemandShare returns the fraction of something scarce that one instance holds,
// from its own demand and that of all instances, its own included, in requests a
// second. The fractions of all instances add up to one.
func DemandShare(own float64, all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	equal := 1 / float64(len(all))
	sum := 0.0
	for _, demand := range all {
		sum += demand
	}
	if sum <= 0 {
		return equal
	}
	return equalPart*equal + (1-equalPart)*own/sum
}
