package standin_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/standin"
)

// TestPromiseRules guards against a term that is granted to two holders, a promise
// that goes back to a lower term, and a repeated request that is refused.
func TestPromiseRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var promise standin.Promise
		holders := make(map[fleet.Term]fleet.InstanceID)
		holder := rapid.SampledFrom([]fleet.InstanceID{"a", "b", "c"})
		term := rapid.Custom(func(t *rapid.T) fleet.Term { return fleet.Term(rapid.Uint64Range(1, 6).Draw(t, "term")) })
		t.Repeat(map[string]func(*rapid.T){
			"Follow": func(t *rapid.T) {
				newTerm := term.Draw(t, "term")
				leader, known := holders[newTerm]
				if !known {
					leader = holder.Draw(t, "leader")
				}
				next, accepted := promise.Follow(newTerm, leader)
				if accepted != (newTerm >= promise.Term) {
					t.Fatalf("Follow(%d) = %v with promise %+v", newTerm, accepted, promise)
				}
				if accepted && !known {
					holders[newTerm] = leader
				}
				promise = requireMonotonic(t, promise, next)
			},
			"Grant": func(t *rapid.T) {
				newTerm, requester := term.Draw(t, "term"), holder.Draw(t, "holder")
				next, granted := promise.Grant(newTerm, requester)
				if granted {
					if other, known := holders[newTerm]; known && other != requester {
						t.Fatalf("term %d granted to %s and %s", newTerm, other, requester)
					}
					holders[newTerm] = requester
				}
				if granted != (newTerm > promise.Term || next == promise && promise.Allows(newTerm, requester)) {
					t.Fatalf("Grant(%d, %s) = %v with promise %+v", newTerm, requester, granted, promise)
				}
				promise = requireMonotonic(t, promise, next)
				if _, again := promise.Grant(newTerm, requester); again != granted {
					t.Fatalf("repeated Grant(%d, %s) = %v, want %v", newTerm, requester, again, granted)
				}
			},
		})
	})
}

func requireMonotonic(t *rapid.T, before, after standin.Promise) standin.Promise {
	if after.Term < before.Term || after.Term == before.Term && after != before {
		t.Fatalf("promise went from %+v to %+v", before, after)
	}
	return after
}
