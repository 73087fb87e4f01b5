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
	"github.com/nutmegpier/nutmegpier/owner"
	"github.com/nutmegpier/nutmegpier/platform"
	"github.com/nutmegpier/nutmegpier/ports"
	"github.com/nutmegpier/nutmegpier/relay"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/traffic"
)

const (
	// deregistrationDelay is how long the platform still sends new callers to an
	// instance that is no longer ready. The platform probes once a second and
	// removes an instance after two failed probes.
	deregistrationDelay = 2300 * time.Millisecond
	// shutdownReserve is the part of StopBound that is left for the shutdown after
	// the sessions have ended.
	shutdownReserve = 600 * time.Millisecond
	// drainPollInterval is the interval at which a drain checks for open sessions.
	drainPollInterval = 20 * time.Millisecond
	// logQueueSize is the maximum number of log lines that wait for a slow reader.
	logQueueSize = 256
	// timelineCapacity is the number of events stored in memory.
	timelineCapacity = 64
	// readHeaderTimeout bounds reading the headers of an HTTP request.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes limits the headers of an HTTP request. Those of other instances
	// and of probes have less than 1 KiB.
	maxHeaderBytes = 16 << 10
	// maxIdleConnections is the maximum number of idle connections to a host. The
	// store needs one for each table that is followed, and some for other calls.
	maxIdleConnections = 8
	// maxIdleOwnerConnections is the maximum number of idle connections to one owner
	// of groups.
	maxIdleOwnerConnections = 4
	// ownerConnectTimeout bounds opening a connection to an owner, which takes a few
	// milliseconds.
	ownerConnectTimeout = 200 * time.Millisecond
)

func newServeCmd() *cobra.Command {
	var config string
	command := &cobra.Command{
		Args: cobra.NoArgs,
		Long: `Run an instance until SIGINT or SIGTERM. It then reports not ready, closes idle
sessions, lets open transactions finish within half of StopBound, and stops.`,
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

// bootTime returns a monotonic time that includes the time when the machine is
// suspended. Its calendar date has no meaning.
func bootTime() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("read the boot-time clock: " + err.Error())
	}
	return time.Unix(now.Unix())
}

// listeners holds the open listeners of an instance. Metrics, peers and relay are nil
// if the settings have no address for them.
type listeners struct {
	callers net.Listener
	metrics net.Listener
	peers   *net.UDPConn
	ready   net.Listener
	relay   net.Listener
}

// listen opens the listeners of the settings. The address for peers is used for
// datagrams over UDP and for the relay over TCP.
func listen(addresses gateway.Listen) (listeners, error) {
	var l listeners
	for _, entry := range []struct {
		address  string
		listener *net.Listener
	}{{addresses.Callers, &l.callers}, {addresses.Metrics, &l.metrics}, {addresses.Peers, &l.relay}, {addresses.Ready, &l.ready}} {
		if entry.address == "" {
			continue
		}
		opened, err := net.Listen("tcp", entry.address)
		if err != nil {
			return listeners{}, err
		}
		*entry.listener = opened
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

// serve runs an instance until a signal stops it or one of its servers fails.
func serve(cmd *cobra.Command, config string, settings gateway.Settings) error {
	setMemoryLimit(settings)
	epoch := fleet.Epoch(rand.Uint64())
	logWriter := event.NewBoundedWriter(cmd.OutOrStdout(), logQueueSize)
	defer logWriter.Close(shutdownReserve / 4)
	recorder := event.New(settings.Instance, epoch, time.Now, event.NewLogger(logWriter, "json", event.LevelInfo), timelineCapacity)
	expvar.Publish("LogLinesDropped", expvar.Func(func() any { return logWriter.Dropped() }))
	opened, err := listen(settings.Listen)
	if err != nil {
		return err
	}
	stopCtx, releaseSignals := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer releaseSignals()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)

	limits := newLimits(settings)
	log := gateway.NewLog(recorder, settings.Log.LinesPerSecond)
	gw, peerHandler := newGateway(settings, epoch, log, opened.peers, limits)
	callers := platform.NewCallerServer(session.Config{
		Clock: bootTime, AccessController: gw, Jitter: rand.Float64, Observer: gw, Retries: session.NewRetryBudget(),
		Sleep: time.Sleep, Router: gw,
	}, gw.TransactionIdle)
	callers.Limit(limits.callerLimits(settings, log))
	gw.PublishState()
	recorder.Record(event.InstanceStarted, event.Fields{Text: runtime.Version()})
	controllerCtx, stopControllers := context.WithCancel(context.Background())
	defer stopControllers()
	failures := start(controllerCtx, gw, callers, peerHandler, opened, limits)
	for {
		select {
		case err := <-failures:
			return err
		case <-reload:
			// The file is only checked: settings take effect at the next start. What
			// can change at run time is in the sheet.
			_, err := readSettings(config)
			recordReload(recorder, err)
		case <-stopCtx.Done():
			recorder.Record(event.InstanceDraining, event.Fields{})
			drain(settings, gw, callers, opened.callers)
			stopControllers()
			announceLeave(gw)
			recorder.Record(event.InstanceStopped, event.Fields{})
			return nil
		}
	}
}

// start starts the gateway and all servers. The channel receives their failures.
func start(ctx context.Context, gw *gateway.Gateway, callers *platform.CallerServer, peerHandler http.Handler, opened listeners, limits processLimits) <-chan error {
	const maxFailures = 5
	failures := make(chan error, maxFailures)
	ready := platform.ReadyHandler(func() bool { return gw.Ready(bootTime()) })
	go func() { failures <- gw.Run(ctx) }()
	go func() { failures <- callers.Serve(opened.callers) }()
	go serveHTTP(platform.NewBoundedListener(opened.ready, limits.probeConnections), ready, failures)
	if peerHandler != nil {
		bounded := platform.NewBoundedListener(opened.relay, limits.peerConnections)
		bounded.Authenticated = true
		go serveHTTP(bounded, peerHandler, failures)
	}
	if opened.metrics != nil {
		go serveHTTP(platform.NewBoundedListener(opened.metrics, limits.probeConnections), expvar.Handler(), failures)
	}
	return failures
}

// announceLeave tells the other instances that this one is stopping.
func announceLeave(gw *gateway.Gateway) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownReserve/2)
	defer cancel()
	gw.Leave(ctx)
}

