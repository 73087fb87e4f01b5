package peer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// Ledger holds the shares of one instance and decides how they change. Shares
// belong to a roster generation and a sheet version. Over all instances they
// never add up to more than the limits. It is not safe for concurrent use.
//
// After a new generation the instance first holds the smaller of its old and
// its new share (joint phase). It takes the full new share once no member can
// admit with an old share any more (full phase). A sheet version inside a
// generation scales the shares; workspaces that the sheet adds get a share
// after the same wait.
type Ledger struct {
	added      map[string]bool
	barred     map[transferKey]bool
	demands    map[fleet.WorkspaceID]*demand
	generation *transition
	guestGifts bool
	lease      time.Duration
	lastID     TransferID
	limiter    *workspace.Limiter
	limits     Limits
	needsReset bool
	pending    map[TransferID]*Transfer
	permits    map[fleet.ServerID]*permitState
	roster     Roster
	rules      rules
	seen       map[transferKey]bool
	self       Member
	version    *transition
}

// permitState is the connection permits for one backend server.
type permitState struct {
	held    int
	inUse   int
	waiting int
}

// rules are the steps that keep the sums inside the limits. Tests replace
// them one by one to show that the property test notices.
type rules struct {
	joint      func(old, full workspace.Share) workspace.Share
	jointCount func(old, full int) int
	remains    func(before, kept workspace.Share) workspace.Share
	raised     func(held, full workspace.Share) workspace.Share
	repeated   func(seen bool) bool
	complete   func(complete bool) bool
	skipped    func(old workspace.Share) workspace.Share
	barred     func(barred bool) bool
}

func defaultRules() rules {
	return rules{
		joint:      workspace.Minimum,
		jointCount: func(old, full int) int { return min(old, full) },
		remains:    func(_, kept workspace.Share) workspace.Share { return kept },
		raised: func(held, full workspace.Share) workspace.Share {
			full.Level = min(held.Level, full.Capacity)
			return full
		},
		repeated: func(seen bool) bool { return seen },
		complete: func(complete bool) bool { return complete },
		skipped:  func(workspace.Share) workspace.Share { return workspace.Share{} },
		barred:   func(barred bool) bool { return barred },
	}
}

// NewLedger returns a ledger without shares.
func NewLedger(self Member, lease time.Duration) *Ledger {
	return &Ledger{
		added:      make(map[string]bool),
		barred:     make(map[transferKey]bool),
		demands:    make(map[fleet.WorkspaceID]*demand),
		generation: newTransition(nil),
		lease:      lease,
		limiter:    workspace.NewLimiter(),
		pending:    make(map[TransferID]*Transfer),
		permits:    make(map[fleet.ServerID]*permitState),
		rules:      defaultRules(),
		seen:       make(map[transferKey]bool),
		self:       self,
		version:    newTransition(nil),
	}
}

// Accept takes a transfer to this instance, at most once. It reports whether
// the shares are now held. A transfer of another generation or sheet version
// can never be accepted later, because both only grow.
func (l *Ledger) Accept(now time.Time, transfer Transfer) bool {
	key := transferKey{transfer.Giver, transfer.ID}
	if l.rules.repeated(l.seen[key]) {
		return true
	}
	if transfer.Receiver != l.self || l.rules.barred(l.barred[key]) || !l.settled() || transfer.Versions != l.Versions() {
		return false
	}
	l.seen[key] = true
	l.merge(now, transfer.Rates, transfer.Permits)
	return true
}

// AdoptLimits takes the limits of a newer sheet version.
func (l *Ledger) AdoptLimits(now time.Time, limits Limits) {
	if limits.Version <= l.limits.Version {
		return
	}
	old := l.limits
	l.limits = limits
	l.added = make(map[string]bool)
	if old.Version == 0 {
		l.grantFirst(now)
		return
	}
	consecutive := limits.Version == old.Version+1
	if !consecutive {
		clear(l.pending)
		l.needsReset = true
	}
	for _, rate := range old.Rates {
		if !slices.ContainsFunc(limits.Rates, func(r workspace.Limit) bool { return r.Workspace == rate.Workspace }) {
			l.limiter.Remove(rate.Workspace)
			delete(l.demands, rate.Workspace)
		}
	}
	for _, rate := range limits.Rates {
		l.scaleRate(now, old, rate, consecutive)
	}
	l.scalePermits(old, consecutive)
	l.scalePending(old)
	l.version = newTransition(l.roster.Members)
	l.version.confirmed[l.self] = true
	l.version.holding[l.self] = true
}

