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

// rules is what the evidence model runs with; the faulty ones are mutants.
type rules struct {
	decide   func(group.View, fleet.Position) group.CommitDecision
	longest  bool
	name     string
	quorum   int
	sameTerm bool
}

// modelPromoter is a promotion in progress.
type modelPromoter struct {
	grants []*modelServer
	logs   []fleet.Position
	sent   *modelServer
	term   fleet.Term
}

// evidenceModel runs servers, promoters and observers in arbitrary order.
type evidenceModel struct {
	// committed holds the term whose evidence decided. Primaries of later terms
	// must contain the entry; one of an earlier term can still be promoted, but
	// never established.
	committed map[fleet.Position]fleet.Term
	delayed   []group.Observation
	entries   map[fleet.LogPosition]fleet.Term
	notRun    map[fleet.Position]fleet.Term
	now       time.Time
	pick      func(n int) int
	promoters []modelPromoter
	rules     rules
	servers   []*modelServer
	views     []group.View
	written   []fleet.Position
}

func newEvidenceModel(size int, r rules, pick func(n int) int) *evidenceModel {
	m := &evidenceModel{
		committed: map[fleet.Position]fleet.Term{}, entries: map[fleet.LogPosition]fleet.Term{}, notRun: map[fleet.Position]fleet.Term{}, now: time.Unix(1000, 0),
		pick: pick, promoters: make([]modelPromoter, 3), rules: r, servers: newModelGroup(size),
	}
	m.views = []group.View{modelView(m.servers), modelView(m.servers)}
	return m
}

// newSafeModel returns a model with the rules in use.
func newSafeModel(size int, pick func(n int) int) *evidenceModel {
	return newEvidenceModel(size, rules{decide: group.DecideCommit, quorum: majority(size)}, pick)
}

func (m *evidenceModel) server() *modelServer {
	return m.servers[m.pick(len(m.servers))]
}

func (m *evidenceModel) step() error {
	m.now = m.now.Add(time.Millisecond)
	switch m.pick(10) {
	case 0, 1:
		m.write()
	case 2, 3:
		from, to := m.server(), m.server()
		if from != to {
			from.replicate(to, 1+m.pick(len(from.log)))
		}
	case 4, 5:
		return m.elect(m.pick(len(m.promoters)))
	case 6:
		m.delayed = append(m.delayed, m.observation())
	case 7:
		if n := len(m.delayed); n > 0 {
			return m.observe(m.pick(len(m.views)), m.delayed[m.pick(n)])
		}
	default:
		return m.observe(m.pick(len(m.views)), m.observation())
	}
	return nil
}

func (m *evidenceModel) write() {
	if position, ok := m.server().write(); ok {
		m.written = append(m.written, position)
	}
}

func (m *evidenceModel) observation() group.Observation {
	return m.server().observation(m.now, m.now)
}

// elect advances one promoter: it fences a server, or promotes once it has a quorum.
func (m *evidenceModel) elect(i int) error {
	p := &m.promoters[i]
	holder := fleet.InstanceID(fmt.Sprint("i", i))
	if p.term == 0 || m.pick(12) == 0 {
		*p = modelPromoter{term: p.term}
		for _, s := range m.servers {
			p.term = max(p.term, s.promised)
		}
		p.term++
	}
	if len(p.grants) < m.rules.quorum {
		s := m.server()
		for _, known := range p.grants {
			if known == s {
				return nil
			}
		}
		if s.fence(p.term, holder) {
			p.grants, p.logs = append(p.grants, s), append(p.logs, s.position(len(s.log)))
		}
		return nil
	}
	if p.sent != nil && !m.rules.sameTerm {
		*p = modelPromoter{}
		return nil
	}
	best := 0
	for j, end := range p.logs {
		better := end.Compare(p.logs[best]) > 0
		if m.rules.longest {
			better = end.Log > p.logs[best].Log
		}
		if better && (p.sent == nil || p.grants[j] != p.sent) {
			best = j
		}
	}
	if p.sent != nil {
		best = m.pick(len(p.grants))
	}
	p.sent = p.grants[best]
	if p.sent.promote(p.term, holder) != nil {
		return nil
	}
	return m.checkPromoted(p.sent)
}

func (m *evidenceModel) checkPromoted(s *modelServer) error {
	for p, decided := range m.committed {
		if s.term > decided && !s.contains(p) {
			return fmt.Errorf("committed %v is missing on the primary of term %d", p, s.term)
		}
	}
	for p, settled := range m.notRun {
		if s.term > settled && s.contains(p) {
			return fmt.Errorf("%v was decided not run but is on the primary of term %d", p, s.term)
		}
	}
	return nil
}

func (m *evidenceModel) observe(i int, o group.Observation) error {
	m.views[i] = m.views[i].Observe(o)
	for _, p := range m.written {
		switch m.rules.decide(m.views[i], p) {
		case group.Committed:
			if err := m.commit(p, decidedBy(m.views[i], p)); err != nil {
				return err
			}
		case group.NotRun:
			if _, known := m.notRun[p]; !known {
				m.notRun[p] = max(m.views[i].EstablishedHistory.LastTerm(), p.Term)
			}
		}
		if _, lost := m.notRun[p]; lost && m.committed[p] > 0 {
			return fmt.Errorf("%v was decided both committed and not run", p)
		}
	}
	return m.checkSettled(m.views[i].EstablishedHistory)
}

