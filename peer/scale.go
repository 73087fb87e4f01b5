package peer

import (
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// scaleRate takes over the share of a workspace into a new sheet version. An
// instance that skipped a version cannot know whether the others started
// again from equal shares, so it keeps no more than an equal share.
func (l *Ledger) scaleRate(now time.Time, old Limits, limit workspace.Limit, consecutive bool) {
	i := slices.IndexFunc(old.Rates, func(r workspace.Limit) bool { return r.Workspace == limit.Workspace })
	if i < 0 {
		l.added[string(limit.Workspace)] = consecutive
		l.limiter.Set(now, limit.Workspace, workspace.Share{})
		return
	}
	share := l.limiter.Share(now, limit.Workspace).Scale(old.Rates[i], limit)
	if !consecutive {
		share = workspace.Minimum(share, l.fullRate(limit))
	}
	l.limiter.Set(now, limit.Workspace, share)
}

// scalePermits takes over the permits into a new sheet version. Rounding down
// loses permits, which the next generation brings back.
func (l *Ledger) scalePermits(old Limits, consecutive bool) {
	budgets := make(map[fleet.ServerID]int, len(old.Permits))
	for _, limit := range old.Permits {
		budgets[limit.Server] = limit.Budget
	}
	kept := make(map[fleet.ServerID]*permitState, len(l.limits.Permits))
	for _, limit := range l.limits.Permits {
		state := l.permitState(limit.Server)
		kept[limit.Server] = state
		budget, known := budgets[limit.Server]
		switch {
		case !known:
			l.added[string(limit.Server)] = consecutive
			state.held = 0
		case budget != limit.Budget:
			l.needsReset = true
			// Members that are still in the joint phase take an equal share of
			// the new budget. The rounding of scaled and equal shares differs,
			// so more than an equal share could be one permit too many.
			state.held = min(state.held*limit.Budget/max(budget, 1), l.fullPermits(limit))
		}
		if !consecutive {
			state.held = min(state.held, l.fullPermits(limit))
		}
	}
	l.permits = kept
}

// scalePending scales the shares that may come back from transfers.
func (l *Ledger) scalePending(old Limits) {
	for _, transfer := range l.pending {
		transfer.Permits = slices.DeleteFunc(transfer.Permits, func(amount PermitAmount) bool {
			return !slices.ContainsFunc(l.limits.Permits, func(p PermitLimit) bool {
				return p.Server == amount.Server && slices.Contains(old.Permits, p)
			})
		})
		rates := make([]RateAmount, 0, len(transfer.Rates))
		for _, amount := range transfer.Rates {
			from := slices.IndexFunc(old.Rates, func(r workspace.Limit) bool { return r.Workspace == amount.Workspace })
			to := slices.IndexFunc(l.limits.Rates, func(r workspace.Limit) bool { return r.Workspace == amount.Workspace })
			if from >= 0 && to >= 0 {
				rates = append(rates, RateAmount{Share: amount.Share.Scale(old.Rates[from], l.limits.Rates[to]), Workspace: amount.Workspace})
			}
		}
		transfer.Rates = rates
	}
}
