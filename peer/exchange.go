package peer

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/fleet"
	v1 "github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
)

const (
	// shareRequestTimeout is the timeout for one donor. It is short because a
	// client's request may be waiting for the shares. If the response comes too
	// late, the donor finds out by QueryTransfer and reclaims the shares.
	shareRequestTimeout = 50 * time.Millisecond
	// unansweredBackoff is the time for which a donor that did not respond is not
	// asked again for the same limits.
	unansweredBackoff = time.Second
	// nothingGivenBackoff is the time for which a donor is not asked again for a
	// limit of which it gave nothing. It limits the call rate under overload.
	nothingGivenBackoff = 100 * time.Millisecond
	// shareRequestPeriod is the interval at which an instance checks its demand
	// and requests the shares that it lacks.
	shareRequestPeriod = 100 * time.Millisecond
)

// addresses returns the addresses of the peers: those on the platform's list, then
// the configured seeds that are not on the list.
func (c *Controller) addresses() []Listed {
	c.mu.Lock()
	defer c.mu.Unlock()
	peers := slices.Clone(c.membership.Listed())
	for _, seed := range c.config.Seeds {
		if !slices.ContainsFunc(peers, func(l Listed) bool { return l.Instance == seed.Instance }) {
			peers = append(peers, seed)
		}
	}
	return slices.DeleteFunc(peers, func(l Listed) bool { return l.Instance == c.self.Instance })
}

// requestSharesFrom requests shares from one peer and adds those that it gives.
// Limits for which the peer is in backoff are left out.
func (c *Controller) requestSharesFrom(ctx context.Context, donor Member) error {
	client, ok := c.clientOf(donor)
	if !ok {
		return &Error{Err: errors.New(string(donor.Instance)), Kind: KindUnavailable, Op: "ask"}
	}
	wanted := c.wantedSharesFrom(donor)
	if wanted.IsEmpty() {
		return nil
	}
	requestCtx, cancel := context.WithTimeout(ctx, shareRequestTimeout)
	defer cancel()
	response, err := client.TransferShares(requestCtx, connect.NewRequest(&v1.TransferSharesRequest{
		Permits:          toPermits(wanted.Permits),
		Rates:            toRates(wanted.Rates),
		RosterGeneration: uint64(wanted.Versions.Generation),
		Sender:           toSender(c.self),
		SheetVersion:     uint64(wanted.Versions.Sheet),
	}))
	if err != nil {
		c.setBackoff(donor, wanted, Transfer{}, unansweredBackoff)
		return &Error{Err: err, Kind: KindUnavailable, Op: "ask"}
	}
	transfer := Transfer{
		Donor:    fromSender(response.Msg.GetSender()),
		ID:       TransferID(response.Msg.GetTransferId()),
		Permits:  fromPermits(response.Msg.GetPermits()),
		Rates:    fromRates(response.Msg.GetRates()),
		Receiver: c.self,
		Versions: Versions{
			Generation: fleet.RosterGeneration(response.Msg.GetRosterGeneration()),
			Sheet:      fleet.SheetVersion(response.Msg.GetSheetVersion()),
		},
	}
	c.setBackoff(donor, wanted, transfer, nothingGivenBackoff)
	if transfer.Donor != donor || transfer.IsEmpty() {
		return nil
	}
	c.mu.Lock()
	accepted := c.ledger.AcceptTransfer(c.config.Clock.Now(), transfer)
	c.mu.Unlock()
	if accepted {
		c.emitEvent(EventSharesTransferred, "received from "+formatMember(donor))
		c.sendConfirmation(requestCtx, client, transfer)
	}
	return nil
}

// setBackoff starts a backoff for the wanted limits of which the donor gave
// nothing in the transfer.
func (c *Controller) setBackoff(donor Member, wanted Wanted, transfer Transfer, pause time.Duration) {
	until := c.config.Clock.Now().Add(pause)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, want := range wanted.Rates {
		if !slices.ContainsFunc(transfer.Rates, func(r RateAmount) bool { return r.Workspace == want.Workspace }) {
			c.backoffUntil[backoffKey{donor, string(want.Workspace)}] = until
		}
	}
	for _, want := range wanted.Permits {
		if !slices.ContainsFunc(transfer.Permits, func(p PermitAmount) bool { return p.Server == want.Server }) {
			c.backoffUntil[backoffKey{donor, string(want.Server)}] = until
		}
	}
}

