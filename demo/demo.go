package demo

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/instance"
	"github.com/nutmegpier/nutmegpier/metastore"
	"github.com/nutmegpier/nutmegpier/operator"
	"github.com/nutmegpier/nutmegpier/standin"
)

// backendUser is the user name of the instances on the stand-in servers.
const backendUser = "nutmegpier"

// Options configure a demo.
type Options struct {
	// Deployments run together: each instance serves the databases of all of them.
	Deployments []Deployment
	// Instances is the number of instances.
	Instances int
	// Listen is the address "ip:port" on which the first instance accepts callers.
	// The other instances use the ports after it. With port 0, each instance uses
	// any free port.
	Listen string
	// LogFormat is "text" or "json".
	LogFormat string
	// LogOutput receives the log lines of all instances.
	LogOutput io.Writer
}

// Demo is one or more running deployments that share a platform and instances.
type Demo struct {
	groups       []runningGroup
	keys         []WorkspaceKey
	options      Options
	platform     *standin.Platform
	platformURL  string
	stopPlatform func()
	// token is the bearer token of the administration API.
	token string

	mu sync.Mutex
	// instances holds all instances that were started, also the stopped ones.
	instances []*runningInstance
}

// runningInstance is an instance that runs in this process.
type runningInstance struct {
	adminURL string
	// address is the address on which the instance accepts callers.
	address string
	// cancel starts a graceful stop.
	cancel     context.CancelFunc
	dataCentre fleet.DataCentre
	// done is closed when the instance has ended.
	done chan struct{}
	// err is the error with which the instance ended. It is set before done is
	// closed.
	err      error
	id       fleet.InstanceID
	instance *instance.Instance
	// stopped is set when Kill or Stop is called.
	stopped bool
}

// Start starts the deployments of the options, publishes their sheet and waits until
// all instances are ready. Close stops them.
func Start(ctx context.Context, options Options) (*Demo, error) {
	d := &Demo{options: options, platform: standin.NewPlatform(), token: rand.Text()}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// Client returns a client for the administration API of a running instance, or nil.
func (d *Demo) Client(id fleet.InstanceID) *operator.Client {
	for _, running := range d.running() {
		if running.id == id {
			return operator.NewClient(http.DefaultClient, running.adminURL, d.token)
		}
	}
	return nil
}

// Close stops all instances gracefully, and then the stand-ins.
func (d *Demo) Close() error {
	var errs []error
	running := d.running()
	for _, inst := range running {
		inst.cancel()
	}
	for _, inst := range running {
		<-inst.done
		errs = append(errs, inst.err)
	}
	for _, group := range d.groups {
		group.standIn.Close()
	}
	if d.stopPlatform != nil {
		d.stopPlatform()
	}
	return errors.Join(errs...)
}

// Group returns the stand-in group of a database, or nil.
func (d *Demo) Group(id fleet.GroupID) *standin.Group {
	for _, group := range d.groups {
		if group.standIn.ID() == id {
			return group.standIn
		}
	}
	return nil
}

// Instances returns the ids of the running instances.
func (d *Demo) Instances() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, running := range d.running() {
		ids = append(ids, running.id)
	}
	return ids
}

// Instance returns a running instance, or nil.
func (d *Demo) Instance(id fleet.InstanceID) *instance.Instance {
	for _, running := range d.running() {
		if running.id == id {
			return running.instance
		}
	}
	return nil
}

// Keys returns the keys of all workspaces.
func (d *Demo) Keys() []WorkspaceKey {
	return d.keys
}

// Kill stops an instance abruptly, without draining it.
func (d *Demo) Kill(id fleet.InstanceID) error {
	return d.terminate(id, func(running *runningInstance) { running.instance.Kill() })
}

// Platform returns the platform stand-in.
func (d *Demo) Platform() *standin.Platform {
	return d.platform
}

// Stop drains an instance and waits until it has ended.
func (d *Demo) Stop(id fleet.InstanceID) error {
	return d.terminate(id, func(running *runningInstance) { running.cancel() })
}

// Token returns the bearer token of the administration API.
func (d *Demo) Token() string {
	return d.token
}

