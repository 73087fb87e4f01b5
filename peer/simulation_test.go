package peer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/peer"
	"github.com/nutmegpier/nutmegpier/workspace"
)

const (
	lease = 3 * time.Second
	// maxStaleValidity is the longest real time for which an instance can still be
	// valid without a sheet version after the version was accepted: a lease on a
	// clock that runs 10% slow.
	maxStaleValidity = lease * 10 / 9
)

// mutation is a deliberate fault in the simulation that the invariants must
// detect.
type mutation string

const (
	mutationNone                 mutation = ""
	mutationAcceptedTwice        mutation = "AcceptedTwice"
	mutationLeaseFromResponse    mutation = "LeaseCountsFromAnswer"
	mutationRejectionIgnored     mutation = "BarIgnored"
	mutationDonorKeepsCapacity   mutation = "GiverKeepsCapacity"
	mutationJointSkipped         mutation = "JointPhaseSkipped"
	mutationLeaseIgnored         mutation = "LeaseIgnored"
	mutationMinorityGrants       mutation = "MinorityVouches"
	mutationNewEpochAnswersQuery mutation = "NewEpochAnswersQuery"
	mutationDonorKeepsShares     mutation = "GiverSubtractsLate"
	mutationGrantBeforeFetch     mutation = "VoucherCountedBeforeFetch"
)

// simulation runs several instances of Ledger and Validity against a store, a
// network that loses, repeats and reorders messages, and clocks that run at
// different rates.
type simulation struct {
	accepted    []acceptedVersion
	rejected    map[peer.TransferID]bool
	limits      []peer.Limits // by version, from index 1
	mutation    mutation
	nextEpoch   fleet.Epoch
	nodes       []*node
	now         time.Duration
	publication *peer.Acceptance
	queue       []func()
	random      *rand.Rand
	rosters     []peer.Roster // by generation, from index 1
	oracles     map[fleet.WorkspaceID]*admissionOracle
	delayed     []func()
	writtenAt   []time.Duration // by version
}

// acceptedVersion is a sheet version with the time at which it was accepted.
type acceptedVersion struct {
	at      time.Duration
	version fleet.SheetVersion
}

// node is one instance. Its clock runs at the rate and is shifted by the offset.
type node struct {
	ledger   *peer.Ledger
	offset   time.Duration
	paused   bool
	rate     float64
	self     peer.Member
	validity *peer.Validity
}

// admissionOracle is a central token bucket that counts the admissions of all
// instances in real time. Its level falls below zero exactly if the admissions in
// some window of length t exceed burst + rate·t.
type admissionOracle struct {
	at    time.Duration
	burst float64
	level float64
}

func newSimulation(random *rand.Rand, m mutation) *simulation {
	s := &simulation{
		rejected:  make(map[peer.TransferID]bool),
		limits:    []peer.Limits{{}},
		mutation:  m,
		random:    random,
		rosters:   []peer.Roster{{}},
		oracles:   make(map[fleet.WorkspaceID]*admissionOracle),
		writtenAt: []time.Duration{0},
	}
	s.writeSheet(1)
	members := make([]peer.Member, 0, 4)
	for i := range 4 {
		n := &node{offset: time.Duration(i) * time.Hour, rate: 0.9 + 0.2*float64(i)/3}
		s.startRun(n, fleet.InstanceID(fmt.Sprintf("i%d", i)))
		s.nodes = append(s.nodes, n)
		if i < 3 {
			members = append(members, n.self)
		}
	}
	s.rosters = append(s.rosters, peer.Roster{Generation: 1, Members: members})
	for _, n := range s.nodes {
		s.readStore(n, false)
	}
	s.deliverAll()
	return s
}

// startRun starts a new run of an instance that holds nothing.
func (s *simulation) startRun(n *node, id fleet.InstanceID) {
	s.nextEpoch++
	n.self = peer.Member{Epoch: s.nextEpoch, Instance: id}
	n.ledger = peer.NewLedger(n.self, lease)
	n.validity = peer.NewValidity(n.self, lease)
}

// localTime returns the time by the clock of the node.
func (s *simulation) localTime(n *node) time.Time {
	return time.Unix(1000, 0).Add(n.offset + time.Duration(float64(s.now)*n.rate))
}

// send queues a message to a node, or sometimes delays it for longer. The message
// is dropped if the node is restarted or paused at the time of delivery.
func (s *simulation) send(n *node, deliver func()) {
	self := n.self
	message := func() {
		if n.self == self && !n.paused {
			deliver()
		}
	}
	if len(s.queue) > 0 && s.random.IntN(20) == 0 {
		s.delayed = append(s.delayed, message)
		return
	}
	s.queue = append(s.queue, message)
}