// clientOf returns a client for the instance of a member, or false if its address
// is not known.
func (c *Controller) clientOf(member Member) (nutmegpierv1connect.PeerServiceClient, bool) {
	for _, listed := range c.addresses() {
		if listed.Instance == member.Instance {
			return c.config.Client(listed.Address), true
		}
	}
	return nil, false
}

// sendConfirmation confirms to the donor that the transfer was accepted. If the
// call fails, the donor finds out by QueryTransfer.
func (c *Controller) sendConfirmation(ctx context.Context, client nutmegpierv1connect.PeerServiceClient, transfer Transfer) {
	response, err := client.ConfirmTransfer(ctx, connect.NewRequest(&v1.ConfirmTransferRequest{
		GiverEpoch: uint64(transfer.Donor.Epoch),
		Sender:     toSender(c.self),
		TransferId: uint64(transfer.ID),
	}))
	if err != nil || fromSender(response.Msg.GetSender()) != transfer.Donor {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.ForgetSettledTransfers(transfer.Donor, TransferID(response.Msg.GetSettledBelow()))
}

// donors returns the live peers in a cyclic order that starts after this instance,
// so that the instances do not all ask the same peer first.
func (c *Controller) donors() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	live := c.membership.Live(c.config.Clock.Now())
	first := slices.IndexFunc(live, func(m Member) bool { return compareMembers(m, c.self) >= 0 })
	if first < 0 {
		first = 0
	}
	donors := slices.Concat(live[first:], live[:first])
	return slices.DeleteFunc(donors, func(m Member) bool { return m == c.self })
}

// exchange sends the periodic message to one peer and records the response. Newer
// versions that the response names are fetched first, so that the lease grant and
// the report in it can count at once.
func (c *Controller) exchange(ctx context.Context, listed Listed) {
	// A peer that does not respond must not delay the next round of exchanges with
	// the others.
	ctx, cancel := context.WithTimeout(ctx, exchangePeriod)
	defer cancel()
	client := c.config.Client(listed.Address)
	sent := c.config.Clock.Now()
	response, err := client.Exchange(ctx, connect.NewRequest(c.exchangeRequest()))
	if err != nil {
		return
	}
	from := fromSender(response.Msg.GetSender())
	if from.Instance != listed.Instance {
		return
	}
	report := fromVersions(response.Msg.GetVersions())
	c.fetchNewerFrom(ctx, client, report.Held)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.validity.RecordLeaseGrant(from, sent, durationFromMillis(response.Msg.GetVoucherMs()), report.Held)
	c.recordPeerState(from, report, true, response.Msg.GetLeaving(), response.Msg.GetLiveness(), response.Msg.GetSuspicions())
}

// exchangeAll exchanges messages with all peers in parallel.
func (c *Controller) exchangeAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, listed := range c.addresses() {
		wg.Go(func() { c.exchange(ctx, listed) })
	}
	wg.Wait()
	c.mu.Lock()
	c.refresh()
	c.mu.Unlock()
	c.reportMemberChanges()
}

func (c *Controller) exchangeRequest() *v1.ExchangeRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &v1.ExchangeRequest{
		Leaving:     c.leaving,
		Liveness:    toLiveness(c.membership.SilenceReport(c.config.Clock.Now())),
		Sender:      toSender(c.self),
		Suspicions:  c.localSuspicions(),
		Versions:    c.versionsMessage(),
		WantVoucher: true,
	}
}

// fetchNewerFrom fetches and adopts the roster and the sheet from a peer that
// holds these versions, as far as they are newer than those held here.
func (c *Controller) fetchNewerFrom(ctx context.Context, client nutmegpierv1connect.PeerServiceClient, versions Versions) {
	held := c.Versions()
	if versions.Generation > held.Generation {
		response, err := client.FetchRoster(ctx, connect.NewRequest(&v1.FetchRosterRequest{}))
		var roster Roster
		if err == nil && json.Unmarshal(response.Msg.GetContent(), &roster) == nil {
			c.adoptRoster(roster)
		}
	}
	if versions.Sheet > held.Sheet {
		response, err := client.FetchSheet(ctx, connect.NewRequest(&v1.FetchSheetRequest{}))
		if err == nil && len(response.Msg.GetContent()) > 0 {
			if err := c.OfferSheet(fleet.SheetVersion(response.Msg.GetVersion()), response.Msg.GetContent()); err != nil {
				c.emitEvent(EventUnusable, err.Error())
			}
		}
	}
}

