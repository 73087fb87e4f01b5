package workspace

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Strategy is a way to enforce a rate limit that holds over all instances.
type Strategy string

// Strategies that are compared.
const (
	// StrategyCentralCounter counts each request in a shared table.
	StrategyCentralCounter Strategy = "CentralCounter"
	// StrategyMovedShares gives each instance a share and moves parts of it to
	// peers that ask for more.
	StrategyMovedShares Strategy = "MovedShares"
	// StrategyOwnerLeases makes one instance the owner of each workspace, which
	// leases tokens to the others in batches.
	StrategyOwnerLeases Strategy = "OwnerLeases"
	// StrategyStaticShares gives each instance a fixed equal share.
	StrategyStaticShares Strategy = "StaticShares"
)

// Skew is a distribution of the arrivals over the instances.
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
	compareInstances     = 9
	compareLeaseDuration = time.Second
	// compareEmptyPeerBackoff is how long a peer that had nothing to give isn't
	// asked again.
	compareEmptyPeerBackoff = 100 * time.Millisecond
	// compareRefillInterval is how often instances ask peers for shares, and the
	// time for which a batch of leased tokens should last.
	compareRefillInterval = 100 * time.Millisecond
	compareDuration       = 60 * time.Second
	// instanceLossStart is when one instance dies. Its shares, and the workspaces
	// that it owns, are available again at instanceLossEnd, after 10 s to evict it
	// and a lease with clock drift.
	instanceLossStart = 40 * time.Second
	instanceLossEnd   = 54 * time.Second
	// tableOutageStart and tableOutageEnd bound the outage of the shared table.
	tableOutageStart = 20 * time.Second
	tableOutageEnd   = 30 * time.Second
)

// Comparison is the result of one strategy for one skew and workspace.
type Comparison struct {
	Admitted int
	Arrivals int
	Limit    Limit
	// OverAdmitted is the number of admitted requests that exceed burst + rate·w
	// in a window of length w.
	OverAdmitted int
	Skew         Skew
	Strategy     Strategy
	// WrongfulPercent is the percentage of arrivals that were refused although a
	// central token bucket without outages admits them.
	WrongfulPercent float64
}

// arrival is one request.
type arrival struct {
	at       time.Time
	instance int
	// limit is the index of the workspace's limit.
	limit int
}

// strategy simulates a Strategy. Arrivals are passed in the order of their times.
type strategy interface {
	admit(a arrival) bool
}

// CompareStrategies simulates all strategies on the same arrivals: one minute, 9
// instances, 8 workspaces, and Poisson arrivals at 90% of the rate limit, but at
// three times the limit for the last workspace. The shared table is down for 10 s.
// The instance with the index lostInstance dies, and its callers move to the next
// one; a negative index means that none dies. Calls between instances take no time
// in the simulation; in production each takes about 2 ms.
func CompareStrategies(seed uint64, lostInstance int) []Comparison {
	limits := compareLimits()
	var results []Comparison
	for _, skew := range []Skew{SkewEightyTwenty, SkewEqual, SkewMoving, SkewOne} {
		arrivals := compareArrivals(seed, skew, limits, lostInstance)
		for _, name := range []Strategy{StrategyCentralCounter, StrategyMovedShares, StrategyOwnerLeases, StrategyStaticShares} {
			results = append(results, compareStrategy(name, skew, limits, arrivals, lostInstance)...)
		}
	}
	return results
}

// compareLimits returns the limits of the simulated workspaces.
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

// compareArrivals returns the arrivals of all workspaces in the order of their times.
func compareArrivals(seed uint64, skew Skew, limits []Limit, lostInstance int) []arrival {
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
			if at >= compareDuration {
				break
			}
			instance := chooseInstance(random, skew, at)
			if at >= instanceLossStart && instance == lostInstance {
				instance = (instance + 1) % compareInstances
			}
			arrivals = append(arrivals, arrival{at: begin.Add(at), instance: instance, limit: i})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	return arrivals
}

