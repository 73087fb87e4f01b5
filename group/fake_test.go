package group_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/blackboard"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

const (
	fakeHeartbeat = 5 * time.Millisecond
	// fakeOneWay is the one-way network delay of control calls and writes.
	fakeOneWay = time.Millisecond
)

var errDown = errors.New("connection refused")

// fakeGroup is an in-memory database group with fault injection. Its servers
// replicate every fakeHeartbeat.
type fakeGroup struct {
	mu sync.Mutex
	// isolated holds the servers that are cut off from the other servers.
	isolated map[fleet.ServerID]bool
	// down holds the crashed servers.
	down    map[fleet.ServerID]bool
	servers []*modelServer
	// dropCall decides whether a control call of an instance is lost.
	dropCall func(instance fleet.InstanceID, server fleet.ServerID) bool
	// onPromote is called before a Promote call takes effect. It may inject or
	// remove faults.
	onPromote      func(server fleet.ServerID)
	promoted       map[fleet.Term]fleet.ServerID
	statusRequests int
	promotedTwice  bool
}

func newFakeGroup(n int) *fakeGroup {
	return &fakeGroup{
		isolated: map[fleet.ServerID]bool{}, down: map[fleet.ServerID]bool{}, servers: newModelGroup(n),
		dropCall: func(fleet.InstanceID, fleet.ServerID) bool { return false },
		promoted: map[fleet.Term]fleet.ServerID{1: "a"},
	}
}

func (g *fakeGroup) find(id fleet.ServerID) *modelServer {
	for _, s := range g.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// replicate runs the replication between the servers until the context ends.
func (g *fakeGroup) replicate(ctx context.Context) {
	g.mu.Lock()
	for _, s := range g.servers {
		s.lastContact = time.Now()
	}
	g.mu.Unlock()
	for ctx.Err() == nil {
		g.mu.Lock()
		for _, from := range g.servers {
			for _, to := range g.servers {
				if from == to || g.down[from.id] || g.down[to.id] || g.isolated[from.id] || g.isolated[to.id] {
					continue
				}
				from.replicate(to, len(from.log))
				if from.role == group.RolePrimary && to.term == from.term {
					to.lastContact = time.Now()
				}
			}
		}
		g.mu.Unlock()
		time.Sleep(fakeHeartbeat)
	}
}

// write appends an entry on a server, as the write of a caller does. It reports
// false if the server is down or is not a primary.
func (g *fakeGroup) write(id fleet.ServerID) (fleet.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down[id] {
		return fleet.Position{}, false
	}
	return g.find(id).write()
}

// statusRequestCount returns the number of status requests received by servers.
func (g *fakeGroup) statusRequestCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.statusRequests
}

func (g *fakeGroup) withLock(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// fakeControl is an instance's control connection to a server of a fakeGroup.
type fakeControl struct {
	group    *fakeGroup
	instance fleet.InstanceID
	server   fleet.ServerID
}

var _ group.Control = &fakeControl{}

// call runs f on the server after the one-way delay and returns the status after
// another one-way delay.
func (c *fakeControl) call(ctx context.Context, f func(*modelServer) error) (group.ServerStatus, error) {
	time.Sleep(fakeOneWay)
	c.group.mu.Lock()
	if c.group.down[c.server] {
		c.group.mu.Unlock()
		return group.ServerStatus{}, errDown
	}
	if c.group.dropCall(c.instance, c.server) {
		c.group.mu.Unlock()
		<-ctx.Done()
		return group.ServerStatus{}, ctx.Err()
	}
	s := c.group.find(c.server)
	err := f(s)
	status := s.status(time.Now())
	c.group.mu.Unlock()
	time.Sleep(fakeOneWay)
	return status, err
}

func (c *fakeControl) Fence(ctx context.Context, term fleet.Term, holder fleet.InstanceID, _ time.Duration) (bool, group.ServerStatus, error) {
	granted := false
	status, err := c.call(ctx, func(s *modelServer) error {
		granted = s.fence(term, holder)
		return nil
	})
	return granted, status, err
}

func (c *fakeControl) Promote(ctx context.Context, term fleet.Term, holder fleet.InstanceID) (group.ServerStatus, error) {
	return c.call(ctx, func(s *modelServer) error {
		if c.group.onPromote != nil {
			c.group.onPromote(s.id)
		}
		if c.group.down[s.id] {
			return errDown
		}
		err := s.promote(term, holder)
		if err == nil {
			if known, found := c.group.promoted[term]; found && known != s.id {
				c.group.promotedTwice = true
			}
			c.group.promoted[term] = s.id
		}
		return err
	})
}

func (c *fakeControl) Status(ctx context.Context) (group.ServerStatus, error) {
	return c.call(ctx, func(*modelServer) error {
		c.group.statusRequests++
		return nil
	})
}

func (c *fakeControl) Wait(ctx context.Context, p fleet.Position, timeout time.Duration) (group.ServerStatus, error) {
	deadline := time.Now().Add(timeout)
	for {
		covered := false
		status, err := c.call(ctx, func(s *modelServer) error {
			covered = s.contains(p) || s.promised > p.Term
			return nil
		})
		if err != nil || covered || !time.Now().Before(deadline) {
			return status, err
		}
	}
}

// fakeClock is the clock of the synctest bubble.
type fakeClock struct{}

func (fakeClock) Now() time.Time { return time.Now() }

// fakeInstance is one instance with its controller. It is the controller's
// Recorder and Peers.
type fakeInstance struct {
	*group.Controller
	deployment *deployment
	id         fleet.InstanceID
	section    *blackboard.Section[group.View]

	mu         sync.Mutex
	detections []group.Detection
	records    []group.PromotionRecord
}

func (i *fakeInstance) Live() []fleet.InstanceID {
	var live []fleet.InstanceID
	for _, other := range i.deployment.instances {
		live = append(live, other.id)
	}
	return live
}

func (i *fakeInstance) Suspicions(fleet.GroupID) []group.SuspicionReport {
	var reports []group.SuspicionReport
	for _, other := range i.deployment.instances {
		if other == i {
			continue
		}
		if report, ok := other.Suspicion(); ok {
			reports = append(reports, report)
		}
	}
	return reports
}

func (i *fakeInstance) RecordDetection(_ fleet.GroupID, d group.Detection) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.detections = append(i.detections, d)
}

