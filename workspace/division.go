package workspace

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// startLevel is the time for which the first parts of a process are filled: a
	// restart takes about as long, and nothing was admitted meanwhile. A whole
	// burst would let a restarted instance grant it twice.
	startLevel = time.Second
	// extraLife is how long requests from a pool may be used: a few times the
	// demand for which they are taken.
	extraLife = time.Second
)

// DistributedLimiter admits operations of workspaces on one instance: from its share of
// each limit, and from what it took from the pools. It also holds the pools that
// this instance owns. It is safe for concurrent use.
type DistributedLimiter struct {
	mu     sync.Mutex
	demand map[fleet.WorkspaceID]*demandMeter
	// directory knows the pools of each workspace that has a limit.
	directory map[fleet.WorkspaceID]*poolDirectory
	extra     map[fleet.WorkspaceID]extraRequests
	// limiter holds the own shares, pools what this instance gives to all.
	limiter *Limiter
	pools   *Limiter
	self    fleet.InstanceID
	// started is true once the instance has held a part.
	started bool
	// limits and members are those of the last call of Divide, at dividedAt.
	limits    []Limit
	members   []Member
	dividedAt time.Time
	// changeAt is when the parts change next by the age of a member, or zero.
	changeAt time.Time
}

// extraRequests are requests from a pool that are not used yet.
type extraRequests struct {
	count float64
	until time.Time
}

// NewDistributedLimiter returns a division of one instance, which admits nothing yet.
func NewDistributedLimiter(self fleet.InstanceID) *DistributedLimiter {
	return &DistributedLimiter{
		demand:    map[fleet.WorkspaceID]*demandMeter{},
		directory: map[fleet.WorkspaceID]*poolDirectory{},
		extra:     map[fleet.WorkspaceID]extraRequests{},
		limiter:   NewLimiter(),
		pools:     NewLimiter(),
		self:      self,
	}
}

// Add keeps requests that were taken from a pool. Those that are not used soon
// are lost, so that they do not add up to a second burst.
func (d *DistributedLimiter) Add(now time.Time, id fleet.WorkspaceID, requests float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if left := d.extra[id]; now.Before(left.until) {
		requests += left.count
	}
	d.extra[id] = extraRequests{count: requests, until: now.Add(extraLife)}
}

// Admit takes one operation of a workspace.
func (d *DistributedLimiter) Admit(now time.Time, id fleet.WorkspaceID) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(now)
	decision := d.limiter.Admit(now, id)
	if !decision.Admitted && d.takeExtra(now, id) {
		return Decision{Admitted: true}
	}
	return decision
}

// Count notes that an operation of a workspace was asked for.
func (d *DistributedLimiter) RecordDemand(now time.Time, id fleet.WorkspaceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meter(now, id).add(now, 1)
}

// Demand returns the demand of one workspace in requests a second.
func (d *DistributedLimiter) Demand(now time.Time, id fleet.WorkspaceID) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	meter := d.meter(now, id)
	meter.add(now, 0)
	return meter.rate
}

// Divide sets the shares and pools from the live instances, this one included.
// All instances compute them from the same rows, so that they add up to no more
// than the limits. Parts are left to a joining instance before it takes them.
func (d *DistributedLimiter) Divide(now time.Time, limits []Limit, members []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits, d.members, d.dividedAt = limits, members, now
	d.apply(now)
	d.forget()
}

// refresh divides anew if the age of a member has changed the parts.
func (d *DistributedLimiter) refresh(now time.Time) {
	if !d.changeAt.IsZero() && !now.Before(d.changeAt) {
		d.apply(now)
	}
}

