package workspace

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Strategy is a way to keep a limit over all instances.
type Strategy string

// Strategies that are compared.
const (
	// StrategyCentralCounter counts each request in the table.
	StrategyCentralCounter Strategy = "CentralCounter"
	// StrategyMovedShares lets instances move shares to peers that ask.
	StrategyMovedShares Strategy = "MovedShares"
	// StrategyOwnerLeases lets one instance for each workspace lease tokens in batches.
	StrategyOwnerLeases Strategy = "OwnerLeases"
	// StrategyStaticShares gives each instance the same share for good.
	StrategyStaticShares Strategy = "StaticShares"
)

// Skew is how arrivals spread over the instances.
type Skew string

// Skews that are compared.
const (
	// SkewEightyTwenty sends 80% of the requests to a fifth of the instances.
	SkewEightyTwenty Skew = "80-20"
	// SkewEqual sends each request to a random instance.
	SkewEqual Skew = "Equal"
	// SkewMoving sends all requests to one instance, another one every 5 s.
	SkewMoving Skew = "Moving"
	// SkewOne sends all requests to one instance.
	SkewOne Skew = "OneInstance"
)

const (
	compareInstances = 9
	compareLeaseTime = time.Second
	compareMovePause = 100 * time.Millisecond
	comparePeriod    = 100 * time.Millisecond
	compareTime      = 60 * time.Second
	// lossBegin is when one instance dies. Its shares and the workspaces that
	// it owns come back at lossEnd: 10 s to evict it and a lease with drift.
	lossBegin   = 40 * time.Second
	lossEnd     = 54 * time.Second
	outageBegin = 20 * time.Second
	outageEnd   = 30 * time.Second
)

// Comparison is the result of one strategy on one skew and workspace.
type Comparison struct {
	Admitted int
	Arrivals int
	Limit    Limit
	// OverAdmitted is the number of admissions above burst + rate·w.
	OverAdmitted int
	Skew         Skew
	Strategy     Strategy
	// WrongfulPercent is the part of the arrivals that was refused although a
	// central bucket without outages admits it, in percent.
	WrongfulPercent float64
}

// arrival is one request.
type arrival struct {
	at       time.Time
	instance int
	limit    int
}

// strategy decides on arrivals in the order of time.
type strategy interface {
	admit(a arrival) bool
}

// CompareStrategies runs all strategies on the same arrivals: one minute, 9
// instances, 8 workspaces, Poisson arrivals at 90% of the rate, but at three
// times the rate for the last workspace. The table is down for 10 s. The lost instance dies, with its callers
// going to the next one; a negative number means that none dies. Calls
// between instances take no time here; each costs about 2 ms in service.
func CompareStrategies(seed uint64, lost int) []Comparison {
	limits := compareLimits()
	var results []Comparison
	for _, skew := range []Skew{SkewEightyTwenty, SkewEqual, SkewMoving, SkewOne} {
		arrivals := compareArrivals(seed, skew, limits, lost)
		for _, name := range []Strategy{StrategyCentralCounter, StrategyMovedShares, StrategyOwnerLeases, StrategyStaticShares} {
			results = append(results, compareOne(name, skew, limits, arrivals, lost)...)
		}
	}
	return results
}

func compareLimits() []Limit {
	limits := []Limit{{Burst: 5, Rate: 5}, {Burst: 200, Rate: 200}, {Burst: 200, Rate: 20}}
	for len(limits) < 8 {
		limits = append(limits, Limit{Burst: 20, Rate: 20})
	}
	for i := range limits {
		limits[i].Workspace = fleet.WorkspaceID("w" + strconv.Itoa(i))
	}
	return limits
}

