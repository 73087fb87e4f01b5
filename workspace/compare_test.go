package workspace_test

import (
	"testing"

	"github.com/nutmegpier/nutmegpier/workspace"
)

// TestCompareStrategies checks the reasons for choosing moved shares: no strategy may
// exceed the limit, and moved shares cause fewer wrongful refusals than static shares
// and, with an outage of the shared table, than a central counter.
func TestCompareStrategies(t *testing.T) {
	t.Run("NoInstanceLost", func(t *testing.T) { compare(t, -1) })
	t.Run("OneInstanceLost", func(t *testing.T) { compare(t, 1) })
}

func compare(t *testing.T, lost int) {
	type key struct {
		skew     workspace.Skew
		strategy workspace.Strategy
	}
	type sum struct{ arrivals, admitted, wrongful, over, worst float64 }
	sums := make(map[key]*sum)
	for _, r := range workspace.CompareStrategies(1, lost) {
		k := key{r.Skew, r.Strategy}
		if sums[k] == nil {
			sums[k] = &sum{}
		}
		s := sums[k]
		s.over += float64(r.OverAdmitted)
		s.over += float64(r.OverAdmitted)
		if r.Arrivals > 2*int(60*r.Limit.Rate) {
			// Skip the overloaded workspace, which exceeds its rate.
			continue
		}
		s.arrivals += float64(r.Arrivals)
		s.admitted += float64(r.Admitted)
		s.worst = max(s.worst, r.WrongfulPercent)
		s.wrongful += r.WrongfulPercent * float64(r.Arrivals) / 100
		t.Logf("%-12s %-15s %s rate %3.0f burst %3.0f: %5d of %5d admitted, %6.2f%% wrongful, %d over",
			r.Skew, r.Strategy, r.Limit.Workspace, r.Limit.Rate, r.Limit.Burst, r.Admitted, r.Arrivals, r.WrongfulPercent, r.OverAdmitted)
	}
	for k, s := range sums {
		t.Logf("total %-12s %-15s %6.0f of %6.0f admitted, %6.2f%% wrongful, worst workspace %6.2f%%, %.0f over", k.skew, k.strategy, s.admitted, s.arrivals, 100*s.wrongful/s.arrivals, s.worst, s.over)
		if s.over > 0 {
			t.Errorf("%v admits %.0f requests above the limit", k, s.over)
		}
		moved := sums[key{k.skew, workspace.StrategyMovedShares}]
		if k.strategy != workspace.StrategyOwnerLeases && k.strategy != workspace.StrategyMovedShares && moved.wrongful >= s.wrongful {
			t.Errorf("%s: moved shares refuse %.0f wrongfully, %s %.0f", k.skew, moved.wrongful, k.strategy, s.wrongful)
		}
	}
}
