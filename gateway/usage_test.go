//go:build !race

package gateway_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/relay"
	"github.com/nutmegpier/nutmegpier/usage"
)

// TestUsageReportsUnderFaults guards against reports that are late or more than 5% off the
// truth because instances, the holder, relays, a data centre, the store, the platform's
// endpoint or wall clocks fail.
func TestUsageReportsUnderFaults(t *testing.T) {
	for _, test := range []struct {
		name                  string
		firstStep, firstAlone time.Duration
		during                time.Duration
		begin                 func(f *usageFleet)
		end                   func(f *usageFleet)
	}{
		{name: "none"},
		{name: "wall clock of the first instance is an hour fast", firstStep: time.Hour, firstAlone: time.Second},
		{name: "wall clock of the first instance is an hour slow", firstStep: -time.Hour, firstAlone: time.Second},
		{name: "holder crashes", begin: func(f *usageFleet) { f.holder().crash() }},
		{name: "another instance crashes", begin: func(f *usageFleet) {
			if victim := f.instances[3]; victim != f.holder() {
				victim.crash()
				return
			}
			f.instances[4].crash()
		}},
		{name: "data centre crashes", begin: func(f *usageFleet) {
			for _, instance := range f.instances {
				if instance.dataCentre == f.holder().dataCentre {
					defer instance.crash()
				}
			}
		}},
		{name: "instances crash one after another, holder, keepers and relays among them", begin: func(f *usageFleet) {
			const interval, crashes = 2 * time.Second, 8
			// A holder takes 4 s to be replaced, so that only one crashes.
			f.holder().crash()
			crashed := 0
			for _, instance := range f.instances {
				time.Sleep(interval)
				if crashed < crashes && !instance.isDead() && !instance.leads() {
					crashed++
					instance.crash()
				}
			}
		}},
		{
			name: "data centre is cut off from the store and the others", during: 7 * time.Second,
			begin: func(f *usageFleet) { f.setCut("z2", true) }, end: func(f *usageFleet) { f.setCut("z2", false) },
		},
		{
			name: "store down across the end of a window", during: 6 * time.Second,
			begin: func(f *usageFleet) { f.store.setDown(true) }, end: func(f *usageFleet) { f.store.setDown(false) },
		},
		{
			name: "store down while a wall clock is an hour fast", firstStep: time.Hour, during: 8 * time.Second,
			begin: func(f *usageFleet) { f.store.setDown(true) }, end: func(f *usageFleet) { f.store.setDown(false) },
		},
		{
			name: "endpoint down", during: 7 * time.Second,
			begin: func(f *usageFleet) { f.setEndpointDown(true) }, end: func(f *usageFleet) { f.setEndpointDown(false) },
		},
		{name: "wall clocks are set", begin: func(f *usageFleet) {
			f.holder().setWall(time.Hour)
			f.instances[5].setWall(-time.Minute)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// The fault begins 3.5 s into a window.
				const before, after = 23500 * time.Millisecond, 40 * time.Second
				f := startUsageFleet(t, test.firstStep, test.firstAlone)
				time.Sleep(before - test.firstAlone)
				if test.begin != nil {
					test.begin(f)
				}
				time.Sleep(test.during)
				if test.end != nil {
					test.end(f)
				}
				time.Sleep(after)
				f.check()
				f.stop()
			})
		})
	}
}

func (s *usageStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (f *usageFleet) setCut(dataCentre fleet.DataCentre, cut bool) {
	for _, instance := range f.instances {
		if instance.dataCentre == dataCentre {
			instance.setCut(cut)
		}
	}
}

func (f *usageFleet) setEndpointDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpointDown = down
}

func (i *usageInstance) leads() bool { return i.gateway.Leads() }

func (i *usageInstance) setWall(step time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.wallStep = step
}

// TestUsageStoreCalls guards against store calls for usage that grow with the number of
// instances: one write for each data centre, a read and a write of the holder.
func TestUsageStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const windows, perWindow = 8, 4 + 1 + 1
		f := startUsageFleet(t, 0, 0)
		time.Sleep(4 * fleetWindow)
		before := f.store.usageCallCount()
		time.Sleep(windows * fleetWindow)
		if calls := f.store.usageCallCount() - before; calls > windows*perWindow {
			t.Errorf("%d calls in %d windows, want at most %d in each", calls, windows, perWindow)
		}
		f.stop()
	})
}

func (s *usageStore) usageCallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usageCalls
}

// TestNoUsageReports guards against rows, calls and leases for counting in deployments that
// ask for no reports.
func TestNoUsageReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newUsageStore()
		runGateway(t, store, time.Now, nil)
		time.Sleep(4 * fleetWindow)
		written, _ := store.store.snapshot(usageTable, 0, nil)
		for _, row := range written.Rows {
			t.Errorf("row %s was written", row.Key)
		}
		if calls := store.usageCallCount(); calls > 0 {
			t.Errorf("%d calls for usage", calls)
		}
	})
}

// TestKeepersOfOneInstance guards against a keeper that was cut off from the store while
// an instance crashed, and then replaces the counts that the next keeper has written by its
// earlier ones.
func TestKeepersOfOneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startUsageFleet(t, 0, 0)
		time.Sleep(4 * fleetWindow)
		window := fleetSchedule.Window(time.Now())
		row := usage.Row{First: window - 2, Open: window, Run: usage.Run{Epoch: 99, Instance: "crashed"}}
		hold := func(keeper int, earlier, later int64) {
			row.Counts = map[usage.Window]usage.Counts{window - 1: {"w": earlier}, window: {"w": later}}
			content, err := row.Encode()
			if err != nil {
				t.Fatal(err)
			}
			write := relay.RowWrite{Hold: true, Key: "crashed-63-kept", Partition: "usage", Table: string(usageTable), Value: content}
			if _, err := f.instances[keeper].gateway.WriteRow(t.Context(), write); err != nil {
				t.Fatal(err)
			}
		}
		hold(1, 7, 9)
		time.Sleep(3 * time.Second)
		hold(2, 8, 5)
		time.Sleep(3 * time.Second)
		var got usage.Row
		snapshot, _ := f.store.store.snapshot(usageTable, 0, nil)
		for _, stored := range snapshot.Rows {
			var err error
			if stored.Key != "crashed-63-kept" {
				continue
			}
			if got, err = usage.DecodeRow(stored.Value); err != nil {
				t.Fatal(err)
			}
		}
		if got.Counts[window-1]["w"] != 8 || got.Counts[window]["w"] != 9 {
			t.Errorf("counts %v in the store, want 8 in window %d and 9 in window %d", got.Counts, window-1, window)
		}
		f.stop()
	})
}

var _ gateway.Store = &usageStore{}
