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

// Options say what a demo runs.
type Options struct {
	Deployments []Deployment
	// Instances is the number of instances.
	Instances int
	// Listen is "ip:port" of the first instance. The others take the following
	// ports. Port 0 takes any free port for each.
	Listen string
	// LogFormat is "text" or "json".
	LogFormat string
	// LogOutput receives the log lines of all instances.
	LogOutput io.Writer
}

// Demo is a running deployment.
type Demo struct {
	groups       []runningGroup
	keys         []WorkspaceKey
	options      Options
	platform     *standin.Platform
	platformURL  string
	stopPlatform func()
	token        string

	mu        sync.Mutex
	instances []*runningInstance
}

// runningInstance is an instance with the means to end it.
type runningInstance struct {
	adminURL   string
	address    string
	cancel     context.CancelFunc
	dataCentre fleet.DataCentre
	done       chan struct{}
	err        error
	id         fleet.InstanceID
	instance   *instance.Instance
	stopped    bool
}

// Start starts the deployment and publishes its sheet. Close ends it.
func Start(ctx context.Context, options Options) (*Demo, error) {
	d := &Demo{options: options, platform: standin.NewPlatform(), token: rand.Text()}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// Client returns a client for the administration API of an instance.
func (d *Demo) Client(id fleet.InstanceID) *operator.Client {
	for _, running := range d.running() {
		if running.id == id {
			return operator.NewClient(http.DefaultClient, running.adminURL, d.token)
		}
	}
	return nil
}

// Close stops all instances gracefully and then the stand-ins.
func (d *Demo) Close() error {
	var errs []error
	running := d.running()
	for _, instance := range running {
		instance.cancel()
	}
	for _, instance := range running {
		<-instance.done
		errs = append(errs, instance.err)
	}
	for _, group := range d.groups {
		group.servers.Close()
	}
	if d.stopPlatform != nil {
		d.stopPlatform()
	}
	return errors.Join(errs...)
}

// Group returns the group of a database, or nil.
func (d *Demo) Group(id fleet.GroupID) *standin.Group {
	for _, group := range d.groups {
		if group.servers.ID() == id {
			return group.servers
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

// Kill ends an instance without a drain.
func (d *Demo) Kill(id fleet.InstanceID) error {
	return d.end(id, func(running *runningInstance) { running.instance.Kill() })
}

// Platform returns the platform stand-in.
func (d *Demo) Platform() *standin.Platform {
	return d.platform
}

// Stop ends an instance with a drain and waits for its end.
func (d *Demo) Stop(id fleet.InstanceID) error {
	return d.end(id, func(running *runningInstance) { running.cancel() })
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

// URL returns the connection URL of a workspace for a database through an instance.
func (d *Demo) URL(id fleet.InstanceID, key WorkspaceKey, database fleet.GroupID) string {
	for _, running := range d.running() {
		if running.id == id {
			return connectionURL(running.address, key, database)
		}
	}
	return ""
}

// URLs returns connection URLs: each workspace through two instances.
func (d *Demo) URLs() []string {
	const through = 2
	ids := d.Instances()
	var urls []string
	for number, key := range d.keys {
		for offset := range min(through, len(ids)) {
			id := ids[(number+offset)%len(ids)]
			urls = append(urls, d.URL(id, key, key.Databases[0]))
		}
	}
	return urls
}

func (d *Demo) start(ctx context.Context) error {
	platformURL, stop, err := d.platform.Listen()
	if err != nil {
		return &Error{Op: "start platform", Kind: KindStart, Err: err}
	}
	d.platformURL = platformURL
	d.stopPlatform = stop
	for _, deployment := range d.options.Deployments {
		if err := d.startGroups(ctx, deployment); err != nil {
			return err
		}
	}
	content, err := d.newSheet()
	if err != nil {
		return err
	}
	listeners, err := d.listenAll()
	if err != nil {
		return err
	}
	for number, opened := range listeners {
		if err := d.startInstance(number, opened); err != nil {
			closeAll(listeners[number:])
			return err
		}
	}
	first := d.Instances()[0]
	if err := d.publish(ctx, d.Client(first), content); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

// awaitReady waits until each instance takes callers.
func (d *Demo) awaitReady(ctx context.Context) error {
	for _, running := range d.running() {
		if err := running.instance.AwaitReady(ctx); err != nil {
			return &Error{Op: "await instance " + string(running.id), Kind: KindStart, Err: err}
		}
	}
	return nil
}

func (d *Demo) startGroups(ctx context.Context, deployment Deployment) error {
	for number, database := range deployment.Databases {
		perServer := (deployment.Connections + serversPerGroup - 1) / serversPerGroup
		servers, err := standin.NewGroup(standin.Options{
			ApplyLag:        applyLag,
			ConnectDelay:    connectionCost,
			ConnectionLimit: perServer,
			ID:              database.Group,
			ReceiveDelay:    receiveDelay,
			Servers:         serversPerGroup,
			Slots:           slotsPerServer,
		})
		if err != nil {
			return &Error{Op: "start group " + string(database.Group), Kind: KindStart, Err: err}
		}
		d.groups = append(d.groups, runningGroup{
			connections: deployment.Connections,
			dataCentres: rotate(deployment.DataCentres, number),
			servers:     servers,
		})
		for _, statement := range database.Schema {
			if err := servers.Exec(ctx, statement); err != nil {
				return &Error{Op: "create tables of " + string(database.Group), Kind: KindStart, Err: err}
			}
		}
	}
	return nil
}

func (d *Demo) startInstance(number int, listeners instance.Listeners) error {
	id := fleet.InstanceID(fmt.Sprintf("demo-%d", number+1))
	dataCentres := d.dataCentres()
	dataCentre := dataCentres[number%len(dataCentres)]
	configured, err := d.settingsOf(id, dataCentre, listeners)
	if err != nil {
		return &Error{Op: "settings of " + string(id), Kind: KindStart, Err: err}
	}
	opened, err := instance.Open(instance.Options{
		Listeners: listeners,
		LogFormat: d.options.LogFormat,
		LogOutput: d.options.LogOutput,
		Settings:  configured,
	})
	if err != nil {
		return &Error{Op: "open " + string(id), Kind: KindStart, Err: err}
	}
	d.platform.AddInstance(metastore.Instance{
		DataCentre:  dataCentre,
		ID:          id,
		PeerAddress: configured.Listen.Peers,
		State:       metastore.InstanceLive,
	})
	ctx, cancel := context.WithCancel(context.Background())
	running := &runningInstance{
		address:    configured.Listen.Callers,
		adminURL:   "http://" + configured.Listen.Admin,
		cancel:     cancel,
		dataCentre: dataCentre,
		done:       make(chan struct{}),
		id:         id,
		instance:   opened,
	}
	d.mu.Lock()
	d.instances = append(d.instances, running)
	d.mu.Unlock()
	go func() {
		defer close(running.done)
		running.err = opened.Run(ctx)
	}()
	return nil
}

func (d *Demo) end(id fleet.InstanceID, end func(*runningInstance)) error {
	for _, running := range d.running() {
		if running.id != id {
			continue
		}
		d.mu.Lock()
		running.stopped = true
		d.mu.Unlock()
		end(running)
		<-running.done
		d.platform.RemoveInstance(id)
		return running.err
	}
	return &Error{Op: "end instance", Kind: KindCommand, Err: fmt.Errorf("unknown instance %q", id)}
}

// listenAll opens the listeners of all instances before the first one starts,
// so that a busy port is reported at once and starts nothing.
func (d *Demo) listenAll() ([]instance.Listeners, error) {
	var all []instance.Listeners
	for number := range d.options.Instances {
		opened, err := d.listen(number)
		if err != nil {
			closeAll(all)
			return nil, err
		}
		all = append(all, opened)
	}
	return all, nil
}

func closeAll(all []instance.Listeners) {
	for _, listeners := range all {
		closeListeners(listeners)
	}
}

// listen opens the listeners of an instance. Only callers get a port of the options.
func (d *Demo) listen(number int) (instance.Listeners, error) {
	host, portText, err := net.SplitHostPort(d.options.Listen)
	if err != nil {
		return instance.Listeners{}, &Error{Op: "listen", Kind: KindStart, Err: err}
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return instance.Listeners{}, &Error{Op: "listen", Kind: KindStart, Err: fmt.Errorf("port %q is not a number", portText)}
	}
	if port != 0 {
		port += number
	}
	addresses := []string{net.JoinHostPort(host, strconv.Itoa(port)), net.JoinHostPort(host, "0"), net.JoinHostPort(host, "0")}
	var opened []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, earlier := range opened {
				_ = earlier.Close()
			}
			return instance.Listeners{}, &Error{Op: "listen", Kind: KindStart, Err: err}
		}
		opened = append(opened, listener)
	}
	return instance.Listeners{Callers: opened[0], Peers: opened[1], Admin: opened[2]}, nil
}

func (d *Demo) dataCentres() []fleet.DataCentre {
	var all []fleet.DataCentre
	for _, deployment := range d.options.Deployments {
		all = append(all, deployment.DataCentres...)
	}
	return all
}

// running returns the instances that were not ended.
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

func (d *Demo) tokenSum() string {
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

// rotate returns the list beginning at a place, so that primaries are spread
// over the data centres.
func rotate(list []fleet.DataCentre, by int) []fleet.DataCentre {
	return slices.Concat(list[by%len(list):], list[:by%len(list)])
}
