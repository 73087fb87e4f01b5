package peer

import (
	"context"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/fleet"
	v1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
)

var _ nutmegpierv1connect.PeerServiceHandler = &Controller{}

// ConfirmTransfer ends a transfer from this instance that the calling peer
// accepted.
func (c *Controller) ConfirmTransfer(_ context.Context, request *connect.Request[v1.ConfirmTransferRequest]) (*connect.Response[v1.ConfirmTransferResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fleet.Epoch(request.Msg.GetGiverEpoch()) == c.self.Epoch {
		c.ledger.CompleteTransfer(fromSender(request.Msg.GetSender()), TransferID(request.Msg.GetTransferId()))
	}
	return connect.NewResponse(&v1.ConfirmTransferResponse{
		Sender:       toSender(c.self),
		SettledBelow: uint64(c.ledger.SettledBelow()),
	}), nil
}

// Exchange records the periodic message of a peer and responds with the same
// information about this instance. If the peer asks for it, this instance grants
// it a validity lease.
func (c *Controller) Exchange(_ context.Context, request *connect.Request[v1.ExchangeRequest]) (*connect.Response[v1.ExchangeResponse], error) {
	message := request.Msg
	from := fromSender(message.GetSender())
	now := c.config.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordPeerState(from, fromVersions(message.GetVersions()), false, message.GetLeaving(), message.GetLiveness(), message.GetSuspicions())
	if held := c.ledger.Versions(); !held.Covers(fromVersions(message.GetVersions()).Held) {
		c.triggerExchange()
	}
	response := &v1.ExchangeResponse{
		Leaving:    c.leaving,
		Liveness:   toLiveness(c.membership.SilenceReport(now)),
		Sender:     toSender(c.self),
		Suspicions: c.localSuspicions(),
		Versions:   c.versionsMessage(),
	}
	if message.GetWantVoucher() {
		response.VoucherMs = uint64(c.validity.GrantLease(now, from).Milliseconds())
	}
	return connect.NewResponse(response), nil
}

// FetchRoster returns the newest roster that this instance holds. The content is
// empty if the request asks for another generation.
func (c *Controller) FetchRoster(_ context.Context, request *connect.Request[v1.FetchRosterRequest]) (*connect.Response[v1.FetchRosterResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	roster := c.ledger.Roster()
	response := &v1.FetchRosterResponse{Generation: request.Msg.GetGeneration()}
	if roster.Generation > 0 && requestedGeneration(request.Msg.GetGeneration(), roster.Generation) == roster.Generation {
		content, err := encode(roster)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		response.Content = content
		response.Generation = uint64(roster.Generation)
	}
	return connect.NewResponse(response), nil
}

// FetchSheet returns the newest sheet that this instance holds. The content is
// empty if the request asks for another version.
func (c *Controller) FetchSheet(_ context.Context, request *connect.Request[v1.FetchSheetRequest]) (*connect.Response[v1.FetchSheetResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.ledger.Versions().Sheet
	requested := fleet.SheetVersion(request.Msg.GetVersion())
	response := &v1.FetchSheetResponse{Version: uint64(requested)}
	if requested == 0 || requested == held {
		response.Content = c.sheet
		response.Version = uint64(held)
	}
	return connect.NewResponse(response), nil
}

// ForwardCancel passes on a cancel request from a peer to a session of this
// instance.
func (c *Controller) ForwardCancel(_ context.Context, request *connect.Request[v1.ForwardCancelRequest]) (*connect.Response[v1.ForwardCancelResponse], error) {
	found := c.config.ForwardCancel != nil && c.config.ForwardCancel(request.Msg.GetProcessId(), request.Msg.GetSecretKey())
	return connect.NewResponse(&v1.ForwardCancelResponse{Found: found}), nil
}

// QueryTransfer tells the donor whether this instance accepted a transfer. If it
// did not, it will not accept the transfer later.
func (c *Controller) QueryTransfer(_ context.Context, request *connect.Request[v1.QueryTransferRequest]) (*connect.Response[v1.QueryTransferResponse], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted := c.ledger.AcceptedOrReject(fromSender(request.Msg.GetSender()), TransferID(request.Msg.GetTransferId()))
	return connect.NewResponse(&v1.QueryTransferResponse{Accepted: accepted, Sender: toSender(c.self)}), nil
}

// TransferShares transfers the wanted shares to a peer, as far as this instance
// does not need them.
func (c *Controller) TransferShares(_ context.Context, request *connect.Request[v1.TransferSharesRequest]) (*connect.Response[v1.TransferSharesResponse], error) {
	message := request.Msg
	wanted := Wanted{
		Permits:  fromPermits(message.GetPermits()),
		Rates:    fromRates(message.GetRates()),
		Receiver: fromSender(message.GetSender()),
		Versions: Versions{
			Generation: fleet.RosterGeneration(message.GetRosterGeneration()),
			Sheet:      fleet.SheetVersion(message.GetSheetVersion()),
		},
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releasePermits(wanted.Permits)
	transfer := c.ledger.StartTransfer(c.config.Clock.Now(), wanted)
	return connect.NewResponse(&v1.TransferSharesResponse{
		Permits:          toPermits(transfer.Permits),
		Rates:            toRates(transfer.Rates),
		RosterGeneration: uint64(transfer.Versions.Generation),
		Sender:           toSender(c.self),
		SheetVersion:     uint64(transfer.Versions.Sheet),
		TransferId:       uint64(transfer.ID),
	}), nil
}
