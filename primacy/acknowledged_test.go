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

// replicationModel is a group whose replicas crash, return, lag, join and lose their
// registration while its primary acknowledges commits. Servers are indexed in the order in which they joined; the
// first one is the primary.
type replicationModel struct {
	acknowledged fleet.LogPosition
	// forgetMissing drops servers without a registration from the record, which the model
	// must detect as a fault.
	forgetMissing bool
	random        *rand.Rand
	record        primacy.Record
	servers       []modelServer
	syncReplicas  int
}

type modelServer struct {
	down, gone, registered bool
	log                    fleet.LogPosition
}

func newReplicationModel(random *rand.Rand, forgetMissing bool) *replicationModel {
	m := &replicationModel{forgetMissing: forgetMissing, random: random, syncReplicas: 1 + random.IntN(2)}
	m.record = primacy.Record{Generation: 1, Phase: primacy.PhaseServing, Primary: "s0", Term: 1}
	for range 3 + random.IntN(2) {
		m.servers = append(m.servers, modelServer{log: 1, registered: true})
	}
	m.updateRecord()
	return m
}

func serverID(i int) fleet.ServerID { return fleet.ServerID(fmt.Sprint("s", i)) }

// situation returns the leader's view, in which servers that are up answer, except for a
// share of them.
func (m *replicationModel) situation(silentShare float64) primacy.Situation {
	s := primacy.Situation{
		GenerationSeenAt: now.Add(-time.Second), Members: []primacy.Member{{Left: 2, Live: true}},
		Record: m.record, SyncReplicas: m.syncReplicas,
	}
	for i, server := range m.servers {
		view := primacy.Server{Address: fmt.Sprint(i), Gone: server.gone, ID: serverID(i), Registered: server.registered, Role: primacy.RoleReplica}
		if i == 0 {
			view.Role = primacy.RolePrimary
		}
		if !server.down && m.random.Float64() >= silentShare {
			view.Position, view.StatusAt, view.Term = fleet.Position{Log: server.log, Term: 1}, now, 1
		}
		s.Servers = append(s.Servers, view)
	}
	return s
}

// updateRecord lets the leader update the record's servers.
func (m *replicationModel) updateRecord() {
	if step := primacy.Decide(now, m.situation(0)); step.Kind == primacy.StepWrite {
		m.record = step.Record
	}
	if m.forgetMissing {
		kept := m.record
		kept.Servers = nil
		for i, server := range m.servers {
			if server.registered {
				kept.Servers = append(kept.Servers, primacy.GroupServer{Address: fmt.Sprint(i), ID: serverID(i)})
			}
		}
		m.record = kept
	}
}

// commit adds a commit, which some of the running replicas receive. It is acknowledged if
// there are enough of them.
func (m *replicationModel) commit() {
	m.servers[0].log++
	received := 0
	for i := range m.servers[1:] {
		if server := &m.servers[1+i]; !server.down && m.random.IntN(2) == 0 {
			server.log = m.servers[0].log
			received++
		}
	}
	if received >= m.syncReplicas {
		m.acknowledged = m.servers[0].log
	}
}

// step lets a replica crash, lose its registration, return or join, or the primary commit.
func (m *replicationModel) step() {
	server := &m.servers[1+m.random.IntN(len(m.servers)-1)]
	switch m.random.IntN(8) {
	case 0:
		server.down = true
	case 1:
		server.registered = false
	case 2:
		server.gone = !server.registered && server.down
	case 3:
		*server = modelServer{log: server.log, registered: true}
	case 4:
		if len(m.servers) < 6 {
			m.servers = append(m.servers, modelServer{registered: true})
			m.updateRecord()
		}
	case 5, 6:
		m.commit()
	default:
		m.updateRecord()
	}
}

// run lets the primary crash after some steps, and returns an error if the server that is
// chosen then lacks an acknowledged commit. It reports whether one was chosen.
func (m *replicationModel) run() (promoted bool, err error) {
	for range 40 {
		m.step()
	}
	m.servers[0].down = true
	m.record.Generation, m.record.Phase, m.record.Reason = 2, primacy.PhaseChanging, primacy.ReasonFailure
	step := primacy.Decide(now, m.situation(0.2))
	if step.Record.Target == "" {
		return false, nil
	}
	for i, server := range m.servers {
		if serverID(i) == step.Record.Target && server.log < m.acknowledged {
			return true, fmt.Errorf("%s has commits up to %d, but %d was acknowledged; record %+v, servers %+v", step.Record.Target, server.log, m.acknowledged, m.record, m.servers)
		}
	}
	return true, nil
}

// TestPromotionKeepsAcknowledgedCommits guards against a promotion that loses a commit
// which enough replicas had received, because some of them are missing or were replaced.
func TestPromotionKeepsAcknowledgedCommits(t *testing.T) {
	promotions := 0
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		promoted, err := newReplicationModel(random, false).run()
		if err != nil {
			t.Fatal(err)
		}
		if promoted {
			promotions++
		}
	})
	if promotions == 0 {
		t.Error("no server was chosen in any run")
	}
}

// TestReplicationModelFindsFaults guards against a model that can't fail.
func TestReplicationModelFindsFaults(t *testing.T) {
	const seeds = 1000
	for seed := range uint64(seeds) {
		if _, err := newReplicationModel(rand.New(rand.NewPCG(seed, 0)), true).run(); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return
		}
	}
	t.Errorf("the model did not detect the fault in %d runs", seeds)
}
