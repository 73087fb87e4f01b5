package pool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegpier/nutmegpier/pool"
)

// steppedSpeed allows a number of statements in service that the test sets.
type steppedSpeed struct{ concurrency int }

func (s *steppedSpeed) Concurrency(time.Time) int           { return s.concurrency }
func (s *steppedSpeed) ServiceTime(time.Time) time.Duration { return 5 * time.Millisecond }

// TestIdleTimeIsNoInterval guards against counting the time after the last waiting request
// has left without a connection as the time that the server needs for one request.
func TestIdleTimeIsNoInterval(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave func(p *pool.Pool)
	}{
		{name: "at its deadline", leave: func(*pool.Pool) { time.Sleep(time.Second) }},
		{name: "abandoned", leave: func(p *pool.Pool) { p.Abandon("s") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				speed := &steppedSpeed{concurrency: 1}
				p := pool.New(newReplayServer(4), time.Now)
				p.SetServers(time.Now(), []pool.Server{{Address: "a", ID: "s", Idle: 8, Limit: 8, Slots: 4, Speed: speed}})
				request := func() pool.Request {
					return pool.Request{Deadline: time.Now().Add(500 * time.Millisecond), Workspace: "w"}
				}
				if _, failure := p.Acquire("s", request()); failure != nil {
					t.Fatal(failure.Text)
				}
				wait := func() { _, _ = p.Acquire("s", request()) }
				go wait()
				synctest.Wait()
				test.leave(p)
				time.Sleep(10 * time.Second)
				speed.concurrency = 2
				if _, failure := p.Acquire("s", request()); failure != nil {
					t.Fatal(failure.Text)
				}
				go wait()
				synctest.Wait()
				if g := p.Gauges(time.Now())["s"]; g.Waiting != 1 || g.ExpectedWaitMilliseconds > 0 {
					t.Errorf("%d waiting, expected wait %d ms, want 1 and 0 ms", g.Waiting, g.ExpectedWaitMilliseconds)
				}
				time.Sleep(time.Second)
			})
		})
	}
}
