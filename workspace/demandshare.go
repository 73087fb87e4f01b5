package workspace

// equalFraction is the fraction that is divided equally, regardless of demand, so that
// an instance can serve its first requests before the others know of its demand.
const equalFraction = 0.25

// DemandShare returns the fraction of a shared resource that one instance may use. Own
// is its demand and all holds the demands of all instances, including its own, in
// requests per second. The fractions of all instances add up to one.
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
	return equalFraction*equal + (1-equalFraction)*own/sum
}