// recordReload records the result of reading the settings file again.
func recordReload(recorder *event.Recorder, err error) {
	if err != nil {
		recorder.Record(event.SettingsRefused, event.Fields{Text: err.Error()})
		return
	}
	recorder.Record(event.SettingsReloaded, event.Fields{Text: "the settings file is valid; changes take effect at the next start"})
}

// setMemoryLimit sets the soft memory limit of the Go runtime to half of the
// instance's memory limit, which is in megabytes.
func setMemoryLimit(settings gateway.Settings) {
	debug.SetMemoryLimit(int64(settings.MemoryLimit) * megabyte / 2)
}

// newGateway returns the gateway, and the handler of the other instances' requests: for
// the store's contents, and for statements on the servers that this instance owns.
// Without a connection for peers there are none, and the handler is nil.
func newGateway(settings gateway.Settings, epoch fleet.Epoch, log *gateway.Log, peers *net.UDPConn, limits processLimits) (*gateway.Gateway, http.Handler) {
	dialer := platform.NetDialer()
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnections}
	client := &http.Client{Transport: transport}
	var gw *gateway.Gateway
	backendDialer := platform.NewDialer(bootTime, func(server fleet.ServerID) bool { return gw.ReportUnresponsive(server) })
	backendDialer.LimitResults(limits.results)
	config := gateway.Config{
		Clock:    bootTime,
		Control:  platform.NewControl(),
		Dialer:   backendDialer,
		Epoch:    epoch,
		Instance: settings.Instance,
		Log:      log,
		Promoter: platform.NewPromotionClient(client, settings.PromotionAddress),
		Settings: settings,
		Source:   platform.Source{},
		Store:    platform.NewStore(client, settings.StoreAddress),

		UsageReporter: platform.NewUsageClient(client, settings.PromotionAddress),
	}
	if peers == nil {
		gw = gateway.New(config)
		return gw, nil
	}
	endpoint := datagram.New(peers)
	config.PeerTransport = endpoint
	config.OwnerClient = owner.NewClient(&http.Client{Transport: traffic.NewRoundTripper(traffic.KindOwnerCall, &http.Transport{
		DialContext: newOwnerDialer(), DisableCompression: true, MaxIdleConnsPerHost: maxIdleOwnerConnections,
	})})
	config.RelayClient = relay.NewClient(&http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnections}})
	gw = gateway.New(config)
	mux := http.NewServeMux()
	mux.Handle(relay.NewServer(endpoint.Secret(), gw, settings.LinkMegabits).Handler())
	ownerPath, ownerHandler := owner.NewServer(endpoint.Secret(), gw).Handler()
	mux.Handle(ownerPath, traffic.NewHandler(traffic.KindOwnerCall, ownerHandler))
	return gw, platform.RequireSecret(endpoint.Secret(), mux)
}

// newOwnerDialer returns a function that opens connections to owners of groups. If one
// does not accept, another owner is called.
func newOwnerDialer() func(context.Context, string, string) (net.Conn, error) {
	dialer := platform.NetDialer()
	dialer.Timeout = ownerConnectTimeout
	return dialer.DialContext
}

// serveHTTP serves HTTP requests and sends the failure of the server to the channel.
func serveHTTP(bounded *ports.Listener, handler http.Handler, failures chan<- error) {
	server := &http.Server{ConnState: bounded.ConnState, Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout}
	if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
		failures <- err
	}
}

// drain ends all sessions at a planned stop. New callers are still served until the
// platform has stopped sending them to this instance.
func drain(settings gateway.Settings, gw *gateway.Gateway, callers *platform.CallerServer, listener net.Listener) {
	startedAt := bootTime()
	gw.Drain()
	time.Sleep(min(deregistrationDelay, settings.StopBound/2))
	callers.CloseIdle()
	for callers.Sessions() > 0 && bootTime().Before(startedAt.Add(settings.StopBound/2)) {
		time.Sleep(drainPollInterval)
	}
	callers.ExpireTransactions()
	// Other instances may still use connections of this one.
	for callers.Sessions()+gw.PeerWork() > 0 && bootTime().Before(startedAt.Add(settings.StopBound-shutdownReserve)) {
		time.Sleep(drainPollInterval)
	}
	_ = listener.Close()
}
