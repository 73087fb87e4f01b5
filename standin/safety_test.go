package standin_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/standin"
)

// groupModel runs faults, promotions and writes on a group, and records the writes
// that a majority of the servers received.
type groupModel struct {
	ctx              context.Context
	group            *standin.Group
	confirmedWrites  []string
	serverWithoutLog *standin.Server
	lastRow          int
	term             fleet.Term
	fatalf           func(format string, args ...any)
}

// modelStep is one step of the model.
type modelStep struct {
	// Order selects the servers. Steps on a single server use the first.
	Order []int
	Step  string
}

// modelRuns is the number of runs, each with its own fixed seed. It is small enough
// for the test to take only a few seconds with the race detector.
const modelRuns = 30

// TestConfirmedWritesSurvive guards against a stand-in group that loses a
// write after a majority received it, or whose servers end up with different
// rows. No proxy could be correct with such a group.
func TestConfirmedWritesSurvive(t *testing.T) {
	step := rapid.Custom(func(t *rapid.T) modelStep {
		return modelStep{
			Order: rapid.Permutation([]int{0, 1, 2}).Draw(t, "order"),
			Step:  rapid.SampledFrom([]string{"Crash", "Cut", "Heal", "Lose", "Promote", "Write", "Write"}).Draw(t, "step"),
		}
	})
	for seed := range modelRuns {
		steps := rapid.SliceOfN(step, 5, 20).Example(seed)
		t.Run(fmt.Sprintf("Seed%d", seed), func(t *testing.T) {
			runModel(t, steps)
		})
	}
}

func runModel(t *testing.T, steps []modelStep) {
	t.Helper()
	g := newGroup(t, standin.Options{ReceiveDelay: 50 * time.Microsecond})
	execOnPrimary(t, g, schema)
	m := &groupModel{ctx: testContext(t), fatalf: t.Fatalf, group: g, term: 1}
	for _, step := range steps {
		s, second := g.Servers()[step.Order[0]], g.Servers()[step.Order[1]]
		switch step.Step {
		case "Crash":
			s.Crash()
			s.Restart(true)
		case "Cut":
			g.PartitionServer(s.ID(), true)
		case "Heal":
			g.PartitionServer(s.ID(), false)
		case "Lose":
			m.restartWithoutLog(s)
		case "Promote":
			m.promote([]*standin.Server{s, second})
		case "Write":
			m.write(s)
		}
	}
	m.checkConverged()
}

// restartWithoutLog crashes a server and restarts it without its log. Only one
// server may lose its log: a group of three can lose acknowledged writes if two do.
func (m *groupModel) restartWithoutLog(s *standin.Server) {
	if m.serverWithoutLog != nil {
		return
	}
	m.serverWithoutLog = s
	s.Crash()
	s.Restart(false)
}

// promote fences a majority of the servers and promotes the one whose log ends at
// the highest position. It reports whether all servers granted the promise.
func (m *groupModel) promote(majority []*standin.Server) bool {
	m.term++
	var best *standin.Server
	var end fleet.Position
	for _, s := range majority {
		granted, status := s.Fence(m.ctx, m.term, "a", 0)
		if !granted {
			return false
		}
		if best == nil || status.Log.Compare(end) > 0 {
			best, end = s, status.Log
		}
	}
	if _, err := best.Promote(m.term, "a"); err != nil {
		m.fatalf("promotion of %s: %v", best.ID(), err)
	}
	return true
}

// write inserts a row if the server is a primary, and records the row if a
// majority received it.
func (m *groupModel) write(s *standin.Server) {
	if s.Status().Role != group.RolePrimary {
		return
	}
	m.lastRow++
	name := fmt.Sprintf("row %03d", m.lastRow)
	config, err := pgx.ParseConfig("postgres://proxy@" + s.Addr() + "/orders?sslmode=disable")
	if err != nil {
		m.fatalf("%v", err)
	}
	config.DefaultQueryExecMode = simpleMode
	conn, err := pgx.ConnectConfig(m.ctx, config)
	if err != nil {
		m.fatalf("connect to %s: %v", s.ID(), err)
	}
	defer conn.Close(m.ctx)
	if _, err := conn.Exec(m.ctx, "INSERT INTO tabs (name) VALUES ($1)", name); err != nil {
		return
	}
	position, err := fleet.ParsePosition(conn.PgConn().ParameterStatus("group_position"))
	if err != nil {
		m.fatalf("%v", err)
	}
	if m.isConfirmed(position) {
		m.confirmedWrites = append(m.confirmedWrites, name)
	}
}

// isConfirmed waits for 5 ms at most and reports whether a majority, which is two
// servers, received the position.
func (m *groupModel) isConfirmed(p fleet.Position) bool {
	ctx, cancel := context.WithTimeout(m.ctx, 5*time.Millisecond)
	defer cancel()
	count := 0
	for _, s := range m.group.Servers() {
		status := s.Wait(ctx, p)
		if status.Log.Log >= p.Log && status.History.Contains(p) {
			count++
		}
	}
	return count >= 2
}

// checkConverged ends all partitions, promotes a primary, and checks that all
// servers have the same rows and that no confirmed write is lost.
func (m *groupModel) checkConverged() {
	for _, s := range m.group.Servers() {
		m.group.PartitionServer(s.ID(), false)
	}
	// The servers that kept their logs are a majority and grant promises.
	if !m.promote(slices.DeleteFunc(m.group.Servers(), func(s *standin.Server) bool { return s == m.serverWithoutLog })) {
		m.fatalf("a server that kept its log granted no promise")
	}
	if err := m.group.WaitApplied(m.ctx); err != nil {
		m.fatalf("%v", err)
	}
	var first []string
	for i, s := range m.group.Servers() {
		rows := m.rows(s)
		if i == 0 {
			first = rows
		}
		if diff := cmp.Diff(first, rows); diff != "" {
			m.fatalf("rows of the first server and %s (-first +%s):\n%s", s.ID(), s.ID(), diff)
		}
	}
	for _, name := range m.confirmedWrites {
		if !slices.Contains(first, name) {
			m.fatalf("confirmed write %q is lost; rows are %q", name, first)
		}
	}
}

func (m *groupModel) rows(s *standin.Server) []string {
	conn, err := pgx.Connect(m.ctx, "postgres://proxy@"+s.Addr()+"/orders?sslmode=disable")
	if err != nil {
		m.fatalf("connect to %s: %v", s.ID(), err)
	}
	defer conn.Close(m.ctx)
	result, err := conn.Query(m.ctx, "SELECT name FROM tabs ORDER BY name")
	if err != nil {
		m.fatalf("%v", err)
	}
	rows, err := pgx.CollectRows(result, pgx.RowTo[string])
	if err != nil {
		m.fatalf("%v", err)
	}
	return rows
}
