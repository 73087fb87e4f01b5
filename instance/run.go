package instance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegpier/nutmegpier/event"
)

// leaveBound bounds the hand-over of shares at a planned stop.
const leaveBound = 3 * time.Second

// AwaitReady waits until the instance takes callers and holds a share of each
// workspace's limit.
func (i *Instance) AwaitReady(ctx context.Context) error {
	for !i.ready(i.config.Now()) || !i.holdsShares() {
		if err := pause(ctx, keepInterval); err != nil {
			return err
		}
	}
	return nil
}

// holdsShares reports whether the instance holds a share of each limit. A new
// workspace or instance gets one after a change of the roster is complete.
func (i *Instance) holdsShares() bool {
	for _, entry := range i.board.Sheet.Load().Sheet.Workspaces {
		if entry.Rate > 0 && i.limits.Share(entry.Workspace).Rate == 0 {
			return false
		}
	}
	return true
}

// Kill makes Run return without a drain, as if the process had died.
func (i *Instance) Kill() {
	i.killOnce.Do(func() { close(i.kill) })
}

// Run serves until the context ends, and then drains for at most the stop
// bound. It returns an error if sessions had to be cut off.
func (i *Instance) Run(ctx context.Context) error {
	i.config.Events.Record(event.InstanceStarted, event.Fields{Text: string(i.config.Settings.Instance)})
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks := i.start(running)
	i.board.Lifecycle.Store(LifecycleServing)
	i.config.Events.Record(event.InstanceServing, event.Fields{})

	var err error
	killed := false
	select {
	case <-ctx.Done():
		err = i.drain(running)
	case <-i.kill:
		killed = true
		expired, cancel := context.WithCancel(running)
		cancel()
		_ = i.callers.Drain(expired)
	}
	stop()
	i.pool.Close()
	err = errors.Join(err, tasks.Wait())
	i.board.Lifecycle.Store(LifecycleStopped)
	i.config.Events.Record(event.InstanceStopped, event.Fields{})
	if !killed {
		// Without the store the last events are lost with the process.
		_ = i.archive.save(context.WithoutCancel(ctx))
	}
	return err
}

// start starts all controllers and servers. They run until the context ends.
func (i *Instance) start(ctx context.Context) *errgroup.Group {
	tasks := &errgroup.Group{}
	for _, controller := range i.groups {
		tasks.Go(func() error {
			controller.Run(ctx)
			controller.close()
			return nil
		})
	}
	tasks.Go(func() error { return serveHTTP(ctx, i.peerServer(), i.peerListener()) })
	tasks.Go(func() error { return serveHTTP(ctx, i.adminServer(i.newOperator()), i.config.Listeners.Admin) })
	tasks.Go(func() error {
		_ = i.peers.Run(ctx)
		return nil
	})
	tasks.Go(func() error { return i.archive.run(ctx) })
	tasks.Go(func() error { return i.keepPool(ctx) })
	tasks.Go(func() error { return i.watchService(ctx) })
	tasks.Go(func() error { return i.callers.Serve(i.config.Listeners.Callers) })
	return tasks
}

// drain lets running transactions finish, closes idle sessions, and hands the
// shares of the instance to its peers.
func (i *Instance) drain(running context.Context) error {
	i.board.Lifecycle.Store(LifecycleDraining)
	i.config.Events.Record(event.InstanceDraining, event.Fields{})
	ctx, cancel := context.WithTimeout(running, i.settings.Load().Timeouts.StopBound)
	defer cancel()
	if err := i.callers.Drain(ctx); err != nil {
		return &Error{Op: "drain", Kind: KindStop, Err: err}
	}
	leaving, cancelLeave := context.WithTimeout(running, leaveBound)
	defer cancelLeave()
	// Without an answer in time, the peers take the shares back by eviction.
	_ = i.peers.Leave(leaving)
	return nil
}

// serveHTTP serves until the context ends.
func serveHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
