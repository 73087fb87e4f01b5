package main

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/platform"
	"github.com/nutmegpier/nutmegpier/session"
)

const (
	// rotationTime is how long the platform sends new callers after an
	// instance stops being ready: two misses of a probe a second.
	rotationTime = 2300 * time.Millisecond
	// stopReserve is kept of the stop bound for the end of the process.
	stopReserve = 600 * time.Millisecond
	// drainTick is the time between two looks at the open sessions of a stop.
	drainTick = 20 * time.Millisecond
	// timelineCapacity is the number of events kept in memory.
	timelineCapacity = 64
	// readHeaderBound bounds the header of a ready probe.
	readHeaderBound = 5 * time.Second
	// idleConnections to the store: one for each follower, and calls besides.
	idleConnections = 8
)

func newServeCmd() *cobra.Command {
	var config string
	command := &cobra.Command{
		Args: cobra.NoArgs,
		Long: `Run an instance until SIGINT or SIGTERM. It then reports not ready, closes idle
sessions, lets open transactions end in half of StopBound, and stops.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := readSettings(config)
			if err != nil {
				return err
			}
			return serve(cmd, settings)
		},
		Short: "Run an instance",
		Use:   "serve",
	}
	command.Flags().StringVar(&config, "config", "", "settings file; default: the file that "+configVariable+" names")
	return command
}

// bootTime returns a steady time that counts suspension as well. Its calendar
// date means nothing.
func bootTime() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("no boot-time clock: " + err.Error())
	}
	return time.Unix(now.Unix())
}

func serve(cmd *cobra.Command, settings gateway.Settings) error {
	limitResources(settings)
	epoch := fleet.Epoch(rand.Uint64())
	recorder := event.New(settings.Instance, epoch, time.Now, event.NewLogger(cmd.OutOrStdout(), "json", event.LevelInfo), timelineCapacity)
	log := gateway.NewLog(recorder, settings.Log.LinesPerSecond)

	callerListener, err := net.Listen("tcp", settings.Listen.Callers)
	if err != nil {
		return err
	}
	readyListener, err := net.Listen("tcp", settings.Listen.Ready)
	if err != nil {
		return err
	}
	running := newGateway(settings, epoch, log)
	callers := platform.NewCallers(session.Config{
		Clock: bootTime, Gate: running, Jitter: rand.Float64, Observer: running, Pause: time.Sleep, Router: running,
	}, running.TransactionIdle)
	recorder.Record(event.InstanceStarted, event.Fields{Text: runtime.Version()})

	term, stopTerm := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stopTerm()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	controllers, stopControllers := context.WithCancel(context.Background())
	defer stopControllers()
	failed := make(chan error, 1)
	ready := platform.ReadyHandler(func() bool { return running.Ready(bootTime()) })
	go func() { failed <- running.Run(controllers) }()
	go serveHTTP(readyListener, ready, failed)
	go func() { failed <- callers.Serve(callerListener) }()
	if settings.Listen.Metrics != "" {
		metricsListener, err := net.Listen("tcp", settings.Listen.Metrics)
		if err != nil {
			return err
		}
		go serveHTTP(metricsListener, expvar.Handler(), failed)
	}
	for {
		select {
		case err := <-failed:
			return err
		case <-reload:
			// Settings take effect at a start; the sheet holds what may change.
			_, err := readSettings("")
			recordReload(recorder, err)
		case <-term.Done():
			recorder.Record(event.InstanceDraining, event.Fields{})
			drain(settings, running, callers, callerListener)
			stopControllers()
			leaving, cancel := context.WithTimeout(context.Background(), stopReserve/2)
			running.Leave(leaving)
			cancel()
			recorder.Record(event.InstanceStopped, event.Fields{})
			return nil
		}
	}
}

func recordReload(recorder *event.Recorder, err error) {
	if err != nil {
		recorder.Record(event.SettingsRefused, event.Fields{Text: err.Error()})
		return
	}
	recorder.Record(event.SettingsReloaded, event.Fields{Text: "no setting changes before the next start"})
}

// limitResources fits the runtime to the machine.
func limitResources(settings gateway.Settings) {
	const megabyte = 1 << 20
	debug.SetMemoryLimit(int64(settings.MemoryLimit) * megabyte / 2)
}

func newGateway(settings gateway.Settings, epoch fleet.Epoch, log *gateway.Log) *gateway.Gateway {
	dialer := platform.NetDialer()
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections}
	client := &http.Client{Transport: transport}
	var running *gateway.Gateway
	servers := platform.NewDialer(bootTime, func(server fleet.ServerID) bool { return running.ReportSilence(server) })
	running = gateway.New(gateway.Config{
		Clock:    bootTime,
		Control:  platform.NewControl(),
		Dialer:   servers,
		Epoch:    epoch,
		Instance: settings.Instance,
		Log:      log,
		Promoter: platform.NewPromotions(client, settings.PromotionAddress),
		Settings: settings,
		Source:   platform.Source{},
		Store:    platform.NewStore(client, settings.StoreAddress),
	})
	return running
}

func serveHTTP(listener net.Listener, handler http.Handler, failed chan<- error) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderBound}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// drain ends the sessions of a planned stop. New callers arrive until the
// platform has taken the instance out of rotation, and are served.
func drain(settings gateway.Settings, running *gateway.Gateway, callers *platform.Callers, listener net.Listener) {
	began := bootTime()
	running.Drain()
	time.Sleep(min(rotationTime, settings.StopBound/2))
	callers.CloseIdle()
	for callers.Sessions() > 0 && bootTime().Before(began.Add(settings.StopBound/2)) {
		time.Sleep(drainTick)
	}
	callers.ExpireTransactions()
	for callers.Sessions() > 0 && bootTime().Before(began.Add(settings.StopBound-stopReserve)) {
		time.Sleep(drainTick)
	}
	_ = listener.Close()
}