// AdoptRoster takes a newer roster and enters its joint phase.
func (l *Ledger) AdoptRoster(now time.Time, roster Roster) {
	if roster.Generation <= l.roster.Generation {
		return
	}
	last := l.roster.Generation
	l.roster = roster
	l.guestGifts = false
	l.needsReset = false
	clear(l.pending)
	clear(l.seen)
	clear(l.barred)
	l.generation = newTransition(roster.Previous)
	l.generation.holding[l.self] = true
	if last == 0 {
		l.grantFirst(now)
		return
	}
	for _, rate := range l.limits.Rates {
		held := l.limiter.Share(now, rate.Workspace)
		if roster.Generation > last+1 {
			// The others have already taken the shares of a generation that
			// this instance skipped, so what it holds is counted twice.
			held = l.rules.skipped(held)
		}
		l.limiter.Set(now, rate.Workspace, l.rules.joint(held, l.fullRate(rate)))
	}
	for _, limit := range l.limits.Permits {
		state := l.permitState(limit.Server)
		held := state.held
		if roster.Generation > last+1 {
			held = 0
		}
		state.held = l.rules.jointCount(held, l.fullPermits(limit))
	}
}

// Admit decides on one request of a workspace and counts it as demand.
func (l *Ledger) Admit(now time.Time, id fleet.WorkspaceID) workspace.Decision {
	decision := l.limiter.Admit(now, id)
	if !slices.ContainsFunc(l.limits.Rates, func(r workspace.Limit) bool { return r.Workspace == id }) {
		return decision
	}
	if l.demands[id] == nil {
		l.demands[id] = &demand{at: now}
	}
	l.demands[id].record(now, decision.Admitted)
	return decision
}

// Advance completes the joint phase when its condition holds, and reports
// whether shares grew. StoreRead is the time from which the newest read of the
// head row counts.
func (l *Ledger) Advance(now, storeRead time.Time) bool {
	grew := false
	if !l.generation.completed && l.rules.complete(l.generation.complete(now, storeRead, l.lease)) {
		l.generation.completed = true
		l.raise(now, func(string) bool { return true })
		grew = true
	}
	if !l.version.completed && l.version.complete(now, storeRead, l.lease) {
		l.version.completed = true
		l.raise(now, func(name string) bool { return l.added[name] })
		grew = true
	}
	return grew
}

// Confirm ends a transfer that this instance gave.
func (l *Ledger) Confirm(receiver Member, id TransferID) {
	if transfer := l.pending[id]; transfer != nil && transfer.Receiver == receiver {
		delete(l.pending, id)
	}
}

// Give takes shares out of this instance for a peer. It keeps what the recent
// demand here needs. The shares are gone from this instance when it returns.
func (l *Ledger) Give(now time.Time, wanted Wanted) Transfer {
	transfer := Transfer{Giver: l.self, Receiver: wanted.Receiver, Versions: l.Versions()}
	if wanted.Receiver == l.self || !l.settled() || wanted.Versions != l.Versions() || !now.Before(l.limiter.ValidUntil()) {
		return transfer
	}
	for _, want := range wanted.Rates {
		if given, ok := l.giveRate(now, want); ok {
			transfer.Rates = append(transfer.Rates, given)
		}
	}
	for _, want := range wanted.Permits {
		state := l.permits[want.Server]
		if state == nil {
			continue
		}
		if count := min(want.Permits, state.held-state.inUse-state.waiting); count > 0 {
			state.held -= count
			transfer.Permits = append(transfer.Permits, PermitAmount{Permits: count, Server: want.Server})
		}
	}
	if len(transfer.Rates) == 0 && len(transfer.Permits) == 0 {
		return transfer
	}
	if !l.roster.Has(wanted.Receiver) {
		l.guestGifts = true
	}
	l.lastID++
	transfer.ID = l.lastID
	l.pending[transfer.ID] = &transfer
	return transfer
}

// GuestGifts reports whether this instance gave shares of this generation to
// an instance outside the roster.
func (l *Ledger) GuestGifts() bool {
	return l.guestGifts
}

// IsFull reports whether the joint phase of the generation is over.
func (l *Ledger) IsFull() bool {
	return l.generation.completed
}

