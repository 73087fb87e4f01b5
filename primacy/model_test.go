package primacy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/primacy"
)

// modelSteps is the number of steps of one run, about a minute and a half.
const modelSteps = 1200

// modelFaults are deliberate mistakes that the model must find.
type modelFaults struct {
	// earlyTarget chooses the target without waiting for the instances.
	earlyTarget bool
	// noBound lets an instance trust looks from before its row was visible.
	noBound bool
	// ordersForgotten records one order, however many were given.
	ordersForgotten bool
	// shortLease waits two seconds less than leases last.
	shortLease bool
}

// model is a store, servers and instances whose calls are delayed, lost and
// performed late, and which freeze.
type model struct {
	err    error
	faults modelFaults
	now    time.Time
	random *rand.Rand

	record primacy.Record
	rows   map[int]rowState
	leader primacy.Leader

	// promoted is the server that leads, and generation the one of the record
	// whose primary it replaced.
	leads      fleet.ServerID
	term       fleet.Term
	orders     []order
	tokens     map[primacy.Token]int
	lastToken  primacy.Token
	instances  []*modelInstance
	promotions int
}

type rowState struct {
	// at is when the row was sent.
	at   time.Time
	beat int
	left primacy.Generation
}

type order struct {
	at     time.Time
	target fleet.ServerID
}

// modelInstance is one instance with its own view.
type modelInstance struct {
	id       int
	presence primacy.Presence
	proof    time.Time
	watch    primacy.PrimaryLease
	left     primacy.Generation
	beat     int
	frozen   time.Time
	// noReads and noWrites are the ends of cuts from the store.
	noReads  time.Time
	noWrites time.Time

	leadership *primacy.Leadership
	leaderRow  primacy.Leader
	members    map[int]modelMember
	looked     time.Time
	changed    time.Time
	known      primacy.Record
	permitted  primacy.Record
	ordered    time.Time
}

type modelMember struct {
	row rowState
}

func newModel(seed uint64, faults modelFaults) *model {
	m := &model{
		faults: faults, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 0)),
		leads: "s0", term: 1,
		record: primacy.Record{Generation: 1, Group: "g", Phase: primacy.PhaseServing, Primary: "s0", Term: 1},
		rows:   map[int]rowState{}, tokens: map[primacy.Token]int{},
	}
	for id := range 3 {
		m.instances = append(m.instances, m.newInstance(id))
	}
	return m
}

func (m *model) newInstance(id int) *modelInstance {
	name := fleet.InstanceID(fmt.Sprintf("i%d", id))
	epoch := fleet.Epoch(m.random.Uint64())
	return &modelInstance{id: id, leadership: primacy.NewLeadership(name, epoch), members: map[int]modelMember{}}
}

// between returns a number from low to high.
func (m *model) between(low, high int) int {
	return low + m.random.IntN(high-low+1)
}

func (m *model) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf(format, args...)
	}
}

func (m *model) lost() bool { return m.between(0, 4) == 0 }

// beat writes the own row; the answer may be lost.
func (m *model) beat(i *modelInstance) {
	sent := m.now
	if m.now.Before(i.noWrites) {
		return
	}
	i.beat++
	m.rows[i.id] = rowState{at: sent, beat: i.beat, left: i.left}
	m.now = m.now.Add(time.Duration(m.between(1, 300)) * time.Millisecond)
	if !m.lost() {
		i.presence.WriteSucceeded(sent, m.now)
		m.prove(i)
	}
}

func (m *model) prove(i *modelInstance) {
	if m.faults.noBound {
		i.watch.Extend(i.proof)
		return
	}
	i.watch.Extend(i.presence.LeaseStart(i.proof))
}

// look reads the record.
func (m *model) look(i *modelInstance) {
	sent := m.now
	record := m.record
	if m.lost() || m.now.Before(i.noReads) {
		return
	}
	i.proof = sent
	bound := i.presence.LeaseStart(sent)
	if m.faults.noBound {
		bound = sent
	}
	i.watch.Observe(m.now, record, bound)
	m.prove(i)
	if generation, confirmed := i.watch.ConfirmLeave(m.now); confirmed {
		i.left = generation
	}
}

// lead takes the leader's next step.
func (m *model) lead(i *modelInstance) {
	if !m.now.Before(i.noReads) {
		i.leaderRow = m.leader
		i.leadership.Observe(m.now, m.leader)
	}
	if next, due := i.leadership.Next(m.now); due && !m.now.Before(i.noWrites) && i.leaderRow == m.leader {
		i.leaderRow = next
		m.leader = next
		if !m.lost() {
			i.leadership.WriteSucceeded(m.now, next)
		}
	}
	token, leading := i.leadership.Token(m.now)
	if !leading || m.now.Before(i.noReads) {
		return
	}
	if other, used := m.tokens[token]; used && other != i.id {
		m.fail("instances %d and %d lead with token %d", other, i.id, token)
	}
	m.tokens[token] = i.id
	m.lookAtMembers(i)
	if i.known.Generation != m.record.Generation {
		i.changed, i.ordered = m.now, time.Time{}
	}
	i.known = m.record
	m.step(i, token)
}

