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

// Controller connects the decisions of this package to the table, the list of
// instances and the other instances. It is safe for concurrent use.
type Controller struct {
	asking chan struct{}
	config Config
	self   Member

	mu           sync.Mutex
	acceptances  map[fleet.SheetVersion]*Acceptance
	changed      chan struct{}
	emptyUntil   map[donorKey]time.Time
	head         Head
	headRevision uint64
	ledger       *Ledger
	leaving      bool
	membership   *Membership
	news         chan struct{}
	noted        map[Member]bool
	// peerFull is the newest generation that a member of it holds in full.
	peerFull    fleet.RosterGeneration
	pendingSeen map[TransferID]bool
	resets      map[Member]bool
	sheet       []byte
	storeDown   bool
	suspicions  map[Member][]Suspicion
	validity    *Validity
}

// donorKey is one limit of one peer. The name is a workspace or a server.
type donorKey struct {
	donor Member
	name  string
}

// New returns a controller that holds nothing and is not valid.
func New(config Config) *Controller {
	if config.Lease == 0 {
		config.Lease = DefaultValidityLease
	}
	self := Member{Epoch: config.Epoch, Instance: config.Self}
	return &Controller{
		acceptances: make(map[fleet.SheetVersion]*Acceptance),
		asking:      make(chan struct{}, 1),
		changed:     make(chan struct{}),
		config:      config,
		news:        make(chan struct{}, 1),
		emptyUntil:  make(map[donorKey]time.Time),
		ledger:      NewLedger(self, config.Lease),
		membership:  NewMembership(config.Clock.Now(), self),
		pendingSeen: make(map[TransferID]bool),
		resets:      make(map[Member]bool),
		self:        self,
		suspicions:  make(map[Member][]Suspicion),
		validity:    NewValidity(self, config.Lease),
	}
}

// Admit decides on one request of a workspace with the shares held now.
func (c *Controller) Admit(now time.Time, id fleet.WorkspaceID) workspace.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Admit(now, id)
}

// AdmitOrRequestShares is Admit, but asks peers for shares once before it refuses. It
// takes at most a few round trips. Peers that had nothing to give are not
// asked again for a short time, so that an overload causes no storm of calls.
func (c *Controller) AdmitOrRequestShares(ctx context.Context, id fleet.WorkspaceID) workspace.Decision {
	decision := c.Admit(c.config.Clock.Now(), id)
	if decision.Admitted || !c.Valid(c.config.Clock.Now()) || len(c.donors()) == 0 {
		return decision
	}
	if c.moveShares(ctx) != nil {
		return decision
	}
	return c.Admit(c.config.Clock.Now(), id)
}

// AwaitMajority waits until a majority of the roster holds the sheet version.
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

// Leave announces a planned stop and waits until the roster no longer holds
// this instance and the others can take its shares. Run must still run.
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
		// The others may still need the confirmation of this instance, until
		// one of them has the full share and tells the rest.
		return roster.Generation > 0 && !roster.Has(c.self) && c.peerFull >= roster.Generation
	})
}

// LiveInstances returns the runs that answered lately.
func (c *Controller) LiveInstances() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membership.Live(c.config.Clock.Now())
}

// OfferSheet hands a published sheet to this instance, from which its peers
// fetch it. It must be the content of the row of that version.
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
		c.noteNews()
	}
	if newer && c.config.SheetChanged != nil {
		c.config.SheetChanged(version, content)
	}
	return nil
}

// Permits returns the number of connections that may be open to a server now.
func (c *Controller) Permits(server fleet.ServerID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Permits(c.config.Clock.Now(), server)
}

// ReportDemand records the open connections to a server and the requests that
// wait for a permit.
func (c *Controller) ReportDemand(server fleet.ServerID, inUse, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.ReportDemand(server, inUse, waiting)
}

// Roster returns the newest roster held.
func (c *Controller) Roster() Roster {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Roster()
}

// Run talks to the table and the peers until the context ends. It returns the
// error of the context.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, storePeriod, c.pollList) })
	group.Go(func() error { return every(ctx, storePeriod, c.pollStore) })
	group.Go(func() error { return everyOr(ctx, exchangePeriod, c.news, c.exchangeAll) })
	group.Go(func() error { return every(ctx, exchangePeriod, c.queryPending) })
	group.Go(func() error {
		return every(ctx, sharePeriod, func(ctx context.Context) { _ = c.moveShares(ctx) })
	})
	return group.Wait()
}

// Share returns the share of a workspace that is held now.
func (c *Controller) Share(id fleet.WorkspaceID) workspace.Share {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Share(c.config.Clock.Now(), id)
}

// Suspicions returns what the live peers suspect of primaries.
func (c *Controller) Suspicions() []Suspicion {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []Suspicion
	for _, member := range c.membership.Live(c.config.Clock.Now()) {
		all = append(all, c.suspicions[member]...)
	}
	return all
}

// Valid reports whether this instance may serve at this time.
func (c *Controller) Valid(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.validity.Valid(now)
}

// Versions returns what this instance holds.
func (c *Controller) Versions() Versions {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Versions()
}

// adoptRoster takes a roster that was read from the table or from a peer.
func (c *Controller) adoptRoster(roster Roster) {
	now := c.config.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if roster.Generation > c.ledger.Versions().Generation {
		c.noteNews()
		defer c.event(EventRosterInForce, fmt.Sprintf("generation %d with %d members", roster.Generation, len(roster.Members)))
	}
	c.ledger.AdoptRoster(now, roster)
	c.membership.RecordRoster(now, c.ledger.Roster())
	c.refresh()
}

// await waits until the condition holds. The condition runs under the lock.
func (c *Controller) await(ctx context.Context, op string, done func() bool) error {
	for {
		c.mu.Lock()
		finished, changed := done(), c.changed
		c.mu.Unlock()
		if finished {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{Err: ctx.Err(), Kind: KindUnavailable, Op: op}
		case <-changed:
		case <-time.After(exchangePeriod):
		}
	}
}

// refresh draws the conclusions of new evidence. The lock is held.
func (c *Controller) refresh() {
	now := c.config.Clock.Now()
	for _, member := range c.membership.Replaced() {
		c.ledger.RecordEnded(member)
		c.validity.Forget(member)
		delete(c.resets, member)
		delete(c.suspicions, member)
	}
	maps.DeleteFunc(c.emptyUntil, func(_ donorKey, until time.Time) bool { return !now.Before(until) })
	c.ledger.AdvanceTransitions(now, c.validity.LastStoreRead())
	c.validity.SetHeld(c.ledger.Versions())
	c.validity.SetQuorums(c.ledger.Quorums()...)
	c.ledger.Renew(now, c.validity.ValidUntil(now))
	close(c.changed)
	c.changed = make(chan struct{})
}

// noteNews makes the next exchange happen at once, so that news spreads within
// a few round trips instead of a few periods.
func (c *Controller) noteNews() {
	select {
	case c.news <- struct{}{}:
	default:
	}
}

// every runs a step at once and then in each period, until the context ends.
func every(ctx context.Context, period time.Duration, step func(context.Context)) error {
	return everyOr(ctx, period, nil, step)
}

// everyOr is every, with a further step for each signal.
func everyOr(ctx context.Context, period time.Duration, signal <-chan struct{}, step func(context.Context)) error {
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
