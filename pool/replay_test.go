package pool_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/session"
)

// handshakeTime is how long opening a connection occupies a slot of a replayed server.
const handshakeTime = 12 * time.Millisecond

// replayServer is a server with a number of slots in virtual time. Statements and
// handshakes queue for a slot in order of arrival.
type replayServer struct {
	handshakes int
	// maxConns is the number of connections that the server accepts, or zero for any.
	maxConns int
	mu       sync.Mutex
	open     int
	// refusals is the number of connections that were refused.
	refusals int
	slots    chan struct{}
	// slowness multiplies the time of each statement.
	slowness int
}

func newReplayServer(slots int) *replayServer {
	return &replayServer{slots: make(chan struct{}, slots), slowness: 1}
}

// replayConn is a connection to a replayServer.
type replayConn struct {
	inTransaction bool
	server        *replayServer
}

func (s *replayServer) occupySlot(span time.Duration) {
	s.slots <- struct{}{}
	time.Sleep(span)
	<-s.slots
}

// Dial opens a connection, or refuses it if there are maxConns already.
func (s *replayServer) Dial(time.Time, pool.Server, fleet.WorkspaceID) (pool.Conn, *session.RunError) {
	s.mu.Lock()
	if s.maxConns > 0 && s.open >= s.maxConns {
		s.refusals++
		s.mu.Unlock()
		return nil, &session.RunError{Kind: session.KindBusy, Text: "too many connections"}
	}
	s.open++
	s.handshakes++
	s.mu.Unlock()
	s.occupySlot(handshakeTime)
	return &replayConn{server: s}, nil
}

func (c *replayConn) Alive() bool    { return true }
func (c *replayConn) Reusable() bool { return !c.inTransaction }

func (c *replayConn) Close() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.server.open--
}

// Run begins or ends a transaction, or runs a statement whose text is its duration.
func (c *replayConn) Run(_ time.Time, commands []session.Command) (session.Reply, *session.RunError) {
	if kind := commands[0].Kind; kind == session.StatementBegin || kind == session.StatementRollback {
		c.inTransaction = kind == session.StatementBegin
		return session.Reply{}, nil
	}
	work, err := time.ParseDuration(commands[0].Text)
	if err != nil {
		return session.Reply{}, &session.RunError{Kind: session.KindMalformed, Text: err.Error()}
	}
	c.server.occupySlot(work * time.Duration(c.server.slowness))
	return session.Reply{}, nil
}

// replayTimeout is the time within which a replayed statement gets a connection.
const replayTimeout = 500 * time.Millisecond

// outcome is the result of a replayed statement.
type outcome struct {
	arrived time.Duration
	latency time.Duration
	served  bool
}

// replay runs statements through a pool in virtual time. It must be used in a synctest
// bubble.
type replay struct {
	began    time.Time
	mu       sync.Mutex
	outcomes map[fleet.WorkspaceID][]outcome
	pool     *pool.Pool
	random   *rand.Rand
	running  sync.WaitGroup
}

func newReplay(dialer pool.Dialer, server pool.Server) *replay {
	r := &replay{began: time.Now(), outcomes: map[fleet.WorkspaceID][]outcome{}, pool: pool.New(dialer, time.Now), random: rand.New(rand.NewPCG(7, 7))}
	r.pool.SetServers(time.Now(), []pool.Server{server})
	return r
}

// work returns the duration of a statement: 3 to 9 ms, and seven times as long for 3% of
// the statements.
func (r *replay) work() time.Duration {
	work := 3*time.Millisecond + time.Duration(r.random.Int64N(int64(6*time.Millisecond)))
	if r.random.Float64() < 0.03 {
		work *= 7
	}
	return work
}