func (m *model) lookAtMembers(i *modelInstance) {
	i.looked = m.now
	for id, row := range m.rows {
		i.members[id] = modelMember{row: row}
	}
}

func (m *model) step(i *modelInstance, token primacy.Token) {
	situation := primacy.Situation{GenerationSeenAt: i.changed, LastOrderAt: i.ordered, OrderPending: m.record.Target != "" && m.record == i.permitted, Record: m.record}
	if m.faults.shortLease {
		situation.GenerationSeenAt = situation.GenerationSeenAt.Add(-2 * time.Second)
	}
	suspected := m.between(0, 1) == 0
	for _, member := range i.members {
		situation.Members = append(situation.Members, primacy.Member{
			Left:        member.row.left,
			Live:        !m.faults.earlyTarget && !primacy.IsLeaseExpired(i.looked.Sub(member.row.at)),
			Unreachable: suspected,
		})
	}
	if suspected && m.faults.earlyTarget {
		situation.Members = append(situation.Members, primacy.Member{Live: true, Left: 1 << 40, Unreachable: true})
	}
	for s := range 3 {
		id := fleet.ServerID(fmt.Sprintf("s%d", s))
		role, term := primacy.RoleReplica, fleet.Term(1)
		if id == m.leads {
			role, term = primacy.RolePrimary, m.term
		}
		situation.Servers = append(situation.Servers, primacy.Server{Eligible: true, ID: id, Registered: true, Role: role, StatusAt: m.now, Term: term})
	}
	step := primacy.Decide(m.now, situation)
	switch step.Kind {
	case primacy.StepWrite:
		step.Record.Group = "g"
		if m.faults.ordersForgotten {
			step.Record.Orders = min(step.Record.Orders, 1)
			i.ordered = time.Time{}
		}
		m.record = step.Record
		i.permitted = step.Record
	case primacy.StepPromote:
		if token < m.lastToken {
			m.fail("an order with token %d came after one with %d", token, m.lastToken)
		}
		m.lastToken = token
		i.ordered, i.permitted = m.now, primacy.Record{}
		late := time.Duration(max(0, m.between(-6000, 6000))) * time.Millisecond
		m.orders = append(m.orders, order{at: m.now.Add(late), target: step.Target})
	}
}

// effects lets orders take effect whose time has come.
func (m *model) effects() {
	var waiting []order
	for _, o := range m.orders {
		switch {
		case o.at.After(m.now):
			waiting = append(waiting, o)
		case o.target != m.leads:
			m.leads = o.target
			m.term++
			m.promotions++
		}
	}
	m.orders = waiting
}

// check looks for an instance that would acknowledge a write of a server that
// does not lead any more. The record is only ahead of an order, never behind.
func (m *model) check() {
	for _, i := range m.instances {
		if m.now.Before(i.frozen) {
			continue
		}
		record := i.watch.Record()
		generation := record.Generation
		if record.Phase == primacy.PhaseChanging {
			generation--
		}
		if record.Primary != m.leads && i.watch.Exclusive(m.now, generation) {
			m.fail("instance %d uses %s, but %s leads", i.id, record.Primary, m.leads)
		}
	}
}

// run takes steps until something is wrong.
func (m *model) run(steps int) error {
	for step := 0; step < steps && m.err == nil; step++ {
		m.now = m.now.Add(time.Duration(m.between(0, 150)) * time.Millisecond)
		m.effects()
		m.check()
		m.act(m.between(0, len(m.instances)-1))
		m.effects()
		m.check()
	}
	return m.err
}

// act lets one instance do something.
func (m *model) act(index int) {
	i := m.instances[index]
	if m.now.Before(i.frozen) {
		return
	}
	switch action := m.between(0, 99); {
	case action < 30:
		m.beat(i)
	case action < 60:
		m.look(i)
	case action < 94:
		m.lead(i)
	case action < 95:
		m.instances[index] = m.newInstance(index)
	case action < 97:
		i.noReads = m.now.Add(time.Duration(m.between(0, 9000)) * time.Millisecond)
	case action < 99:
		i.noWrites = m.now.Add(time.Duration(m.between(0, 12000)) * time.Millisecond)
	default:
		i.frozen = m.now.Add(time.Duration(m.between(0, 9000)) * time.Millisecond)
	}
}

// TestNoUseOfReplacedPrimary guards against a write that is acknowledged at a
// primary after another server was promoted, and against two instances that
// order promotions with the same token or a lower one, while instances freeze,
// restart and lose answers, and orders take effect late.
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
		"target chosen early": {earlyTarget: true},
		"lease cut short":     {shortLease: true},
		"looks unbounded":     {noBound: true},
		"orders forgotten":    {ordersForgotten: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if err := newModel(seed, faults).run(modelSteps); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("the model does not find the fault in %d runs", seeds)
		})
	}
}
