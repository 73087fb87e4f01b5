//go:build !race

package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// TestReadsLeaveGreyServer guards against a replica that refuses all reads although it is
// healthy, and gets more of them because it answers faster than the others.
func TestReadsLeaveGreyServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		const work = 40 * time.Millisecond
		servers := newSlotServers(map[fleet.ServerID]time.Duration{"primary": work, "good": work, "grey": work})
		g := newTrio(ctx, t, servers, 0, nil)
		// read sends 40 reads per second and a write every 0.5 s for a duration.
		read := func(span time.Duration) (refused int) {
			for i := range int(span / (25 * time.Millisecond)) {
				go func() {
					err := runStatement(g, i%20 == 0)
					servers.mu.Lock()
					defer servers.mu.Unlock()
					if err != nil {
						refused++
					}
				}()
				time.Sleep(25 * time.Millisecond)
			}
			time.Sleep(time.Second)
			return refused
		}
		if refused := read(5 * time.Second); refused > 0 {
			t.Errorf("%d statements were refused by healthy servers, want none", refused)
		}
		servers.mu.Lock()
		servers.failing = map[fleet.ServerID]bool{"grey": true}
		servers.mu.Unlock()
		first, later := read(2*time.Second), read(10*time.Second)
		t.Logf("refused: %d in the first 2 s, %d in the next 10 s; statements by server: %v", first, later, servers.ran)
		if later > 20 {
			t.Errorf("%d of 400 statements were refused by the grey server from 2 s after it began to, want 5%%", later)
		}
	})
}
