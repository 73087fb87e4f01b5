package pool_test

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/session"
)

// dialer is a fake dialer that counts the open connections.
type dialer struct {
	mu sync.Mutex
	// refusals is the number of coming calls of Dial that fail because the server
	// accepts no further connection.
	refusals int
	open     int
	opened   []fleet.WorkspaceID
}

type conn struct {
	dead          bool
	dialer        *dialer
	inTransaction bool
}

func (d *dialer) Dial(_ time.Time, _ pool.Server, workspace fleet.WorkspaceID) (pool.Conn, *session.RunError) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusals > 0 {
		d.refusals--
		return nil, &session.RunError{Kind: session.KindBusy, Text: "full"}
	}
	d.open++
	d.opened = append(d.opened, workspace)
	return &conn{dialer: d}, nil
}

func (c *conn) Alive() bool { return !c.dead }

func (c *conn) Reusable() bool { return !c.inTransaction }

func (c *conn) Close() {
	c.dialer.mu.Lock()
	defer c.dialer.mu.Unlock()
	c.dialer.open--
}

func (c *conn) Run(time.Time, []session.Command) (session.Reply, *session.RunError) {
	return session.Reply{}, nil
}

func newPool(d *dialer, limit int) *pool.Pool {
	p := pool.New(d, time.Now)
	p.SetServers(time.Now(), []pool.Server{{Address: "a", ID: "s", Idle: limit, Limit: limit}})
	return p
}

func acquire(t *testing.T, p *pool.Pool, workspace fleet.WorkspaceID) *pool.PooledConn {
	t.Helper()
	pooledConn, failure := p.Acquire("s", pool.Request{Deadline: time.Now().Add(time.Minute), Workspace: workspace})
	if failure != nil {
		t.Fatalf("Acquire() = %v", failure)
	}
	return pooledConn
}

// TestConnectionsBelongToOneWorkspace guards against reusing a connection for
// another workspace, and against exceeding the connection limit.
func TestConnectionsBelongToOneWorkspace(t *testing.T) {
	d := &dialer{}
	p := newPool(d, 1)
	p.Release("s", acquire(t, p, "w"))
	p.Release("s", acquire(t, p, "w"))
	p.Release("s", acquire(t, p, "v"))
	if diff := cmp.Diff([]fleet.WorkspaceID{"w", "v"}, d.opened); diff != "" {
		t.Errorf("workspaces of the opened connections (-want +got):\n%s", diff)
	}
	if d.open != 1 {
		t.Errorf("%d connections are open, want 1", d.open)
	}
}

// TestIdleIsBounded guards against idle connections above the limit, which use up
// the server's connections so that another instance can't open any.
func TestIdleIsBounded(t *testing.T) {
	d := &dialer{}
	p := newPool(d, 2)
	a, b := acquire(t, p, "w"), acquire(t, p, "w")
	p.Release("s", a)
	p.SetServers(time.Now(), []pool.Server{{Address: "a", ID: "s", Idle: 0, Limit: 2}})
	if d.open != 1 {
		t.Errorf("%d connections are open after the idle limit was lowered, want the one in use", d.open)
	}
	p.Release("s", b)
	if d.open != 0 {
		t.Errorf("%d idle connections, want none", d.open)
	}
	p.Release("s", acquire(t, p, "w"))
	if d.open != 0 {
		t.Errorf("%d idle connections after another use, want none", d.open)
	}
}

// TestFullServer guards against dialing a server without backoff while it refuses
// connections, and against failing a request that could wait for it.
func TestFullServer(t *testing.T) {
	d := &dialer{refusals: 2}
	p := newPool(d, 2)
	began := time.Now()
	p.Release("s", acquire(t, p, "w"))
	if waited := time.Since(began); waited < 40*time.Millisecond {
		t.Errorf("a full server was dialed three times within %v", waited)
	}
}

