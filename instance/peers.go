package instance

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/peer"
	"github.com/nutmegpier/nutmegpier/platform"
	"github.com/nutmegpier/nutmegpier/settings"
	"github.com/nutmegpier/nutmegpier/sheet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// maxPeerMessage bounds the messages between instances in bytes. The largest
// holds a sheet.
const maxPeerMessage = 4 << 20

// peerTable gives the peers the rows of the platform's table.
type peerTable struct {
	table   platform.Table
	timeout time.Duration
}

var _ peer.Table = &peerTable{}

// Read returns the rows that exist.
func (t *peerTable) Read(ctx context.Context, keys []string) ([]peer.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	rows, err := t.table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	return peerRows(rows), nil
}

// Write writes all rows if all conditions hold.
func (t *peerTable) Write(ctx context.Context, conditions []peer.Condition, rows []peer.Row) (bool, []peer.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	var wanted []platform.Condition
	for _, condition := range conditions {
		wanted = append(wanted, platform.Condition{Key: condition.Key, Revision: platform.Revision(condition.Revision)})
	}
	var written []platform.Row
	for _, row := range rows {
		written = append(written, platform.Row{Key: row.Key, Value: row.Value})
	}
	applied, after, err := t.table.Write(ctx, wanted, written)
	if err != nil {
		return false, nil, err
	}
	return applied, peerRows(after), nil
}

func peerRows(rows []platform.Row) []peer.Row {
	var result []peer.Row
	for _, row := range rows {
		result = append(result, peer.Row{Key: row.Key, Revision: uint64(row.Revision), Value: row.Value})
	}
	return result
}

// peerList gives the peers the platform's list of instances.
type peerList struct {
	list    platform.InstanceList
	timeout time.Duration
}

var _ peer.InstanceList = &peerList{}

// List returns the listed instances.
func (l *peerList) List(ctx context.Context) ([]peer.Listed, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	instances, err := l.list.Instances(ctx)
	if err != nil {
		return nil, err
	}
	var listed []peer.Listed
	for _, instance := range instances {
		listed = append(listed, peer.Listed{
			Address:  instance.PeerAddress,
			Instance: instance.ID,
			Leaving:  instance.State == platform.InstanceLeaving,
		})
	}
	return listed, nil
}

// groupPeers tells group controllers what other instances know.
type groupPeers struct {
	now   func() time.Time
	peers *peer.Controller
	self  fleet.InstanceID
}

var _ group.Peers = &groupPeers{}

// Live returns the instances believed to be live, this one included.
func (g *groupPeers) Live() []fleet.InstanceID {
	live := []fleet.InstanceID{g.self}
	for _, member := range g.peers.LiveInstances() {
		if member.Instance != g.self {
			live = append(live, member.Instance)
		}
	}
	slices.Sort(live)
	return live
}

// Suspicions returns the newest reports of other instances on a group.
func (g *groupPeers) Suspicions(id fleet.GroupID) []group.SuspicionReport {
	var reports []group.SuspicionReport
	for _, suspicion := range g.peers.Suspicions() {
		if suspicion.Group != id {
			continue
		}
		reports = append(reports, group.SuspicionReport{
			Instance: suspicion.By.Instance,
			Received: g.now(),
			Silence:  suspicion.Silence,
			Term:     suspicion.Term,
		})
	}
	return reports
}

// shares gives the gate the shares of this instance.
type shares struct {
	peers *peer.Controller
}

var _ limits = &shares{}

// Admit decides on one request. Before it refuses, it asks the peers for
// shares once.
func (s *shares) Admit(now time.Time, id fleet.WorkspaceID) workspace.Decision {
	if decision := s.peers.Admit(now, id); decision.Admitted {
		return decision
	}
	ctx, cancel := context.WithTimeout(context.Background(), shareWait)
	defer cancel()
	return s.peers.AdmitOrAsk(ctx, id)
}

// Permits returns the number of connections that may be open to a server.
func (s *shares) Permits(server fleet.ServerID) int {
	return s.peers.Permits(server)
}

// Share returns the share of a workspace's limit that is held now.
func (s *shares) Share(id fleet.WorkspaceID) workspace.Share {
	return s.peers.Share(id)
}

// Valid reports whether the instance may serve at this time.
func (s *shares) Valid(now time.Time) bool {
	return s.peers.Valid(now)
}

// shareWait bounds the time that a request waits for shares of peers.
const shareWait = 50 * time.Millisecond

// newPeers returns the controller for the other instances.
func (i *Instance) newPeers() *peer.Controller {
	timeout := i.config.Settings.Platform.Timeout
	return peer.New(peer.Config{
		Client: i.peerClient,
		Clock:  clock(i.config.Now),
		Epoch:  i.config.Epoch,
		Events: i.recorder.recordPeer,
		ForwardCancel: func(processID uint32, secret []byte) bool {
			return i.callers.Cancel(context.Background(), processID, secret)
		},
		Instances:      &peerList{list: i.config.Platform, timeout: timeout},
		Lease:          i.config.Settings.Timeouts.ValidityLease,
		Limits:         i.sheetLimits,
		Random:         i.randomNumber,
		ReleasePermits: i.releasePermits,
		Self:           i.config.Settings.Instance,
		SheetChanged:   i.adoptSheet,
		Suspicions:     i.suspicions,
		Table:          &peerTable{table: i.config.Platform, timeout: timeout},
	})
}

