package instance

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/ports"
)

// leaveTimeout bounds the transfer of shares to the peers at a planned stop.
const leaveTimeout = 3 * time.Second

// AwaitReady waits until the instance accepts callers and holds a share of each
// workspace's rate limit.
func (i *Instance) AwaitReady(ctx context.Context) error {
	for !i.ready(i.config.Now()) || !i.holdsShares() {
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// holdsShares reports whether the instance holds a share of each rate limit above
// zero. A new workspace or instance gets its shares when a change of the roster is
// complete.
func (i *Instance) holdsShares() bool {
	for _, entry := range i.board.Sheet.Load().Sheet.Workspaces {
		if entry.Rate > 0 && i.limiter.Share(entry.Workspace).Rate == 0 {
			return false
		}
	}
	return true
}

// Kill makes Run return without draining, as if the process had crashed.
func (i *Instance) Kill() {
	i.killOnce.Do(func() { close(i.kill) })
}

// Run serves until the context ends, and then drains: sessions have at most
// Timeouts.StopBound to finish. It returns an error if sessions were aborted
// because that time was over, or if a server failed.
func (i *Instance) Run(ctx context.Context) error {
	i.config.Events.Record(event.InstanceStarted, event.Fields{Text: string(i.config.Settings.Instance)})
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks := i.start(runCtx)
	i.board.Lifecycle.Store(LifecycleServing)
	i.config.Events.Record(event.InstanceServing, event.Fields{})

	var err error
	killed := false
	select {
	case <-ctx.Done():
		err = i.drain(runCtx)
	case <-i.kill:
		killed = true
		canceledCtx, cancel := context.WithCancel(runCtx)
		cancel()
		_ = i.callers.Drain(canceledCtx)
	}
	stop()
	i.pool.Close()
	err = errors.Join(err, tasks.Wait())
	i.board.Lifecycle.Store(LifecycleStopped)
	i.config.Events.Record(event.InstanceStopped, event.Fields{})
	if !killed {
		// If the store is unavailable, the events since the last snapshot are lost.
		_ = i.archive.saveSnapshot(context.WithoutCancel(ctx))
	}
	return err
}

// start starts all controllers and servers. They run until the context ends,
// except the server for callers, which runs until it is drained.
func (i *Instance) start(ctx context.Context) *errgroup.Group {
	tasks := &errgroup.Group{}
	for _, controller := range i.groups {
		tasks.Go(func() error {
			controller.Run(ctx)
			controller.close()
			return nil
		})
	}
	for _, section := range i.board.Groups {
		tasks.Go(func() error { return i.watchGroup(ctx, section) })
	}
	tasks.Go(func() error { return i.serveHTTP(ctx, i.peerServer(), i.peerListener(), math.MaxInt) })
	tasks.Go(func() error {
		return i.serveHTTP(ctx, i.adminServer(i.newAdminAPI()), i.config.Listeners.Admin, i.adminConnections())
	})
	tasks.Go(func() error {
		_ = i.peers.Run(ctx)
		return nil
	})
	tasks.Go(func() error { return i.archive.run(ctx) })
	tasks.Go(func() error { return i.maintainPool(ctx) })
	tasks.Go(func() error { return i.watchServingState(ctx) })
	tasks.Go(func() error { return i.callers.Serve(i.config.Listeners.Callers) })
	return tasks
}

// drain lets running transactions finish, closes idle sessions, and transfers the
// shares of the instance to its peers.
func (i *Instance) drain(runCtx context.Context) error {
	i.board.Lifecycle.Store(LifecycleDraining)
	i.config.Events.Record(event.InstanceDraining, event.Fields{})
	ctx, cancel := context.WithTimeout(runCtx, i.settings.Load().Timeouts.StopBound)
	defer cancel()
	if err := i.callers.Drain(ctx); err != nil {
		return &Error{Op: "drain", Kind: KindStop, Err: err}
	}
	leaveCtx, cancelLeave := context.WithTimeout(runCtx, leaveTimeout)
	defer cancelLeave()
	// If the transfer is not confirmed in time, the peers get the shares when they
	// remove this instance from the roster.
	_ = i.peers.Leave(leaveCtx)
	return nil
}

// serveHTTP serves HTTP requests on a number of connections until the context ends.
func (i *Instance) serveHTTP(ctx context.Context, server *http.Server, listener net.Listener, connections int) error {
	bounded := ports.NewListener(listener, connections, func() { i.metrics.portConnectionsClosed.Add(1) })
	server.ConnState = bounded.ConnState
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
