package group_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

// rival is one promoter with its own view and detector.
type rival struct {
	detector *group.Detector
	epoch    fleet.Epoch
	id       fleet.InstanceID
	paused   time.Time
	polled   time.Time
	promoter *group.Promoter
}

// message is a call on its way to a server, or an answer on its way back.
type message struct {
	answer *group.CallResult
	asked  time.Time
	call   group.Call
	due    time.Time
	epoch  fleet.Epoch
	rival  int
	server fleet.ServerID
	status group.ServerStatus
}

// rivalModel runs promoters over a network that loses, repeats and reorders.
type rivalModel struct {
	*evidenceModel
	down     map[fleet.ServerID]bool
	faults   bool
	messages []message
	promoted map[fleet.Term]fleet.ServerID
	random   *rand.Rand
	records  int
	rivals   []*rival
}

func newRivalModel(size int, random *rand.Rand) *rivalModel {
	m := &rivalModel{
		evidenceModel: newSafeModel(size, random.IntN),
		down:          map[fleet.ServerID]bool{}, faults: true, promoted: map[fleet.Term]fleet.ServerID{1: "a"}, random: random,
	}
	m.views = append(m.views, m.views[0])
	for n := range 3 {
		m.rivals = append(m.rivals, &rival{id: fleet.InstanceID(fmt.Sprint("i", n))})
		m.restart(n)
	}
	return m
}

// restart replaces an instance by a new run that knows nothing.
func (m *rivalModel) restart(n int) {
	r := m.rivals[n]
	r.epoch++
	r.detector = group.NewDetector(group.DefaultSettings())
	r.promoter = group.NewPromoter("g", group.DefaultSettings())
	m.views[n] = modelView(m.servers)
}

// tick advances the time by 10 ms.
func (m *rivalModel) tick() error {
	m.now = m.now.Add(10 * time.Millisecond)
	if m.faults {
		m.fault()
	}
	if m.pick(5) == 0 {
		m.write()
	}
	m.replicateAll()
	if err := m.deliver(); err != nil {
		return err
	}
	for n, r := range m.rivals {
		if m.now.Before(r.paused) {
			continue
		}
		m.step(n, nil)
		if !m.now.Before(r.polled) {
			r.polled = m.now.Add(50 * time.Millisecond)
			for _, s := range m.servers {
				m.send(message{asked: m.now, rival: n, epoch: r.epoch, server: s.id})
			}
		}
	}
	return nil
}

func (m *rivalModel) fault() {
	s, n := m.server(), m.pick(len(m.rivals))
	switch m.pick(150) {
	case 0:
		m.down[s.id] = true
	case 1, 2:
		m.downPrimary()
	case 3, 4, 7:
		delete(m.down, s.id)
	case 5:
		m.rivals[n].paused = m.now.Add(time.Duration(m.pick(2000)) * time.Millisecond)
	case 6:
		m.restart(n)
	}
}

// downPrimary stops the newest primary if a majority remains.
func (m *rivalModel) downPrimary() {
	var primary *modelServer
	for _, s := range m.servers {
		if s.role == group.RolePrimary && (primary == nil || s.term > primary.term) {
			primary = s
		}
	}
	if primary != nil && len(m.down) < len(m.servers)-majority(len(m.servers)) {
		m.down[primary.id] = true
	}
}

func (m *rivalModel) replicateAll() {
	for _, from := range m.servers {
		for _, to := range m.servers {
			if from == to || m.down[from.id] || m.down[to.id] || (m.faults && m.pick(4) == 0) {
				continue
			}
			end := len(from.log)
			if m.faults {
				end = 1 + m.pick(end)
			}
			from.replicate(to, end)
			if from.role == group.RolePrimary && to.term == from.term {
				to.contact = m.now
			}
		}
	}
}

// send puts a message under way. With faults it may be lost or repeated.
func (m *rivalModel) send(msg message) {
	copies := 1
	delay := 10
	if m.faults {
		copies = []int{0, 1, 1, 1, 1, 1, 1, 2}[m.pick(8)]
		if m.pick(6) == 0 {
			delay = m.pick(500)
		}
	}
	for range copies {
		msg.due = m.now.Add(time.Duration(delay) * time.Millisecond)
		m.messages = append(m.messages, msg)
		delay += 20
	}
}

func (m *rivalModel) deliver() error {
	messages := m.messages
	m.messages = nil
	for _, msg := range messages {
		r := m.rivals[msg.rival]
		toInstance := msg.answer != nil
		switch {
		case msg.due.After(m.now) || (toInstance && m.now.Before(r.paused)):
			m.messages = append(m.messages, msg)
		case toInstance && msg.epoch == r.epoch:
			if err := m.answered(msg); err != nil {
				return err
			}
		case !toInstance && !m.down[msg.server]:
			if err := m.serve(msg); err != nil {
				return err
			}
		}
	}
	return nil
}

