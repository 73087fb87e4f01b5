package peer

import (
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// scaleRate converts the share of a workspace to the limit of a new sheet
// version. Consecutive is false if this instance skipped a version. It cannot
// know then whether the others have started again from full shares, so it keeps
// no more than its full share.
func (l *Ledger) scaleRate(now time.Time, old Limits, limit workspace.Limit, consecutive bool) {
	i := slices.IndexFunc(old.Rates, func(r workspace.Limit) bool { return r.Workspace == limit.Workspace })
	if i < 0 {
		l.addedLimits[string(limit.Workspace)] = consecutive
		l.limiter.Set(now, limit.Workspace, workspace.Share{})
		return
	}
	share := l.limiter.Share(now, limit.Workspace).Scale(old.Rates[i], limit)
	if !consecutive {
		share = workspace.Minimum(share, l.fullRateShare(limit))
	}
	l.limiter.Set(now, limit.Workspace, share)
}

// scalePermits converts the permits to the budgets of a new sheet version.
// Rounding down loses permits until the next generation divides the budget anew.
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
			l.addedLimits[string(limit.Server)] = consecutive
			state.held = 0
		case budget != limit.Budget:
			l.lostShares = true
			// Members that are still in the joint phase will take their full
			// share of the new budget. Scaled shares are rounded differently
			// from full shares, so keeping more than the full share could
			// exceed the budget by one permit.
			state.held = min(state.held*limit.Budget/max(budget, 1), l.fullPermitShare(limit))
		}
		if !consecutive {
			state.held = min(state.held, l.fullPermitShare(limit))
		}
	}
	l.permits = kept
}

// scalePendingTransfers converts the shares in pending transfers to a new sheet
// version, because they may be reclaimed. Permits of a changed budget are
// dropped.
func (l *Ledger) scalePendingTransfers(old Limits) {
	for _, transfer := range l.pendingTransfers {
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
