package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/sheet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

const (
	// demandWindow smooths the demand that instances report to each other:
	// long against the time between
	// two requests of one workspace on one instance (about half a second), so
	// that chance does not move shares.
	demandWindow = 6 * time.Second
	// shareDelay is how long a larger share is held back, so that the
	// instances that give it up have seen the change first: rows are read every
	// 1.5 s.
	shareDelay = 1700 * time.Millisecond
	// startLevel is the time for which a new share is filled: a restart takes
	// about as long, and the earlier run has admitted nothing meanwhile. A
	// whole burst would let a restarted instance grant it twice.
	startLevel = time.Second
	// extraLife is how long requests from the common pool may be used.
	extraLife = 2 * time.Second
)

// limits admits operations of workspaces on one instance. It is safe for
// concurrent use.
type limits struct {
	mu      sync.Mutex
	demand  map[fleet.WorkspaceID]*demandMeter
	extra   map[fleet.WorkspaceID]extraRequests
	limiter *workspace.Limiter
	// saturated are the workspaces that ask for their whole limit or more.
	saturated map[fleet.WorkspaceID]bool
	shares    map[fleet.WorkspaceID]*shareHistory
}

// extraRequests are requests from the common pool that are not used yet.
type extraRequests struct {
	count float64
	until time.Time
}

// demandMeter is an exponential average of requests a second.
type demandMeter struct {
	counted time.Time
	rate    float64
}

// shareHistory holds back increases of a share.
type shareHistory struct {
	past []pastShare
}

type pastShare struct {
	fraction float64
	time     time.Time
}

func newLimits() *limits {
	return &limits{
		demand:    map[fleet.WorkspaceID]*demandMeter{},
		extra:     map[fleet.WorkspaceID]extraRequests{},
		limiter:   workspace.NewLimiter(),
		saturated: map[fleet.WorkspaceID]bool{},
		shares:    map[fleet.WorkspaceID]*shareHistory{},
	}
}

// admit takes one operation of a workspace. First is false if the same one is
// tried again.
func (l *limits) admit(now time.Time, id fleet.WorkspaceID, first bool) workspace.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	meter := l.demand[id]
	if meter == nil {
		meter = &demandMeter{counted: now}
		l.demand[id] = meter
	}
	if first {
		meter.add(now, 1)
	}
	decision := l.limiter.Admit(now, id)
	if !decision.Admitted && l.takeExtra(now, id) {
		return workspace.Decision{Admitted: true}
	}
	return decision
}

// resume takes over the demand that an earlier run of the instance reported.
func (l *limits) resume(now time.Time, demands []WorkspaceDemand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range demands {
		meter := l.demand[d.Workspace]
		if meter == nil {
			meter = &demandMeter{counted: now}
			l.demand[d.Workspace] = meter
		}
		meter.rate += d.Rate
	}
}

// isSaturated reports whether the demands of all instances add up to the limit.
func isSaturated(demands []float64, limit sheet.Limits) bool {
	sum := 0.0
	for _, demand := range demands {
		sum += demand
	}
	return sum >= limit.Rate
}

// takesPool reports whether a workspace may take from its common pool, and its
// demand in requests a second.
func (l *limits) takesPool(now time.Time, id fleet.WorkspaceID) (demand float64, takes bool) {
	demand = l.demandOf(now, id)
	l.mu.Lock()
	defer l.mu.Unlock()
	return demand, !l.saturated[id]
}

// renew sets the end of the time for which the instance may admit.
func (l *limits) renew(now, validUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Renew(now, validUntil)
}

// demands returns the requests a second that were asked for.
func (l *limits) demands(now time.Time) []WorkspaceDemand {
	l.mu.Lock()
	defer l.mu.Unlock()
	var demands []WorkspaceDemand
	for id, meter := range l.demand {
		meter.add(now, 0)
		const negligible = 0.05
		if meter.rate >= negligible {
			demands = append(demands, WorkspaceDemand{Rate: math.Round(meter.rate*10) / 10, Workspace: id})
		}
	}
	return demands
}

// divide sets the shares from the demand that each live instance reported, the
// own one first.
func (l *limits) divide(now time.Time, sheetLimits map[fleet.WorkspaceID]sheet.Limits, reported [][]WorkspaceDemand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byWorkspace := map[fleet.WorkspaceID][]float64{}
	for i, demands := range reported {
		for _, d := range demands {
			all := byWorkspace[d.Workspace]
			if all == nil {
				all = make([]float64, len(reported))
				byWorkspace[d.Workspace] = all
			}
			all[i] = d.Rate
		}
	}
	for id, limit := range sheetLimits {
		all := byWorkspace[id]
		if all == nil {
			all = make([]float64, len(reported))
		}
		l.saturated[id] = isSaturated(all, limit)
		part := 1 - workspace.SparePart
		if l.saturated[id] {
			// All of the limit is wanted: dividing it takes no calls.
			part = 1
		}
		l.set(now, id, limit, part*workspace.DemandShare(all[0], all))
	}
	for id := range l.shares {
		if _, known := sheetLimits[id]; !known {
			delete(l.shares, id)
			delete(l.demand, id)
			delete(l.saturated, id)
			l.limiter.Remove(id)
		}
	}
}

func (l *limits) set(now time.Time, id fleet.WorkspaceID, limit sheet.Limits, fraction float64) {
	history := l.shares[id]
	first := history == nil
	if first {
		history = &shareHistory{}
		l.shares[id] = history
	}
	effective := history.effective(now, fraction)
	share := workspace.Share{
		Capacity: math.Max(1, limit.Burst*effective),
		Rate:     limit.Rate * effective,
	}
	if limit.Rate <= 0 {
		share.Capacity = 0
	}
	if first {
		share.Level = math.Min(share.Capacity, 1+share.Rate*startLevel.Seconds())
	} else {
		share.Level = l.limiter.Share(now, id).Level
	}
	l.limiter.Set(now, id, share)
}

// add keeps requests that were taken from the common pool. Those that are not
// used soon are lost, so that they do not add up to a second burst.
func (l *limits) add(now time.Time, id fleet.WorkspaceID, requests float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.extra[id] = extraRequests{count: requests, until: now.Add(extraLife)}
}

// takeExtra admits one request from what was taken from the pool.
func (l *limits) takeExtra(now time.Time, id fleet.WorkspaceID) bool {
	extra := l.extra[id]
	if extra.count < 1 || !now.Before(extra.until) || !now.Before(l.limiter.ValidUntil()) {
		return false
	}
	extra.count--
	l.extra[id] = extra
	return true
}

// demandOf returns the demand of one workspace in requests a second.
func (l *limits) demandOf(now time.Time, id fleet.WorkspaceID) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	meter := l.demand[id]
	if meter == nil {
		return 0
	}
	meter.add(now, 0)
	return meter.rate
}

// effective returns the least share of the last moments.
func (h *shareHistory) effective(now time.Time, fraction float64) float64 {
	h.past = append(h.past, pastShare{fraction: fraction, time: now})
	for len(h.past) > 1 && now.Sub(h.past[1].time) >= shareDelay {
		h.past = h.past[1:]
	}
	least := fraction
	for _, past := range h.past {
		least = math.Min(least, past.fraction)
	}
	return least
}

func (m *demandMeter) add(now time.Time, requests float64) {
	if elapsed := now.Sub(m.counted); elapsed > 0 {
		m.rate *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		m.counted = now
	}
	m.rate += requests / demandWindow.Seconds()
}
