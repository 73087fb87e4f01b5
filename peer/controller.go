package peer

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// Controller runs the protocol of this package: it polls the store and the
// platform's list of instances, exchanges messages with the peers, and serves
// their calls. It is safe for concurrent use.
type Controller struct {
	// requestSlot has room for one element, which a call of requestShares holds
	// while it runs.
	requestSlot chan struct{}
	config      Config
	self        Member

	mu sync.Mutex
	// acceptances holds the sheet versions that AwaitMajority waits for.
	acceptances map[fleet.SheetVersion]*Acceptance
	// stateChanged is closed and replaced by refresh, to wake calls of await.
	stateChanged chan struct{}
	backoffUntil map[backoffKey]time.Time
	head         Head
	headRevision uint64
	ledger       *Ledger
	leaving      bool
	membership   *Membership
	// exchangeSignal requests an exchange before the next period.
	exchangeSignal chan struct{}
	// reportedLive holds the peers that were live at the last call of
	// reportMemberChanges.
	reportedLive map[Member]bool
	// newestFullGeneration is the newest generation of which a member of the
	// current roster reported the full phase.
	newestFullGeneration fleet.RosterGeneration
	// previouslyPending holds the transfers that were pending at the last call of
	// resolvePendingTransfers.
	previouslyPending map[TransferID]bool
	// needsNewGeneration holds the peers' latest Report.NeedsReset.
	needsNewGeneration map[Member]bool
	sheet              []byte
	storeUnavailable   bool
	suspicions         map[Member][]Suspicion
	validity           *Validity
}

// backoffKey identifies a limit for which a donor is not asked for the time
// being. The limit is the ID of a workspace or a server.
type backoffKey struct {
	donor Member
	limit string
}

// New returns a controller that holds no versions and no shares, and is not valid.
func New(config Config) *Controller {
	if config.Lease == 0 {
		config.Lease = DefaultValidityLease
	}
	self := Member{Epoch: config.Epoch, Instance: config.Self}
	return &Controller{
		acceptances:        make(map[fleet.SheetVersion]*Acceptance),
		requestSlot:        make(chan struct{}, 1),
		stateChanged:       make(chan struct{}),
		config:             config,
		exchangeSignal:     make(chan struct{}, 1),
		backoffUntil:       make(map[backoffKey]time.Time),
		ledger:             NewLedger(self, config.Lease),
		membership:         NewMembership(config.Clock.Now(), self),
		previouslyPending:  make(map[TransferID]bool),
		needsNewGeneration: make(map[Member]bool),
		self:               self,
		suspicions:         make(map[Member][]Suspicion),
		validity:           NewValidity(self, config.Lease),
	}
}

// Admit decides whether to admit one request of a workspace with the shares that
// this instance holds now.
func (c *Controller) Admit(now time.Time, id fleet.WorkspaceID) workspace.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Admit(now, id)
}

// AdmitOrRequestShares is Admit, but requests shares from the peers once before
// it refuses, which takes at most a few round trips. Peers that had nothing to give
// are not asked again for a short time, so that an overload does not cause a flood
// of calls.
func (c *Controller) AdmitOrRequestShares(ctx context.Context, id fleet.WorkspaceID) workspace.Decision {
	decision := c.Admit(c.config.Clock.Now(), id)
	if decision.Admitted || !c.Valid(c.config.Clock.Now()) || len(c.donors()) == 0 {
		return decision
	}
	if c.requestShares(ctx) != nil {
		return decision
	}
	return c.Admit(c.config.Clock.Now(), id)
}

// AwaitMajority waits until a majority of the roster holds the sheet version, in
// the joint phase also a majority of the previous roster.
func (c *Controller) AwaitMajority(ctx context.Context, version fleet.SheetVersion) error {
	c.mu.Lock()
	if c.acceptances[version] == nil {
		c.acceptances[version] = NewAcceptance(version)
	}
	acceptance := c.acceptances[version]
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.acceptances, version)
		c.mu.Unlock()
	}()
	return c.await(ctx, "await majority", func() bool {
		acceptance.Record(c.self, c.ledger.Versions())
		return acceptance.Accepted(c.ledger.Versions(), c.ledger.Quorums()...)
	})
}

// Leave announces a planned stop and waits until this instance is no longer part
// of the roster and the members have taken over its shares, or until no instance
// is live. Run must be running until Leave returns.
func (c *Controller) Leave(ctx context.Context) error {
	c.mu.Lock()
	c.leaving = true
	c.membership.SetLeaving()
	c.mu.Unlock()
	return c.await(ctx, "leave", func() bool {
		if len(c.membership.Live(c.config.Clock.Now())) == 0 {
			return true
		}
		roster := c.ledger.Roster()
		// The members may need the confirmation of this instance to end the joint
		// phase, until one of them is in the full phase and reports that to the
		// others.
		return roster.Generation > 0 && !roster.Has(c.self) && c.newestFullGeneration >= roster.Generation
	})
}

// LiveInstances returns the runs that were heard from recently and are not
// leaving, including this one unless it is leaving.
func (c *Controller) LiveInstances() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membership.Live(c.config.Clock.Now())
}