// statement runs one statement in the background.
func (r *replay) statement(workspace fleet.WorkspaceID) {
	work := r.work()
	arrived := time.Now()
	r.running.Go(func() {
		conn, failure := r.pool.Acquire("s", pool.Request{Deadline: arrived.Add(replayTimeout), Workspace: workspace})
		if failure == nil {
			_, failure = conn.Run(arrived.Add(time.Minute), []session.Command{{Statement: session.Statement{Text: work.String()}}})
			r.pool.Release("s", conn)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.outcomes[workspace] = append(r.outcomes[workspace], outcome{arrived: arrived.Sub(r.began), latency: time.Since(arrived), served: failure == nil})
	})
}

// arrivals runs statements with exponentially distributed gaps for a duration.
func (r *replay) arrivals(span time.Duration, perSecond float64, workspace func() fleet.WorkspaceID) {
	end := time.Now().Add(span)
	for {
		time.Sleep(time.Duration(r.random.ExpFloat64() / perSecond * float64(time.Second)))
		if !time.Now().Before(end) {
			return
		}
		r.statement(workspace())
	}
}

// hold opens a transaction in the background that stays idle for a duration.
func (r *replay) hold(workspace fleet.WorkspaceID, span time.Duration) {
	r.running.Go(func() {
		conn, failure := r.pool.Acquire("s", pool.Request{Deadline: time.Now().Add(replayTimeout), Transaction: true, Workspace: workspace})
		if failure == nil {
			_, _ = conn.Run(time.Now(), []session.Command{{Statement: session.Statement{Kind: session.StatementBegin}}})
			time.Sleep(span)
			_, _ = conn.Run(time.Now(), []session.Command{{Statement: session.Statement{Kind: session.StatementRollback}}})
			r.pool.Release("s", conn)
		}
	})
}

// summary is the result of the statements that arrived in an interval.
type summary struct {
	late    int
	refused int
	served  int
	slowest time.Duration
}

// lateness is the latency above which a replayed statement counts as late.
const lateness = 200 * time.Millisecond

// summarize returns the summary of the statements of the given workspaces, or of all,
// that arrived from one time to another.
func (r *replay) summarize(from, to time.Duration, workspaces ...fleet.WorkspaceID) summary {
	var s summary
	add := func(outcomes []outcome) {
		for _, o := range outcomes {
			switch {
			case o.arrived < from || o.arrived >= to:
				continue
			case !o.served:
				s.refused++
			case o.latency > lateness:
				s.late++
			default:
				s.served++
			}
			s.slowest = max(s.slowest, o.latency)
		}
	}
	for workspace, outcomes := range r.outcomes {
		if len(workspaces) == 0 {
			add(outcomes)
		}
		for _, wanted := range workspaces {
			if workspace == wanted {
				add(outcomes)
			}
		}
	}
	return s
}

// oneOf returns a function that chooses one of n workspaces.
func (r *replay) oneOf(n int) func() fleet.WorkspaceID {
	return func() fleet.WorkspaceID { return fleet.WorkspaceID(fmt.Sprintf("w%d", r.random.IntN(n))) }
}

// TestQueueDrains guards against a queue that persists after its cause has gone, because
// each released connection is closed and opened again for the workspace of the next
// request: 60 callers hold transactions for 7 s beside requests of 60 workspaces at half
// of what the server can run.
func TestQueueDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newReplayServer(4)
		r := newReplay(server, pool.Server{Address: "a", ID: "s", Idle: 33, Limit: 33, Slots: 4})
		const perSecond = 280
		workspace := r.oneOf(60)
		r.arrivals(2*time.Second, perSecond, workspace)
		for range 60 {
			r.hold(workspace(), 7*time.Second)
		}
		r.arrivals(7*time.Second, perSecond, workspace)
		began := time.Since(r.began)
		r.arrivals(5*time.Second, perSecond, workspace)
		r.running.Wait()
		for at := time.Duration(0); at < 14*time.Second; at += time.Second {
			t.Logf("%v: %+v", at, r.summarize(at, at+time.Second))
		}
		during := r.summarize(2*time.Second, began)
		t.Logf("beside the transactions: %+v", during)
		if during.refused*10 > during.late+during.served {
			t.Errorf("beside the transactions, %d single statements were refused and %d served, want 90%%", during.refused, during.late+during.served)
		}
		after := r.summarize(began+time.Second, began+5*time.Second)
		t.Logf("from 1 s after the transactions: %+v; %d handshakes", after, server.handshakes)
		if after.refused > 0 || after.late*100 > after.served {
			t.Errorf("from 1 s after the transactions, %d refused, %d late, %d in time; want none refused and 1%% late", after.refused, after.late, after.served)
		}
	})
}

