package peer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// Ledger tracks the shares of one instance and decides how they change. Shares
// belong to a roster generation and a sheet version. The shares of all instances
// together never exceed the limits. It is not safe for concurrent use.
//
// The full share of a member is the limit divided by the number of members.
// After a new generation the instance first holds the smaller of its old share
// and its new full share (joint phase). It takes the full share once no instance
// can use an old share any more (full phase). A new sheet version within a
// generation scales the shares; for workspaces and servers that the sheet adds,
// the instance takes its full share once no instance can use the old sheet.
// Afterwards, instances transfer shares to each other according to demand.
type Ledger struct {
	// addedLimits holds the IDs of the workspaces and servers that the sheet
	// version added. The value is true if their full share may be taken when the
	// sheet transition completes, and false if this instance skipped a sheet
	// version and has to wait for the next generation.
	addedLimits map[string]bool
	// rejected holds the transfers to this instance that it must not accept any
	// more. The value is one above the generation at that time.
	rejected         map[transferKey]fleet.RosterGeneration
	demands          map[fleet.WorkspaceID]*workspace.Demand
	rosterTransition *transition
	// donorSettledBelow holds for each donor the ID below which it has ended all
	// its transfers.
	donorSettledBelow map[Member]TransferID
	// gaveToNonMember is true if this instance gave shares of the current
	// generation to an instance outside the roster.
	gaveToNonMember bool
	lease           time.Duration
	lastTransferID  TransferID
	limiter         *workspace.Limiter
	limits          Limits
	// lostShares is true if shares were lost that only a new generation restores.
	lostShares bool
	// pendingTransfers holds the transfers from this instance of which it does
	// not know yet whether the receiver accepted them.
	pendingTransfers map[TransferID]*Transfer
	permits          map[fleet.ServerID]*permitState
	// gaveToNonMemberBefore is gaveToNonMember of the previous generation.
	gaveToNonMemberBefore bool
	roster                Roster
	// accepted holds the transfers that this instance accepted, with the
	// generation at that time.
	accepted        map[transferKey]fleet.RosterGeneration
	self            Member
	sheetTransition *transition
}

// permitState holds the number of connection permits for one backend server, of
// those in use, and of the requests that wait for one.
type permitState struct {
	held    int
	inUse   int
	waiting int
}

// NewLedger returns a ledger without shares.
func NewLedger(self Member, lease time.Duration) *Ledger {
	return &Ledger{
		addedLimits:       make(map[string]bool),
		rejected:          make(map[transferKey]fleet.RosterGeneration),
		demands:           make(map[fleet.WorkspaceID]*workspace.Demand),
		donorSettledBelow: make(map[Member]TransferID),
		rosterTransition:  newTransition(nil),
		lease:             lease,
		limiter:           workspace.NewLimiter(),
		pendingTransfers:  make(map[TransferID]*Transfer),
		permits:           make(map[fleet.ServerID]*permitState),
		accepted:          make(map[transferKey]fleet.RosterGeneration),
		self:              self,
		sheetTransition:   newTransition(nil),
	}
}

// AcceptTransfer adds the shares of a transfer to those of this instance, at
// most once, and reports whether they were added now or earlier. A transfer of
// another generation or sheet version is not accepted, now or later, because
// both versions only grow.
func (l *Ledger) AcceptTransfer(now time.Time, transfer Transfer) bool {
	key := transferKey{transfer.Donor, transfer.ID}
	if l.accepted[key] > 0 {
		return true
	}
	if transfer.Receiver != l.self || l.rejected[key] > 0 || transfer.ID < l.donorSettledBelow[transfer.Donor] {
		return false
	}
	if !l.transitionsComplete() || transfer.Versions != l.Versions() {
		return false
	}
	l.accepted[key] = l.roster.Generation
	l.addShares(now, transfer.Rates, transfer.Permits)
	return true
}

