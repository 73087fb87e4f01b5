//go:build !race

package gateway_test

import (
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/session"
)

// TestReadyInstanceServes guards against an instance that reports that it is ready while
// it refuses all requests, because it has read no primary record yet or its limits are
// not in force, and against one that is not ready long after its start.
func TestReadyInstanceServes(t *testing.T) {
	const interval, watched, bound = 20 * time.Millisecond, 10 * time.Second, 4 * time.Second
	for _, slowTable := range []gateway.Table{"", serverTable, sheetTable, "nutmegpier-primaries"} {
		t.Run("slow table "+string(slowTable), func(t *testing.T) {
			startFleet(t, 3, keySheet(1, "k"), slowTable, func(f *testFleet) {
				watch := func(i *testInstance) {
					startedAt := time.Now()
					for time.Since(startedAt) < watched {
						time.Sleep(interval)
						if !i.Ready(time.Now()) {
							if after := time.Since(startedAt); after > bound {
								t.Errorf("%s is not ready %v after its start", i.address, after)
							}
							continue
						}
						opened, err := session.Open(session.Config{
							Clock: time.Now, AccessController: i.Gateway, Jitter: func() float64 { return 0.5 }, Observer: i, Sleep: time.Sleep, Router: i,
						}, session.Credentials{Database: "db", Key: digest("k")})
						if err != nil {
							t.Errorf("%s, %v after its start: %v", i.address, time.Since(startedAt), err)
							continue
						}
						if result := opened.Do(session.Statement{ID: "r", Kind: session.StatementRead}); result.Err != nil {
							t.Errorf("%s, %v after its start: %v", i.address, time.Since(startedAt), result.Err)
						}
					}
				}
				done := make(chan struct{})
				for _, i := range f.instances {
					go func() {
						defer func() { done <- struct{}{} }()
						watch(i)
					}()
				}
				for range f.instances {
					<-done
				}
				// An instance that joins the running ones.
				watch(f.start(f.t.Context(), "i-3"))
			})
		})
	}
}