// serve carries out a call on a server and sends the answer.
func (m *rivalModel) serve(msg message) error {
	var s *modelServer
	for _, known := range m.servers {
		if known.id == msg.server {
			s = known
		}
	}
	holder := group.PromiseHolder(m.rivals[msg.rival].id, msg.epoch)
	answer := &group.CallResult{Call: msg.call}
	switch msg.call.Kind {
	case group.CallFence:
		answer.Granted = s.fence(msg.call.Term, holder)
	case group.CallPromote:
		answer.Failed = s.promote(msg.call.Term, holder) != nil
		if !answer.Failed {
			if known, found := m.promoted[msg.call.Term]; found && known != s.id {
				return fmt.Errorf("%s and %s were promoted in term %d", known, s.id, msg.call.Term)
			}
			m.promoted[msg.call.Term] = s.id
			if err := m.checkPromoted(s); err != nil {
				return err
			}
		}
	}
	answer.Status = s.status(m.now)
	msg.answer, msg.status = answer, answer.Status
	m.send(msg)
	return nil
}

func (m *rivalModel) answered(msg message) error {
	o := group.Observation{RespondedAt: m.now, RequestedAt: msg.asked, Server: msg.server, Status: msg.status}
	if !msg.answer.Failed {
		if err := m.observe(msg.rival, o); err != nil {
			return err
		}
	}
	if msg.call.Kind != "" {
		m.step(msg.rival, msg.answer)
	}
	return nil
}

func (m *rivalModel) step(n int, answer *group.CallResult) {
	r := m.rivals[n]
	in := group.PromoterInput{
		Detection: r.detector.Step(m.now, m.views[n], nil, len(m.rivals)),
		Now:       m.now, Random: m.random, Rank: n, View: m.views[n],
	}
	out := r.promoter.Step(in, answer)
	if out.Record != nil {
		m.records++
	}
	for _, call := range out.Calls {
		m.send(message{asked: m.now, call: call, rival: n, epoch: r.epoch, server: call.Server})
	}
}

// settle ends the faults and runs until all instances know an established primary.
func (m *rivalModel) settle(bound time.Duration) error {
	m.faults = false
	m.down = map[fleet.ServerID]bool{}
	for end := m.now.Add(bound); m.now.Before(end); {
		if err := m.tick(); err != nil {
			return err
		}
		if m.settled() {
			return nil
		}
	}
	return fmt.Errorf("no established primary within %v: %+v", bound, m.views)
}

func (m *rivalModel) settled() bool {
	for n, view := range m.views {
		if !view.Established || view.Primary == "" || view.Term != m.views[0].Term || m.rivals[n].promoter.Phase() != group.PhaseIdle {
			return false
		}
	}
	return true
}

// TestPromoterRivals guards against two primaries in one term, acknowledged
// writes that are lost, and promoters that hinder each other for ever.
func TestPromoterRivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5))
		m := newRivalModel(size, random)
		for range 500 {
			if err := m.tick(); err != nil {
				t.Fatal(err)
			}
		}
		if err := m.settle(8 * time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

// TestPromoterRivalsPromote guards against a model in which nothing is promoted.
func TestPromoterRivalsPromote(t *testing.T) {
	records, committed := 0, 0
	for seed := range uint64(20) {
		m := newRivalModel(3, rand.New(rand.NewPCG(seed, 6)))
		for range 800 {
			if err := m.tick(); err != nil {
				t.Fatal(err)
			}
		}
		records, committed = records+m.records, committed+len(m.committed)
	}
	if records < 10 || committed < 100 {
		t.Errorf("%d promotions and %d commits in 20 runs, want at least 10 and 100", records, committed)
	}
}

// TestRankOrdersAll guards against two candidates with the same delay.
func TestRankOrdersAll(t *testing.T) {
	live := []fleet.InstanceID{"1", "2", "3", "4", "5"}
	for _, id := range []fleet.GroupID{"stock", "orders", "plant"} {
		taken := map[int]bool{}
		for _, self := range live {
			rank := group.Rank(id, self, live)
			if taken[rank] || rank >= len(live) {
				t.Errorf("group %s: rank %d of %s is taken or too large", id, rank, self)
			}
			taken[rank] = true
		}
	}
}

// TestPromoterAbortsOnRecovery guards against a promotion of a primary that
// came back while a candidate waited for its turn.
func TestPromoterAbortsOnRecovery(t *testing.T) {
	now := time.Unix(1000, 0)
	settings := group.DefaultSettings()
	in := group.PromoterInput{
		Detection: group.Detection{Health: group.Failed, Reason: group.ReasonReplicasSilent}, Now: now, Rank: 2,
		View: healthyView(now, map[fleet.ServerID]fleet.LogPosition{"a": 1, "b": 1, "c": 1}),
	}
	promoter := group.NewPromoter("g", settings)
	out := promoter.Step(in, nil)
	if want := now.Add(2 * settings.RankDelay); len(out.Calls) > 0 || !out.NextStep.Equal(want) {
		t.Errorf("%d calls, wake %v, want none and %v", len(out.Calls), out.NextStep, want)
	}
	in.Now = out.NextStep
	in.Detection.Health = group.Healthy
	if out = promoter.Step(in, nil); len(out.Calls) > 0 || promoter.Phase() != group.PhaseIdle {
		t.Errorf("%d calls in phase %s after the primary recovered", len(out.Calls), promoter.Phase())
	}
	in.Detection.Health = group.Failed
	in.Rank = 0
	if out = promoter.Step(in, nil); len(out.Calls) != 3 {
		t.Errorf("%d calls at rank 0, want a fence of 3 servers", len(out.Calls))
	}
}
