package measure

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/demo"
	"github.com/nutmegpier/nutmegpier/workspace"
)

const (
	// loadFactorWithinRate is the load as a fraction of the rate limit, in the variants
	// that stay within the limit.
	loadFactorWithinRate = 0.8
	// loadFactorAboveRate is the load as a multiple of the rate limit, in the variant
	// that exceeds the limit.
	loadFactorAboveRate = 3
	// sessionsPerInstance is the number of sessions on one instance.
	sessionsPerInstance = 8
)

// admissionRecord is one request and whether the rate limit refused it.
type admissionRecord struct {
	answeredAt time.Time
	// instance is the index of the instance.
	instance int
	refused  bool
	sentAt   time.Time
}

// skewVariant is a distribution of the requests over the instances, and their load as a
// multiple of the rate limit.
type skewVariant struct {
	loadFactor float64
	skew       workspace.Skew
	name       string
}

func skewVariants() []skewVariant {
	return []skewVariant{
		{name: "Equal", skew: workspace.SkewEqual, loadFactor: loadFactorWithinRate},
		{name: "80-20", skew: workspace.SkewEightyTwenty, loadFactor: loadFactorWithinRate},
		{name: "OneInstance", skew: workspace.SkewOne, loadFactor: loadFactorWithinRate},
		{name: "OverRate", skew: workspace.SkewEqual, loadFactor: loadFactorAboveRate},
	}
}

// runWrongfulRefusals sends the requests of one small workspace with several
// distributions over the instances, and compares each decision to admit or refuse with
// that of a simulated central token bucket. The baseline is a static equal share of the
// limit for each instance, simulated with the same requests.
func runWrongfulRefusals(ctx context.Context, r *repetition) error {
	for _, variant := range skewVariants() {
		if err := r.wrongfulRefusals(ctx, variant); err != nil {
			return err
		}
	}
	return nil
}

// wrongfulRefusals runs one variant and reports its figures.
func (r *repetition) wrongfulRefusals(ctx context.Context, variant skewVariant) error {
	workspaceIndex := len(r.testbed.keys) - 1
	limit := r.testbed.limit(r.testbed.keys[workspaceIndex].Workspace)
	// Wait until the buckets are full again after the previous variant.
	if err := sleep(ctx, 2*time.Duration(limit.Burst/limit.Rate*float64(time.Second))); err != nil {
		return err
	}
	var log admissionLog
	streams := r.newSkewedStreams(variant, limit.Rate, workspaceIndex, &log)
	runLoad(ctx, streams, r.duration, r.seed)
	admissions := log.sorted()
	central := simulateCentral(limit, admissions)
	static := simulateStaticShares(limit, len(r.testbed.instances), admissions)
	actual := make([]bool, len(admissions))
	for i, a := range admissions {
		actual[i] = !a.refused
	}
	c := r.collector
	c.percent(variant.name, "Wrongful", wrongfulRefusals(actual, central), int64(len(admissions)), DirectionLower)
	c.percent(variant.name+" StaticShares", "Wrongful", wrongfulRefusals(static, central), int64(len(admissions)), DirectionLower)
	c.count(variant.name, "OverAdmitted", maxOverAdmission(limit, admissions))
	c.add(variant.name, "Arrivals", float64(len(admissions)), UnitCount, DirectionHigher)
	c.percent(variant.name, "AdmittedOfCentral", countAdmitted(actual), countAdmitted(central), DirectionHigher)
	c.errors(variant.name, mergeStats(streams).errorsByCode)
	return nil
}

// newSkewedStreams returns a stream for each instance that gets requests. The requests
// are recorded in log.
func (r *repetition) newSkewedStreams(variant skewVariant, rate float64, workspaceIndex int, log *admissionLog) []*stream {
	key := r.testbed.keys[workspaceIndex]
	var streams []*stream
	for index, part := range arrivalShares(variant.skew, len(r.testbed.instances)) {
		if part == 0 {
			continue
		}
		st := &stream{rate: part * variant.loadFactor * rate, stats: newStats()}
		for i := range sessionsPerInstance {
			st.sessions = append(st.sessions, newSession(r.testbed, key, key.Databases[i%len(key.Databases)], index, 0))
		}
		st.send = func(ctx context.Context, s *session, _ request) error {
			if err := s.connect(ctx); err != nil {
				return err
			}
			sentAt := time.Now()
			_, err := s.exec(ctx, "SELECT 1")
			log.add(admissionRecord{answeredAt: time.Now(), instance: index, refused: err != nil && codeOf(err) == codeRateExceeded, sentAt: sentAt})
			return err
		}
		streams = append(streams, st)
	}
	return streams
}