// AdoptLimits replaces the limits by those of a newer sheet version and scales
// the shares. Versions that are not newer are ignored.
func (l *Ledger) AdoptLimits(now time.Time, limits Limits) {
	if limits.Version <= l.limits.Version {
		return
	}
	old := l.limits
	l.limits = limits
	l.addedLimits = make(map[string]bool)
	if old.Version == 0 {
		l.grantInitialShares(now)
		if l.roster.Generation > 1 && l.rosterTransition.completed {
			l.takeFullShares(now, func(string) bool { return true })
		}
		return
	}
	consecutive := limits.Version == old.Version+1
	if !consecutive {
		clear(l.pendingTransfers)
		l.lostShares = true
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
	l.scalePendingTransfers(old)
	l.sheetTransition = newTransition(l.roster.Members)
	l.sheetTransition.confirmed[l.self] = true
	l.sheetTransition.adopted[l.self] = true
}

// AdoptRoster adopts a newer roster and enters its joint phase. Rosters that
// are not newer are ignored.
func (l *Ledger) AdoptRoster(now time.Time, roster Roster) {
	if roster.Generation <= l.roster.Generation {
		return
	}
	previousGeneration := l.roster.Generation
	l.roster = roster
	l.gaveToNonMemberBefore = l.gaveToNonMember
	l.gaveToNonMember = false
	l.lostShares = false
	clear(l.pendingTransfers)
	l.forgetOldTransfers()
	l.rosterTransition = newTransition(roster.Previous)
	l.rosterTransition.adopted[l.self] = true
	l.rosterTransition.nonMemberHasShares = l.gaveToNonMemberBefore
	if previousGeneration == 0 {
		l.grantInitialShares(now)
		return
	}
	for _, rate := range l.limits.Rates {
		held := l.limiter.Share(now, rate.Workspace)
		if roster.Generation > previousGeneration+1 {
			// This instance skipped a generation. The other members may already
			// have taken their full shares of it, which overlap with the shares
			// held here.
			held = workspace.Share{}
		}
		l.limiter.Set(now, rate.Workspace, workspace.Minimum(held, l.fullRateShare(rate)))
	}
	for _, limit := range l.limits.Permits {
		state := l.permitState(limit.Server)
		held := state.held
		if roster.Generation > previousGeneration+1 {
			held = 0
		}
		state.held = min(held, l.fullPermitShare(limit))
	}
}

// Admit decides whether to admit one request of a workspace, and counts the
// request as demand.
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

// AdvanceTransitions completes the transitions to the current roster and sheet
// where possible, takes the shares that this allows, and reports whether shares
// grew. StoreRead is the send time of the newest read of the head row that counts
// for validity.
func (l *Ledger) AdvanceTransitions(now, storeRead time.Time) bool {
	rosterWasComplete, sheetWasComplete := l.rosterTransition.completed, l.sheetTransition.completed
	l.confirmOwnJointPhase()
	l.rosterTransition.completed = rosterWasComplete || l.rosterTransition.updateCompleted(now, storeRead, l.lease)
	l.sheetTransition.completed = sheetWasComplete || l.sheetTransition.updateCompleted(now, storeRead, l.lease)
	switch {
	case !l.rosterTransition.completed || rosterWasComplete && sheetWasComplete:
		return false
	case !rosterWasComplete:
		l.takeFullShares(now, func(name string) bool {
			_, added := l.addedLimits[name]
			return l.sheetTransition.completed || !added
		})
		return true
	case l.sheetTransition.completed:
		l.takeFullShares(now, func(name string) bool { return l.addedLimits[name] })
		return true
	}
	return false
}

// CompleteTransfer ends a transfer from this instance that the receiver accepted.
func (l *Ledger) CompleteTransfer(receiver Member, id TransferID) {
	if transfer := l.pendingTransfers[id]; transfer != nil && transfer.Receiver == receiver {
		delete(l.pendingTransfers, id)
	}
}

// StartTransfer removes shares from this instance for a peer, as far as recent
// demand here does not need them. When it returns, this instance no longer holds
// the shares. The result is empty if there is nothing to give.
func (l *Ledger) StartTransfer(now time.Time, wanted Wanted) Transfer {
	transfer := Transfer{Donor: l.self, Receiver: wanted.Receiver, Versions: l.Versions()}
	if wanted.Receiver == l.self || !l.transitionsComplete() || wanted.Versions != l.Versions() || !now.Before(l.limiter.ValidUntil()) {
		return transfer
	}
	for _, want := range wanted.Rates {
		if given, ok := l.splitRate(now, want); ok {
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
		l.gaveToNonMember = true
	}
	l.lastTransferID++
	transfer.ID = l.lastTransferID
	l.pendingTransfers[transfer.ID] = &transfer
	return transfer
}

// InFullPhase reports whether the joint phase of the current generation is over.
func (l *Ledger) InFullPhase() bool {
	return l.rosterTransition.completed
}

// JointGeneration returns the newest generation for which this instance holds no
// more than the smaller of its old and its new share. While more connections are
// open than permits are held, this is the previous generation.
func (l *Ledger) JointGeneration() fleet.RosterGeneration {
	for _, state := range l.permits {
		if state.inUse > state.held {
			return l.roster.Generation - min(l.roster.Generation, 1)
		}
	}
	return l.roster.Generation
}

// NeedsNewGeneration reports whether shares were lost, or given to an instance
// outside the roster. Only a new generation divides them among the members again.
func (l *Ledger) NeedsNewGeneration() bool {
	return l.lostShares || l.gaveToNonMember
}

// PendingTransfers returns the transfers from this instance of which it does not
// know yet whether the receiver accepted them, oldest first.
func (l *Ledger) PendingTransfers() []Transfer {
	transfers := make([]Transfer, 0, len(l.pendingTransfers))
	for _, transfer := range l.pendingTransfers {
		transfers = append(transfers, *transfer)
	}
	slices.SortFunc(transfers, func(a, b Transfer) int { return int(a.ID) - int(b.ID) })
	return transfers
}

// PermitLimits returns the connection budgets of the current sheet version.
func (l *Ledger) PermitLimits() []PermitLimit {
	return l.limits.Permits
}

// Permits returns the number of connections that this instance may have open to
// a server. It is zero while the instance is not valid.
func (l *Ledger) Permits(now time.Time, server fleet.ServerID) int {
	state := l.permits[server]
	if state == nil || !now.Before(l.limiter.ValidUntil()) {
		return 0
	}
	return state.held
}

// AcceptedOrReject reports whether a transfer to this instance was accepted. If
// it was not, the transfer is rejected and cannot be accepted later.
func (l *Ledger) AcceptedOrReject(donor Member, id TransferID) bool {
	key := transferKey{donor, id}
	if l.accepted[key] > 0 {
		return true
	}
	l.rejected[key] = l.roster.Generation + 1
	return false
}

// ReclaimTransfer ends a transfer from this instance that the receiver rejected,
// and adds the shares back. Transfers from before the last change of the roster
// are no longer pending, so their shares are not reclaimed.
func (l *Ledger) ReclaimTransfer(now time.Time, receiver Member, id TransferID) {
	transfer := l.pendingTransfers[id]
	if transfer == nil || transfer.Receiver != receiver {
		return
	}
	delete(l.pendingTransfers, id)
	l.addShares(now, transfer.Rates, transfer.Permits)
}

// Report returns the versions and share state that this instance sends to its
// peers.
func (l *Ledger) Report() Report {
	report := Report{
		GuestGifts: l.gaveToNonMember,
		Held:       l.Versions(),
		JointPhase: l.JointGeneration(),
		NeedsReset: l.NeedsNewGeneration(),
		PriorGifts: l.gaveToNonMemberBefore,
	}
	if l.InFullPhase() {
		report.FullPhase = l.roster.Generation
	}
	return report
}

// RecordEnded records that the process of a member has certainly ended.
func (l *Ledger) RecordEnded(member Member) {
	l.rosterTransition.ended[member] = true
	l.sheetTransition.ended[member] = true
}

// RecordReport records the report of a peer. Reports that name newer versions
// than this instance holds are ignored, because the peer may know of a sheet that
// this instance has to adopt first.
func (l *Ledger) RecordReport(from Member, report Report) {
	if !l.Versions().Covers(report.Held) {
		return
	}
	if report.Held.Generation == l.roster.Generation {
		l.rosterTransition.adopted[from] = true
		l.rosterTransition.nonMemberHasShares = l.rosterTransition.nonMemberHasShares || report.PriorGifts
	}
	l.sheetTransition.nonMemberHasShares = l.sheetTransition.nonMemberHasShares || report.GuestGifts || report.PriorGifts
	if report.JointPhase == l.roster.Generation {
		l.rosterTransition.confirmed[from] = true
	}
	if report.FullPhase == l.roster.Generation && report.FullPhase > 0 {
		l.rosterTransition.completeByReport()
	}
	if report.Held.Sheet == l.limits.Version {
		l.sheetTransition.confirmed[from] = true
		l.sheetTransition.adopted[from] = true
	}
}

// Renew sets the time until which this instance is valid.
func (l *Ledger) Renew(now, validUntil time.Time) {
	l.limiter.Renew(now, validUntil)
}

// ReportDemand records the number of permits in use for a server and of requests
// that wait for one.
func (l *Ledger) ReportDemand(server fleet.ServerID, inUse, waiting int) {
	if l.permits[server] == nil && !slices.ContainsFunc(l.limits.Permits, func(p PermitLimit) bool { return p.Server == server }) {
		return
	}
	state := l.permitState(server)
	state.inUse = inUse
	state.waiting = waiting
}

// Roster returns the newest roster that this instance holds.
func (l *Ledger) Roster() Roster {
	return l.roster
}

// ForgetSettledTransfers deletes the records of transfers with lower IDs, which
// the donor has ended. Transfers with lower IDs are not accepted later.
func (l *Ledger) ForgetSettledTransfers(donor Member, below TransferID) {
	l.donorSettledBelow[donor] = max(l.donorSettledBelow[donor], below)
	for _, records := range []map[transferKey]fleet.RosterGeneration{l.accepted, l.rejected} {
		for key := range records {
			if key.donor == donor && key.id < below {
				delete(records, key)
			}
		}
	}
}

// SettledBelow returns the ID below which this instance has ended all transfers
// that it started.
func (l *Ledger) SettledBelow() TransferID {
	below := l.lastTransferID + 1
	for id := range l.pendingTransfers {
		below = min(below, id)
	}
	return below
}

// Share returns the share of a workspace's rate limit that this instance holds.
func (l *Ledger) Share(now time.Time, id fleet.WorkspaceID) workspace.Share {
	return l.limiter.Share(now, id)
}

// Versions returns the roster generation and sheet version that this instance
// holds.
func (l *Ledger) Versions() Versions {
	return Versions{Generation: l.roster.Generation, Sheet: l.limits.Version}
}

// Wanted returns the shares that this instance lacks for its recent demand. It is
// empty while a transition is in progress or this instance is not valid.
func (l *Ledger) Wanted(now time.Time) Wanted {
	wanted := Wanted{Receiver: l.self, Versions: l.Versions()}
	if !l.transitionsComplete() || !now.Before(l.limiter.ValidUntil()) {
		return wanted
	}
	for _, rate := range l.limits.Rates {
		demand := l.demands[rate.Workspace]
		if demand == nil || demand.Rate(now) < 1e-3 {
			continue
		}
		share := l.limiter.Share(now, rate.Workspace)
		if amount := demand.Shortfall(now, share); demand.LastRefused() || amount.Level > 0 || amount.Rate > 0 {
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

// confirmOwnJointPhase confirms the roster transition for this instance once its
// open connections do not exceed the permits held.
func (l *Ledger) confirmOwnJointPhase() {
	if l.JointGeneration() == l.roster.Generation {
		l.rosterTransition.confirmed[l.self] = true
	}
}

// forgetOldTransfers deletes the records of transfers of which no donor can query
// the outcome any more. A donor that has not adopted the current generation may
// still query transfers of the previous one.
func (l *Ledger) forgetOldTransfers() {
	for _, records := range []map[transferKey]fleet.RosterGeneration{l.accepted, l.rejected} {
		for key, generation := range records {
			if generation+1 < l.roster.Generation {
				delete(records, key)
			}
		}
	}
}

// fullPermitShare returns the full share of a connection budget, or zero if this
// instance is not a member.
func (l *Ledger) fullPermitShare(limit PermitLimit) int {
	index := slices.Index(l.roster.Members, l.self)
	if index < 0 {
		return 0
	}
	count := len(l.roster.Members)
	// The remainder of the division goes to different members for different
	// servers, so that no member gets the extra permit of every server.
	rotatedIndex := (index + int(xxhash.Sum64String(string(limit.Server))%uint64(count))) % count
	full := limit.Budget / count
	if rotatedIndex < limit.Budget%count {
		full++
	}
	return full
}

// fullRateShare returns the full share of a rate limit with a full bucket, or an
// empty share if this instance is not a member.
func (l *Ledger) fullRateShare(limit workspace.Limit) workspace.Share {
	if !l.roster.Has(l.self) {
		return workspace.Share{}
	}
	full, _ := workspace.FullShare(limit).Split(1 / float64(len(l.roster.Members)))
	return full
}

// splitRate removes up to the wanted amount from the share of a workspace and
// returns it. The result is false if there is nothing to give.
func (l *Ledger) splitRate(now time.Time, want RateAmount) (RateAmount, bool) {
	share := l.limiter.Share(now, want.Workspace)
	demand := l.demands[want.Workspace]
	if demand == nil {
		demand = workspace.NewDemand(now)
	}
	given, kept := demand.SplitForPeer(now, share, want.Share)
	if given == (workspace.Share{}) {
		return RateAmount{}, false
	}
	l.limiter.Set(now, want.Workspace, kept)
	return RateAmount{Share: given, Workspace: want.Workspace}, true
}

// grantInitialShares grants the full shares of the first generation with full
// token buckets, which is safe because no instance has admitted requests before.
// In later generations a new member gets its first share in the full phase, with
// an empty bucket.
func (l *Ledger) grantInitialShares(now time.Time) {
	if l.roster.Generation != 1 || l.limits.Version == 0 || len(l.roster.Previous) != 0 {
		return
	}
	for _, rate := range l.limits.Rates {
		l.limiter.Set(now, rate.Workspace, l.fullRateShare(rate))
	}
	for _, limit := range l.limits.Permits {
		l.permitState(limit.Server).held = l.fullPermitShare(limit)
	}
}

// addShares adds shares of a transfer to those of this instance. Shares of limits
// that the sheet no longer has are dropped.
func (l *Ledger) addShares(now time.Time, rates []RateAmount, permits []PermitAmount) {
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

// permitState returns the state for a server and creates it if necessary.
func (l *Ledger) permitState(server fleet.ServerID) *permitState {
	if l.permits[server] == nil {
		l.permits[server] = &permitState{}
	}
	return l.permits[server]
}

// takeFullShares sets the shares of those limits to the full share for which the
// filter returns true. The name is the ID of a workspace or a server.
func (l *Ledger) takeFullShares(now time.Time, filter func(name string) bool) {
	for _, rate := range l.limits.Rates {
		if filter(string(rate.Workspace)) {
			full := l.fullRateShare(rate)
			// The bucket level is kept, so that a new generation does not grant
			// a second burst.
			full.Level = l.limiter.Share(now, rate.Workspace).Level
			l.limiter.Set(now, rate.Workspace, full)
		}
	}
	for _, limit := range l.limits.Permits {
		if filter(string(limit.Server)) {
			l.permitState(limit.Server).held = l.fullPermitShare(limit)
		}
	}
}

// transitionsComplete reports whether the transitions to the current roster and
// sheet are complete, so that shares may be transferred.
func (l *Ledger) transitionsComplete() bool {
	return l.rosterTransition.completed && l.sheetTransition.completed
}

// Quorums returns the sets of members of which a majority each is needed to grant
// a validity lease and to accept a sheet. In the joint phase these are the
// members of the previous generation and those of the current one.
func (l *Ledger) Quorums() [][]Member {
	if l.roster.Generation == 0 {
		return nil
	}
	if l.InFullPhase() || len(l.roster.Previous) == 0 {
		return [][]Member{l.roster.Members}
	}
	return [][]Member{l.roster.Previous, l.roster.Members}
}