// compareStrategy runs one strategy and compares its decisions with a central bucket.
// Another bucket counts the admissions above the limit.
func compareStrategy(name Strategy, skew Skew, limits []Limit, arrivals []arrival, lostInstance int) []Comparison {
	begin := time.Unix(0, 0)
	tested := newStrategy(name, begin, limits, lostInstance)
	reference := newBuckets(begin, limits)
	overLimitCheck := newBuckets(begin, limits)
	results := make([]Comparison, len(limits))
	wrongful := make([]int, len(limits))
	for i, limit := range limits {
		results[i] = Comparison{Limit: limit, Skew: skew, Strategy: name}
	}
	for _, a := range arrivals {
		id := limits[a.limit].Workspace
		result := &results[a.limit]
		result.Arrivals++
		referenceAdmits := reference.Admit(a.at, id).Admitted
		if !tested.admit(a) {
			if referenceAdmits {
				wrongful[a.limit]++
			}
			continue
		}
		result.Admitted++
		if !overLimitCheck.Admit(a.at, id).Admitted {
			result.OverAdmitted++
		}
	}
	for i := range results {
		results[i].WrongfulPercent = 100 * float64(wrongful[i]) / float64(max(results[i].Arrivals, 1))
	}
	return results
}

// newBuckets returns a limiter that holds the whole of each limit.
func newBuckets(begin time.Time, limits []Limit) *Limiter {
	limiter := NewLimiter()
	limiter.Renew(begin, begin.Add(time.Hour))
	for _, limit := range limits {
		limiter.Set(begin, limit.Workspace, FullShare(limit))
	}
	return limiter
}

// newStrategy returns the simulation of a strategy.
func newStrategy(name Strategy, begin time.Time, limits []Limit, lostInstance int) strategy {
	switch name {
	case StrategyCentralCounter:
		return &centralStrategy{begin: begin, buckets: newBuckets(begin, limits), limits: limits}
	case StrategyOwnerLeases:
		return &ownerStrategy{begin: begin, leases: make(map[instanceLimitKey]*tokenLease), limits: limits, lostInstance: lostInstance, owner: newBuckets(begin, limits)}
	}
	shares := &sharesStrategy{begin: begin, limits: limits, lostInstance: lostInstance, moveShares: name == StrategyMovedShares}
	for range compareInstances {
		limiter := NewLimiter()
		limiter.Renew(begin, begin.Add(time.Hour))
		demands := make([]*Demand, len(limits))
		for i, limit := range limits {
			given, _ := FullShare(limit).Split(1.0 / compareInstances)
			limiter.Set(begin, limit.Workspace, given)
			demands[i] = NewDemand(begin)
		}
		shares.members = append(shares.members, &sharesMember{emptyUntil: make(map[instanceLimitKey]time.Time), demands: demands, limiter: limiter, nextCheckAt: begin})
	}
	return shares
}

