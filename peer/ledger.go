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
	barred     map[transferKey]fleet.RosterGeneration
	demands    map[fleet.WorkspaceID]*workspace.Demand
	generation *transition
	floors     map[Member]TransferID
	guestGifts bool
	lease      time.Duration
	lastID     TransferID
	limiter    *workspace.Limiter
	limits     Limits
	needsReset bool
	pending    map[TransferID]*Transfer
	permits    map[fleet.ServerID]*permitState
	priorGifts bool
	roster     Roster
	seen       map[transferKey]fleet.RosterGeneration
	self       Member
	version    *transition
}

// permitState is the connection permits for one backend server.
type permitState struct {
	held    int
	inUse   int
	waiting int
}

// NewLedger returns a ledger without shares.
func NewLedger(self Member, lease time.Duration) *Ledger {
	return &Ledger{
		added:      make(map[string]bool),
		barred:     make(map[transferKey]fleet.RosterGeneration),
		demands:    make(map[fleet.WorkspaceID]*workspace.Demand),
		floors:     make(map[Member]TransferID),
		generation: newTransition(nil),
		lease:      lease,
		limiter:    workspace.NewLimiter(),
		pending:    make(map[TransferID]*Transfer),
		permits:    make(map[fleet.ServerID]*permitState),
		seen:       make(map[transferKey]fleet.RosterGeneration),
		self:       self,
		version:    newTransition(nil),
	}
}

// Accept takes a transfer to this instance, at most once. It reports whether
// the shares are now held. A transfer of another generation or sheet version
// can never be accepted later, because both only grow.
func (l *Ledger) AcceptTransfer(now time.Time, transfer Transfer) bool {
	key := transferKey{transfer.Donor, transfer.ID}
	if l.seen[key] > 0 {
		return true
	}
	if transfer.Receiver != l.self || l.barred[key] > 0 || transfer.ID < l.floors[transfer.Donor] {
		return false
	}
	if !l.settled() || transfer.Versions != l.Versions() {
		return false
	}
	l.seen[key] = l.roster.Generation
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
		if l.roster.Generation > 1 && l.generation.completed {
			l.raise(now, func(string) bool { return true })
		}
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
	l.priorGifts = l.guestGifts
	l.guestGifts = false
	l.needsReset = false
	clear(l.pending)
	l.forgetTransfers()
	l.generation = newTransition(roster.Previous)
	l.generation.holding[l.self] = true
	l.generation.guests = l.priorGifts
	if last == 0 {
		l.grantFirst(now)
		return
	}
	for _, rate := range l.limits.Rates {
		held := l.limiter.Share(now, rate.Workspace)
		if roster.Generation > last+1 {
			// The others have already taken the shares of a generation that
			// this instance skipped, so what it holds is counted twice.
			held = workspace.Share{}
		}
		l.limiter.Set(now, rate.Workspace, workspace.Minimum(held, l.fullRate(rate)))
	}
	for _, limit := range l.limits.Permits {
		state := l.permitState(limit.Server)
		held := state.held
		if roster.Generation > last+1 {
			held = 0
		}
		state.held = min(held, l.fullPermits(limit))
	}
}

// Admit decides on one request of a workspace and counts it as demand.
func (l *Ledger) Admit(now time.Time, id fleet.WorkspaceID) workspace.Decision {
	decision := l.limiter.Admit(now, id)
	if !slices.ContainsFunc(l.limits.Rates, func(r workspace.Limit) bool { return r.Workspace == id }) {
		return decision
	}
	if l.demands[id] == nil {
		l.demands[id] = workspace.NewDemand(now)
	}
	l.demands[id].Record(now, decision.Admitted)
	return decision
}

// Advance completes the joint phase when its condition holds, and reports
// whether shares grew. LastStoreRead is the time from which the newest read of the
// head row counts.
func (l *Ledger) AdvanceTransitions(now, storeRead time.Time) bool {
	hadGeneration, hadVersion := l.generation.completed, l.version.completed
	l.confirmSelf()
	l.generation.completed = hadGeneration || l.generation.complete(now, storeRead, l.lease)
	l.version.completed = hadVersion || l.version.complete(now, storeRead, l.lease)
	switch {
	case !l.generation.completed || hadGeneration && hadVersion:
		return false
	case !hadGeneration:
		l.raise(now, func(name string) bool {
			_, waits := l.added[name]
			return l.version.completed || !waits
		})
		return true
	case l.version.completed:
		l.raise(now, func(name string) bool { return l.added[name] })
		return true
	}
	return false
}

// Confirm ends a transfer that this instance gave.
func (l *Ledger) CompleteTransfer(receiver Member, id TransferID) {
	if transfer := l.pending[id]; transfer != nil && transfer.Receiver == receiver {
		delete(l.pending, id)
	}
}

