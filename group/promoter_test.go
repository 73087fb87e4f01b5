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

// rival is one of several competing promoters, with its own detector and view.
type rival struct {
	detector    *group.Detector
	epoch       fleet.Epoch
	id          fleet.InstanceID
	pausedUntil time.Time
	nextPoll    time.Time
	promoter    *group.Promoter
}

// message is a call in flight to a server, or a response in flight from it.
type message struct {
	result      *group.CallResult
	requestedAt time.Time
	call        group.Call
	dueAt       time.Time
	epoch       fleet.Epoch
	rival       int
	server      fleet.ServerID
	status      group.ServerStatus
}

// rivalModel runs competing promoters over a network that loses, duplicates and
// reorders messages.
type rivalModel struct {
	*evidenceModel
	down       map[fleet.ServerID]bool
	faults     bool
	messages   []message
	promoted   map[fleet.Term]fleet.ServerID
	random     *rand.Rand
	promotions int
	rivals     []*rival
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

// restart restarts an instance, which loses all its state.
func (m *rivalModel) restart(n int) {
	r := m.rivals[n]
	r.epoch++
	r.detector = group.NewDetector(group.DefaultSettings())
	r.promoter = group.NewPromoter("g", group.DefaultSettings())
	m.views[n] = modelView(m.servers)
}

// tick advances the time by 10 ms and runs everything that is due.
func (m *rivalModel) tick() error {
	m.now = m.now.Add(10 * time.Millisecond)
	if m.faults {
		m.injectFault()
	}
	if m.randomIndex(5) == 0 {
		m.write()
	}
	m.replicateAll()
	if err := m.deliver(); err != nil {
		return err
	}
	for n, r := range m.rivals {
		if m.now.Before(r.pausedUntil) {
			continue
		}
		m.stepPromoter(n, nil)
		if !m.now.Before(r.nextPoll) {
			r.nextPoll = m.now.Add(50 * time.Millisecond)
			for _, s := range m.servers {
				m.send(message{requestedAt: m.now, rival: n, epoch: r.epoch, server: s.id})
			}
		}
	}
	return nil
}

func (m *rivalModel) injectFault() {
	s, n := m.randomServer(), m.randomIndex(len(m.rivals))
	switch m.randomIndex(150) {
	case 0:
		m.down[s.id] = true
	case 1, 2:
		m.stopPrimary()
	case 3, 4, 7:
		delete(m.down, s.id)
	case 5:
		m.rivals[n].pausedUntil = m.now.Add(time.Duration(m.randomIndex(2000)) * time.Millisecond)
	case 6:
		m.restart(n)
	}
}

// stopPrimary stops the primary of the highest term if a majority of the servers
// stays up.
func (m *rivalModel) stopPrimary() {
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
			if from == to || m.down[from.id] || m.down[to.id] || (m.faults && m.randomIndex(4) == 0) {
				continue
			}
			end := len(from.log)
			if m.faults {
				end = 1 + m.randomIndex(end)
			}
			from.replicate(to, end)
			if from.role == group.RolePrimary && to.term == from.term {
				to.lastContact = m.now
			}
		}
	}
}

// send sends a message. With faults it may be lost, delayed or duplicated.
func (m *rivalModel) send(msg message) {
	copies := 1
	delay := 10
	if m.faults {
		copies = []int{0, 1, 1, 1, 1, 1, 1, 2}[m.randomIndex(8)]
		if m.randomIndex(6) == 0 {
			delay = m.randomIndex(500)
		}
	}
	for range copies {
		msg.dueAt = m.now.Add(time.Duration(delay) * time.Millisecond)
		m.messages = append(m.messages, msg)
		delay += 20
	}
}

func (m *rivalModel) deliver() error {
	messages := m.messages
	m.messages = nil
	for _, msg := range messages {
		r := m.rivals[msg.rival]
		toInstance := msg.result != nil
		switch {
		case msg.dueAt.After(m.now) || (toInstance && m.now.Before(r.pausedUntil)):
			m.messages = append(m.messages, msg)
		case toInstance && msg.epoch == r.epoch:
			if err := m.handleResponse(msg); err != nil {
				return err
			}
		case !toInstance && !m.down[msg.server]:
			if err := m.handleCall(msg); err != nil {
				return err
			}
		}
	}
	return nil
}

// handleCall runs a call on a server and sends the response.
func (m *rivalModel) handleCall(msg message) error {
	var s *modelServer
	for _, known := range m.servers {
		if known.id == msg.server {
			s = known
		}
	}
	holder := group.PromiseHolder(m.rivals[msg.rival].id, msg.epoch)
	result := &group.CallResult{Call: msg.call}
	switch msg.call.Kind {
	case group.CallFence:
		result.Granted = s.fence(msg.call.Term, holder)
	case group.CallPromote:
		result.Failed = s.promote(msg.call.Term, holder) != nil
		if !result.Failed {
			if known, found := m.promoted[msg.call.Term]; found && known != s.id {
				return fmt.Errorf("%s and %s were promoted in term %d", known, s.id, msg.call.Term)
			}
			m.promoted[msg.call.Term] = s.id
			if err := m.checkPromoted(s); err != nil {
				return err
			}
		}
	}
	result.Status = s.status(m.now)
	msg.result, msg.status = result, result.Status
	m.send(msg)
	return nil
}