// JointGeneration returns the newest generation for which this instance holds
// no more than the smaller share. Connections above the permits held have to
// be closed first.
func (l *Ledger) JointGeneration() fleet.RosterGeneration {
	for _, state := range l.permits {
		if state.inUse > state.held {
			return l.roster.Generation - min(l.roster.Generation, 1)
		}
	}
	return l.roster.Generation
}

// NeedsGeneration reports whether shares were lost that only a new generation
// brings back.
func (l *Ledger) NeedsGeneration() bool {
	return l.needsReset
}

// Pending returns the given transfers whose fate is not known, oldest first.
func (l *Ledger) Pending() []Transfer {
	transfers := make([]Transfer, 0, len(l.pending))
	for _, transfer := range l.pending {
		transfers = append(transfers, *transfer)
	}
	slices.SortFunc(transfers, func(a, b Transfer) int { return int(a.ID) - int(b.ID) })
	return transfers
}

// Permits returns the number of connections that may be open to a server.
func (l *Ledger) Permits(now time.Time, server fleet.ServerID) int {
	state := l.permits[server]
	if state == nil || !now.Before(l.limiter.ValidUntil()) {
		return 0
	}
	return state.held
}

// Query reports whether a transfer to this instance was accepted. The answer
// no bars the transfer for good.
func (l *Ledger) Query(giver Member, id TransferID) bool {
	key := transferKey{giver, id}
	if l.seen[key] {
		return true
	}
	l.barred[key] = true
	return false
}

// Refused ends a given transfer that the receiver has barred. The shares come
// back, unless a new generation has replaced them.
func (l *Ledger) Refused(now time.Time, receiver Member, id TransferID) {
	transfer := l.pending[id]
	if transfer == nil || transfer.Receiver != receiver {
		return
	}
	delete(l.pending, id)
	l.merge(now, transfer.Rates, transfer.Permits)
}

// Report is what a peer says of itself that matters for the joint phase.
type Report struct {
	// Full is the newest generation whose joint phase is over, as known there.
	Full fleet.RosterGeneration
	// GuestGifts is true when the peer gave shares of the generation that it
	// holds to an instance outside the roster.
	GuestGifts bool
	Held       Versions
	// Joint is the newest generation for which the peer holds the smaller share.
	Joint fleet.RosterGeneration
}

// RecordEnded records that a member's process is gone for certain.
func (l *Ledger) RecordEnded(member Member) {
	l.generation.ended[member] = true
	l.version.ended[member] = true
}

// RecordReport records what a peer said of itself. Reports that name versions
// that are not held here must not be recorded before those are held.
func (l *Ledger) RecordReport(from Member, report Report) {
	if !l.Versions().Covers(report.Held) {
		return
	}
	if report.Held.Generation >= l.roster.Generation {
		l.generation.holding[from] = true
	}
	// Gifts of the generation before are reported until the peer moves on.
	l.generation.guests = l.generation.guests || report.GuestGifts
	l.version.guests = l.version.guests || report.GuestGifts
	if report.Joint >= l.roster.Generation {
		l.generation.confirmed[from] = true
	}
	if report.Full >= l.roster.Generation && l.roster.Generation > 0 {
		l.generation.guests = false
		for _, member := range l.generation.required {
			l.generation.confirmed[member] = true
			l.generation.holding[member] = true
		}
	}
	if report.Held.Sheet >= l.limits.Version {
		l.version.confirmed[from] = true
		l.version.holding[from] = true
	}
}

// Renew sets the end of this instance's validity.
func (l *Ledger) Renew(now, validUntil time.Time) {
	l.limiter.Renew(now, validUntil)
}

// ReportDemand records the open connections to a server and the requests that
// wait for a permit.
func (l *Ledger) ReportDemand(server fleet.ServerID, inUse, waiting int) {
	if l.permits[server] == nil && !slices.ContainsFunc(l.limits.Permits, func(p PermitLimit) bool { return p.Server == server }) {
		return
	}
	state := l.permitState(server)
	state.inUse = inUse
	state.waiting = waiting
}

// Roster returns the newest roster held.
func (l *Ledger) Roster() Roster {
	return l.roster
}

// Share returns the share of a workspace that is held now.
func (l *Ledger) Share(now time.Time, id fleet.WorkspaceID) workspace.Share {
	return l.limiter.Share(now, id)
}

// Versions returns the roster generation and sheet version of the shares.
func (l *Ledger) Versions() Versions {
	return Versions{Generation: l.roster.Generation, Sheet: l.limits.Version}
}