// arrivalShares returns the fraction of the requests that each instance gets.
func arrivalShares(skew workspace.Skew, instances int) []float64 {
	shares := make([]float64, instances)
	if skew == workspace.SkewOne {
		shares[0] = 1
		return shares
	}
	busy := max(1, instances/5)
	for i := range shares {
		switch {
		case skew == workspace.SkewEqual || busy == instances:
			shares[i] = 1 / float64(instances)
		case i < busy:
			shares[i] = 0.8 / float64(busy)
		default:
			shares[i] = 0.2 / float64(instances-busy)
		}
	}
	return shares
}

// admissionLog records the requests of all sessions. It is safe for concurrent use.
type admissionLog struct {
	entries []admissionRecord
	mu      sync.Mutex
}

func (l *admissionLog) add(record admissionRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, record)
}

// sorted returns the requests in the order in which they were sent.
func (l *admissionLog) sorted() []admissionRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortFunc(l.entries, func(a, b admissionRecord) int { return a.sentAt.Compare(b.sentAt) })
	return l.entries
}

// newLimiter returns a limiter that is valid for maxDuration and holds a fraction of the
// workspace's limit.
func newLimiter(limit demo.Workspace, fraction float64, now time.Time) *workspace.Limiter {
	limiter := workspace.NewLimiter()
	limiter.Renew(now, now.Add(maxDuration))
	full := workspace.FullShare(workspace.Limit{Burst: limit.Burst, Rate: limit.Rate, Workspace: limit.Workspace})
	given, _ := full.Split(fraction)
	limiter.Set(now, limit.Workspace, given)
	return limiter
}

// simulateCentral returns for each request whether one token bucket for all instances
// admits it.
func simulateCentral(limit demo.Workspace, admissions []admissionRecord) []bool {
	return simulateStaticShares(limit, 1, admissions)
}

// simulateStaticShares returns for each request whether its instance admits it if each
// instance has a static equal share of the limit.
func simulateStaticShares(limit demo.Workspace, instances int, admissions []admissionRecord) []bool {
	decisions := make([]bool, len(admissions))
	limiters := make([]*workspace.Limiter, instances)
	for i, a := range admissions {
		index := a.instance % instances
		if limiters[index] == nil {
			limiters[index] = newLimiter(limit, 1/float64(instances), admissions[0].sentAt)
		}
		decisions[i] = limiters[index].Admit(a.sentAt, limit.Workspace).Admitted
	}
	return decisions
}

// wrongfulRefusals counts the refused requests that the central bucket admits.
func wrongfulRefusals(decisions, central []bool) int64 {
	count := int64(0)
	for i, admitted := range decisions {
		if !admitted && central[i] {
			count++
		}
	}
	return count
}

func countAdmitted(decisions []bool) int64 {
	count := int64(0)
	for _, admitted := range decisions {
		if admitted {
			count++
		}
	}
	return count
}

// maxOverAdmission returns the largest number by which the admitted requests in a time
// window exceed the burst plus the rate times the length of the window. A request counts
// only if it was both sent and answered in the window, so that a positive result proves
// that the limit was exceeded.
func maxOverAdmission(limit demo.Workspace, admissions []admissionRecord) int {
	var answers []time.Time
	excess := 0.0
	for i := len(admissions) - 1; i >= 0; i-- {
		if admissions[i].refused {
			continue
		}
		insertAt, _ := slices.BinarySearchFunc(answers, admissions[i].answeredAt, time.Time.Compare)
		answers = slices.Insert(answers, insertAt, admissions[i].answeredAt)
		for earlier, answeredAt := range answers {
			window := answeredAt.Sub(admissions[i].sentAt).Seconds()
			excess = max(excess, float64(earlier+1)-limit.Burst-limit.Rate*window)
		}
	}
	return int(excess)
}