func (i *Instance) peerClient(address string) nutmegpierv1connect.PeerServiceClient {
	scheme := "http://"
	if i.config.PeerTLS != nil {
		scheme = "https://"
	}
	return nutmegpierv1connect.NewPeerServiceClient(i.config.PeerHTTP, scheme+address, connect.WithReadMaxBytes(maxPeerMessage), connect.WithInterceptors(&stampInterceptor{events: i.config.Events}))
}

// peerServer returns the server of the peer listener.
func (i *Instance) peerServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(nutmegpierv1connect.NewPeerServiceHandler(i.peers,
		connect.WithReadMaxBytes(maxPeerMessage),
		connect.WithInterceptors(&stampInterceptor{events: i.config.Events})))
	return &http.Server{Handler: mux, ReadHeaderTimeout: adminHeaderTimeout}
}

// peerListener returns the listener for other instances, with TLS if it is set up.
func (i *Instance) peerListener() net.Listener {
	if i.config.PeerTLS == nil {
		return i.config.Listeners.Peers
	}
	return tls.NewListener(i.config.Listeners.Peers, i.config.PeerTLS)
}

// adoptSheet puts a newer sheet in force.
func (i *Instance) adoptSheet(version fleet.SheetVersion, content []byte) {
	record, parsed, err := parseRecord(content)
	if err != nil {
		i.config.Events.Record(event.SheetRefused, event.Fields{Text: err.Error()})
		return
	}
	i.adoptMu.Lock()
	defer i.adoptMu.Unlock()
	if version <= i.board.Sheet.Load().Version {
		return
	}
	i.board.Sheet.Store(SheetInForce{
		Content:   record.Content,
		Index:     sheet.NewIndex(parsed),
		Placement: placement(parsed, i.config.Settings.DataCentre),
		Sheet:     parsed,
		Version:   version,
	})
	i.config.Events.Record(event.SheetInForce, event.Fields{Text: versionText(version)})
	i.callers.Recheck()
}

// sheetLimits reads the limits out of the record of a sheet. Connection
// budgets come from the settings unless the sheet overrides them.
func (i *Instance) sheetLimits(content []byte) (peer.Limits, error) {
	_, parsed, err := parseRecord(content)
	if err != nil {
		return peer.Limits{}, err
	}
	var limits peer.Limits
	for _, entry := range parsed.Workspaces {
		limits.Rates = append(limits.Rates, workspace.Limit{Burst: entry.Burst, Rate: entry.Rate, Workspace: entry.Workspace})
	}
	for _, configured := range i.settings.Load().Groups {
		limits.Permits = append(limits.Permits, permitLimits(parsed, configured)...)
	}
	return limits, nil
}

// permitLimits splits the connection budget of a database over its servers.
func permitLimits(inForce sheet.Sheet, configured settings.Group) []peer.PermitLimit {
	budget := configured.Connections
	if override, found := inForce.Connections(configured.Group); found {
		budget = override
	}
	var limits []peer.PermitLimit
	for number, server := range configured.Servers {
		part := budget / len(configured.Servers)
		if number < budget%len(configured.Servers) {
			part++
		}
		limits = append(limits, peer.PermitLimit{Budget: part, Server: server.Server})
	}
	return limits
}

func (i *Instance) suspicions() []peer.Suspicion {
	var all []peer.Suspicion
	for _, controller := range i.groups {
		report, suspected := controller.Suspicion()
		if !suspected {
			continue
		}
		all = append(all, peer.Suspicion{
			By:      peer.Member{Epoch: i.config.Epoch, Instance: i.config.Settings.Instance},
			Group:   controller.settings.Group,
			Silence: report.Silence,
			Term:    report.Term,
		})
	}
	return all
}

// ForwardCancel passes a cancel request to the other instances. It returns an
// error if none of them has the session.
func (i *Instance) ForwardCancel(ctx context.Context, processID uint32, secret []byte) error {
	if i.peers.ForwardCancelToPeers(ctx, processID, secret) {
		return nil
	}
	return &Error{Op: "forward cancel", Kind: KindUnknownSession, Err: errors.New("no instance has the session")}
}

func parseRecord(content []byte) (sheet.Record, sheet.Sheet, error) {
	record, err := sheet.ParseRecord(content)
	if err != nil {
		return sheet.Record{}, sheet.Sheet{}, err
	}
	parsed, err := sheet.Parse("sheet", []byte(record.Content))
	return record, parsed, err
}
