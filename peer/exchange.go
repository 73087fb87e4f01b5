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
	// askTimeout bounds the wait for one donor, because a request may wait for
	// the answer. Shares of a late answer come back by a query.
	askTimeout = 50 * time.Millisecond
	// deafBackoff is the time for which a donor that did not answer is not asked.
	deafBackoff = time.Second
	// donorBackoff is the time for which a peer is not asked again for a limit
	// of which it gave nothing. It bounds the calls of an overload.
	donorBackoff = 100 * time.Millisecond
	// sharePeriod is the time between two looks at the own demand.
	sharePeriod = 100 * time.Millisecond
)

// addresses returns the peers to talk to: the list, then the seeds.
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

// ask requests shares from one peer and takes what it gives. Limits of which
// the peer lately had nothing left are not asked for.
func (c *Controller) ask(ctx context.Context, donor Member) error {
	client, ok := c.clientOf(donor)
	if !ok {
		return &Error{Err: errors.New(string(donor.Instance)), Kind: KindUnavailable, Op: "ask"}
	}
	wanted := c.wantedFrom(donor)
	if wanted.IsEmpty() {
		return nil
	}
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := client.TransferShares(askCtx, connect.NewRequest(&v1.TransferSharesRequest{
		Permits:          toPermits(wanted.Permits),
		Rates:            toRates(wanted.Rates),
		RosterGeneration: uint64(wanted.Versions.Generation),
		Sender:           toSender(c.self),
		SheetVersion:     uint64(wanted.Versions.Sheet),
	}))
	if err != nil {
		c.backOff(donor, wanted, Transfer{}, deafBackoff)
		return &Error{Err: err, Kind: KindUnavailable, Op: "ask"}
	}
	transfer := Transfer{
		Donor:    fromSender(answer.Msg.GetSender()),
		ID:       TransferID(answer.Msg.GetTransferId()),
		Permits:  fromPermits(answer.Msg.GetPermits()),
		Rates:    fromRates(answer.Msg.GetRates()),
		Receiver: c.self,
		Versions: Versions{
			Generation: fleet.RosterGeneration(answer.Msg.GetRosterGeneration()),
			Sheet:      fleet.SheetVersion(answer.Msg.GetSheetVersion()),
		},
	}
	c.backOff(donor, wanted, transfer, donorBackoff)
	if transfer.Donor != donor || transfer.IsEmpty() {
		return nil
	}
	c.mu.Lock()
	accepted := c.ledger.AcceptTransfer(c.config.Clock.Now(), transfer)
	c.mu.Unlock()
	if accepted {
		c.event(EventSharesMoved, "from "+memberText(donor))
		c.confirm(askCtx, client, transfer)
	}
	return nil
}

// backOff notes which wanted limits a donor gave nothing of.
func (c *Controller) backOff(donor Member, wanted Wanted, transfer Transfer, pause time.Duration) {
	until := c.config.Clock.Now().Add(pause)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, want := range wanted.Rates {
		if !slices.ContainsFunc(transfer.Rates, func(r RateAmount) bool { return r.Workspace == want.Workspace }) {
			c.emptyUntil[donorKey{donor, string(want.Workspace)}] = until
		}
	}
	for _, want := range wanted.Permits {
		if !slices.ContainsFunc(transfer.Permits, func(p PermitAmount) bool { return p.Server == want.Server }) {
			c.emptyUntil[donorKey{donor, string(want.Server)}] = until
		}
	}
}

// clientOf returns the client for the address of a run's instance.
func (c *Controller) clientOf(member Member) (nutmegpierv1connect.PeerServiceClient, bool) {
	for _, listed := range c.addresses() {
		if listed.Instance == member.Instance {
			return c.config.Client(listed.Address), true
		}
	}
	return nil, false
}

// confirm tells the giver. When the call is lost, the giver asks by query.
func (c *Controller) confirm(ctx context.Context, client nutmegpierv1connect.PeerServiceClient, transfer Transfer) {
	answer, err := client.ConfirmTransfer(ctx, connect.NewRequest(&v1.ConfirmTransferRequest{
		GiverEpoch: uint64(transfer.Donor.Epoch),
		Sender:     toSender(c.self),
		TransferId: uint64(transfer.ID),
	}))
	if err != nil || fromSender(answer.Msg.GetSender()) != transfer.Donor {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.ForgetSettledTransfers(transfer.Donor, TransferID(answer.Msg.GetSettledBelow()))
}

// donors returns the live peers, the one after this instance first, so that
// the instances do not all ask the same peer.
func (c *Controller) donors() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	live := c.membership.Live(c.config.Clock.Now())
	at := slices.IndexFunc(live, func(m Member) bool { return compareMembers(m, c.self) >= 0 })
	if at < 0 {
		at = 0
	}
	donors := slices.Concat(live[at:], live[:at])
	return slices.DeleteFunc(donors, func(m Member) bool { return m == c.self })
}

// exchange sends the periodic message to one peer. What the answer names is
// fetched before the voucher and the report count.
func (c *Controller) exchange(ctx context.Context, listed Listed) {
	// A peer that does not answer must not delay the next round with the others.
	ctx, cancel := context.WithTimeout(ctx, exchangePeriod)
	defer cancel()
	client := c.config.Client(listed.Address)
	sent := c.config.Clock.Now()
	answer, err := client.Exchange(ctx, connect.NewRequest(c.exchangeRequest()))
	if err != nil {
		return
	}
	from := fromSender(answer.Msg.GetSender())
	if from.Instance != listed.Instance {
		return
	}
	report := fromVersions(answer.Msg.GetVersions())
	c.fetchFrom(ctx, client, report.Held)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.validity.RecordLeaseGrant(from, sent, milliseconds(answer.Msg.GetVoucherMs()), report.Held)
	c.record(from, report, true, answer.Msg.GetLeaving(), answer.Msg.GetLiveness(), answer.Msg.GetSuspicions())
}