// apply sets the parts by the ages of the members at a time.
func (d *DistributedLimiter) apply(now time.Time) {
	members := make([]Member, len(d.members))
	for i, m := range d.members {
		members[i] = Member{Age: m.Age + now.Sub(d.dividedAt), Instance: m.Instance, Phase: m.Phase}
	}
	d.changeAt = time.Time{}
	if wait := nextChange(members); wait > 0 {
		d.changeAt = now.Add(wait)
	}
	holding := holders(members, func(m Member) bool { return m.holds(0) })
	mayHold := holders(members, Member.mayHold)
	takesPart := slices.Contains(holding, d.self)
	// Others have admitted for an instance that joins them; nobody has for one
	// that restarts, or when all do.
	fill := takesPart && !d.started && !d.joined(members)
	newLimitsFill := d.started
	d.started = d.started || takesPart
	for _, limit := range d.limits {
		owners := PoolOwners(limit.Workspace, holding)
		pooled := PooledFraction(limit, len(members))
		direct, pool := 0.0, 0.0
		if takesPart {
			direct = (1 - pooled) / float64(len(members))
		}
		if slices.Contains(owners, d.self) && slices.Contains(PoolOwners(limit.Workspace, mayHold), d.self) {
			pool = pooled / float64(len(owners))
		}
		directory, fillThis := d.directory[limit.Workspace], fill
		if directory == nil {
			directory = &poolDirectory{}
			d.directory[limit.Workspace] = directory
			fillThis = fillThis || newLimitsFill
		}
		directory.setOwners(d.self, owners)
		setShare(d.limiter, now, limit, direct, fillThis)
		setShare(d.pools, now, limit, pool, fillThis)
	}
}

// joined reports whether this instance holds parts because of its age.
func (d *DistributedLimiter) joined(members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Instance == d.self && m.Phase != PhaseHolding })
}

// forget drops the workspaces that have no limit any more.
func (d *DistributedLimiter) forget() {
	known := make(map[fleet.WorkspaceID]bool, len(d.limits))
	for _, limit := range d.limits {
		known[limit.Workspace] = true
	}
	for id := range d.directory {
		if !known[id] {
			delete(d.directory, id)
			delete(d.demand, id)
			d.limiter.Remove(id)
			d.pools.Remove(id)
		}
	}
}

// Give takes requests from the own pool of a workspace for an instance that
// wants them. Without any, the time to come back is given.
func (d *DistributedLimiter) TakeFromPool(now time.Time, id fleet.WorkspaceID, want float64) (given float64, retryAfter time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(now)
	return d.pools.Take(now, id, want)
}

// Owners returns the owners of the pools of a workspace in the order in which
// to ask them. It returns none if the instance may not admit.
func (d *DistributedLimiter) PoolOwners(now time.Time, id fleet.WorkspaceID) []PoolOwner {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(now)
	known := d.directory[id]
	if known == nil || !now.Before(d.limiter.ValidUntil()) {
		return nil
	}
	return known.inTurn(d.self)
}

// Renew sets the end of the time for which the instance may admit.
func (d *DistributedLimiter) Renew(now, validUntil time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter.Renew(now, validUntil)
	d.pools.Renew(now, validUntil)
}

// TotalDemand returns the demand of all workspaces in requests a second.
func (d *DistributedLimiter) TotalDemand(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0.0
	for _, meter := range d.demand {
		meter.add(now, 0)
		total += meter.rate
	}
	return total
}

// SkipOwner keeps one owner's pool from being asked for a while.
func (d *DistributedLimiter) SkipOwner(id fleet.WorkspaceID, owner fleet.InstanceID, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.directory[id]
	if known == nil {
		return
	}
	for i := range known.owners {
		if known.owners[i].Instance == owner {
			known.owners[i].SkipUntil = until
		}
	}
}

func (d *DistributedLimiter) meter(now time.Time, id fleet.WorkspaceID) *demandMeter {
	meter := d.demand[id]
	if meter == nil {
		meter = &demandMeter{counted: now}
		d.demand[id] = meter
	}
	return meter
}

// setShare sets a fraction of a limit, which begins filled for startLevel or with
// what was minted before.
func setShare(limiter *Limiter, now time.Time, limit Limit, fraction float64, fill bool) {
	share := Share{}
	if fraction > 0 && limit.Rate > 0 {
		// A bucket under one request would never admit any.
		share = Share{Capacity: math.Max(1, limit.Burst*fraction), Rate: limit.Rate * fraction}
	}
	if fill {
		share.Level = math.Min(share.Capacity, fraction+share.Rate*startLevel.Seconds())
	} else {
		share.Level = limiter.Share(now, limit.Workspace).Level
	}
	limiter.Set(now, limit.Workspace, share)
}

// takeExtra admits one request from what was taken from pools.
func (d *DistributedLimiter) takeExtra(now time.Time, id fleet.WorkspaceID) bool {
	extra := d.extra[id]
	if extra.count < 1 || !now.Before(extra.until) || !now.Before(d.limiter.ValidUntil()) {
		return false
	}
	extra.count--
	d.extra[id] = extra
	return true
}