// checkSettled checks the history of an established term against all decisions.
func (m *evidenceModel) checkSettled(settled fleet.History) error {
	for p := range m.committed {
		if p.Term < settled.LastTerm() && !settled.Contains(p) {
			return fmt.Errorf("committed %v is missing in the established history %v", p, settled)
		}
	}
	for p := range m.notRun {
		if p.Term < settled.LastTerm() && settled.Contains(p) {
			return fmt.Errorf("%v was decided not run but is in the established history %v", p, settled)
		}
	}
	return nil
}

// decidedBy returns the term whose evidence shows that a position is committed.
func decidedBy(view group.View, p fleet.Position) fleet.Term {
	n := 0
	for _, s := range view.Servers {
		for _, r := range s.Receipts {
			if r.Position.Term == p.Term && r.Position.Log >= p.Log {
				n++
			}
		}
	}
	if n >= view.Majority() {
		return p.Term
	}
	return max(p.Term, view.EstablishedHistory.LastTerm())
}

// commit notes a decision and looks for another entry at the same place.
func (m *evidenceModel) commit(p fleet.Position, decided fleet.Term) error {
	if known, found := m.committed[p]; !found || decided < known {
		m.committed[p] = decided
	}
	if term, found := m.entries[p.Log]; found && term != p.Term {
		return fmt.Errorf("%v and %d/%d were both decided committed", p, term, p.Log)
	}
	m.entries[p.Log] = p.Term
	return nil
}

func run(m *evidenceModel, steps int) error {
	for range steps {
		if err := m.step(); err != nil {
			return err
		}
	}
	return nil
}

func majority(size int) int { return size/2 + 1 }

// TestDecideCommitIsFinal guards against a write that is acknowledged and then
// lost, and against one that is reported as not run and then appears.
func TestDecideCommitIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 4, 5}).Draw(t, "size")
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 1))
		m := newSafeModel(size, random.IntN)
		if err := run(m, 400); err != nil {
			t.Fatal(err)
		}
	})
}

// TestDecideCommitDecides guards against a model that never gets to decide.
func TestDecideCommitDecides(t *testing.T) {
	committed, notRun := 0, 0
	for seed := range uint64(50) {
		m := newSafeModel(3, rand.New(rand.NewPCG(seed, 2)).IntN)
		if err := run(m, 400); err != nil {
			t.Fatal(err)
		}
		committed, notRun = committed+len(m.committed), notRun+len(m.notRun)
	}
	if committed < 100 || notRun < 100 {
		t.Errorf("decided %d committed and %d not run in 50 runs, want at least 100 each", committed, notRun)
	}
}

// TestEvidenceModelCatchesFaults guards against a model that would pass a
// wrong rule. Each mutant must fail within a fixed number of seeded runs.
func TestEvidenceModelCatchesFaults(t *testing.T) {
	for _, mutant := range []rules{
		{name: "ChoiceByPositionWithoutTerm", decide: group.DecideCommit, longest: true, quorum: 2},
		{name: "EstablishedByLaterTerms", decide: decideWithLaterTerms, quorum: 2},
		{name: "FenceOfMinority", decide: group.DecideCommit, quorum: 1},
		{name: "MinorityEvidence", decide: decideByMinority, quorum: 2},
		{name: "NotRunBeforeEstablished", decide: decideEarly, quorum: 2},
		{name: "PromisesIgnored", decide: decideWithoutPromises, quorum: 2},
		{name: "SecondServerInOneTerm", decide: group.DecideCommit, quorum: 2, sameTerm: true},
	} {
		t.Run(mutant.name, func(t *testing.T) {
			for seed := range uint64(4000) {
				m := newEvidenceModel(3, mutant, rand.New(rand.NewPCG(seed, 3)).IntN)
				if err := run(m, 400); err != nil {
					t.Logf("caught with seed %d: %v", seed, err)
					return
				}
			}
			t.Error("not caught in 4000 runs")
		})
	}
}

// decideByMinority accepts one receipt less than a majority.
func decideByMinority(view group.View, p fleet.Position) group.CommitDecision {
	for _, s := range view.Servers {
		for _, r := range s.Receipts {
			if r.Position.Term == p.Term && r.Position.Log >= p.Log {
				return group.Committed
			}
		}
	}
	return group.DecideCommit(view, p)
}

// decideEarly decides by the fork point of a term that is not established.
func decideEarly(view group.View, p fleet.Position) group.CommitDecision {
	if d := group.DecideCommit(view, p); d != group.Pending || view.Term <= p.Term || view.History.Contains(p) {
		return d
	}
	return group.NotRun
}

// decideWithLaterTerms takes a term as established when a majority ends in it
// or any later one, whether or not the later logs contain it.
func decideWithLaterTerms(view group.View, p fleet.Position) group.CommitDecision {
	if d := group.DecideCommit(view, p); d != group.Pending {
		return d
	}
	for _, s := range view.Servers {
		term, n := s.Status.Log.Term, 0
		for _, other := range view.Servers {
			if other.Status.Log.Term >= term {
				n++
			}
		}
		if term > p.Term && n >= view.Majority() && !s.Status.History.Contains(p) {
			return group.NotRun
		}
	}
	return group.Pending
}

// decideWithoutPromises counts each log that contains the position, whichever
// primary it was received from.
func decideWithoutPromises(view group.View, p fleet.Position) group.CommitDecision {
	n := 0
	for _, s := range view.Servers {
		if s.Status.History.Contains(p) && s.Status.Log.Log >= p.Log {
			n++
		}
	}
	if n >= view.Majority() {
		return group.Committed
	}
	return group.DecideCommit(view, p)
}