func (c *Controller) exchangeAll(ctx context.Context) {
	var wait sync.WaitGroup
	for _, listed := range c.addresses() {
		wait.Go(func() { c.exchange(ctx, listed) })
	}
	wait.Wait()
	c.mu.Lock()
	c.refresh()
	c.mu.Unlock()
	c.noteMembers()
}

func (c *Controller) exchangeRequest() *v1.ExchangeRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &v1.ExchangeRequest{
		Leaving:     c.leaving,
		Liveness:    toLiveness(c.membership.SilenceReport(c.config.Clock.Now())),
		Sender:      toSender(c.self),
		Suspicions:  c.ownSuspicions(),
		Versions:    c.versionsMessage(),
		WantVoucher: true,
	}
}

// fetchFrom fetches from a peer what it holds and this instance lacks.
func (c *Controller) fetchFrom(ctx context.Context, client nutmegpierv1connect.PeerServiceClient, versions Versions) {
	held := c.Versions()
	if versions.Generation > held.Generation {
		answer, err := client.FetchRoster(ctx, connect.NewRequest(&v1.FetchRosterRequest{}))
		var roster Roster
		if err == nil && json.Unmarshal(answer.Msg.GetContent(), &roster) == nil {
			c.adoptRoster(roster)
		}
	}
	if versions.Sheet > held.Sheet {
		answer, err := client.FetchSheet(ctx, connect.NewRequest(&v1.FetchSheetRequest{}))
		if err == nil && len(answer.Msg.GetContent()) > 0 {
			if err := c.OfferSheet(fleet.SheetVersion(answer.Msg.GetVersion()), answer.Msg.GetContent()); err != nil {
				c.event(EventUnusable, err.Error())
			}
		}
	}
}

// moveShares asks peers for what is missing, one after the other.
func (c *Controller) moveShares(ctx context.Context) error {
	select {
	case c.asking <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.asking }()
	for _, donor := range c.donors() {
		if err := c.ask(ctx, donor); err != nil && ctx.Err() != nil {
			return err
		}
	}
	return nil
}

func (c *Controller) ownSuspicions() []*v1.Suspicion {
	if c.config.Suspicions == nil {
		return nil
	}
	return toSuspicions(c.config.Suspicions())
}

// queryPending asks the receivers of transfers that are unconfirmed for
// longer than an exchange period.
func (c *Controller) queryPending(ctx context.Context) {
	c.mu.Lock()
	pending := c.ledger.PendingTransfers()
	seen := c.pendingSeen
	c.pendingSeen = make(map[TransferID]bool, len(pending))
	for _, transfer := range pending {
		c.pendingSeen[transfer.ID] = true
	}
	c.mu.Unlock()
	for _, transfer := range pending {
		if client, ok := c.clientOf(transfer.Receiver); ok && seen[transfer.ID] {
			c.queryTransfer(ctx, client, transfer)
		}
	}
}

func (c *Controller) queryTransfer(ctx context.Context, client nutmegpierv1connect.PeerServiceClient, transfer Transfer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := client.QueryTransfer(ctx, connect.NewRequest(&v1.QueryTransferRequest{
		Sender:     toSender(c.self),
		TransferId: uint64(transfer.ID),
	}))
	if err != nil {
		return
	}
	answerer := fromSender(answer.Msg.GetSender())
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer.Msg.GetAccepted() {
		c.ledger.CompleteTransfer(answerer, transfer.ID)
		return
	}
	c.ledger.ReclaimTransfer(c.config.Clock.Now(), answerer, transfer.ID)
}

// record takes in what a peer said of itself. The lock is held.
func (c *Controller) record(from Member, report Report, answered, leaving bool, liveness []*v1.Liveness, suspicions []*v1.Suspicion) {
	now := c.config.Clock.Now()
	c.membership.RecordMessage(now, from, answered, leaving, fromLiveness(liveness))
	c.membership.recordHeld(from, report.Held)
	c.ledger.RecordReport(from, report)
	if c.ledger.Roster().Has(from) {
		c.peerFull = max(c.peerFull, report.FullPhase)
	}
	c.suspicions[from] = fromSuspicions(from, suspicions)
	c.resets[from] = report.NeedsReset
	for _, acceptance := range c.acceptances {
		acceptance.Record(from, report.Held)
	}
	c.refresh()
}

// versionsMessage returns what this instance says of itself. The lock is held.
func (c *Controller) versionsMessage() *v1.Versions {
	message := toVersions(c.ledger.Report())
	message.StoreReadAgeMs = -1
	if read := c.validity.LastStoreRead(); !read.IsZero() {
		message.StoreReadAgeMs = c.config.Clock.Now().Sub(read).Milliseconds()
	}
	return message
}

// wantedFrom returns what to ask a donor for.
func (c *Controller) wantedFrom(donor Member) Wanted {
	now := c.config.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := c.ledger.Wanted(now)
	wanted.Rates = slices.DeleteFunc(wanted.Rates, func(r RateAmount) bool {
		return now.Before(c.emptyUntil[donorKey{donor, string(r.Workspace)}])
	})
	wanted.Permits = slices.DeleteFunc(wanted.Permits, func(p PermitAmount) bool {
		return now.Before(c.emptyUntil[donorKey{donor, string(p.Server)}])
	})
	return wanted
}
