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

	"github.com/nutmegpier/nutmegpier/datagram"
	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gateway"
	"github.com/nutmegpier/nutmegpier/platform"
	"github.com/nutmegpier/nutmegpier/relay"
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
	// logLines is the number of log lines that wait for a slow reader.
	logLines = 256
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
			return serve(cmd, config, settings)
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

// listeners are what an instance listens on. Metrics, peers and
// relay are nil if they are not served.
type listeners struct {
	callers net.Listener
	metrics net.Listener
	peers   *net.UDPConn
	ready   net.Listener
	relay   net.Listener
}

func listen(addresses gateway.Listen) (listeners, error) {
	var l listeners
	for _, each := range []struct {
		address  string
		listener *net.Listener
	}{{addresses.Callers, &l.callers}, {addresses.Metrics, &l.metrics}, {addresses.Peers, &l.relay}, {addresses.Ready, &l.ready}} {
		if each.address == "" {
			continue
		}
		opened, err := net.Listen("tcp", each.address)
		if err != nil {
			return listeners{}, err
		}
		*each.listener = opened
	}
	if addresses.Peers == "" {
		return l, nil
	}
	address, err := net.ResolveUDPAddr("udp", addresses.Peers)
	if err != nil {
		return listeners{}, err
	}
	l.peers, err = net.ListenUDP("udp", address)
	return l, err
}

// serve runs an instance until a signal or a failure ends it.
func serve(cmd *cobra.Command, config string, settings gateway.Settings) error {
	limitResources(settings)
	epoch := fleet.Epoch(rand.Uint64())
	lines := event.NewBoundedWriter(cmd.OutOrStdout(), logLines)
	defer lines.Close(stopReserve / 4)
	recorder := event.New(settings.Instance, epoch, time.Now, event.NewLogger(lines, "json", event.LevelInfo), timelineCapacity)
	expvar.Publish("LogLinesDropped", expvar.Func(func() any { return lines.Dropped() }))
	opened, err := listen(settings.Listen)
	if err != nil {
		return err
	}
	term, stopTerm := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stopTerm()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)

	running, relays := newGateway(settings, epoch, gateway.NewLog(recorder, settings.Log.LinesPerSecond), opened.peers)
	callers := platform.NewCallerServer(session.Config{
		Clock: bootTime, AccessController: running, Jitter: rand.Float64, Observer: running, Sleep: time.Sleep, Router: running,
	}, running.TransactionIdle)
	recorder.Record(event.InstanceStarted, event.Fields{Text: runtime.Version()})
	controllers, stopControllers := context.WithCancel(context.Background())
	defer stopControllers()
	failed := start(controllers, running, callers, relays, opened)
	for {
		select {
		case err := <-failed:
			return err
		case <-reload:
			// Settings take effect at a start; the sheet holds what may change.
			_, err := readSettings(config)
			recordReload(recorder, err)
		case <-term.Done():
			recorder.Record(event.InstanceDraining, event.Fields{})
			drain(settings, running, callers, opened.callers)
			stopControllers()
			leave(running)
			recorder.Record(event.InstanceStopped, event.Fields{})
			return nil
		}
	}
}

// start starts all that serves. The channel gets the first failure.
func start(ctx context.Context, running *gateway.Gateway, callers *platform.CallerServer, relays *relay.Server, opened listeners) <-chan error {
	const servers = 5
	failed := make(chan error, servers)
	ready := platform.ReadyHandler(func() bool { return running.Ready(bootTime()) })
	go func() { failed <- running.Run(ctx) }()
	go func() { failed <- callers.Serve(opened.callers) }()
	go serveHTTP(opened.ready, ready, failed)
	if relays != nil {
		go serveHTTP(opened.relay, relays.Handler(), failed)
	}
	if opened.metrics != nil {
		go serveHTTP(opened.metrics, expvar.Handler(), failed)
	}
	return failed
}

// leave tells the other instances that this one stops.
func leave(running *gateway.Gateway) {
	ctx, cancel := context.WithTimeout(context.Background(), stopReserve/2)
	defer cancel()
	running.Leave(ctx)
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

func newGateway(settings gateway.Settings, epoch fleet.Epoch, log *gateway.Log, peers *net.UDPConn) (*gateway.Gateway, *relay.Server) {
	dialer := platform.NetDialer()
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections}
	client := &http.Client{Transport: transport}
	var running *gateway.Gateway
	servers := platform.NewDialer(bootTime, func(server fleet.ServerID) bool { return running.ReportUnresponsive(server) })
	config := gateway.Config{
		Clock:    bootTime,
		Control:  platform.NewControl(),
		Dialer:   servers,
		Epoch:    epoch,
		Instance: settings.Instance,
		Log:      log,
		Promoter: platform.NewPromotionClient(client, settings.PromotionAddress),
		Settings: settings,
		Source:   platform.Source{},
		Store:    platform.NewStore(client, settings.StoreAddress),
	}
	if peers == nil {
		running = gateway.New(config)
		return running, nil
	}
	endpoint := datagram.New(peers)
	config.PeerTransport = endpoint
	config.RelayClient = relay.NewClient(&http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections}})
	running = gateway.New(config)
	return running, relay.NewServer(endpoint.Secret(), running)
}

func serveHTTP(listener net.Listener, handler http.Handler, failed chan<- error) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderBound}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// drain ends the sessions of a planned stop. New callers arrive until the
// platform has taken the instance out of rotation, and are served.
func drain(settings gateway.Settings, running *gateway.Gateway, callers *platform.CallerServer, listener net.Listener) {
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
