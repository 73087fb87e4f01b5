package pool_test

import (
	"fmt"
	"testing"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
)

// TestConnectionLimits guards against instances that together keep more idle
// connections than a server accepts, or so many that no other instance can open
// one. With 68 instances and 47 connections, each instance that kept an idle
// connection shut out others, and half of all requests were refused.
func TestConnectionLimits(t *testing.T) {
	for _, test := range []struct {
		instances, budget int
	}{
		{instances: 1, budget: 22},
		{instances: 8, budget: 22},
		{instances: 68, budget: 47},
		{instances: 72, budget: 243},
		{instances: 300, budget: 47},
	} {
		t.Run(fmt.Sprintf("%d of %d", test.instances, test.budget), func(t *testing.T) {
			var live []fleet.InstanceID
			for n := range test.instances {
				live = append(live, fleet.InstanceID(fmt.Sprintf("front-%d", n)))
			}
			for s := range 24 {
				server := fleet.ServerID(fmt.Sprintf("i-%08x", s))
				kept := 0
				for _, self := range live {
					limit, idle := pool.ConnectionLimits(test.budget, 1/float64(test.instances), self, live, server)
					if idle > limit || limit < 1 {
						t.Fatalf("%d idle of %d connections", idle, limit)
					}
					kept += idle
				}
				// The rest is for requests, and for connections that the server
				// still counts although the client is gone.
				if float64(kept) > 0.75*float64(test.budget) {
					t.Errorf("server %s: %d idle connections of %d", server, kept, test.budget)
				}
			}
		})
	}
}

// TestConnectionLimitsWithoutBudget guards against a database without a configured
// budget that gets no connections.
func TestConnectionLimitsWithoutBudget(t *testing.T) {
	if limit, idle := pool.ConnectionLimits(0, 1, "a", []fleet.InstanceID{"a"}, "s"); limit < 1 || idle < 1 {
		t.Errorf("%d connections, %d idle", limit, idle)
	}
}