// TestOverload guards against requests that wait until their deadline although they can't
// be served in time, and against refusals that leave the server idle: requests arrive at
// 1.5 times the rate that the server can run.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplay(newReplayServer(4), pool.Server{Address: "a", ID: "s", Idle: 33, Limit: 33, Slots: 4})
		r.arrivals(10*time.Second, 840, r.oneOf(20))
		r.running.Wait()
		const from, to = 2 * time.Second, 10 * time.Second
		all := r.summarize(from, to)
		atOnce, heldToDeadline := 0, 0
		for _, outcomes := range r.outcomes {
			for _, o := range outcomes {
				switch {
				case o.served || o.arrived < from || o.arrived >= to:
				case o.latency == 0:
					atOnce++
				case o.latency >= replayTimeout:
					heldToDeadline++
				}
			}
		}
		t.Logf("%+v; %d refused at once, %d at the deadline", all, atOnce, heldToDeadline)
		if atOnce*2 < all.refused || heldToDeadline*100 > all.refused {
			t.Errorf("of %d refused requests, %d were refused at once and %d at the deadline; want at least half and at most 1%%", all.refused, atOnce, heldToDeadline)
		}
		const capacity = 565 * 8
		if served := all.late + all.served; served*10 < capacity*9 {
			t.Errorf("%d were served of %d that the server can run, want 90%%", served, capacity)
		}
	})
}

// TestBurst guards against refusing requests of a burst that can all be served in time.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplay(newReplayServer(4), pool.Server{Address: "a", ID: "s", Idle: 33, Limit: 33, Slots: 4})
		workspace := r.oneOf(20)
		r.arrivals(3*time.Second, 100, workspace)
		for range 20 {
			for range 150 {
				r.statement(workspace())
			}
			time.Sleep(time.Second)
		}
		r.running.Wait()
		if all := r.summarize(0, time.Minute); all.refused > 0 {
			t.Errorf("%d of %d requests were refused, want none", all.refused, all.refused+all.served+all.late)
		}
	})
}

// TestFrozenServer guards against an estimate that takes the time for which a server was
// frozen for its usual time, and refuses requests that it can serve again.
func TestFrozenServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newReplayServer(4)
		r := newReplay(server, pool.Server{Address: "a", ID: "s", Idle: 33, Limit: 33, Slots: 4})
		workspace := r.oneOf(20)
		r.arrivals(3*time.Second, 200, workspace)
		for range 4 {
			r.running.Go(func() { server.occupySlot(1500 * time.Millisecond) })
		}
		r.arrivals(5*time.Second, 200, workspace)
		r.running.Wait()
		const resumed = 4500 * time.Millisecond
		t.Logf("while frozen: %+v", r.summarize(3*time.Second, resumed))
		for at := resumed; at < 5500*time.Millisecond; at += 100 * time.Millisecond {
			t.Logf("from %v: %+v", at, r.summarize(at, at+100*time.Millisecond))
		}
		after := r.summarize(resumed, 8*time.Second)
		if after.refused > 0 {
			t.Errorf("after the server has resumed, %d requests were refused and %d served, want none refused", after.refused, after.late+after.served)
		}
	})
}

// TestHotWorkspace guards against requests of other workspaces that wait behind those of
// one workspace that sends more than the server can run.
func TestHotWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReplay(newReplayServer(4), pool.Server{Address: "a", ID: "s", Idle: 33, Limit: 33, Slots: 4})
		light := r.oneOf(20)
		r.arrivals(8*time.Second, 750, func() fleet.WorkspaceID {
			if r.random.IntN(750) < 150 {
				return light()
			}
			return "hot"
		})
		r.running.Wait()
		hot := r.summarize(time.Second, 8*time.Second, "hot")
		all := r.summarize(time.Second, 8*time.Second)
		t.Logf("hot: %+v, all: %+v", hot, all)
		if others := all.refused - hot.refused + all.late - hot.late; others > 0 {
			t.Errorf("%d requests of the other workspaces were refused or late, want none", others)
		}
	})
}