// AdminURLs returns the URLs of the administration API of all running instances.
func (d *Demo) AdminURLs() []string {
	var urls []string
	for _, running := range d.running() {
		urls = append(urls, running.adminURL)
	}
	return urls
}

// URL returns the URL with which a workspace connects to a database through an
// instance. It is empty if the instance is not running.
func (d *Demo) URL(id fleet.InstanceID, key WorkspaceKey, database fleet.GroupID) string {
	for _, running := range d.running() {
		if running.id == id {
			return connectionURL(running.address, key, database)
		}
	}
	return ""
}

// URLs returns the connection URLs of each workspace to its first database, through
// two different instances if there are two.
func (d *Demo) URLs() []string {
	const instancesPerWorkspace = 2
	ids := d.Instances()
	var urls []string
	for index, key := range d.keys {
		for offset := range min(instancesPerWorkspace, len(ids)) {
			id := ids[(index+offset)%len(ids)]
			urls = append(urls, d.URL(id, key, key.Databases[0]))
		}
	}
	return urls
}

func (d *Demo) start(ctx context.Context) error {
	platformURL, stop, err := d.platform.Listen()
	if err != nil {
		return &Error{Op: "start platform stand-in", Kind: KindStart, Err: err}
	}
	d.platformURL = platformURL
	d.stopPlatform = stop
	for _, deployment := range d.options.Deployments {
		if err := d.startGroups(ctx, deployment); err != nil {
			return err
		}
	}
	initialSheet, err := d.generateKeysAndSheet()
	if err != nil {
		return err
	}
	listeners, err := d.listenAll()
	if err != nil {
		return err
	}
	for index, instanceListeners := range listeners {
		if err := d.startInstance(index, instanceListeners); err != nil {
			closeAllListeners(listeners[index:])
			return err
		}
	}
	first := d.Instances()[0]
	if err := d.publish(ctx, d.Client(first), initialSheet); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

// awaitReady waits until each instance accepts callers.
func (d *Demo) awaitReady(ctx context.Context) error {
	for _, running := range d.running() {
		if err := running.instance.AwaitReady(ctx); err != nil {
			return &Error{Op: "wait for readiness of instance " + string(running.id), Kind: KindStart, Err: err}
		}
	}
	return nil
}

// startGroups starts a group of stand-in servers for each database of a deployment and
// creates the sample tables.
func (d *Demo) startGroups(ctx context.Context, deployment Deployment) error {
	for index, database := range deployment.Databases {
		connectionsPerServer := (deployment.Connections + serversPerGroup - 1) / serversPerGroup
		standIn, err := standin.NewGroup(standin.Options{
			ApplyLag:        applyLag,
			ConnectDelay:    connectDelay,
			ConnectionLimit: connectionsPerServer,
			ID:              database.Group,
			ReceiveDelay:    receiveDelay,
			Servers:         serversPerGroup,
			Slots:           slotsPerServer,
		})
		if err != nil {
			return &Error{Op: "start stand-in group " + string(database.Group), Kind: KindStart, Err: err}
		}
		d.groups = append(d.groups, runningGroup{
			connections: deployment.Connections,
			dataCentres: rotate(deployment.DataCentres, index),
			standIn:     standIn,
		})
		for _, statement := range database.Schema {
			if err := standIn.Exec(ctx, statement); err != nil {
				return &Error{Op: "create tables of " + string(database.Group), Kind: KindStart, Err: err}
			}
		}
	}
	return nil
}

// startInstance adds an instance to the platform's list and runs it in the background.
func (d *Demo) startInstance(index int, listeners instance.Listeners) error {
	id := fleet.InstanceID(fmt.Sprintf("demo-%d", index+1))
	dataCentres := d.dataCentres()
	dataCentre := dataCentres[index%len(dataCentres)]
	instanceSettings, err := d.parseSettings(id, dataCentre, listeners)
	if err != nil {
		return &Error{Op: "parse settings of " + string(id), Kind: KindStart, Err: err}
	}
	inst, err := instance.Open(instance.Options{
		Listeners: listeners,
		LogFormat: d.options.LogFormat,
		LogOutput: d.options.LogOutput,
		Settings:  instanceSettings,
	})
	if err != nil {
		return &Error{Op: "open instance " + string(id), Kind: KindStart, Err: err}
	}
	d.platform.AddInstance(metastore.Instance{
		DataCentre:  dataCentre,
		ID:          id,
		PeerAddress: instanceSettings.Listen.Peers,
		State:       metastore.InstanceLive,
	})
	ctx, cancel := context.WithCancel(context.Background())
	running := &runningInstance{
		address:    instanceSettings.Listen.Callers,
		adminURL:   "http://" + instanceSettings.Listen.Admin,
		cancel:     cancel,
		dataCentre: dataCentre,
		done:       make(chan struct{}),
		id:         id,
		instance:   inst,
	}
	d.mu.Lock()
	d.instances = append(d.instances, running)
	d.mu.Unlock()
	go func() {
		defer close(running.done)
		running.err = inst.Run(ctx)
	}()
	return nil
}

// terminate stops a running instance with the given function, waits until it has
// ended and removes it from the platform's list of instances.
func (d *Demo) terminate(id fleet.InstanceID, terminate func(*runningInstance)) error {
	for _, running := range d.running() {
		if running.id != id {
			continue
		}
		d.mu.Lock()
		running.stopped = true
		d.mu.Unlock()
		terminate(running)
		<-running.done
		d.platform.RemoveInstance(id)
		return running.err
	}
	return &Error{Op: "end instance", Kind: KindCommand, Err: fmt.Errorf("unknown instance %q", id)}
}

// listenAll opens the listeners of all instances before the first instance starts.
// A port that is in use is thus reported before any instance runs.
func (d *Demo) listenAll() ([]instance.Listeners, error) {
	var all []instance.Listeners
	for index := range d.options.Instances {
		listeners, err := d.listen(index)
		if err != nil {
			closeAllListeners(all)
			return nil, err
		}
		all = append(all, listeners)
	}
	return all, nil
}

func closeAllListeners(all []instance.Listeners) {
	for _, listeners := range all {
		closeListeners(listeners)
	}
}

// listen opens the listeners of an instance. Only the listener for callers uses the
// port of the options; the other two use any free port.
func (d *Demo) listen(index int) (instance.Listeners, error) {
	host, portText, err := net.SplitHostPort(d.options.Listen)
	if err != nil {
		return instance.Listeners{}, &Error{Op: "listen", Kind: KindStart, Err: err}
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return instance.Listeners{}, &Error{Op: "listen", Kind: KindStart, Err: fmt.Errorf("port %q is not a number", portText)}
	}
	if port != 0 {
		port += index
	}
	addresses := []string{net.JoinHostPort(host, strconv.Itoa(port)), net.JoinHostPort(host, "0"), net.JoinHostPort(host, "0")}
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, earlier := range listeners {
				_ = earlier.Close()
			}
			return instance.Listeners{}, &Error{Op: "listen", Kind: KindStart, Err: err}
		}
		listeners = append(listeners, listener)
	}
	return instance.Listeners{Callers: listeners[0], Peers: listeners[1], Admin: listeners[2]}, nil
}

func (d *Demo) dataCentres() []fleet.DataCentre {
	var all []fleet.DataCentre
	for _, deployment := range d.options.Deployments {
		all = append(all, deployment.DataCentres...)
	}
	return all
}

// running returns the instances that were not stopped.
func (d *Demo) running() []*runningInstance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var running []*runningInstance
	for _, candidate := range d.instances {
		if !candidate.stopped {
			running = append(running, candidate)
		}
	}
	return running
}

func (d *Demo) tokenHash() string {
	sum := sha256.Sum256([]byte(d.token))
	return hex.EncodeToString(sum[:])
}

func connectionURL(address string, key WorkspaceKey, database fleet.GroupID) string {
	return (&url.URL{
		Host:   address,
		Path:   string(database),
		Scheme: "postgres",
		User:   url.UserPassword(string(key.Workspace), key.Key),
	}).String()
}

// rotate returns the list rotated left by offset. Starting each group with another
// data centre spreads the primaries over the data centres.
func rotate(list []fleet.DataCentre, offset int) []fleet.DataCentre {
	return slices.Concat(list[offset%len(list):], list[:offset%len(list)])
}
