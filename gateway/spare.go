package gateway

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

const (
	// spareTable holds the common pools of the limits.
	spareTable Table = "nutmegpier-limits"

	// spareSpan is the demand for which an instance takes requests at once.
	// What instances hold unused adds to the burst of a workspace, so it stays
	// below the tenth by which a limit may be exceeded in 5 s.
	spareSpan = 700 * time.Millisecond
	// spareLeast is the least that is taken at once.
	spareLeast = 2
	// spareBound bounds the calls of one taking. The request waits for it.
	spareBound = 120 * time.Millisecond
	// spareAttempts is how often a taking is tried that another one overtook.
	spareAttempts = 2
	// spareGrowth multiplies what is taken when the last taking was used up
	// within spareSpan: the demand grows faster than its average.
	spareGrowth = 2
	// spareEmpty is how long a pool is left alone that could not give what was
	// wanted, and sparePause that after a call that failed.
	spareEmpty = time.Second
	sparePause = 700 * time.Millisecond
)

// spare is what an instance knows of one workspace's pool. The gateway's lock
// guards it.
type spare struct {
	// done is closed when the taking that is under way ends; nil if none is.
	done chan struct{}
	// last and lastAt are what the last taking gave, and when.
	last     float64
	lastAt   time.Time
	pool     workspace.Spare
	revision feed.Revision
	// until is when the pool may be asked again.
	until time.Time
}

// takeSpare takes requests from the common pool of a workspace for this
// instance. Requests that come meanwhile wait for the same taking. It reports
// whether there may be something to admit now.
func (g *Gateway) takeSpare(now time.Time, id fleet.WorkspaceID) bool {
	g.mu.Lock()
	state := g.spares[id]
	if state == nil {
		state = &spare{}
		g.spares[id] = state
	}
	if done := state.done; done != nil {
		g.mu.Unlock()
		<-done
		return true
	}
	own, takes := g.limits.takesPool(now, id)
	if !takes || now.Before(state.until) || g.routing == nil {
		g.mu.Unlock()
		return false
	}
	limits, known := g.routing.Limits()[id]
	if !known {
		g.mu.Unlock()
		return false
	}
	state.done = make(chan struct{})
	g.mu.Unlock()

	limit := workspace.Limit{Burst: limits.Burst, Rate: limits.Rate, Workspace: id}
	want := math.Max(spareLeast, own*spareSpan.Seconds())
	if now.Sub(state.lastAt) < spareSpan {
		want = math.Max(want, spareGrowth*state.last)
	}
	taken, until := g.callSpare(state, limit, want)
	state.last, state.lastAt = taken, now
	if taken > 0 {
		g.limits.add(g.config.Clock(), id, taken)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	state.until = until
	close(state.done)
	state.done = nil
	return taken > 0
}

// callSpare makes the calls of one taking.
func (g *Gateway) callSpare(state *spare, limit workspace.Limit, want float64) (taken float64, until time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), spareBound)
	defer cancel()
	for range spareAttempts {
		now := g.config.Clock()
		next, granted, wait := state.pool.Take(g.storeTime(now), limit, want)
		if granted == 0 {
			return 0, now.Add(max(spareEmpty, wait))
		}
		content, err := json.Marshal(next)
		if err != nil {
			g.config.Log.Record(event.EntryRefused, event.Fields{Text: "limit pool: " + err.Error()})
			return 0, now.Add(sparePause)
		}
		result, err := g.config.Store.Write(ctx, []Write{{Key: string(limit.Workspace), Partition: Partition("limit-" + string(limit.Workspace)), Revision: state.revision, Table: spareTable, Value: content}})
		if err != nil {
			// What was taken is lost if the call was performed.
			return 0, now.Add(sparePause)
		}
		if result.Applied {
			state.pool, state.revision = next, result.Revision
			if granted < want {
				return granted, now.Add(spareEmpty)
			}
			return granted, time.Time{}
		}
		for _, row := range result.Current {
			state.revision, state.pool = row.Revision, workspace.Spare{}
			if row.Deleted {
				continue
			}
			if err := json.Unmarshal(row.Value, &state.pool); err != nil {
				g.config.Log.Record(event.EntryRefused, event.Fields{Text: "limit pool: " + err.Error(), Workspace: limit.Workspace})
				return 0, now.Add(sparePause)
			}
		}
	}
	return 0, g.config.Clock().Add(spareEmpty)
}

// storeTime returns the store's steady time.
func (g *Gateway) storeTime(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeClock.StoreTime(now)
}
