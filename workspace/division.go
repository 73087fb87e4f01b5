package workspace

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// initialFillTime is the time for which the buckets of a new process are filled
	// at the start. A restart takes about as long, and nothing was admitted
	// meanwhile. A full bucket would let a restarted instance grant the burst twice.
	initialFillTime = time.Second
)

// DistributedLimiter enforces this instance's part of the rate limits that hold over
// all instances. A part of each limit is divided into equal direct shares, one for
// each instance. The rest is in pools, each owned by one instance, from which all
// instances take tokens on demand. One token admits one request.
//
// It admits requests from the direct share, and it holds the pools that this instance
// owns. Admitter adds tokens from pools. It is safe for concurrent use.
type DistributedLimiter struct {
	mu     sync.Mutex
	demand map[fleet.WorkspaceID]*demandMeter
	// directory says where the pools of each workspace that has a limit are.
	directory map[fleet.WorkspaceID]PoolLocation
	// limiter holds this instance's direct shares, and pools the pools that it owns.
	limiter *Limiter
	pools   *Limiter
	self    fleet.InstanceID
	// divided holds the workspaces for which shares were set.
	divided map[fleet.WorkspaceID]bool
	// poolDemand holds the demand on the pools that this instance owns.
	poolDemand map[fleet.WorkspaceID]*poolDemand
	// hasHeldShare is true once the instance has held a share of the limits.
	hasHeldShare bool
	// limits and members are the arguments of the last call of Divide, at
	// dividedAt.
	limits    []Limit
	members   []Member
	dividedAt time.Time
	// nextChangeAt is when the shares change next because of the age of a member,
	// or zero.
	nextChangeAt time.Time
	// relocated is true if LocatePools was called after the last call of Divide.
	relocated bool
}

// NewDistributedLimiter returns a limiter for one instance. It admits nothing until
// Divide and Renew were called.
func NewDistributedLimiter(self fleet.InstanceID) *DistributedLimiter {
	return &DistributedLimiter{
		demand:     map[fleet.WorkspaceID]*demandMeter{},
		directory:  map[fleet.WorkspaceID]PoolLocation{},
		divided:    map[fleet.WorkspaceID]bool{},
		poolDemand: map[fleet.WorkspaceID]*poolDemand{},
		limiter:    NewLimiter(),
		pools:      NewLimiter(),
		self:       self,
	}
}

// Admit decides on one request of a workspace by this instance's direct share.
func (d *DistributedLimiter) Admit(now time.Time, id fleet.WorkspaceID) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshShares(now)
	return d.limiter.Admit(now, id)
}

// RecordDemand counts one request of a workspace, whether it is admitted or not.
func (d *DistributedLimiter) RecordDemand(now time.Time, id fleet.WorkspaceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meter(now, id).add(now, 1)
}

// Divide sets the shares and pools of this instance. Members are the live instances,
// including this one. All instances compute their shares from the same membership
// rows, so the shares add up to no more than the limits. The other instances give
// up the share of a joining instance before it starts to use it.
func (d *DistributedLimiter) Divide(now time.Time, limits []Limit, members []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slices.SortFunc(limits, func(a, b Limit) int { return cmp.Compare(a.Workspace, b.Workspace) })
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	unchanged := !d.relocated && d.nextChangeAt.IsZero() && timeToNextChange(members) == 0 && slices.Equal(d.limits, limits) && slices.EqualFunc(d.members, members, sameMember)
	d.limits, d.members, d.dividedAt, d.relocated = limits, members, now, false
	if unchanged {
		return
	}
	d.setShares(now)
	d.removeUnlimited()
}

// sameMember reports whether two members are the same one with the same phase. Their
// ages only matter while timeToNextChange is positive.
func sameMember(a, b Member) bool {
	return a.Instance == b.Instance && a.Phase == b.Phase && a.holdsAfter(0) == b.holdsAfter(0) &&
		a.DataCentre == b.DataCentre && a.ProcessorShare == b.ProcessorShare
}

// refreshShares recomputes the shares if the age of a member has changed them.
func (d *DistributedLimiter) refreshShares(now time.Time) {
	if !d.nextChangeAt.IsZero() && !now.Before(d.nextChangeAt) {
		d.setShares(now)
	}
}

