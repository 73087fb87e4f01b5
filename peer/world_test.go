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
	// inForce is the longest real time between acceptance and the end of each
	// lease that does not know the version, by a clock that is 10% slow.
	inForce = lease * 10 / 9
)

// mutation is one deliberate fault of the model.
type mutation string

const (
	mutationNone              mutation = ""
	mutationAcceptedTwice     mutation = "AcceptedTwice"
	mutationAnswerTime        mutation = "LeaseCountsFromAnswer"
	mutationBarIgnored        mutation = "BarIgnored"
	mutationCapacityKept      mutation = "GiverKeepsCapacity"
	mutationJointSkipped      mutation = "JointPhaseSkipped"
	mutationLeaseIgnored      mutation = "LeaseIgnored"
	mutationMinority          mutation = "MinorityVouches"
	mutationNewEpochAnswers   mutation = "NewEpochAnswersQuery"
	mutationSubtractedLate    mutation = "GiverSubtractsLate"
	mutationVersionsUnchecked mutation = "VoucherCountedBeforeFetch"
)

// world runs several ledgers and validities against a store, a network that
// loses, repeats and reorders messages, and clocks of different rates.
type world struct {
	accepted  []acceptedVersion
	barred    map[peer.TransferID]bool
	limits    []peer.Limits // by version, from index 1
	mutation  mutation
	nextEpoch fleet.Epoch
	nodes     []*node
	now       time.Duration
	publish   *peer.Acceptance
	queue     []func()
	random    *rand.Rand
	rosters   []peer.Roster // by generation, from index 1
	shed      map[fleet.WorkspaceID]*oracle
	slow      []func()
	writtenAt []time.Duration // by version
}

type acceptedVersion struct {
	at      time.Duration
	version fleet.SheetVersion
}

type node struct {
	ledger   *peer.Ledger
	offset   time.Duration
	paused   bool
	rate     float64
	self     peer.Member
	validity *peer.Validity
}

// oracle is a central bucket that sees all admissions in real time. It runs
// dry exactly when some window holds more than burst + rate·w admissions.
type oracle struct {
	at    time.Duration
	burst float64
	level float64
}

func newWorld(random *rand.Rand, m mutation) *world {
	w := &world{
		barred:    make(map[peer.TransferID]bool),
		limits:    []peer.Limits{{}},
		mutation:  m,
		random:    random,
		rosters:   []peer.Roster{{}},
		shed:      make(map[fleet.WorkspaceID]*oracle),
		writtenAt: []time.Duration{0},
	}
	w.writeSheet(1)
	members := make([]peer.Member, 0, 4)
	for i := range 4 {
		n := &node{offset: time.Duration(i) * time.Hour, rate: 0.9 + 0.2*float64(i)/3}
		w.boot(n, fleet.InstanceID(fmt.Sprintf("i%d", i)))
		w.nodes = append(w.nodes, n)
		if i < 3 {
			members = append(members, n.self)
		}
	}
	w.rosters = append(w.rosters, peer.Roster{Generation: 1, Members: members})
	for _, n := range w.nodes {
		w.readStore(n, false)
	}
	w.drain()
	return w
}

func (w *world) boot(n *node, id fleet.InstanceID) {
	w.nextEpoch++
	n.self = peer.Member{Epoch: w.nextEpoch, Instance: id}
	n.ledger = peer.NewLedger(n.self, lease)
	n.validity = peer.NewValidity(n.self, lease)
}

func (w *world) local(n *node) time.Time {
	return time.Unix(1000, 0).Add(n.offset + time.Duration(float64(w.now)*n.rate))
}

// post queues a message of which the network may lose or repeat the delivery.
func (w *world) post(n *node, deliver func()) {
	self := n.self
	message := func() {
		if n.self == self && !n.paused {
			deliver()
		}
	}
	if len(w.queue) > 0 && w.random.IntN(20) == 0 {
		w.slow = append(w.slow, message)
		return
	}
	w.queue = append(w.queue, message)
}

func (w *world) drain() {
	for len(w.queue) > 0 {
		deliver := w.queue[0]
		w.queue = w.queue[1:]
		deliver()
	}
}

func (w *world) head() peer.Versions {
	return peer.Versions{Generation: fleet.RosterGeneration(len(w.rosters) - 1), Sheet: fleet.SheetVersion(len(w.limits) - 1)}
}

