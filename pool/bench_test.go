package pool_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/session"
)

// instantDialer opens connections without a server.
type instantDialer struct{}

func (instantDialer) Dial(time.Time, pool.Server, fleet.WorkspaceID) (pool.Conn, *session.RunError) {
	return &conn{dialer: &dialer{}}, nil
}

// BenchmarkSaturated measures a grant while 300 requests of 80 workspaces wait. The clock
// advances by 2 ms with each grant, so that the queue is checked at each fifth one.
func BenchmarkSaturated(b *testing.B) {
	var elapsed atomic.Int64
	start := time.Now()
	clock := func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
	p := pool.New(instantDialer{}, clock)
	p.SetServers(clock(), []pool.Server{{Address: "a", ID: "s", Idle: 33, Limit: 33, Slots: 4}})
	var granted atomic.Int64
	var running sync.WaitGroup
	b.ResetTimer()
	for i := range 312 {
		workspace := fleet.WorkspaceID(fmt.Sprintf("w%d", i%80))
		running.Go(func() {
			for granted.Add(1) <= int64(b.N) {
				conn, failure := p.Acquire("s", pool.Request{Deadline: clock().Add(time.Minute), Workspace: workspace})
				if failure != nil {
					b.Error(failure.Text)
					return
				}
				elapsed.Add(int64(2 * time.Millisecond))
				_, _ = conn.Run(clock(), nil)
				p.Release("s", conn)
			}
		})
	}
	running.Wait()
}