// setShares computes the shares and pools from the members' ages at time now.
func (d *DistributedLimiter) setShares(now time.Time) {
	members := make([]Member, len(d.members))
	for i, m := range d.members {
		members[i] = m
		members[i].Age += now.Sub(d.dividedAt)
	}
	d.nextChangeAt = time.Time{}
	if wait := timeToNextChange(members); wait > 0 {
		d.nextChangeAt = now.Add(wait)
	}
	holding := holders(members, func(m Member) bool { return m.holdsAfter(0) })
	mayHoldSoon := holders(members, Member.mayHoldSoon)
	holdsShare := slices.ContainsFunc(holding, func(m Member) bool { return m.Instance == d.self })
	// The buckets of a restarted instance start partly filled, also if all
	// instances restart, because nobody has admitted requests on its share. Those of
	// an instance that joins running ones start empty: the others have used its
	// share so far.
	fill := holdsShare && !d.hasHeldShare && !d.holdsByAge(members)
	fillNewLimits := d.hasHeldShare
	d.hasHeldShare = d.hasHeldShare || holdsShare
	d.locatePools(d.limits, holding)
	for _, limit := range d.limits {
		owners := d.directory[limit.Workspace].Owners
		pooled := PooledFraction(limit, len(members))
		direct, pool := 0.0, 0.0
		if holdsShare {
			direct = (1 - pooled) / float64(len(members))
		}
		soon := owners
		if len(mayHoldSoon) > len(holding) {
			soon = PoolOwners(limit.Workspace, mayHoldSoon)
		}
		if slices.Contains(owners, d.self) && slices.Contains(soon, d.self) {
			pool = pooled / float64(max(len(owners), len(soon)))
		}
		fillLimit := fill || (fillNewLimits && !d.divided[limit.Workspace])
		d.divided[limit.Workspace] = true
		setShare(d.limiter, now, limit, direct, fillLimit)
		setShare(d.pools, now, limit, pool, fillLimit)
	}
}

// holdsByAge reports whether this instance is not in PhaseHolding and so holds a
// share only because of the age of its row.
func (d *DistributedLimiter) holdsByAge(members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Instance == d.self && m.Phase != PhaseHolding })
}

// removeUnlimited removes the shares, pools and demand of workspaces that no longer
// have a limit.
func (d *DistributedLimiter) removeUnlimited() {
	known := make(map[fleet.WorkspaceID]bool, len(d.limits))
	for _, limit := range d.limits {
		known[limit.Workspace] = true
	}
	for id := range d.divided {
		if !known[id] {
			delete(d.divided, id)
			delete(d.demand, id)
			delete(d.poolDemand, id)
			d.limiter.Remove(id)
			d.pools.Remove(id)
		}
	}
}

// TakeFromPool takes up to want tokens from the pool of a workspace that this
// instance owns, for an instance that asks for them. If there are none, it returns
// the time after which a retry can succeed.
func (d *DistributedLimiter) TakeFromPool(now time.Time, id fleet.WorkspaceID, want float64) (taken float64, retryAfter time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshShares(now)
	return d.pools.Take(now, id, want)
}

// PoolLocation returns the owners of the pools of a workspace, and how long tokens
// from them can be used. Without a limit there are none. The owners may be outdated:
// an instance that does not own the pool gives no tokens.
func (d *DistributedLimiter) PoolLocation(now time.Time, id fleet.WorkspaceID) PoolLocation {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshShares(now)
	return d.directory[id]
}

// InForce reports whether operations of a workspace can be admitted: this instance may
// admit operations, and the owners of the pools are known.
func (d *DistributedLimiter) InForce(now time.Time, id fleet.WorkspaceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshShares(now)
	return len(d.directory[id].Owners) > 0 && now.Before(d.limiter.ValidUntil())
}

// LocatePools sets the owners of the pools without changing shares. An instance that
// holds no shares and can't prove that its view of the members is recent takes tokens
// from the pools of others, because these are valid by the lease of the pool's owner.
func (d *DistributedLimiter) LocatePools(limits []Limit, members []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.relocated = true
	d.locatePools(limits, holders(members, func(m Member) bool { return m.holdsAfter(0) }))
}

// locatePools replaces the directory.
func (d *DistributedLimiter) locatePools(limits []Limit, holding []Member) {
	clear(d.directory)
	for _, limit := range limits {
		d.directory[limit.Workspace] = PoolLocation{Lifetime: tokenLifetime(limit.Rate), Owners: PoolOwners(limit.Workspace, holding)}
	}
}

// Renew sets the time until which the instance may admit requests.
func (d *DistributedLimiter) Renew(now, validUntil time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limiter.Renew(now, validUntil)
	d.pools.Renew(now, validUntil)
}

// TotalDemand returns the demand of all workspaces at this instance, in requests per
// second.
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

// meter returns the demand meter of a workspace and creates it if necessary.
func (d *DistributedLimiter) meter(now time.Time, id fleet.WorkspaceID) *demandMeter {
	meter := d.demand[id]
	if meter == nil {
		meter = &demandMeter{updatedAt: now}
		d.demand[id] = meter
	}
	return meter
}

// setShare gives a limiter a fraction of a limit. If fill is true, the bucket starts
// with this fraction of one token plus the tokens of initialFillTime, and otherwise
// it keeps its level.
func setShare(limiter *Limiter, now time.Time, limit Limit, fraction float64, fill bool) {
	share := Share{}
	if fraction > 0 && limit.Rate > 0 {
		// A bucket with a capacity below one token would never admit a request.
		share = Share{Capacity: math.Max(1, limit.Burst*fraction), Rate: limit.Rate * fraction}
	}
	if fill {
		share.Level = math.Min(share.Capacity, fraction+share.Rate*initialFillTime.Seconds())
	} else {
		share.Level = limiter.Share(now, limit.Workspace).Level
	}
	limiter.Set(now, limit.Workspace, share)
}

// TimeToDirect returns the time until the direct share holds a whole token.
func (d *DistributedLimiter) TimeToDirect(now time.Time, id fleet.WorkspaceID) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.TimeToToken(now, id)
}
