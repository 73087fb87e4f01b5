package primacy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/primacy"
)

// modelSteps is the number of steps of one run, about a minute and a half of
// model time.
const modelSteps = 1200

// modelFaults are deliberate faults in the protocol that the model must detect.
type modelFaults struct {
	// skipConfirmations chooses the target without waiting for the instances to
	// leave the primary.
	skipConfirmations bool
	// trustEarlyReads lets an instance count reads of the record from before
	// its own row was visible.
	trustEarlyReads bool
	// countOneOrder records at most one order, however many are given.
	countOneOrder bool
	// shortLeaseWait waits two seconds less than leases last.
	shortLeaseWait bool
	// trustOlderCopies takes an older copy of the record for the latest one.
	trustOlderCopies bool
}

// model simulates a store, servers and instances. Calls are delayed, lost or
// take effect late, and instances pause and restart.
type model struct {
	err    error
	faults modelFaults
	now    time.Time
	rng    *rand.Rand

	// records are all versions of the record. The revision of each is its index plus one.
	records []primacy.Record
	rows    map[int]rowState
	leader  primacy.Leader

	// primary is the server that is the primary now, in term.
	primary       fleet.ServerID
	term          fleet.Term
	pendingOrders []order
	tokenHolders  map[primacy.Token]int
	lastToken     primacy.Token
	instances     []*modelInstance
	promotions    int
}

// rowState is an instance's membership row.
type rowState struct {
	// at is when the row was sent.
	at             time.Time
	heartbeat      int
	leftGeneration primacy.Generation
}

type order struct {
	// at is when the order takes effect.
	at     time.Time
	target fleet.ServerID
}

// modelInstance is one instance with its own view of the system.
type modelInstance struct {
	id             int
	presence       primacy.Presence
	lastReadAt     time.Time
	lease          primacy.PrimaryLease
	leftGeneration primacy.Generation
	heartbeat      int
	pausedUntil    time.Time
	// readsBlockedUntil and writesBlockedUntil are when the instance can reach
	// the store again.
	readsBlockedUntil  time.Time
	writesBlockedUntil time.Time

	leadership       *primacy.Leadership
	leaderRow        primacy.Leader
	members          map[int]modelMember
	membersReadAt    time.Time
	generationSeenAt time.Time
	// knownRecord is the last record read as leader. The instance may give an
	// order only while the record is equal to orderableRecord, which it wrote
	// itself.
	knownRecord     primacy.Record
	orderableRecord primacy.Record
	lastOrderAt     time.Time
}

type modelMember struct {
	row rowState
}

func newModel(seed uint64, faults modelFaults) *model {
	m := &model{
		faults: faults, now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 0)),
		primary: "s0", term: 1,
		records: []primacy.Record{{Generation: 1, Group: "g", Phase: primacy.PhaseServing, Primary: "s0", Term: 1}},
		rows:    map[int]rowState{}, tokenHolders: map[primacy.Token]int{},
	}
	for id := range 3 {
		m.instances = append(m.instances, m.newInstance(id))
	}
	return m
}

func (m *model) newInstance(id int) *modelInstance {
	name := fleet.InstanceID(fmt.Sprintf("i%d", id))
	epoch := fleet.Epoch(m.rng.Uint64())
	return &modelInstance{id: id, leadership: primacy.NewLeadership(name, epoch), members: map[int]modelMember{}}
}

// revision is the revision of the latest record.
func (m *model) revision() feed.Revision { return feed.Revision(len(m.records)) }

// randomBetween returns a number from low to high, both included.
func (m *model) randomBetween(low, high int) int {
	return low + m.rng.IntN(high-low+1)
}

func (m *model) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf(format, args...)
	}
}

func (m *model) answerLost() bool { return m.randomBetween(0, 4) == 0 }

// heartbeat writes the instance's membership row. The answer may be lost.
func (m *model) heartbeat(i *modelInstance) {
	sent := m.now
	if m.now.Before(i.writesBlockedUntil) {
		return
	}
	i.heartbeat++
	m.rows[i.id] = rowState{at: sent, heartbeat: i.heartbeat, leftGeneration: i.leftGeneration}
	m.now = m.now.Add(time.Duration(m.randomBetween(1, 300)) * time.Millisecond)
	if !m.answerLost() {
		i.presence.WriteSucceeded(sent, m.now)
		m.extendLease(i)
	}
}