// TestAcquireAny guards against a status query that waits behind requests of
// callers while all connections are in use.
func TestAcquireAny(t *testing.T) {
	p := newPool(&dialer{}, 1)
	pooledConn := acquire(t, p, "w")
	order := make(chan string, 2)
	var waiting sync.WaitGroup
	waiting.Go(func() {
		next := acquire(t, p, "w")
		order <- "request"
		p.Release("s", next)
	})
	for p.Counts("s").Waiting < 1 {
	}
	waiting.Go(func() {
		next, failure := p.AcquireAny(time.Now().Add(time.Minute), "s")
		if failure != nil {
			t.Errorf("AcquireAny() = %v", failure)
			return
		}
		order <- "status"
		p.Release("s", next)
	})
	for p.Counts("s").Waiting < 2 {
	}
	p.Release("s", pooledConn)
	waiting.Wait()
	if first := <-order; first != "status" {
		t.Errorf("the %s got the connection first", first)
	}
}

// TestDeadConnections guards against handing out a dead connection, and against
// connections to a server's old address that stay open.
func TestDeadConnections(t *testing.T) {
	d := &dialer{}
	p := newPool(d, 2)
	pooledConn := acquire(t, p, "w")
	pooledConn.Conn.(*conn).dead = true
	p.Release("s", pooledConn)
	if next := acquire(t, p, "w"); !next.Alive() {
		t.Error("a dead connection was handed out")
	} else {
		p.SetServers(time.Now(), []pool.Server{{Address: "b", ID: "s", Idle: 2, Limit: 2}})
		p.Release("s", next)
	}
	if d.open != 0 {
		t.Errorf("%d connections to the old address are open", d.open)
	}
}

// TestOpenTransaction guards against a session that continues the transaction of another
// one, because the connection was released although its transaction had not ended.
func TestOpenTransaction(t *testing.T) {
	d := &dialer{}
	p := newPool(d, 1)
	held := acquire(t, p, "w")
	waiting := make(chan *pool.PooledConn, 1)
	go func() {
		next, _ := p.Acquire("s", pool.Request{Deadline: time.Now().Add(time.Minute), Workspace: "w"})
		waiting <- next
	}()
	for p.Counts("s").Waiting == 0 {
		runtime.Gosched()
	}
	held.Conn.(*conn).inTransaction = true
	p.Release("s", held)
	if next := <-waiting; next == nil || next.Conn == held.Conn {
		t.Error("the connection of an open transaction was granted to another session")
	}
	if d.open != 1 {
		t.Errorf("%d connections are open, want 1", d.open)
	}
}

// TestRemovedServer guards against a request that waits until its deadline for a
// connection to a server that is gone, or whose address has changed.
func TestRemovedServer(t *testing.T) {
	for name, servers := range map[string][]pool.Server{
		"removed": nil,
		"moved":   {{Address: "b", ID: "s", Idle: 1, Limit: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(&dialer{}, 1)
			held := acquire(t, p, "w")
			failures := make(chan *session.RunError, 1)
			go func() {
				_, failure := p.Acquire("s", pool.Request{Deadline: time.Now().Add(time.Minute), Workspace: "w"})
				failures <- failure
			}()
			for p.Counts("s").Waiting == 0 {
				runtime.Gosched()
			}
			p.SetServers(time.Now(), servers)
			select {
			case failure := <-failures:
				if removed := servers == nil; (failure != nil) != removed {
					t.Errorf("Acquire() = %v", failure)
				}
			case <-time.After(30 * time.Second):
				t.Fatal("the request still waits")
			}
			p.Release("s", held)
			if diff := cmp.Diff(len(servers), p.Counts("s").Open); diff != "" {
				t.Errorf("open connections (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPriority guards against a request that waits behind requests of lower
// priority.
func TestPriority(t *testing.T) {
	p := newPool(&dialer{}, 1)
	pooledConn := acquire(t, p, "w")
	order := make(chan int, 3)
	var waiting sync.WaitGroup
	for n, priority := range []int{2, 1, 2} {
		waiting.Go(func() {
			next, failure := p.Acquire("s", pool.Request{Deadline: time.Now().Add(time.Minute), Priority: priority, Workspace: "w"})
			if failure != nil {
				t.Errorf("Acquire() = %v", failure)
				return
			}
			order <- priority
			p.Release("s", next)
		})
		for p.Counts("s").Waiting <= n {
		}
	}
	p.Release("s", pooledConn)
	waiting.Wait()
	close(order)
	var got []int
	for priority := range order {
		got = append(got, priority)
	}
	if diff := cmp.Diff([]int{1, 2, 2}, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}
