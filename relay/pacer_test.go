package relay_test

import (
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/relay"
)

// TestSimultaneousLoads guards against a start of all instances at which the relay's link
// is occupied for seconds, so that changes and statements wait, and against readers that
// return together or never get a copy.
func TestSimultaneousLoads(t *testing.T) {
	for _, test := range []struct {
		linkMegabits float64
		readers      int
	}{{linkMegabits: 20, readers: 50}, {linkMegabits: 200, readers: 170}} {
		const copyBytes = 45_000
		p := relay.NewPacer(test.linkMegabits)
		started := time.Unix(1_000_000, 0)
		perSecond := test.linkMegabits * 1e6 / 8
		next := make([]time.Duration, test.readers)
		sent, attempts, last := 0, 0, time.Duration(0)
		for now := time.Duration(0); now < 30*time.Second && sent < test.readers; now += time.Millisecond {
			for reader, at := range next {
				if at < 0 || at > now {
					continue
				}
				attempts++
				retryAfter, admitted := p.Admit(started.Add(now), copyBytes)
				if next[reader] = now + retryAfter; admitted {
					next[reader], last = -1, now
					sent++
				}
				// The admitted copies never occupy the link for longer than a second.
				if limit := (now + time.Second).Seconds() * perSecond; float64(sent*copyBytes) > limit {
					t.Fatalf("%d copies were admitted by %v", sent, now)
				}
			}
		}
		// At half of the link, plus the spread of the refused readers.
		bound := time.Duration(2 * 1.5 * float64(test.readers*copyBytes) / perSecond * float64(time.Second))
		if sent != test.readers || last > bound {
			t.Errorf("%g Mbit/s: %d of %d readers have a copy, the last after %v; want all within %v", test.linkMegabits, sent, test.readers, last, bound)
		}
		if attempts > 6*test.readers {
			t.Errorf("%g Mbit/s: %d attempts of %d readers", test.linkMegabits, attempts, test.readers)
		}
	}
}
