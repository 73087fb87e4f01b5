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

// rules are the rules that the evidence model runs with. Tests replace some of
// them by faulty ones to check that the model detects the fault.
type rules struct {
	// decide decides the outcome of a write.
	decide func(group.View, fleet.Position) group.CommitDecision
	// ignoreTerm makes promoters choose the longest log regardless of terms.
	ignoreTerm bool
	name       string
	quorum     int
	// secondInTerm lets a promoter promote a second server in one term.
	secondInTerm bool
}

// modelPromoter is a promotion attempt in one term.
type modelPromoter struct {
	grants  []*modelServer
	logEnds []fleet.Position
	chosen  *modelServer
	term    fleet.Term
}

// evidenceModel runs servers, promoters and observers in random order, and checks
// that decisions on commits are never contradicted.
type evidenceModel struct {
	// committed maps each committed position to the term in which that was
	// shown. The log of every primary of a later term must contain the entry. A
	// primary of an earlier term that lacks it can still be promoted, but its
	// term can never be established.
	committed           map[fleet.Position]fleet.Term
	delayedObservations []group.Observation
	// committedTerms maps the log position of each committed entry to the entry's
	// term.
	committedTerms map[fleet.LogPosition]fleet.Term
	// notRun maps each position that was decided not run to the newest term that
	// was known to be established then, or to its own term if that is newer.
	notRun      map[fleet.Position]fleet.Term
	now         time.Time
	randomIndex func(n int) int
	promoters   []modelPromoter
	rules       rules
	servers     []*modelServer
	views       []group.View
	written     []fleet.Position
}

func newEvidenceModel(size int, r rules, randomIndex func(n int) int) *evidenceModel {
	m := &evidenceModel{
		committed: map[fleet.Position]fleet.Term{}, committedTerms: map[fleet.LogPosition]fleet.Term{}, notRun: map[fleet.Position]fleet.Term{}, now: time.Unix(1000, 0),
		randomIndex: randomIndex, promoters: make([]modelPromoter, 3), rules: r, servers: newModelGroup(size),
	}
	m.views = []group.View{modelView(m.servers), modelView(m.servers)}
	return m
}

// newSafeModel returns a model with the correct rules.
func newSafeModel(size int, randomIndex func(n int) int) *evidenceModel {
	return newEvidenceModel(size, rules{decide: group.DecideCommit, quorum: majority(size)}, randomIndex)
}

func (m *evidenceModel) randomServer() *modelServer {
	return m.servers[m.randomIndex(len(m.servers))]
}

func (m *evidenceModel) step() error {
	m.now = m.now.Add(time.Millisecond)
	switch m.randomIndex(10) {
	case 0, 1:
		m.write()
	case 2, 3:
		from, to := m.randomServer(), m.randomServer()
		if from != to {
			from.replicate(to, 1+m.randomIndex(len(from.log)))
		}
	case 4, 5:
		return m.advancePromoter(m.randomIndex(len(m.promoters)))
	case 6:
		m.delayedObservations = append(m.delayedObservations, m.observation())
	case 7:
		if n := len(m.delayedObservations); n > 0 {
			return m.observe(m.randomIndex(len(m.views)), m.delayedObservations[m.randomIndex(n)])
		}
	default:
		return m.observe(m.randomIndex(len(m.views)), m.observation())
	}
	return nil
}

func (m *evidenceModel) write() {
	if position, ok := m.randomServer().write(); ok {
		m.written = append(m.written, position)
	}
}

func (m *evidenceModel) observation() group.Observation {
	return m.randomServer().observation(m.now, m.now)
}

// advancePromoter advances one promoter: it fences a server, or promotes one if a
// quorum of servers is fenced.
func (m *evidenceModel) advancePromoter(i int) error {
	p := &m.promoters[i]
	holder := fleet.InstanceID(fmt.Sprint("i", i))
	if p.term == 0 || m.randomIndex(12) == 0 {
		*p = modelPromoter{term: p.term}
		for _, s := range m.servers {
			p.term = max(p.term, s.promised)
		}
		p.term++
	}
	if len(p.grants) < m.rules.quorum {
		s := m.randomServer()
		for _, known := range p.grants {
			if known == s {
				return nil
			}
		}
		if s.fence(p.term, holder) {
			p.grants, p.logEnds = append(p.grants, s), append(p.logEnds, s.position(len(s.log)))
		}
		return nil
	}
	if p.chosen != nil && !m.rules.secondInTerm {
		*p = modelPromoter{}
		return nil
	}
	best := 0
	for j, end := range p.logEnds {
		better := end.Compare(p.logEnds[best]) > 0
		if m.rules.ignoreTerm {
			better = end.Log > p.logEnds[best].Log
		}
		if better && (p.chosen == nil || p.grants[j] != p.chosen) {
			best = j
		}
	}
	if p.chosen != nil {
		best = m.randomIndex(len(p.grants))
	}
	p.chosen = p.grants[best]
	if p.chosen.promote(p.term, holder) != nil {
		return nil
	}
	return m.checkPromoted(p.chosen)
}