func (s *simulation) deliverAll() {
	for len(s.queue) > 0 {
		deliver := s.queue[0]
		s.queue = s.queue[1:]
		deliver()
	}
}

func (s *simulation) head() peer.Versions {
	return peer.Versions{Generation: fleet.RosterGeneration(len(s.rosters) - 1), Sheet: fleet.SheetVersion(len(s.limits) - 1)}
}

// writeSheet writes a sheet version whose limits are scaled by the factor.
func (s *simulation) writeSheet(factor float64) {
	s.limits = append(s.limits, peer.Limits{
		Permits: []peer.PermitLimit{{Budget: int(7 * factor), Server: "s"}},
		Rates:   []workspace.Limit{{Burst: 6 * factor, Rate: 4 * factor, Workspace: "w"}},
		Version: fleet.SheetVersion(len(s.limits)),
	})
	s.writtenAt = append(s.writtenAt, s.now)
}

// adoptVersions makes the node adopt the versions, as if it had fetched the rows.
func (s *simulation) adoptVersions(n *node, versions peer.Versions) {
	now := s.localTime(n)
	if versions.Generation > n.ledger.Versions().Generation {
		n.ledger.AdoptRoster(now, s.rosters[versions.Generation])
		if s.mutation == mutationJointSkipped {
			n.ledger.RecordReport(peer.Member{}, peer.Report{FullPhase: versions.Generation, Held: n.ledger.Versions()})
			n.ledger.AdvanceTransitions(now, now)
		}
	}
	if versions.Sheet > n.ledger.Versions().Sheet {
		n.ledger.AdoptLimits(now, s.limits[versions.Sheet])
	}
	n.validity.SetHeld(n.ledger.Versions())
	s.refresh(n)
}

func (s *simulation) refresh(n *node) {
	now := s.localTime(n)
	n.ledger.AdvanceTransitions(now, n.validity.LastStoreRead())
	quorums := n.ledger.Quorums()
	if s.mutation == mutationMinorityGrants {
		for i := range quorums {
			quorums[i] = quorums[i][:1]
		}
	}
	n.validity.SetQuorums(quorums...)
	until := n.validity.ValidUntil(now)
	if s.mutation == mutationLeaseIgnored && !until.IsZero() {
		until = now.Add(time.Hour)
	}
	n.ledger.Renew(now, until)
}

func (s *simulation) readStore(n *node, down bool) {
	sent := s.localTime(n)
	if down {
		return
	}
	s.send(n, func() {
		head := s.head()
		// The response is a separate message, which can be delayed or lost.
		s.send(n, func() {
			s.adoptVersions(n, head)
			if s.mutation == mutationLeaseFromResponse {
				sent = s.localTime(n)
			}
			n.validity.RecordStoreRead(sent, head)
			s.refresh(n)
		})
	})
}

func (s *simulation) exchange(from, to *node, fetch bool) {
	sent := s.localTime(from)
	s.send(to, func() {
		granted := to.validity.GrantLease(s.localTime(to), from.self)
		responder, report := to.self, to.ledger.Report()
		s.send(from, func() {
			if fetch {
				s.adoptVersions(from, report.Held)
			}
			covered := report.Held
			if s.mutation == mutationGrantBeforeFetch {
				covered = peer.Versions{}
			}
			if s.mutation == mutationLeaseFromResponse {
				sent = s.localTime(from)
			}
			from.validity.RecordLeaseGrant(responder, sent, granted, covered)
			from.ledger.RecordReport(responder, report)
			s.refresh(from)
			s.recordConfirmation(from, responder, report)
		})
	})
}

// recordConfirmation records at the publishing node, which is the first one, the
// versions that a member holds.
func (s *simulation) recordConfirmation(n *node, from peer.Member, report peer.Report) {
	if s.publication == nil || n != s.nodes[0] {
		return
	}
	s.publication.Record(n.self, n.ledger.Versions())
	s.publication.Record(from, report.Held)
	version := fleet.SheetVersion(len(s.limits) - 1)
	if s.publication.Accepted(n.ledger.Versions(), n.ledger.Quorums()...) {
		s.accepted = append(s.accepted, acceptedVersion{at: s.now, version: version})
		s.publication = nil
	}
}

func (s *simulation) requestShares(from, to *node) {
	wanted := from.ledger.Wanted(s.localTime(from))
	if wanted.IsEmpty() {
		return
	}
	s.send(to, func() {
		now := s.localTime(to)
		before := to.ledger.Share(now, "w")
		transfer := to.ledger.StartTransfer(now, wanted)
		if transfer.IsEmpty() {
			return
		}
		switch s.mutation {
		case mutationDonorKeepsShares:
			to.ledger.ReclaimTransfer(now, transfer.Receiver, transfer.ID)
		case mutationDonorKeepsCapacity:
			after := to.ledger.Share(now, "w")
			after.Capacity, after.Level = before.Capacity, before.Level
			to.ledger.SetShare(now, "w", after)
		}
		s.send(from, func() { s.acceptTransfer(from, transfer) })
		s.send(from, func() { s.acceptTransfer(from, transfer) })
	})
}