// extendLease extends the instance's lease after a successful read of the
// record or write of its row.
func (m *model) extendLease(i *modelInstance) {
	if m.faults.trustEarlyReads {
		i.lease.Extend(i.lastReadAt)
		return
	}
	i.lease.Extend(i.presence.LeaseStart(i.lastReadAt))
}

// readRecord reads the group's record and confirms that the instance left the
// primary, if it can. At times, the copy that it reads is one version behind.
func (m *model) readRecord(i *modelInstance) {
	sent := m.now
	revision := m.revision()
	if m.answerLost() || m.now.Before(i.readsBlockedUntil) {
		return
	}
	if revision > 1 && m.randomBetween(0, 9) == 0 {
		older := revision - 1
		if m.faults.trustOlderCopies {
			revision = max(i.lease.Revision(), older)
		} else {
			revision = older
		}
		i.lease.Observe(m.now, m.records[older-1], revision, time.Time{})
		return
	}
	record := m.records[revision-1]
	i.lastReadAt = sent
	leaseStart := i.presence.LeaseStart(sent)
	if m.faults.trustEarlyReads {
		leaseStart = sent
	}
	i.lease.Observe(m.now, record, revision, leaseStart)
	m.extendLease(i)
	if generation, confirmed := i.lease.ConfirmLeave(m.now); confirmed {
		i.leftGeneration = generation
	}
}

// runLeader takes or renews the leader row, and takes the next step of a change
// if the instance is the leader.
func (m *model) runLeader(i *modelInstance) {
	if !m.now.Before(i.readsBlockedUntil) {
		i.leaderRow = m.leader
		i.leadership.Observe(m.now, m.leader)
	}
	if next, due := i.leadership.Next(m.now); due && !m.now.Before(i.writesBlockedUntil) && i.leaderRow == m.leader {
		i.leaderRow = next
		m.leader = next
		if !m.answerLost() {
			i.leadership.WriteSucceeded(m.now, next)
		}
	}
	token, leading := i.leadership.Token(m.now)
	if !leading || m.now.Before(i.readsBlockedUntil) {
		return
	}
	if other, used := m.tokenHolders[token]; used && other != i.id {
		m.fail("instances %d and %d are both leader with token %d", other, i.id, token)
	}
	m.tokenHolders[token] = i.id
	m.readMembers(i)
	record := i.lease.Record()
	if record.Generation == 0 {
		return
	}
	if i.knownRecord.Generation != record.Generation {
		i.generationSeenAt, i.lastOrderAt = m.now, time.Time{}
	}
	i.knownRecord = record
	m.step(i, token)
}

func (m *model) readMembers(i *modelInstance) {
	i.membersReadAt = m.now
	for id, row := range m.rows {
		i.members[id] = modelMember{row: row}
	}
}

// step takes the step that Decide returns for the instance's view, and records
// a promotion order with a random delay.
func (m *model) step(i *modelInstance, token primacy.Token) {
	situation := primacy.Situation{GenerationSeenAt: i.generationSeenAt, LastOrderAt: i.lastOrderAt, OrderPending: i.knownRecord.Target != "" && i.knownRecord.Equal(i.orderableRecord), Record: i.knownRecord}
	if m.faults.shortLeaseWait {
		situation.GenerationSeenAt = situation.GenerationSeenAt.Add(-2 * time.Second)
	}
	suspected := m.randomBetween(0, 1) == 0
	for _, member := range i.members {
		situation.Members = append(situation.Members, primacy.Member{
			Left:        member.row.leftGeneration,
			Live:        !m.faults.skipConfirmations && !primacy.IsLeaseExpired(i.membersReadAt.Sub(member.row.at)),
			Unreachable: suspected,
		})
	}
	if suspected && m.faults.skipConfirmations {
		situation.Members = append(situation.Members, primacy.Member{Live: true, Left: 1 << 40, Unreachable: true})
	}
	for s := range 3 {
		id := fleet.ServerID(fmt.Sprintf("s%d", s))
		role, term := primacy.RoleReplica, fleet.Term(1)
		if id == m.primary {
			role, term = primacy.RolePrimary, m.term
		}
		situation.Servers = append(situation.Servers, primacy.Server{Eligible: true, ID: id, Registered: true, Role: role, StatusAt: m.now, Term: term})
	}
	step := primacy.Decide(m.now, situation)
	switch step.Kind {
	case primacy.StepWrite:
		step.Record.Group = "g"
		if m.faults.countOneOrder {
			step.Record.Orders = min(step.Record.Orders, 1)
			i.lastOrderAt = time.Time{}
		}
		if i.lease.Revision() != m.revision() {
			i.lease.Observe(m.now, m.records[m.revision()-1], m.revision(), time.Time{})
			return
		}
		m.records = append(m.records, step.Record)
		i.orderableRecord = step.Record
		i.lease.Observe(m.now, step.Record, m.revision(), time.Time{})
	case primacy.StepPromote:
		if token < m.lastToken {
			m.fail("promotion order with token %d was given after one with token %d", token, m.lastToken)
		}
		m.lastToken = token
		i.lastOrderAt, i.orderableRecord = m.now, primacy.Record{}
		delay := time.Duration(max(0, m.randomBetween(-6000, 6000))) * time.Millisecond
		m.pendingOrders = append(m.pendingOrders, order{at: m.now.Add(delay), target: step.Target})
	}
}