func compareArrivals(seed uint64, skew Skew, limits []Limit, lost int) []arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	begin := time.Unix(0, 0)
	var arrivals []arrival
	for i, limit := range limits {
		offered := 0.9 * limit.Rate
		if i == len(limits)-1 {
			offered = 3 * limit.Rate
		}
		for at := time.Duration(0); ; {
			at += time.Duration(random.ExpFloat64() / offered * float64(time.Second))
			if at >= compareTime {
				break
			}
			instance := place(random, skew, at)
			if at >= lossBegin && instance == lost {
				instance = (instance + 1) % compareInstances
			}
			arrivals = append(arrivals, arrival{at: begin.Add(at), instance: instance, limit: i})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	return arrivals
}

func compareOne(name Strategy, skew Skew, limits []Limit, arrivals []arrival, lost int) []Comparison {
	begin := time.Unix(0, 0)
	tested := newStrategy(name, begin, limits, lost)
	reference := newBuckets(begin, limits)
	check := newBuckets(begin, limits)
	results := make([]Comparison, len(limits))
	wrongful := make([]int, len(limits))
	for i, limit := range limits {
		results[i] = Comparison{Limit: limit, Skew: skew, Strategy: name}
	}
	for _, a := range arrivals {
		id := limits[a.limit].Workspace
		result := &results[a.limit]
		result.Arrivals++
		rightful := reference.Admit(a.at, id).Admitted
		if !tested.admit(a) {
			if rightful {
				wrongful[a.limit]++
			}
			continue
		}
		result.Admitted++
		if !check.Admit(a.at, id).Admitted {
			result.OverAdmitted++
		}
	}
	for i := range results {
		results[i].WrongfulPercent = 100 * float64(wrongful[i]) / float64(max(results[i].Arrivals, 1))
	}
	return results
}

// newBuckets returns a limiter that holds all limits in full.
func newBuckets(begin time.Time, limits []Limit) *Limiter {
	limiter := NewLimiter()
	limiter.Renew(begin, begin.Add(time.Hour))
	for _, limit := range limits {
		limiter.Set(begin, limit.Workspace, FullShare(limit))
	}
	return limiter
}

func newStrategy(name Strategy, begin time.Time, limits []Limit, lost int) strategy {
	switch name {
	case StrategyCentralCounter:
		return &centralStrategy{begin: begin, buckets: newBuckets(begin, limits), limits: limits}
	case StrategyOwnerLeases:
		return &ownerStrategy{begin: begin, leases: make(map[arrivalKey]*tokenLease), limits: limits, lost: lost, owner: newBuckets(begin, limits)}
	}
	moved := &sharesStrategy{begin: begin, limits: limits, lost: lost, move: name == StrategyMovedShares}
	for range compareInstances {
		limiter := NewLimiter()
		limiter.Renew(begin, begin.Add(time.Hour))
		demands := make([]*Demand, len(limits))
		for i, limit := range limits {
			given, _ := FullShare(limit).Split(1.0 / compareInstances)
			limiter.Set(begin, limit.Workspace, given)
			demands[i] = NewDemand(begin)
		}
		moved.members = append(moved.members, &sharesMember{emptyUntil: make(map[arrivalKey]time.Time), demands: demands, limiter: limiter, lookAt: begin})
	}
	return moved
}

func place(random *rand.Rand, skew Skew, at time.Duration) int {
	switch skew {
	case SkewEightyTwenty:
		if random.Float64() < 0.8 {
			return random.IntN(2)
		}
		return 2 + random.IntN(compareInstances-2)
	case SkewMoving:
		return int(at/(5*time.Second)) % compareInstances
	case SkewOne:
		return 0
	}
	return random.IntN(compareInstances)
}

// centralStrategy asks the table for each request. It refuses while the table
// is down, because it cannot know the count.
type centralStrategy struct {
	begin   time.Time
	buckets *Limiter
	limits  []Limit
}

func (s *centralStrategy) admit(a arrival) bool {
	if elapsed := a.at.Sub(s.begin); elapsed >= outageBegin && elapsed < outageEnd {
		return false
	}
	return s.buckets.Admit(a.at, s.limits[a.limit].Workspace).Admitted
}

type arrivalKey struct {
	instance int
	limit    int
}

type tokenLease struct {
	tokens int
	until  time.Time
}

// ownerStrategy leases tokens for a second. Tokens that are left when a lease
// ends are lost.
type ownerStrategy struct {
	begin  time.Time
	leases map[arrivalKey]*tokenLease
	limits []Limit
	lost   int
	owner  *Limiter
}

func (s *ownerStrategy) admit(a arrival) bool {
	key := arrivalKey{a.instance, a.limit}
	lease := s.leases[key]
	if lease == nil || lease.tokens == 0 || !a.at.Before(lease.until) {
		lease = &tokenLease{until: a.at.Add(compareLeaseTime)}
		s.leases[key] = lease
		limit := s.limits[a.limit]
		elapsed := a.at.Sub(s.begin)
		if a.limit%compareInstances == s.lost && elapsed >= lossBegin && elapsed < lossEnd {
			return false
		}
		batch := int(math.Max(1, limit.Rate*comparePeriod.Seconds()))
		for range batch {
			if s.owner.Admit(a.at, limit.Workspace).Admitted {
				lease.tokens++
			}
		}
	}
	if lease.tokens == 0 {
		return false
	}
	lease.tokens--
	return true
}

// sharesStrategy holds a share at each instance and moves parts on demand.
type sharesStrategy struct {
	begin   time.Time
	limits  []Limit
	lost    int
	members []*sharesMember
	move    bool
	split   bool
}

type sharesMember struct {
	demands    []*Demand
	emptyUntil map[arrivalKey]time.Time
	limiter    *Limiter
	lookAt     time.Time
}

func (s *sharesStrategy) admit(a arrival) bool {
	if s.lost >= 0 && !s.split && a.at.Sub(s.begin) >= lossEnd {
		s.split = true
		s.splitLost(a.at)
	}
	member := s.members[a.instance]
	if s.move && !a.at.Before(member.lookAt) {
		member.lookAt = a.at.Add(comparePeriod)
		for i := range s.limits {
			s.ask(a.at, a.instance, i)
		}
	}
	id := s.limits[a.limit].Workspace
	admitted := member.limiter.Admit(a.at, id).Admitted
	member.demands[a.limit].Record(a.at, admitted)
	if admitted || !s.move {
		return admitted
	}
	s.ask(a.at, a.instance, a.limit)
	return member.limiter.Admit(a.at, id).Admitted
}

// ask asks the peers one after the other, in the order of how long ago they had nothing left.
func (s *sharesStrategy) ask(now time.Time, instance, limit int) {
	member := s.members[instance]
	id := s.limits[limit].Workspace
	order := make([]int, 0, compareInstances)
	for i := range s.members {
		if i == s.lost && now.Sub(s.begin) >= lossBegin {
			continue
		}
		if i != instance && !now.Before(member.emptyUntil[arrivalKey{i, limit}]) {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return member.emptyUntil[arrivalKey{a, limit}].Compare(member.emptyUntil[arrivalKey{b, limit}])
	})
	for _, i := range order {
		demand := member.demands[limit]
		wanted := demand.Shortfall(now, member.limiter.Share(now, id))
		if demand.Rate(now) < 1e-3 || wanted.Level <= 0 && wanted.Rate <= 0 {
			return
		}
		donor := s.members[i]
		share := donor.limiter.Share(now, id)
		given, kept := donor.demands[limit].SplitForPeer(now, share, wanted)
		if given == (Share{}) {
			member.emptyUntil[arrivalKey{i, limit}] = now.Add(compareMovePause)
			continue
		}
		donor.limiter.Set(now, id, kept)
		member.limiter.Set(now, id, Merge(member.limiter.Share(now, id), given))
	}
}

// splitLost gives the share of the lost instance to the others, without its level.
func (s *sharesStrategy) splitLost(now time.Time) {
	for _, limit := range s.limits {
		share := s.members[s.lost].limiter.Share(now, limit.Workspace)
		share.Level = 0
		given, _ := share.Split(1.0 / (compareInstances - 1))
		for i, member := range s.members {
			if i != s.lost {
				member.limiter.Set(now, limit.Workspace, Merge(member.limiter.Share(now, limit.Workspace), given))
			}
		}
	}
}
