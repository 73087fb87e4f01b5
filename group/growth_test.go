package group_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/backend"
	"github.com/nutmegpier/nutmegpier/blackboard"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/standin"
)

// measureTime is the duration of the warm-up and of the measurement, in real time.
const measureTime = 2 * time.Second

// healthyControl controls a healthy server that responds immediately.
type healthyControl struct {
	group.Control
	polls  *atomic.Int64
	status group.ServerStatus
}

func (c *healthyControl) Status(context.Context) (group.ServerStatus, error) {
	c.polls.Add(1)
	return c.status, nil
}

// noPeers is the Peers and the Recorder of an instance that has no peers and
// records nothing.
type noPeers struct{}

func (noPeers) Live() []fleet.InstanceID                           { return []fleet.InstanceID{"1"} }
func (noPeers) Suspicions(fleet.GroupID) []group.SuspicionReport   { return nil }
func (noPeers) RecordDetection(fleet.GroupID, group.Detection)     {}
func (noPeers) RecordPhase(fleet.GroupID, group.Phase, fleet.Term) {}
func (noPeers) RecordPromotion(group.PromotionRecord)              {}

func newHealthyController(id fleet.GroupID, interval time.Duration, polls *atomic.Int64) *group.Controller {
	settings := group.DefaultSettings()
	settings.PollInterval = interval
	config := group.Config{
		Clock: fakeClock{}, Epoch: 1, Events: noPeers{}, Group: id, Instance: "1", Peers: noPeers{},
		Placement: func() group.Placement { return group.Placement{} }, Random: rand.New(rand.NewPCG(1, 1)),
		Section: blackboard.New(group.View{}), Settings: settings,
	}
	for _, s := range newModelGroup(3) {
		s.lastContact = time.Now()
		control := &healthyControl{polls: polls, status: s.status(s.lastContact)}
		config.Servers = append(config.Servers, group.ServerConfig{Control: control, ID: s.id})
	}
	return group.New(config)
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkControllers measures the CPU time and allocations per poll and the
// memory per group of the controllers of healthy groups, by the number of groups.
func BenchmarkControllers(b *testing.B) {
	for _, groups := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			for range b.N {
				runControllers(b, groups)
			}
		})
	}
}

func runControllers(b *testing.B, groups int) {
	var polls atomic.Int64
	var running sync.WaitGroup
	var before, started, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithCancel(context.Background())
	for n := range groups {
		controller := newHealthyController(fleet.GroupID(fmt.Sprintf("g%d", n)), 250*time.Millisecond, &polls)
		running.Go(func() { controller.Run(ctx) })
	}
	// Meanwhile the views fill up with confirmed positions and receipts.
	time.Sleep(measureTime)
	runtime.ReadMemStats(&started)
	first, cpu := polls.Load(), cpuTime()
	time.Sleep(measureTime)
	cpu = cpuTime() - cpu
	n := float64(polls.Load() - first)
	runtime.ReadMemStats(&after)
	runtime.GC()
	var live runtime.MemStats
	runtime.ReadMemStats(&live)
	cancel()
	running.Wait()
	b.ReportMetric(float64(cpu.Nanoseconds())/n/1000, "cpu-µs/poll")
	b.ReportMetric(float64(after.Mallocs-started.Mallocs)/n, "allocs/poll")
	b.ReportMetric(float64(after.TotalAlloc-started.TotalAlloc)/n, "bytes/poll")
	b.ReportMetric((float64(live.HeapAlloc)+float64(live.StackInuse)-float64(before.HeapAlloc)-float64(before.StackInuse))/float64(groups)/1024, "KiB/group")
	b.ReportMetric(n/measureTime.Seconds()/float64(groups), "polls/s/group")
}

// countedConn counts the bytes that are sent and received on a connection.
type countedConn struct {
	net.Conn
	received, sent *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// BenchmarkStatusCall measures a status call over a control connection to a
// stand-in server. CPU time and allocations include those of the stand-in server.
func BenchmarkStatusCall(b *testing.B) {
	servers, err := standin.NewGroup(standin.Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer servers.Close()
	var received, sent atomic.Int64
	control, err := backend.NewControl(backend.ControlConfig{
		Address: servers.Servers()[1].Addr(), Database: string(servers.ID()), User: "proxy",
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &countedConn{Conn: conn, received: &received, sent: &sent}, err
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer control.Close(context.Background())
	if _, err := control.Status(b.Context()); err != nil {
		b.Fatal(err)
	}
	received.Store(0)
	sent.Store(0)
	b.ReportAllocs()
	calls := 0
	for b.Loop() {
		if _, err := control.Status(b.Context()); err != nil {
			b.Fatal(err)
		}
		calls++
	}
	b.ReportMetric(float64(received.Load())/float64(calls), "received-bytes/call")
	b.ReportMetric(float64(sent.Load())/float64(calls), "sent-bytes/call")
}