func (m *rivalModel) handleResponse(msg message) error {
	observation := group.Observation{RespondedAt: m.now, RequestedAt: msg.requestedAt, Server: msg.server, Status: msg.status}
	if !msg.result.Failed {
		if err := m.observe(msg.rival, observation); err != nil {
			return err
		}
	}
	if msg.call.Kind != "" {
		m.stepPromoter(msg.rival, msg.result)
	}
	return nil
}

func (m *rivalModel) stepPromoter(n int, result *group.CallResult) {
	r := m.rivals[n]
	in := group.PromoterInput{
		Detection: r.detector.Step(m.now, m.views[n], nil, len(m.rivals)),
		Now:       m.now, Random: m.random, Rank: n, View: m.views[n],
	}
	out := r.promoter.Step(in, result)
	if out.Record != nil {
		m.promotions++
	}
	for _, call := range out.Calls {
		m.send(message{requestedAt: m.now, call: call, rival: n, epoch: r.epoch, server: call.Server})
	}
}

// runUntilEstablished stops the faults and runs until all instances know the same
// established term and its primary.
func (m *rivalModel) runUntilEstablished(timeout time.Duration) error {
	m.faults = false
	m.down = map[fleet.ServerID]bool{}
	for end := m.now.Add(timeout); m.now.Before(end); {
		if err := m.tick(); err != nil {
			return err
		}
		if m.allEstablished() {
			return nil
		}
	}
	return fmt.Errorf("no established primary within %v: %+v", timeout, m.views)
}

func (m *rivalModel) allEstablished() bool {
	for n, view := range m.views {
		if !view.Established || view.Primary == "" || view.Term != m.views[0].Term || m.rivals[n].promoter.Phase() != group.PhaseIdle {
			return false
		}
	}
	return true
}

// TestPromoterRivals guards against two primaries in one term, lost acknowledged
// writes, and competing promoters that prevent each other from succeeding forever.
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
		if err := m.runUntilEstablished(8 * time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

// TestPromoterRivalsPromote guards against a model in which hardly any server is
// promoted and hardly any write is committed.
func TestPromoterRivalsPromote(t *testing.T) {
	promotions, committed := 0, 0
	for seed := range uint64(20) {
		m := newRivalModel(3, rand.New(rand.NewPCG(seed, 6)))
		for range 800 {
			if err := m.tick(); err != nil {
				t.Fatal(err)
			}
		}
		promotions, committed = promotions+m.promotions, committed+len(m.committed)
	}
	if promotions < 10 || committed < 100 {
		t.Errorf("%d promotions and %d commits in 20 runs, want at least 10 and 100", promotions, committed)
	}
}

// TestRankOrdersAll guards against two instances with the same rank, and so the
// same delay.
func TestRankOrdersAll(t *testing.T) {
	live := []fleet.InstanceID{"1", "2", "3", "4", "5"}
	for _, id := range []fleet.GroupID{"stock", "orders", "plant"} {
		taken := map[int]bool{}
		for _, self := range live {
			rank := group.Rank(id, self, live)
			if taken[rank] || rank >= len(live) {
				t.Errorf("group %s: rank %d of %s is a duplicate or too large", id, rank, self)
			}
			taken[rank] = true
		}
	}
}

// TestPromoterAbortsOnRecovery guards against a promotion although the primary
// recovered during the rank delay.
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
		t.Errorf("%d calls, next step at %v, want none and %v", len(out.Calls), out.NextStep, want)
	}
	in.Now = out.NextStep
	in.Detection.Health = group.Healthy
	if out = promoter.Step(in, nil); len(out.Calls) > 0 || promoter.Phase() != group.PhaseIdle {
		t.Errorf("%d calls in phase %s after the primary recovered", len(out.Calls), promoter.Phase())
	}
	in.Detection.Health = group.Failed
	in.Rank = 0
	if out = promoter.Step(in, nil); len(out.Calls) != 3 {
		t.Errorf("%d calls at rank 0, want 3 fence calls", len(out.Calls))
	}
}

// TestPromoterKeepsCommitsOfLeavingServer guards against a promotion that loses a commit
// because the only other server which has received it is being taken out of use.
func TestPromoterKeepsCommitsOfLeavingServer(t *testing.T) {
	now := time.Unix(1000, 0)
	in := group.PromoterInput{
		Detection: group.Detection{Health: group.Failed, Reason: group.ReasonReplicasSilent}, Now: now,
		Placement: group.Placement{Leaving: []fleet.ServerID{"c"}},
		View:      healthyView(now, map[fleet.ServerID]fleet.LogPosition{"a": 9, "b": 5, "c": 9}),
	}
	promoter := group.NewPromoter("g", group.DefaultSettings())
	out := promoter.Step(in, nil)
	fences := out.Calls
	for _, call := range fences {
		if call.Kind != group.CallFence {
			t.Fatalf("call %+v, want a fence", call)
		}
		log := map[fleet.ServerID]fleet.LogPosition{"b": 5, "c": 9}[call.Server]
		if log == 0 {
			continue
		}
		status := group.ServerStatus{Log: fleet.Position{Term: 1, Log: log}, PromisedTerm: call.Term, Role: group.RoleReplica, Server: call.Server, Term: 1}
		out = promoter.Step(in, &group.CallResult{Call: call, Granted: true, Status: status})
	}
	if len(out.Calls) != 1 || out.Calls[0].Kind != group.CallPromote || out.Calls[0].Server != "c" {
		t.Errorf("calls %+v, want the promotion of c", out.Calls)
	}
}