func (i *fakeInstance) RecordPhase(fleet.GroupID, group.Phase, fleet.Term) {}

func (i *fakeInstance) RecordPromotion(r group.PromotionRecord) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.records = append(i.records, r)
}

// deployment is a group with the instances that control it.
type deployment struct {
	cancel    context.CancelFunc
	ctx       context.Context
	group     *fakeGroup
	instances []*fakeInstance
	placement atomic.Pointer[group.Placement]
	running   sync.WaitGroup
}

// deploy starts a group and instances inside a synctest bubble, and waits a second
// until the instances know the primary. At the end of the test they are stopped
// and checked.
func deploy(t *testing.T, servers, instances int) *deployment {
	t.Helper()
	d := &deployment{group: newFakeGroup(servers)}
	d.placement.Store(&group.Placement{})
	d.ctx, d.cancel = context.WithCancel(t.Context())
	t.Cleanup(func() { d.stopAndCheck(t) })
	d.running.Go(func() { d.group.replicate(d.ctx) })
	d.start(instances, func(instance fleet.InstanceID) []group.ServerConfig {
		var servers []group.ServerConfig
		for _, s := range d.group.servers {
			servers = append(servers, group.ServerConfig{Control: &fakeControl{group: d.group, instance: instance, server: s.id}, ID: s.id})
		}
		return servers
	})
	time.Sleep(time.Second)
	return d
}

// start runs a number of instances with the given servers until the deployment's
// context ends.
func (d *deployment) start(instances int, servers func(fleet.InstanceID) []group.ServerConfig) {
	for n := range instances {
		i := &fakeInstance{
			deployment: d, id: fleet.InstanceID(rune('1' + n)), section: blackboard.New(group.View{}),
		}
		i.Controller = group.New(group.Config{
			Clock: fakeClock{}, Epoch: 7, Events: i, Group: "stock", Instance: i.id, Peers: i,
			Placement: func() group.Placement { return *d.placement.Load() },
			Random:    rand.New(rand.NewPCG(uint64(n), 1)), Section: i.section, Servers: servers(i.id),
			Settings: group.DefaultSettings(),
		})
		d.instances = append(d.instances, i)
	}
	for _, i := range d.instances {
		d.running.Go(func() { i.Run(d.ctx) })
	}
}

// stopAndCheck stops all goroutines and checks that at most one server was
// promoted in each term.
func (d *deployment) stopAndCheck(t *testing.T) {
	t.Helper()
	d.cancel()
	d.running.Wait()
	if d.group.promotedTwice {
		t.Error("two servers were promoted in one term")
	}
}

// records returns the promotion records of all instances.
func (d *deployment) records() []group.PromotionRecord {
	var records []group.PromotionRecord
	for _, i := range d.instances {
		i.mu.Lock()
		records = append(records, i.records...)
		i.mu.Unlock()
	}
	return records
}