func (w *world) writeSheet(factor float64) {
	w.limits = append(w.limits, peer.Limits{
		Permits: []peer.PermitLimit{{Budget: int(7 * factor), Server: "s"}},
		Rates:   []workspace.Limit{{Burst: 6 * factor, Rate: 4 * factor, Workspace: "w"}},
		Version: fleet.SheetVersion(len(w.limits)),
	})
	w.writtenAt = append(w.writtenAt, w.now)
}

// learn makes the node hold versions, as if it fetched the rows.
func (w *world) learn(n *node, versions peer.Versions) {
	now := w.local(n)
	if versions.Generation > n.ledger.Versions().Generation {
		n.ledger.AdoptRoster(now, w.rosters[versions.Generation])
		if w.mutation == mutationJointSkipped {
			n.ledger.RecordReport(peer.Member{}, peer.Report{FullPhase: versions.Generation, Held: n.ledger.Versions()})
			n.ledger.AdvanceTransitions(now, now)
		}
	}
	if versions.Sheet > n.ledger.Versions().Sheet {
		n.ledger.AdoptLimits(now, w.limits[versions.Sheet])
	}
	n.validity.SetHeld(n.ledger.Versions())
	w.refresh(n)
}

func (w *world) refresh(n *node) {
	now := w.local(n)
	n.ledger.AdvanceTransitions(now, n.validity.LastStoreRead())
	quorums := n.ledger.Quorums()
	if w.mutation == mutationMinority {
		for i := range quorums {
			quorums[i] = quorums[i][:1]
		}
	}
	n.validity.SetQuorums(quorums...)
	until := n.validity.ValidUntil(now)
	if w.mutation == mutationLeaseIgnored && !until.IsZero() {
		until = now.Add(time.Hour)
	}
	n.ledger.Renew(now, until)
}

func (w *world) readStore(n *node, down bool) {
	sent := w.local(n)
	if down {
		return
	}
	w.post(n, func() {
		head := w.head()
		// The answer travels back on its own.
		w.post(n, func() {
			w.learn(n, head)
			if w.mutation == mutationAnswerTime {
				sent = w.local(n)
			}
			n.validity.RecordStoreRead(sent, head)
			w.refresh(n)
		})
	})
}

func (w *world) exchange(from, to *node, fetch bool) {
	sent := w.local(from)
	w.post(to, func() {
		voucher := to.validity.GrantLease(w.local(to), from.self)
		answerer, report := to.self, to.ledger.Report()
		w.post(from, func() {
			if fetch {
				w.learn(from, report.Held)
			}
			named := report.Held
			if w.mutation == mutationVersionsUnchecked {
				named = peer.Versions{}
			}
			if w.mutation == mutationAnswerTime {
				sent = w.local(from)
			}
			from.validity.RecordLeaseGrant(answerer, sent, voucher, named)
			from.ledger.RecordReport(answerer, report)
			w.refresh(from)
			w.confirmPublish(from, answerer, report)
		})
	})
}

func (w *world) confirmPublish(n *node, from peer.Member, report peer.Report) {
	if w.publish == nil || n != w.nodes[0] {
		return
	}
	w.publish.Record(n.self, n.ledger.Versions())
	w.publish.Record(from, report.Held)
	version := fleet.SheetVersion(len(w.limits) - 1)
	if w.publish.Accepted(n.ledger.Versions(), n.ledger.Quorums()...) {
		w.accepted = append(w.accepted, acceptedVersion{at: w.now, version: version})
		w.publish = nil
	}
}

func (w *world) ask(from, to *node) {
	wanted := from.ledger.Wanted(w.local(from))
	if wanted.IsEmpty() {
		return
	}
	w.post(to, func() {
		now := w.local(to)
		before := to.ledger.Share(now, "w")
		transfer := to.ledger.StartTransfer(now, wanted)
		if transfer.IsEmpty() {
			return
		}
		switch w.mutation {
		case mutationSubtractedLate:
			to.ledger.ReclaimTransfer(now, transfer.Receiver, transfer.ID)
		case mutationCapacityKept:
			after := to.ledger.Share(now, "w")
			after.Capacity, after.Level = before.Capacity, before.Level
			to.ledger.SetShare(now, "w", after)
		}
		w.post(from, func() { w.accept(from, transfer) })
		w.post(from, func() { w.accept(from, transfer) })
	})
}