// Give takes shares out of this instance for a peer. It keeps what the recent
// demand here needs. The shares are gone from this instance when it returns.
func (l *Ledger) StartTransfer(now time.Time, wanted Wanted) Transfer {
	transfer := Transfer{Donor: l.self, Receiver: wanted.Receiver, Versions: l.Versions()}
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

// InFullPhase reports whether the joint phase of the generation is over.
func (l *Ledger) InFullPhase() bool {
	return l.generation.completed
}

// JointPhase returns the newest generation for which this instance holds
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

// NeedsReset reports whether shares were lost that only a new generation
// brings back.
func (l *Ledger) NeedsNewGeneration() bool {
	return l.needsReset || l.guestGifts
}

// Pending returns the given transfers whose fate is not known, oldest first.
func (l *Ledger) PendingTransfers() []Transfer {
	transfers := make([]Transfer, 0, len(l.pending))
	for _, transfer := range l.pending {
		transfers = append(transfers, *transfer)
	}
	slices.SortFunc(transfers, func(a, b Transfer) int { return int(a.ID) - int(b.ID) })
	return transfers
}

// PermitLimits returns the budgets of the sheet version held.
func (l *Ledger) PermitLimits() []PermitLimit {
	return l.limits.Permits
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
func (l *Ledger) AcceptedOrReject(giver Member, id TransferID) bool {
	key := transferKey{giver, id}
	if l.seen[key] > 0 {
		return true
	}
	l.barred[key] = l.roster.Generation + 1
	return false
}

// Refused ends a given transfer that the receiver has barred. The shares come
// back, unless a new generation has replaced them.
func (l *Ledger) ReclaimTransfer(now time.Time, receiver Member, id TransferID) {
	transfer := l.pending[id]
	if transfer == nil || transfer.Receiver != receiver {
		return
	}
	delete(l.pending, id)
	l.merge(now, transfer.Rates, transfer.Permits)
}

// Report returns what this instance tells its peers of itself.
func (l *Ledger) Report() Report {
	report := Report{
		GuestGifts: l.guestGifts,
		Held:       l.Versions(),
		JointPhase: l.JointGeneration(),
		NeedsReset: l.NeedsNewGeneration(),
		PriorGifts: l.priorGifts,
	}
	if l.InFullPhase() {
		report.FullPhase = l.roster.Generation
	}
	return report
}

// RecordEnded records that a member's process is gone for certain.
func (l *Ledger) RecordEnded(member Member) {
	l.generation.ended[member] = true
	l.version.ended[member] = true
}

// RecordReport records what a peer said of itself. Reports that name versions
// that are not held here are ignored, because the peer may know of a sheet
// that this instance would otherwise miss.
func (l *Ledger) RecordReport(from Member, report Report) {
	if !l.Versions().Covers(report.Held) {
		return
	}
	if report.Held.Generation == l.roster.Generation {
		l.generation.holding[from] = true
		l.generation.guests = l.generation.guests || report.PriorGifts
	}
	l.version.guests = l.version.guests || report.GuestGifts || report.PriorGifts
	if report.JointPhase == l.roster.Generation {
		l.generation.confirmed[from] = true
	}
	if report.FullPhase == l.roster.Generation && report.FullPhase > 0 {
		l.generation.completeByReport()
	}
	if report.Held.Sheet == l.limits.Version {
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

// Settle drops the records of transfers below the given id, which the giver
// has ended. None of them is accepted later.
func (l *Ledger) ForgetSettledTransfers(giver Member, below TransferID) {
	l.floors[giver] = max(l.floors[giver], below)
	for _, records := range []map[transferKey]fleet.RosterGeneration{l.seen, l.barred} {
		for key := range records {
			if key.giver == giver && key.id < below {
				delete(records, key)
			}
		}
	}
}

// SettledBelow returns the id below which this instance has ended all of its
// transfers.
func (l *Ledger) SettledBelow() TransferID {
	below := l.lastID + 1
	for id := range l.pending {
		below = min(below, id)
	}
	return below
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
		if d == nil || d.Rate(now) < 1e-3 {
			continue
		}
		share := l.limiter.Share(now, rate.Workspace)
		if amount := d.Wanted(now, share); d.Starved() || amount.Level > 0 || amount.Rate > 0 {
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

func (l *Ledger) confirmSelf() {
	if l.JointGeneration() == l.roster.Generation {
		l.generation.confirmed[l.self] = true
	}
}

// forgetTransfers drops the records of transfers that no giver asks for any
// more. A giver that still holds the generation before may ask for those of
// that generation.
func (l *Ledger) forgetTransfers() {
	for _, records := range []map[transferKey]fleet.RosterGeneration{l.seen, l.barred} {
		for key, generation := range records {
			if generation+1 < l.roster.Generation {
				delete(records, key)
			}
		}
	}
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
		d = workspace.NewDemand(now)
	}
	given, kept := d.Spare(now, share, want.Share)
	if given == (workspace.Share{}) {
		return RateAmount{}, false
	}
	l.limiter.Set(now, want.Workspace, kept)
	return RateAmount{Share: given, Workspace: want.Workspace}, true
}

// grantFirst grants the shares of the first generation with full buckets.
// Nobody can have admitted anything before it. In later generations the first
// share comes with the full phase and an empty bucket.
func (l *Ledger) grantFirst(now time.Time) {
	if l.roster.Generation != 1 || l.limits.Version == 0 || len(l.roster.Previous) != 0 {
		return
	}
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
			full := l.fullRate(rate)
			// The level stays, so that a new generation grants no second burst.
			full.Level = l.limiter.Share(now, rate.Workspace).Level
			l.limiter.Set(now, rate.Workspace, full)
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

// Quorums returns the groups of members of which a majority each is needed to
// vouch or to accept. In the joint phase the generation before counts too.
func (l *Ledger) Quorums() [][]Member {
	if l.roster.Generation == 0 {
		return nil
	}
	if l.InFullPhase() || len(l.roster.Previous) == 0 {
		return [][]Member{l.roster.Members}
	}
	return [][]Member{l.roster.Previous, l.roster.Members}
}
