package instance

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
	"github.com/nutmegpier/nutmegpier/peer"
	"github.com/nutmegpier/nutmegpier/settings"
	"github.com/nutmegpier/nutmegpier/sheet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// maxPeerMessage is the maximum size of a message between instances in bytes. The
// largest messages carry a sheet.
const maxPeerMessage = 4 << 20

// newPeers returns the peer controller.
func (i *Instance) newPeers() *peer.Controller {
	timeout := i.config.Settings.Platform.Timeout
	return peer.New(peer.Config{
		Client: i.peerClient,
		Clock:  clock(i.config.Now),
		Epoch:  i.config.Epoch,
		Events: i.recorder.recordPeerEvent,
		ForwardCancel: func(processID uint32, secret []byte) bool {
			return i.callers.Cancel(context.Background(), processID, secret)
		},
		Instances:      &peerList{list: i.config.Platform, timeout: timeout},
		Lease:          i.config.Settings.Timeouts.ValidityLease,
		Limits:         i.sheetLimits,
		Random:         i.randomNumber,
		ReleasePermits: i.releasePermits,
		Self:           i.config.Settings.Instance,
		SheetChanged:   i.applySheet,
		Suspicions:     i.suspicions,
		Table:          &peerTable{table: i.config.Platform, timeout: timeout},
	})
}

// peerClient returns a client for the peer service of the instance at an address.
func (i *Instance) peerClient(address string) nutmegpierv1connect.PeerServiceClient {
	scheme := "http://"
	if i.config.PeerTLS != nil {
		scheme = "https://"
	}
	return nutmegpierv1connect.NewPeerServiceClient(i.config.PeerHTTP, scheme+address, connect.WithReadMaxBytes(maxPeerMessage), connect.WithInterceptors(&stampInterceptor{events: i.config.Events}))
}

// peerServer returns the HTTP server of the peer listener.
func (i *Instance) peerServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(nutmegpierv1connect.NewPeerServiceHandler(i.peers,
		connect.WithReadMaxBytes(maxPeerMessage),
		connect.WithInterceptors(&stampInterceptor{events: i.config.Events})))
	return &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
}

// peerListener returns the listener for other instances, with TLS if it is
// configured.
func (i *Instance) peerListener() net.Listener {
	if i.config.PeerTLS == nil {
		return i.config.Listeners.Peers
	}
	return tls.NewListener(i.config.Listeners.Peers, i.config.PeerTLS)
}

// applySheet puts a sheet in force if it is newer than the current one, and makes
// the server for callers check the keys of open sessions again.
func (i *Instance) applySheet(version fleet.SheetVersion, content []byte) {
	record, parsed, err := parseRecord(content)
	if err != nil {
		i.config.Events.Record(event.SheetRefused, event.Fields{Text: err.Error()})
		return
	}
	i.sheetMu.Lock()
	defer i.sheetMu.Unlock()
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
	i.callers.RecheckKeys()
}

// sheetLimits returns the rate limits and connection budgets of a sheet's record.
// Connection budgets that the sheet does not set come from the settings.
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

// permitLimits divides the connection budget of a group evenly among its servers;
// the first ones get the remainder.
func permitLimits(inForce sheet.Sheet, configured settings.Group) []peer.PermitLimit {
	budget := configured.Connections
	if override, found := inForce.Connections(configured.Group); found {
		budget = override
	}
	var limits []peer.PermitLimit
	for number, server := range configured.Servers {
		serverBudget := budget / len(configured.Servers)
		if number < budget%len(configured.Servers) {
			serverBudget++
		}
		limits = append(limits, peer.PermitLimit{Budget: serverBudget, Server: server.Server})
	}
	return limits
}

// suspicions returns the groups whose primary this instance cannot reach.
func (i *Instance) suspicions() []peer.Suspicion {
	var all []peer.Suspicion
	for _, controller := range i.groups {
		report, suspected := controller.Suspicion()
		if !suspected {
			continue
		}
		all = append(all, peer.Suspicion{
			Reporter: peer.Member{Epoch: i.config.Epoch, Instance: i.config.Settings.Instance},
			Group:    controller.settings.Group,
			Silence:  report.Silence,
			Term:     report.Term,
		})
	}
	return all
}

// ForwardCancel forwards a cancel request to the other instances. It returns an
// error if none of them runs the session.
func (i *Instance) ForwardCancel(ctx context.Context, processID uint32, secret []byte) error {
	if i.peers.ForwardCancelToPeers(ctx, processID, secret) {
		return nil
	}
	return &Error{Op: "forward cancel", Kind: KindUnknownSession, Err: errors.New("no live instance runs the session")}
}

// parseRecord parses the stored record of a sheet and the sheet in it.
func parseRecord(content []byte) (sheet.Record, sheet.Sheet, error) {
	record, err := sheet.ParseRecord(content)
	if err != nil {
		return sheet.Record{}, sheet.Sheet{}, err
	}
	parsed, err := sheet.Parse("sheet", []byte(record.Content))
	return record, parsed, err
}