// applyDueOrders lets the orders take effect whose time has come.
func (m *model) applyDueOrders() {
	var notDue []order
	for _, o := range m.pendingOrders {
		switch {
		case o.at.After(m.now):
			notDue = append(notDue, o)
		case o.target != m.primary:
			m.primary = o.target
			m.term++
			m.promotions++
		}
	}
	m.pendingOrders = notDue
}

// check fails if an instance would acknowledge a write at a server that is no
// longer the primary. The record is never behind the orders, because each one
// is recorded before it is given.
func (m *model) check() {
	for _, i := range m.instances {
		if m.now.Before(i.pausedUntil) {
			continue
		}
		record := i.lease.Record()
		generation := record.Generation
		if record.Phase == primacy.PhaseChanging {
			generation--
		}
		if record.Primary != m.primary && i.lease.Exclusive(m.now, generation) {
			m.fail("instance %d holds a lease on %s, but the primary is %s", i.id, record.Primary, m.primary)
		}
	}
}

// run takes steps until the model fails or all are taken.
func (m *model) run(steps int) error {
	for step := 0; step < steps && m.err == nil; step++ {
		m.now = m.now.Add(time.Duration(m.randomBetween(0, 150)) * time.Millisecond)
		m.applyDueOrders()
		m.check()
		m.randomAction(m.randomBetween(0, len(m.instances)-1))
		m.applyDueOrders()
		m.check()
	}
	return m.err
}

// randomAction lets one instance take a random action.
func (m *model) randomAction(index int) {
	i := m.instances[index]
	if m.now.Before(i.pausedUntil) {
		return
	}
	switch action := m.randomBetween(0, 99); {
	case action < 30:
		m.heartbeat(i)
	case action < 60:
		m.readRecord(i)
	case action < 94:
		m.runLeader(i)
	case action < 95:
		m.instances[index] = m.newInstance(index)
	case action < 97:
		i.readsBlockedUntil = m.now.Add(time.Duration(m.randomBetween(0, 9000)) * time.Millisecond)
	case action < 99:
		i.writesBlockedUntil = m.now.Add(time.Duration(m.randomBetween(0, 12000)) * time.Millisecond)
	default:
		i.pausedUntil = m.now.Add(time.Duration(m.randomBetween(0, 9000)) * time.Millisecond)
	}
}

// TestNoUseOfReplacedPrimary guards against a write that is acknowledged at a
// primary after another server was promoted, and against two instances that
// order promotions with the same fencing token, or one with a lower token after
// one with a higher. Instances pause, restart and lose answers, and orders take
// effect late.
func TestNoUseOfReplacedPrimary(t *testing.T) {
	promotions := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), modelFaults{})
		if err := m.run(modelSteps); err != nil {
			t.Fatal(err)
		}
		promotions += m.promotions
	})
	if promotions == 0 {
		t.Error("no promotion took effect in any run")
	}
}

// TestModelFindsFaults guards against a model that can't fail.
func TestModelFindsFaults(t *testing.T) {
	const seeds = 4000
	for name, faults := range map[string]modelFaults{
		"target chosen before instances left": {skipConfirmations: true},
		"lease wait too short":                {shortLeaseWait: true},
		"reads before the row was visible":    {trustEarlyReads: true},
		"only one order counted":              {countOneOrder: true},
		"older copies trusted":                {trustOlderCopies: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if err := newModel(seed, faults).run(modelSteps); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("the model did not detect the fault in %d runs", seeds)
		})
	}
}