func (w *world) accept(n *node, transfer peer.Transfer) {
	if w.mutation == mutationAcceptedTwice || w.mutation == mutationBarIgnored && w.barred[transfer.ID] {
		transfer.ID += peer.TransferID(1000 + len(w.queue))
	}
	n.ledger.AcceptTransfer(w.local(n), transfer)
}

func (w *world) query(giver *node) {
	for _, transfer := range giver.ledger.PendingTransfers() {
		i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.self.Instance == transfer.Receiver.Instance })
		receiver := w.nodes[i]
		w.post(receiver, func() {
			accepted, answerer := receiver.ledger.AcceptedOrReject(transfer.Donor, transfer.ID), receiver.self
			w.barred[transfer.ID] = !accepted
			if w.mutation == mutationNewEpochAnswers {
				answerer = transfer.Receiver
			}
			w.post(giver, func() {
				if accepted {
					giver.ledger.CompleteTransfer(answerer, transfer.ID)
				} else {
					giver.ledger.ReclaimTransfer(w.local(giver), answerer, transfer.ID)
				}
			})
		})
	}
}

// propose writes the next roster with any members, also without live ones. Only
// an instance whose joint phase is over may do so.
func (w *world) propose(n *node, keep int) {
	roster := n.ledger.Roster()
	if roster.Generation != w.head().Generation || !n.ledger.InFullPhase() {
		return
	}
	next := peer.Roster{Generation: roster.Generation + 1, Previous: roster.Members}
	for i, other := range w.nodes {
		if keep&(1<<i) != 0 {
			next.Members = append(next.Members, other.self)
		}
	}
	if len(next.Members) == 0 {
		next.Members = append(next.Members, n.self)
	}
	w.rosters = append(w.rosters, next)
}

func (w *world) restart(n *node) {
	old := n.self
	w.boot(n, old.Instance)
	for _, other := range w.nodes {
		if other != n {
			other.ledger.RecordEnded(old)
		}
	}
}

// recentLimits returns the largest limits that may still be in force: those of
// versions that no accepted version has replaced for certain.
func (w *world) recentLimits() (rate, burst float64, budget int) {
	oldest := fleet.SheetVersion(1)
	for _, a := range w.accepted {
		if w.now > a.at+inForce {
			oldest = a.version
		}
	}
	for _, limits := range w.limits[oldest:] {
		rate = max(rate, limits.Rates[0].Rate)
		burst = max(burst, limits.Rates[0].Burst)
		budget = max(budget, limits.Permits[0].Budget)
	}
	return rate, burst, budget
}

func (w *world) admit(n *node, count int) error {
	rate, burst, _ := w.recentLimits()
	o := w.shed["w"]
	if o == nil {
		o = &oracle{burst: burst, level: burst}
		w.shed["w"] = o
	}
	// The fastest clock mints 10% more.
	// A member that adopts its first sheet late starts with a full bucket of
	// the raised burst.
	o.level += max(0, burst-o.burst)
	o.burst = burst
	o.level = min(burst, o.level+1.1*rate*(w.now-o.at).Seconds())
	o.at = w.now
	for range count {
		if n.paused || !n.ledger.Admit(w.local(n), "w").Admitted {
			continue
		}
		if o.level--; o.level < -1e-6 {
			return fmt.Errorf("%s admits a request above burst %v + rate %v at %v", n.self.Instance, burst, rate, w.now)
		}
	}
	return nil
}

func (w *world) check() error {
	_, _, budget := w.recentLimits()
	sum := 0
	for _, n := range w.nodes {
		now := w.local(n)
		sum += n.ledger.Permits(now, "s")
		if !n.validity.Valid(now) {
			continue
		}
		for _, a := range w.accepted {
			if held := n.ledger.Versions().Sheet; w.now > a.at+inForce && held < a.version {
				return fmt.Errorf("%s is valid at %v with sheet %d, but %d was accepted at %v", n.self.Instance, w.now, held, a.version, a.at)
			}
		}
	}
	if sum > budget {
		return fmt.Errorf("%d permits are held at %v, budget %d", sum, w.now, budget)
	}
	return nil
}