func (s *simulation) acceptTransfer(n *node, transfer peer.Transfer) {
	if s.mutation == mutationAcceptedTwice || s.mutation == mutationRejectionIgnored && s.rejected[transfer.ID] {
		transfer.ID += peer.TransferID(1000 + len(s.queue))
	}
	n.ledger.AcceptTransfer(s.localTime(n), transfer)
}

func (s *simulation) queryPendingTransfers(donor *node) {
	for _, transfer := range donor.ledger.PendingTransfers() {
		i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.self.Instance == transfer.Receiver.Instance })
		receiver := s.nodes[i]
		s.send(receiver, func() {
			accepted, responder := receiver.ledger.AcceptedOrReject(transfer.Donor, transfer.ID), receiver.self
			s.rejected[transfer.ID] = !accepted
			if s.mutation == mutationNewEpochAnswersQuery {
				responder = transfer.Receiver
			}
			s.send(donor, func() {
				if accepted {
					donor.ledger.CompleteTransfer(responder, transfer.ID)
				} else {
					donor.ledger.ReclaimTransfer(s.localTime(donor), responder, transfer.ID)
				}
			})
		})
	}
}

// proposeRoster writes the next roster with the members that the bit mask selects,
// even if that leaves out live ones. Only an instance whose joint phase is over may
// do so.
func (s *simulation) proposeRoster(n *node, memberMask int) {
	roster := n.ledger.Roster()
	if roster.Generation != s.head().Generation || !n.ledger.InFullPhase() {
		return
	}
	next := peer.Roster{Generation: roster.Generation + 1, Previous: roster.Members}
	for i, other := range s.nodes {
		if memberMask&(1<<i) != 0 {
			next.Members = append(next.Members, other.self)
		}
	}
	if len(next.Members) == 0 {
		next.Members = append(next.Members, n.self)
	}
	s.rosters = append(s.rosters, next)
}

func (s *simulation) restart(n *node) {
	old := n.self
	s.startRun(n, old.Instance)
	for _, other := range s.nodes {
		if other != n {
			other.ledger.RecordEnded(old)
		}
	}
}

// limitsInForce returns the largest limits that may still be in use: the maximum
// over the newest accepted version that has certainly replaced the older ones, and
// all later versions.
func (s *simulation) limitsInForce() (rate, burst float64, budget int) {
	oldest := fleet.SheetVersion(1)
	for _, a := range s.accepted {
		if s.now > a.at+maxStaleValidity {
			oldest = a.version
		}
	}
	for _, limits := range s.limits[oldest:] {
		rate = max(rate, limits.Rates[0].Rate)
		burst = max(burst, limits.Rates[0].Burst)
		budget = max(budget, limits.Permits[0].Budget)
	}
	return rate, burst, budget
}

func (s *simulation) admit(n *node, count int) error {
	rate, burst, _ := s.limitsInForce()
	o := s.oracles["w"]
	if o == nil {
		o = &admissionOracle{burst: burst, level: burst}
		s.oracles["w"] = o
	}
	// A member that adopts its first sheet late starts with a full bucket of
	// the raised burst. The fastest clock adds tokens 10% faster.
	o.level += max(0, burst-o.burst)
	o.burst = burst
	o.level = min(burst, o.level+1.1*rate*(s.now-o.at).Seconds())
	o.at = s.now
	for range count {
		if n.paused || !n.ledger.Admit(s.localTime(n), "w").Admitted {
			continue
		}
		if o.level--; o.level < -1e-6 {
			return fmt.Errorf("%s admits a request above the limit of burst %v + rate %v at %v", n.self.Instance, burst, rate, s.now)
		}
	}
	return nil
}

// checkInvariants reports more permits than the budget, and valid instances that
// lack an accepted sheet version.
func (s *simulation) checkInvariants() error {
	_, _, budget := s.limitsInForce()
	sum := 0
	for _, n := range s.nodes {
		now := s.localTime(n)
		sum += n.ledger.Permits(now, "s")
		if !n.validity.Valid(now) {
			continue
		}
		for _, a := range s.accepted {
			if held := n.ledger.Versions().Sheet; s.now > a.at+maxStaleValidity && held < a.version {
				return fmt.Errorf("%s is valid at %v with sheet version %d, but version %d was accepted at %v", n.self.Instance, s.now, held, a.version, a.at)
			}
		}
	}
	if sum > budget {
		return fmt.Errorf("%d permits are held at %v, above the budget of %d", sum, s.now, budget)
	}
	return nil
}