// chooseInstance returns the index of the instance at which a request arrives.
func chooseInstance(random *rand.Rand, skew Skew, at time.Duration) int {
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

// centralStrategy counts each request in the shared table. It refuses all requests
// while the table is down, because the count isn't known.
type centralStrategy struct {
	begin   time.Time
	buckets *Limiter
	limits  []Limit
}

func (s *centralStrategy) admit(a arrival) bool {
	if elapsed := a.at.Sub(s.begin); elapsed >= tableOutageStart && elapsed < tableOutageEnd {
		return false
	}
	return s.buckets.Admit(a.at, s.limits[a.limit].Workspace).Admitted
}

// instanceLimitKey identifies an instance and a limit by their indexes.
type instanceLimitKey struct {
	instance int
	limit    int
}

// tokenLease is the tokens that an owner leased to one instance.
type tokenLease struct {
	tokens int
	until  time.Time
}

// ownerStrategy leases tokens from the owner of a workspace for
// compareLeaseDuration. Unused tokens are lost when the lease ends.
type ownerStrategy struct {
	begin        time.Time
	leases       map[instanceLimitKey]*tokenLease
	limits       []Limit
	lostInstance int
	owner        *Limiter
}

func (s *ownerStrategy) admit(a arrival) bool {
	key := instanceLimitKey{a.instance, a.limit}
	lease := s.leases[key]
	if lease == nil || lease.tokens == 0 || !a.at.Before(lease.until) {
		lease = &tokenLease{until: a.at.Add(compareLeaseDuration)}
		s.leases[key] = lease
		limit := s.limits[a.limit]
		elapsed := a.at.Sub(s.begin)
		if a.limit%compareInstances == s.lostInstance && elapsed >= instanceLossStart && elapsed < instanceLossEnd {
			return false
		}
		batch := int(math.Max(1, limit.Rate*compareRefillInterval.Seconds()))
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

// sharesStrategy gives each instance a share. If moveShares is true, parts of it move
// to other instances on demand.
type sharesStrategy struct {
	begin                   time.Time
	limits                  []Limit
	lostInstance            int
	members                 []*sharesMember
	moveShares              bool
	lostSharesRedistributed bool
}

// sharesMember is the state of one instance.
type sharesMember struct {
	demands []*Demand
	// emptyUntil holds the times before which peers that had nothing to give
	// aren't asked again.
	emptyUntil map[instanceLimitKey]time.Time
	limiter    *Limiter
	// nextCheckAt is when the instance next asks for the shares that it lacks.
	nextCheckAt time.Time
}

func (s *sharesStrategy) admit(a arrival) bool {
	if s.lostInstance >= 0 && !s.lostSharesRedistributed && a.at.Sub(s.begin) >= instanceLossEnd {
		s.lostSharesRedistributed = true
		s.redistributeLostShares(a.at)
	}
	member := s.members[a.instance]
	if s.moveShares && !a.at.Before(member.nextCheckAt) {
		member.nextCheckAt = a.at.Add(compareRefillInterval)
		for i := range s.limits {
			s.requestShares(a.at, a.instance, i)
		}
	}
	id := s.limits[a.limit].Workspace
	admitted := member.limiter.Admit(a.at, id).Admitted
	member.demands[a.limit].Record(a.at, admitted)
	if admitted || !s.moveShares {
		return admitted
	}
	s.requestShares(a.at, a.instance, a.limit)
	return member.limiter.Admit(a.at, id).Admitted
}

// requestShares asks the peers for what the instance lacks, one after the other. Those
// that had nothing to give most recently are asked last.
func (s *sharesStrategy) requestShares(now time.Time, instance, limit int) {
	member := s.members[instance]
	id := s.limits[limit].Workspace
	order := make([]int, 0, compareInstances)
	for i := range s.members {
		if i == s.lostInstance && now.Sub(s.begin) >= instanceLossStart {
			continue
		}
		if i != instance && !now.Before(member.emptyUntil[instanceLimitKey{i, limit}]) {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return member.emptyUntil[instanceLimitKey{a, limit}].Compare(member.emptyUntil[instanceLimitKey{b, limit}])
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
			member.emptyUntil[instanceLimitKey{i, limit}] = now.Add(compareEmptyPeerBackoff)
			continue
		}
		donor.limiter.Set(now, id, kept)
		member.limiter.Set(now, id, Merge(member.limiter.Share(now, id), given))
	}
}

// redistributeLostShares divides the shares of the lost instance among the others,
// without the tokens in its buckets.
func (s *sharesStrategy) redistributeLostShares(now time.Time) {
	for _, limit := range s.limits {
		share := s.members[s.lostInstance].limiter.Share(now, limit.Workspace)
		share.Level = 0
		given, _ := share.Split(1.0 / (compareInstances - 1))
		for i, member := range s.members {
			if i != s.lostInstance {
				member.limiter.Set(now, limit.Workspace, Merge(member.limiter.Share(now, limit.Workspace), given))
			}
		}
	}
}
