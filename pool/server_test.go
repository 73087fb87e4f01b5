package pool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/session"
)

// TestLimitRecovers guards against an instance that keeps a few connections for tens of
// seconds after a server refused one, although the server accepts connections again.
func TestLimitRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newReplayServer(4)
		server.maxConns = 3
		p := pool.New(server, time.Now)
		p.SetServers(time.Now(), []pool.Server{{Address: "a", ID: "s", Idle: 33, Limit: 33}})
		for range 33 {
			go func() { _, _ = p.Acquire("s", pool.Request{Deadline: time.Now().Add(7 * time.Second), Workspace: "w"}) }()
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if open := p.Counts("s").Open; open != 3 {
			t.Errorf("%d connections are open, want the 3 that the server accepts", open)
		}
		server.mu.Lock()
		server.maxConns, server.refusals = 0, 0
		server.mu.Unlock()
		time.Sleep(time.Second)
		synctest.Wait()
		if open := p.Counts("s").Open; open != 33 {
			t.Errorf("%d connections are open 1 s after the last refusal, want 33", open)
		}
	})
}

// TestRefusalsAreRare guards against an instance that dials a full server all the time.
func TestRefusalsAreRare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newReplayServer(4)
		server.maxConns = 3
		p := pool.New(server, time.Now)
		p.SetServers(time.Now(), []pool.Server{{Address: "a", ID: "s", Idle: 33, Limit: 33}})
		for range 33 {
			go func() {
				_, _ = p.Acquire("s", pool.Request{Deadline: time.Now().Add(11 * time.Second), Workspace: "w"})
			}()
		}
		time.Sleep(time.Second)
		server.mu.Lock()
		server.refusals = 0
		server.mu.Unlock()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		server.mu.Lock()
		defer server.mu.Unlock()
		// One in each maxDialBackoff.
		if server.refusals > 20 {
			t.Errorf("the full server refused %d connections in 10 s, want at most 20", server.refusals)
		}
	})
}

// TestOneConnectionIsTried guards against an instance that dials a full server once for
// each statement that ends while a connection is being tried.
func TestOneConnectionIsTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &refusingServer{replayServer: newReplayServer(4)}
		server.maxConns = 3
		p := pool.New(server, time.Now)
		p.SetServers(time.Now(), []pool.Server{{Address: "a", ID: "s", Idle: 33, Limit: 33}})
		stop := time.Now().Add(11 * time.Second)
		for range 33 {
			go func() {
				for time.Now().Before(stop) {
					conn, failure := p.Acquire("s", pool.Request{Deadline: time.Now().Add(time.Second), Workspace: "w"})
					if failure == nil {
						_, _ = conn.Run(stop, []session.Command{{Statement: session.Statement{Text: "3ms"}}})
						p.Release("s", conn)
					}
				}
			}()
		}
		time.Sleep(time.Second)
		server.mu.Lock()
		server.refusals = 0
		server.mu.Unlock()
		time.Sleep(11 * time.Second)
		synctest.Wait()
		server.mu.Lock()
		defer server.mu.Unlock()
		// One in each maxDialBackoff.
		if server.refusals > 20 {
			t.Errorf("the full server refused %d connections in 10 s, want at most 20", server.refusals)
		}
	})
}

// TestRefusedDialKeepsPlace guards against a request that loses its place in the queue
// because the server refused the connection that was opened for it.
func TestRefusedDialKeepsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &refusingServer{replayServer: newReplayServer(4)}
		server.maxConns = 1
		p := pool.New(server, time.Now)
		p.SetServers(time.Now(), []pool.Server{{Address: "a", ID: "s", Idle: 1, Limit: 1}})
		held, failure := p.Acquire("s", pool.Request{Deadline: time.Now().Add(time.Second), Workspace: "x"})
		if failure != nil {
			t.Fatal(failure.Text)
		}
		granted := make(chan fleet.WorkspaceID, 2)
		for i, workspace := range []fleet.WorkspaceID{"w", "v"} {
			go func() {
				conn, failure := p.Acquire("s", pool.Request{Deadline: time.Now().Add(time.Duration(5+i) * time.Second), Workspace: workspace})
				if failure != nil {
					t.Error(failure.Text)
					return
				}
				granted <- workspace
				conn.MarkBroken()
				p.Release("s", conn)
			}()
			synctest.Wait()
		}
		// Another instance takes the place of the closed connection for a while.
		server.mu.Lock()
		server.open++
		server.mu.Unlock()
		held.MarkBroken()
		p.Release("s", held)
		time.Sleep(20 * time.Millisecond)
		server.mu.Lock()
		server.open--
		server.mu.Unlock()
		if first, second := <-granted, <-granted; first != "w" || second != "v" {
			t.Errorf("granted to %q and then %q, want w and then v", first, second)
		}
	})
}

// TestClosedConnectionIsReplaced guards against a place for a connection that stays empty
// while a request waits for one, after an idle connection was closed.
func TestClosedConnectionIsReplaced(t *testing.T) {
	for _, test := range []struct {
		name string
		// idle is the number of idle connections that are kept.
		idle int
	}{
		{name: "released", idle: 0},
		{name: "swept", idle: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := pool.New(newReplayServer(4), time.Now)
				p.SetServers(time.Now(), []pool.Server{{Address: "a", ID: "s", Idle: test.idle, Limit: 2, Slots: 1}})
				request := func(workspace fleet.WorkspaceID) *pool.PooledConn {
					conn, failure := p.Acquire("s", pool.Request{Deadline: time.Now().Add(time.Second), Workspace: workspace})
					if failure != nil {
						t.Error(failure.Text)
					}
					return conn
				}
				other, own := request("v"), request("w")
				if test.idle > 0 {
					p.Release("s", other)
					time.Sleep(time.Minute)
				}
				// A request waits for the connection of its workspace rather than replace another.
				go request("w")
				synctest.Wait()
				if waiting := p.Counts("s").Waiting; waiting != 1 {
					t.Fatalf("%d requests wait, want 1", waiting)
				}
				if test.idle > 0 {
					p.Sweep(time.Now())
				} else {
					p.Release("s", other)
				}
				if counts := p.Counts("s"); counts.Waiting != 0 || counts.Open != 2 {
					t.Errorf("%d requests wait and %d connections are open, want 0 and 2", counts.Waiting, counts.Open)
				}
				p.Release("s", own)
				time.Sleep(time.Second)
			})
		})
	}
}

// refusingServer takes the time of a handshake to refuse a connection.
type refusingServer struct{ *replayServer }

func (s *refusingServer) Dial(deadline time.Time, server pool.Server, workspace fleet.WorkspaceID) (pool.Conn, *session.RunError) {
	s.mu.Lock()
	full := s.open >= s.maxConns
	s.mu.Unlock()
	if full {
		time.Sleep(handshakeTime)
	}
	return s.replayServer.Dial(deadline, server, workspace)
}
