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
	// insideLoad is the part of the rate in the variants inside the rate.
	insideLoad = 0.8
	// overLoad is the load of the variant above the rate.
	overLoad = 3
	// sessionsPerInstance bounds the sessions at one instance.
	sessionsPerInstance = 8
)

// admission is one request with what became of it.
type admission struct {
	answered time.Time
	instance int
	refused  bool
	sent     time.Time
}

// skewVariant is a spread of the arrivals over the instances.
type skewVariant struct {
	load float64
	skew workspace.Skew
	name string
}

func skewVariants() []skewVariant {
	return []skewVariant{
		{name: "Equal", skew: workspace.SkewEqual, load: insideLoad},
		{name: "80-20", skew: workspace.SkewEightyTwenty, load: insideLoad},
		{name: "OneInstance", skew: workspace.SkewOne, load: insideLoad},
		{name: "OverRate", skew: workspace.SkewEqual, load: overLoad},
	}
}

// runWrongfulRefusals sends the load of one small workspace with skewed
// arrivals and compares each decision with a central bucket. The baseline is a
// static share for each instance, computed on the same arrivals.
func runWrongfulRefusals(ctx context.Context, r *repetition) error {
	for _, variant := range skewVariants() {
		if err := r.wrongful(ctx, variant); err != nil {
			return err
		}
	}
	return nil
}

func (r *repetition) wrongful(ctx context.Context, variant skewVariant) error {
	last := len(r.world.keys) - 1
	limit := r.world.limit(r.world.keys[last].Workspace)
	// The buckets fill up again between variants.
	if err := pause(ctx, 2*time.Duration(limit.Burst/limit.Rate*float64(time.Second))); err != nil {
		return err
	}
	var log admissionLog
	lanes := r.skewedLanes(variant, limit.Rate, last, &log)
	runLoad(ctx, lanes, r.duration, r.seed)
	admissions := log.sorted()
	central := decideCentral(limit, admissions)
	static := decideStatic(limit, len(r.world.instances), admissions)
	product := make([]bool, len(admissions))
	for i, a := range admissions {
		product[i] = !a.refused
	}
	c := r.collector
	c.percent(variant.name, "Wrongful", wrongful(product, central), int64(len(admissions)), DirectionLower)
	c.percent(variant.name+" StaticShares", "Wrongful", wrongful(static, central), int64(len(admissions)), DirectionLower)
	c.count(variant.name, "OverAdmitted", overAdmitted(limit, admissions))
	c.add(variant.name, "Arrivals", float64(len(admissions)), UnitCount, DirectionHigher)
	c.percent(variant.name, "AdmittedOfCentral", countTrue(product), countTrue(central), DirectionHigher)
	c.errors(variant.name, total(lanes).codes)
	return nil
}

// skewedLanes returns a lane for each instance that gets requests.
func (r *repetition) skewedLanes(variant skewVariant, rate float64, workspaceNumber int, log *admissionLog) []*lane {
	key := r.world.keys[workspaceNumber]
	var lanes []*lane
	for place, part := range skewParts(variant.skew, len(r.world.instances)) {
		if part == 0 {
			continue
		}
		l := &lane{rate: part * variant.load * rate, tally: newTally()}
		for i := range sessionsPerInstance {
			l.sessions = append(l.sessions, newSession(r.world, key, key.Databases[i%len(key.Databases)], place, 0))
		}
		l.work = func(ctx context.Context, s *session, _ arrival) error {
			if err := s.connect(ctx); err != nil {
				return err
			}
			sent := time.Now()
			_, err := s.exec(ctx, "SELECT 1")
			log.add(admission{answered: time.Now(), instance: place, refused: err != nil && codeOf(err) == codeRate, sent: sent})
			return err
		}
		lanes = append(lanes, l)
	}
	return lanes
}

// skewParts returns the part of the arrivals that each instance gets.
func skewParts(skew workspace.Skew, instances int) []float64 {
	parts := make([]float64, instances)
	if skew == workspace.SkewOne {
		parts[0] = 1
		return parts
	}
	busy := max(1, instances/5)
	for i := range parts {
		switch {
		case skew == workspace.SkewEqual || busy == instances:
			parts[i] = 1 / float64(instances)
		case i < busy:
			parts[i] = 0.8 / float64(busy)
		default:
			parts[i] = 0.2 / float64(instances-busy)
		}
	}
	return parts
}

// admissionLog gathers the requests of all sessions.
type admissionLog struct {
	entries []admission
	mu      sync.Mutex
}

func (l *admissionLog) add(a admission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, a)
}

// sorted returns the requests in the order in which they were sent.
func (l *admissionLog) sorted() []admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortFunc(l.entries, func(a, b admission) int { return a.sent.Compare(b.sent) })
	return l.entries
}

// bucket returns a limiter that holds a fraction of a limit.
func bucket(limit demo.Workspace, fraction float64, now time.Time) *workspace.Limiter {
	limiter := workspace.NewLimiter()
	limiter.Renew(now, now.Add(maxDuration))
	full := workspace.FullShare(workspace.Limit{Burst: limit.Burst, Rate: limit.Rate, Workspace: limit.Workspace})
	given, _ := full.Split(fraction)
	limiter.Set(now, limit.Workspace, given)
	return limiter
}

// decideCentral returns what one bucket for all instances decides.
func decideCentral(limit demo.Workspace, admissions []admission) []bool {
	return decideStatic(limit, 1, admissions)
}

// decideStatic returns what equal static shares decide.
func decideStatic(limit demo.Workspace, instances int, admissions []admission) []bool {
	decisions := make([]bool, len(admissions))
	limiters := make([]*workspace.Limiter, instances)
	for i, a := range admissions {
		place := a.instance % instances
		if limiters[place] == nil {
			limiters[place] = bucket(limit, 1/float64(instances), admissions[0].sent)
		}
		decisions[i] = limiters[place].Admit(a.sent, limit.Workspace).Admitted
	}
	return decisions
}

// wrongful counts the refusals of requests that the central bucket admits.
func wrongful(decisions, central []bool) int64 {
	count := int64(0)
	for i, admitted := range decisions {
		if !admitted && central[i] {
			count++
		}
	}
	return count
}

func countTrue(decisions []bool) int64 {
	count := int64(0)
	for _, admitted := range decisions {
		if admitted {
			count++
		}
	}
	return count
}

// overAdmitted returns by how much the admissions in any window exceed burst
// plus rate times its length. A request counts to a window only if it was sent
// and answered in it, so that a positive count is a proof.
func overAdmitted(limit demo.Workspace, admissions []admission) int {
	var answers []time.Time
	excess := 0.0
	for i := len(admissions) - 1; i >= 0; i-- {
		if admissions[i].refused {
			continue
		}
		place, _ := slices.BinarySearchFunc(answers, admissions[i].answered, time.Time.Compare)
		answers = slices.Insert(answers, place, admissions[i].answered)
		for n, answered := range answers {
			window := answered.Sub(admissions[i].sent).Seconds()
			excess = max(excess, float64(n+1)-limit.Burst-limit.Rate*window)
		}
	}
	return int(excess)
}