// requestShares requests the missing shares from the peers, one after the other.
// Only one call runs at a time.
func (c *Controller) requestShares(ctx context.Context) error {
	select {
	case c.requestSlot <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.requestSlot }()
	for _, donor := range c.donors() {
		if err := c.requestSharesFrom(ctx, donor); err != nil && ctx.Err() != nil {
			return err
		}
	}
	return nil
}

// localSuspicions returns the primaries that this instance suspects to be down.
func (c *Controller) localSuspicions() []*v1.Suspicion {
	if c.config.Suspicions == nil {
		return nil
	}
	return toSuspicions(c.config.Suspicions())
}

// resolvePendingTransfers queries the outcome of the transfers that were already
// pending at the previous call, an exchange period ago.
func (c *Controller) resolvePendingTransfers(ctx context.Context) {
	c.mu.Lock()
	pending := c.ledger.PendingTransfers()
	previously := c.previouslyPending
	c.previouslyPending = make(map[TransferID]bool, len(pending))
	for _, transfer := range pending {
		c.previouslyPending[transfer.ID] = true
	}
	c.mu.Unlock()
	for _, transfer := range pending {
		if client, ok := c.clientOf(transfer.Receiver); ok && previously[transfer.ID] {
			c.resolveTransfer(ctx, client, transfer)
		}
	}
}

// resolveTransfer asks the receiver of a transfer whether it accepted it, and ends
// or reclaims the transfer accordingly.
func (c *Controller) resolveTransfer(ctx context.Context, client nutmegpierv1connect.PeerServiceClient, transfer Transfer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := client.QueryTransfer(ctx, connect.NewRequest(&v1.QueryTransferRequest{
		Sender:     toSender(c.self),
		TransferId: uint64(transfer.ID),
	}))
	if err != nil {
		return
	}
	responder := fromSender(response.Msg.GetSender())
	c.mu.Lock()
	defer c.mu.Unlock()
	if response.Msg.GetAccepted() {
		c.ledger.CompleteTransfer(responder, transfer.ID)
		return
	}
	c.ledger.ReclaimTransfer(c.config.Clock.Now(), responder, transfer.ID)
}

// recordPeerState records the content of an Exchange message from a peer.
// IsResponse means that it is the response to a call of this instance. The caller
// must hold c.mu.
func (c *Controller) recordPeerState(from Member, report Report, isResponse, leaving bool, liveness []*v1.Liveness, suspicions []*v1.Suspicion) {
	now := c.config.Clock.Now()
	c.membership.RecordMessage(now, from, isResponse, leaving, fromLiveness(liveness))
	c.membership.recordHeld(from, report.Held)
	c.ledger.RecordReport(from, report)
	if c.ledger.Roster().Has(from) {
		c.newestFullGeneration = max(c.newestFullGeneration, report.FullPhase)
	}
	c.suspicions[from] = fromSuspicions(from, suspicions)
	c.needsNewGeneration[from] = report.NeedsReset
	for _, acceptance := range c.acceptances {
		acceptance.Record(from, report.Held)
	}
	c.refresh()
}

// versionsMessage returns the report of this instance for an Exchange message. The
// caller must hold c.mu.
func (c *Controller) versionsMessage() *v1.Versions {
	message := toVersions(c.ledger.Report())
	message.StoreReadAgeMs = -1
	if read := c.validity.LastStoreRead(); !read.IsZero() {
		message.StoreReadAgeMs = c.config.Clock.Now().Sub(read).Milliseconds()
	}
	return message
}

// wantedSharesFrom returns the shares to request from a donor. Limits for which
// the donor is in backoff are left out.
func (c *Controller) wantedSharesFrom(donor Member) Wanted {
	now := c.config.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := c.ledger.Wanted(now)
	wanted.Rates = slices.DeleteFunc(wanted.Rates, func(r RateAmount) bool {
		return now.Before(c.backoffUntil[backoffKey{donor, string(r.Workspace)}])
	})
	wanted.Permits = slices.DeleteFunc(wanted.Permits, func(p PermitAmount) bool {
		return now.Before(c.backoffUntil[backoffKey{donor, string(p.Server)}])
	})
	return wanted
}