// OfferSheet adopts a published sheet if it is newer than the current one, and
// makes it available to the peers. The content must be that of the version's row
// in the store.
func (c *Controller) OfferSheet(version fleet.SheetVersion, content []byte) error {
	limits, err := c.config.Limits(content)
	if err != nil {
		return &Error{Err: err, Kind: KindConfig, Op: "offer sheet"}
	}
	limits.Version = version
	c.mu.Lock()
	newer := version > c.ledger.Versions().Sheet
	if newer {
		c.sheet = slices.Clone(content)
		c.ledger.AdoptLimits(c.config.Clock.Now(), limits)
	}
	c.refresh()
	c.mu.Unlock()
	if newer {
		c.triggerExchange()
	}
	if newer && c.config.SheetChanged != nil {
		c.config.SheetChanged(version, content)
	}
	return nil
}

// Permits returns the number of connections that this instance may have open to
// a server now.
func (c *Controller) Permits(server fleet.ServerID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Permits(c.config.Clock.Now(), server)
}

// ReportDemand records the number of permits in use for a server and of requests
// that wait for one.
func (c *Controller) ReportDemand(server fleet.ServerID, inUse, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.ReportDemand(server, inUse, waiting)
}

// Roster returns the newest roster that this instance holds.
func (c *Controller) Roster() Roster {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Roster()
}

// Run polls the store and communicates with the peers until the context ends. It
// returns the error of the context.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runPeriodically(ctx, storePeriod, c.pollInstanceList) })
	group.Go(func() error { return runPeriodically(ctx, storePeriod, c.pollStore) })
	group.Go(func() error { return runPeriodicallyOrOnSignal(ctx, exchangePeriod, c.exchangeSignal, c.exchangeAll) })
	group.Go(func() error { return runPeriodically(ctx, exchangePeriod, c.resolvePendingTransfers) })
	group.Go(func() error {
		return runPeriodically(ctx, shareRequestPeriod, func(ctx context.Context) { _ = c.requestShares(ctx) })
	})
	return group.Wait()
}

// Share returns the share of a workspace's rate limit that this instance holds
// now.
func (c *Controller) Share(id fleet.WorkspaceID) workspace.Share {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Share(c.config.Clock.Now(), id)
}

// Suspicions returns the primaries that the live peers suspect to be down.
func (c *Controller) Suspicions() []Suspicion {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []Suspicion
	for _, member := range c.membership.Live(c.config.Clock.Now()) {
		all = append(all, c.suspicions[member]...)
	}
	return all
}

// Valid reports whether this instance may serve now.
func (c *Controller) Valid(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.validity.Valid(now)
}

// Versions returns the roster generation and sheet version that this instance
// holds.
func (c *Controller) Versions() Versions {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Versions()
}

// adoptRoster adopts a roster from the store or from a peer if it is newer than
// the current one.
func (c *Controller) adoptRoster(roster Roster) {
	now := c.config.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if roster.Generation > c.ledger.Versions().Generation {
		c.triggerExchange()
		defer c.emitEvent(EventRosterInForce, fmt.Sprintf("roster generation %d with %d members", roster.Generation, len(roster.Members)))
	}
	c.ledger.AdoptRoster(now, roster)
	c.membership.RecordRoster(now, c.ledger.Roster())
	c.refresh()
}

// await waits until done returns true. Done is called with c.mu held.
func (c *Controller) await(ctx context.Context, op string, done func() bool) error {
	for {
		c.mu.Lock()
		finished, stateChanged := done(), c.stateChanged
		c.mu.Unlock()
		if finished {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{Err: ctx.Err(), Kind: KindUnavailable, Op: op}
		case <-stateChanged:
		case <-time.After(exchangePeriod):
		}
	}
}

// refresh updates the transitions, the quorums and the validity from the recorded
// state, and wakes calls of await. The caller must hold c.mu.
func (c *Controller) refresh() {
	now := c.config.Clock.Now()
	for _, member := range c.membership.Replaced() {
		c.ledger.RecordEnded(member)
		c.validity.Forget(member)
		delete(c.needsNewGeneration, member)
		delete(c.suspicions, member)
	}
	maps.DeleteFunc(c.backoffUntil, func(_ backoffKey, until time.Time) bool { return !now.Before(until) })
	c.ledger.AdvanceTransitions(now, c.validity.LastStoreRead())
	c.validity.SetHeld(c.ledger.Versions())
	c.validity.SetQuorums(c.ledger.Quorums()...)
	c.ledger.Renew(now, c.validity.ValidUntil(now))
	close(c.stateChanged)
	c.stateChanged = make(chan struct{})
}

// triggerExchange starts the next round of exchanges without waiting for the
// period to end, so that new versions spread within a few round trips instead of
// a few periods.
func (c *Controller) triggerExchange() {
	select {
	case c.exchangeSignal <- struct{}{}:
	default:
	}
}

// runPeriodically calls step at once and then once per period, until the context
// ends.
func runPeriodically(ctx context.Context, period time.Duration, step func(context.Context)) error {
	return runPeriodicallyOrOnSignal(ctx, period, nil, step)
}

// runPeriodicallyOrOnSignal is runPeriodically with an additional call of step for
// each signal.
func runPeriodicallyOrOnSignal(ctx context.Context, period time.Duration, signal <-chan struct{}, step func(context.Context)) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signal:
		case <-ticker.C:
		}
	}
}