// Wanted returns what this instance should ask its peers for.
func (l *Ledger) Wanted(now time.Time) Wanted {
	wanted := Wanted{Receiver: l.self, Versions: l.Versions()}
	if !l.settled() || !now.Before(l.limiter.ValidUntil()) {
		return wanted
	}
	for _, rate := range l.limits.Rates {
		d := l.demands[rate.Workspace]
		if d == nil || d.rate(now) < 1e-3 {
			continue
		}
		share := l.limiter.Share(now, rate.Workspace)
		if amount := d.wanted(now, share); d.starved || amount.Level > 0 || amount.Rate > 0 {
			wanted.Rates = append(wanted.Rates, RateAmount{Share: amount, Workspace: rate.Workspace})
		}
	}
	for _, limit := range l.limits.Permits {
		state := l.permitState(limit.Server)
		if missing := state.inUse + state.waiting - state.held; missing > 0 {
			wanted.Permits = append(wanted.Permits, PermitAmount{Permits: missing, Server: limit.Server})
		}
	}
	return wanted
}

func (l *Ledger) fullPermits(limit PermitLimit) int {
	index := slices.Index(l.roster.Members, l.self)
	if index < 0 {
		return 0
	}
	count := len(l.roster.Members)
	// The remainder starts at another member for each server, so that no
	// member gets the extra permit of all servers.
	rotated := (index + int(xxhash.Sum64String(string(limit.Server))%uint64(count))) % count
	full := limit.Budget / count
	if rotated < limit.Budget%count {
		full++
	}
	return full
}

func (l *Ledger) fullRate(limit workspace.Limit) workspace.Share {
	if !l.roster.Has(l.self) {
		return workspace.Share{}
	}
	full, _ := workspace.FullShare(limit).Split(1 / float64(len(l.roster.Members)))
	return full
}

func (l *Ledger) giveRate(now time.Time, want RateAmount) (RateAmount, bool) {
	share := l.limiter.Share(now, want.Workspace)
	d := l.demands[want.Workspace]
	if d == nil {
		d = &demand{at: now}
	}
	given, kept := share.Split(d.spare(now, share, want.Share))
	if given.Rate <= 0 && given.Level <= 0 {
		return RateAmount{}, false
	}
	l.limiter.Set(now, want.Workspace, l.rules.remains(share, kept))
	return RateAmount{Share: given, Workspace: want.Workspace}, true
}

// grantFirst grants the shares of the first generation with full buckets.
// Nobody can have admitted anything before it. In later generations the first
// share comes with the full phase and an empty bucket.
func (l *Ledger) grantFirst(now time.Time) {
	if l.roster.Generation != 1 || l.limits.Version == 0 || len(l.roster.Previous) != 0 {
		return
	}
	l.version = newTransition(l.roster.Members)
	l.version.confirmed[l.self] = true
	l.version.holding[l.self] = true
	for _, rate := range l.limits.Rates {
		l.limiter.Set(now, rate.Workspace, l.fullRate(rate))
	}
	for _, limit := range l.limits.Permits {
		l.permitState(limit.Server).held = l.fullPermits(limit)
	}
}

func (l *Ledger) merge(now time.Time, rates []RateAmount, permits []PermitAmount) {
	for _, rate := range rates {
		if slices.ContainsFunc(l.limits.Rates, func(r workspace.Limit) bool { return r.Workspace == rate.Workspace }) {
			l.limiter.Set(now, rate.Workspace, workspace.Merge(l.limiter.Share(now, rate.Workspace), rate.Share))
		}
	}
	for _, amount := range permits {
		if state := l.permits[amount.Server]; state != nil {
			state.held += amount.Permits
		}
	}
}

func (l *Ledger) permitState(server fleet.ServerID) *permitState {
	if l.permits[server] == nil {
		l.permits[server] = &permitState{}
	}
	return l.permits[server]
}

// raise takes the full share of the limits that the filter names.
func (l *Ledger) raise(now time.Time, filter func(name string) bool) {
	for _, rate := range l.limits.Rates {
		if filter(string(rate.Workspace)) {
			held := l.limiter.Share(now, rate.Workspace)
			l.limiter.Set(now, rate.Workspace, l.rules.raised(held, l.fullRate(rate)))
		}
	}
	for _, limit := range l.limits.Permits {
		if filter(string(limit.Server)) {
			l.permitState(limit.Server).held = l.fullPermits(limit)
		}
	}
}

// settled reports whether shares may be moved: both transitions are over.
func (l *Ledger) settled() bool {
	return l.generation.completed && l.version.completed
}