func (m *evidenceModel) checkPromoted(s *modelServer) error {
	for p, committedIn := range m.committed {
		if s.term > committedIn && !s.contains(p) {
			return fmt.Errorf("committed %v is missing on the primary of term %d", p, s.term)
		}
	}
	for p, notRunSince := range m.notRun {
		if s.term > notRunSince && s.contains(p) {
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
			if err := m.recordCommitted(p, decidedBy(m.views[i], p)); err != nil {
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
	return m.checkEstablished(m.views[i].EstablishedHistory)
}

// checkEstablished checks the history of an established term against all
// decisions.
func (m *evidenceModel) checkEstablished(established fleet.History) error {
	for p := range m.committed {
		if p.Term < established.LastTerm() && !established.Contains(p) {
			return fmt.Errorf("committed %v is missing from the established history %v", p, established)
		}
	}
	for p := range m.notRun {
		if p.Term < established.LastTerm() && established.Contains(p) {
			return fmt.Errorf("%v was decided not run but is in the established history %v", p, established)
		}
	}
	return nil
}

// decidedBy returns the term in which a position is shown to be committed: its own
// if a majority received it there, otherwise the newest established term.
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

// recordCommitted records that a position was decided committed, and fails if
// another entry at the same log position was decided committed too.
func (m *evidenceModel) recordCommitted(p fleet.Position, decidedIn fleet.Term) error {
	if known, found := m.committed[p]; !found || decidedIn < known {
		m.committed[p] = decidedIn
	}
	if term, found := m.committedTerms[p.Log]; found && term != p.Term {
		return fmt.Errorf("%v and %d/%d have the same log position and were both decided committed", p, term, p.Log)
	}
	m.committedTerms[p.Log] = p.Term
	return nil
}

func runModel(m *evidenceModel, steps int) error {
	for range steps {
		if err := m.step(); err != nil {
			return err
		}
	}
	return nil
}

func majority(size int) int { return size/2 + 1 }

// TestDecideCommitIsFinal guards against a write that is acknowledged and then
// lost, and against one that is reported as not run and appears later.
func TestDecideCommitIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 4, 5}).Draw(t, "size")
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 1))
		m := newSafeModel(size, random.IntN)
		if err := runModel(m, 400); err != nil {
			t.Fatal(err)
		}
	})
}

// TestDecideCommitDecides guards against a model in which hardly any write is
// decided.
func TestDecideCommitDecides(t *testing.T) {
	committed, notRun := 0, 0
	for seed := range uint64(50) {
		m := newSafeModel(3, rand.New(rand.NewPCG(seed, 2)).IntN)
		if err := runModel(m, 400); err != nil {
			t.Fatal(err)
		}
		committed, notRun = committed+len(m.committed), notRun+len(m.notRun)
	}
	if committed < 100 || notRun < 100 {
		t.Errorf("decided %d committed and %d not run in 50 runs, want at least 100 each", committed, notRun)
	}
}

// TestEvidenceModelCatchesFaults guards against a model that does not detect wrong
// rules. Each set of faulty rules must fail within a fixed number of seeded runs.
func TestEvidenceModelCatchesFaults(t *testing.T) {
	for _, mutant := range []rules{
		{name: "ChoiceByPositionWithoutTerm", decide: group.DecideCommit, ignoreTerm: true, quorum: 2},
		{name: "EstablishedByLaterTerms", decide: decideWithLaterTerms, quorum: 2},
		{name: "FenceOfMinority", decide: group.DecideCommit, quorum: 1},
		{name: "MinorityEvidence", decide: decideByMinority, quorum: 2},
		{name: "NotRunBeforeEstablished", decide: decideBeforeEstablished, quorum: 2},
		{name: "PromisesIgnored", decide: decideWithoutPromises, quorum: 2},
		{name: "SecondServerInOneTerm", decide: group.DecideCommit, quorum: 2, secondInTerm: true},
	} {
		t.Run(mutant.name, func(t *testing.T) {
			for seed := range uint64(4000) {
				m := newEvidenceModel(3, mutant, rand.New(rand.NewPCG(seed, 3)).IntN)
				if err := runModel(m, 400); err != nil {
					t.Logf("fault detected with seed %d: %v", seed, err)
					return
				}
			}
			t.Error("fault not detected in 4000 runs")
		})
	}
}

// decideByMinority is a faulty rule that takes a single receipt as enough.
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

// decideBeforeEstablished is a faulty rule that decides by the fork point of a
// term that is not established yet.
func decideBeforeEstablished(view group.View, p fleet.Position) group.CommitDecision {
	if d := group.DecideCommit(view, p); d != group.Pending || view.Term <= p.Term || view.History.Contains(p) {
		return d
	}
	return group.NotRun
}

// decideWithLaterTerms is a faulty rule that takes a term as established when the
// logs of a majority end in it or in any later term, even if the later logs do not
// contain it.
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

// decideWithoutPromises is a faulty rule that counts each log that contains the
// position, regardless of which primary it was received from.
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
