package usage_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/feed"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/usage"
)

// TestMain sets a fixed seed for the property test, so that its result is reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261206", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	modelTick = 100 * time.Millisecond
	// troubledTicks is the number of ticks with faults, and quietTicks that of the ticks
	// after them, in which all windows must be reported.
	troubledTicks, quietTicks = 600, 400
)

var modelSchedule = usage.Schedule{Late: 10 * time.Second, Length: 5 * time.Second}

// modelFaults are deliberate faults in the execution of the holder's steps that the model
// must detect.
type modelFaults struct {
	// assumeWritten takes a write without a response for applied.
	assumeWritten bool
	// ignoreConflict takes a rejected write for applied.
	ignoreConflict bool
	// overwrite writes the ledger without its condition.
	overwrite bool
	// forgetPending ignores the reports that an earlier holder has fixed.
	forgetPending bool
	// mergeAgain sends the counts that are in the store now.
	mergeAgain bool
	// keepLeading reports without looking at the lease of the leader.
	keepLeading bool
	// restartLedger begins with a new ledger after each change of holder.
	restartLedger bool
}

// model simulates the store, the platform's endpoint, and instances of which one reports.
// Calls are delayed, lost or take effect without a response, and instances pause.
type model struct {
	err    error
	faults modelFaults
	now    time.Time
	rng    *rand.Rand
	quiet  bool

	ledger         *usage.Ledger
	ledgerRevision feed.Revision
	rows           map[string]usage.StoredRow
	leader         primacy.Leader
	leaderRevision feed.Revision

	nodes []*modelNode
	// lateCalls are writes that were given up before they arrived.
	lateCalls []*modelNode
	// endpointDownUntil is when the endpoint accepts reports again.
	endpointDownUntil time.Time
	// first are the counts of the first report of each window, and accepted the windows
	// with a response that was received.
	first        map[usage.Window]usage.Counts
	lastToken    primacy.Token
	tokenHolders map[primacy.Token]fleet.InstanceID
	// lastCalls are the times of the last call of each holder, and lastHolder made the
	// last call.
	lastCalls  map[fleet.InstanceID]time.Time
	lastHolder fleet.InstanceID
	changes    int
	repeats    int
}

// modelNode is one instance.
type modelNode struct {
	counter        *usage.Counter
	cutUntil       time.Time
	holder         *usage.Holder
	leaderRevision feed.Revision
	leadership     *primacy.Leadership
	name           fleet.InstanceID
	pausedUntil    time.Time
	// call is the call under way, or nil.
	call    *modelCall
	run     usage.Run
	sinceAt time.Time
}

// modelCall is a call of a node.
type modelCall struct {
	applied  bool
	conflict bool
	doneAt   time.Time
	effectAt time.Time
	lost     bool
	read     func()
	revision feed.Revision
	sentAt   time.Time
	step     usage.Step
	took     bool
	token    primacy.Token
}

func newModel(seed uint64, faults modelFaults) *model {
	m := &model{
		faults: faults, now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 0)), rows: map[string]usage.StoredRow{}, ledgerRevision: 0,
		first: map[usage.Window]usage.Counts{}, tokenHolders: map[primacy.Token]fleet.InstanceID{}, lastCalls: map[fleet.InstanceID]time.Time{},
	}
	for id := range 3 {
		m.nodes = append(m.nodes, m.newNode(fleet.InstanceID(fmt.Sprintf("i%d", id))))
	}
	return m
}

func (m *model) newNode(name fleet.InstanceID) *modelNode {
	run := usage.Run{Epoch: fleet.Epoch(m.rng.Uint64()), Instance: name}
	return &modelNode{
		counter: usage.NewCounter(run), holder: usage.NewHolder(modelSchedule), leadership: primacy.NewLeadership(name, run.Epoch),
		name: name, run: run, sinceAt: m.now,
	}
}

func (m *model) chance(percent int) bool { return !m.quiet && m.rng.IntN(100) < percent }

func (m *model) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf(format, args...)
	}
}

// delay returns a random delay of a call, which is short while there are no faults.
func (m *model) delay(most time.Duration) time.Duration {
	if m.quiet {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(most)))
}

// run runs the model and returns the first violation.
func (m *model) run() error {
	start := modelSchedule.Window(m.now)
	for tick := range troubledTicks + quietTicks {
		m.now = m.now.Add(modelTick)
		m.quiet = tick >= troubledTicks
		if m.chance(1) {
			m.endpointDownUntil = m.now.Add(m.delay(9 * time.Second))
		}
		for _, late := range m.lateCalls {
			m.applyCall(late)
		}
		for index, node := range m.nodes {
			if m.chance(1) && m.chance(30) {
				m.nodes[index] = m.newNode(node.name)
				continue
			}
			m.disturb(node)
			if !m.now.Before(node.pausedUntil) {
				m.step(node)
			}
			m.applyCall(node)
		}
		if m.err != nil {
			return m.err
		}
	}
	for window := start; modelSchedule.Due(window).Before(m.now); window++ {
		if _, reported := m.first[window]; !reported {
			m.fail("window %d was not reported", window)
		}
	}
	return m.err
}

// disturb pauses a node, or cuts it off from the store.
func (m *model) disturb(node *modelNode) {
	if m.quiet {
		node.pausedUntil, node.cutUntil = time.Time{}, time.Time{}
		return
	}
	if m.rng.IntN(80) == 0 {
		node.pausedUntil = m.now.Add(m.delay(8 * time.Second))
	}
	if m.rng.IntN(80) == 0 {
		node.cutUntil = m.now.Add(m.delay(9 * time.Second))
	}
}

// step lets a node count, write its row, renew its leadership and report.
func (m *model) step(node *modelNode) {
	reaches := !m.now.Before(node.cutUntil)
	window := modelSchedule.Window(m.now)
	node.counter.Advance(window)
	node.counter.Add(window, "w", 1)
	if m.chance(20) {
		// The response to a statement of the last window is late.
		node.counter.Add(window-1, "w", 1)
	}
	if reaches {
		m.renewLeadership(node)
	}
	if reaches && m.rng.IntN(4) == 0 {
		// The rows change all the time, so that each read gives other counts.
		key := fmt.Sprint(node.run)
		m.rows[key] = usage.StoredRow{Key: key, Row: node.counter.Row(false)}
	}
	token, leading := node.leadership.Token(m.now)
	if m.faults.keepLeading && token != 0 && node.leadership.Holder() == node.name {
		leading = true
	}
	if node.call != nil {
		m.finishCall(node)
		return
	}
	step := node.holder.Next(usage.Situation{Leading: leading, Members: m.members(), Now: m.now, Token: token, TrueNow: m.now})
	if step.Kind == usage.StepNone {
		return
	}
	node.call = &modelCall{doneAt: m.now.Add(m.delay(time.Second)), lost: m.chance(20), sentAt: m.now, step: step, token: token}
	// A call arrives, if it does, before the lease of the leader ends.
	node.call.effectAt = m.now.Add(m.delay(900 * time.Millisecond))
	// A node that is cut off from the store may still reach the endpoint.
	node.call.took = (!reaches && step.Kind != usage.StepSend) || m.chance(10)
	m.applyCall(node)
}

func (m *model) members() []usage.Member {
	var members []usage.Member
	for _, node := range m.nodes {
		members = append(members, usage.Member{From: node.sinceAt, Run: node.run, Until: m.now.Add(time.Second)})
	}
	return members
}

func (m *model) renewLeadership(node *modelNode) {
	if node.leaderRevision != m.leaderRevision || m.leaderRevision == 0 {
		node.leadership.Observe(m.now, m.leader)
		node.leaderRevision = m.leaderRevision
	}
	leader, due := node.leadership.Next(m.now)
	if !due {
		return
	}
	m.leader = leader
	m.leaderRevision++
	node.leaderRevision = m.leaderRevision
	node.leadership.WriteSucceeded(m.now, leader)
}

// applyCall lets a call take effect when it arrives.
func (m *model) applyCall(node *modelNode) {
	call := node.call
	if call == nil || call.took || m.now.Before(call.effectAt) {
		return
	}
	call.took = true
	switch call.step.Kind {
	case usage.StepFix:
		if call.step.Revision != m.ledgerRevision && !m.faults.overwrite {
			call.conflict = true
			return
		}
		m.ledgerRevision++
		ledger := call.step.Ledger
		m.ledger, call.revision, call.applied = &ledger, m.ledgerRevision, true
	case usage.StepRead:
		ledger, revision, rows := m.ledger, m.ledgerRevision, m.storedRows()
		if m.faults.forgetPending && ledger != nil {
			ledger = &usage.Ledger{Next: ledger.Next}
		}
		if m.faults.restartLedger {
			ledger = nil
		}
		call.applied = true
		call.read = func() { node.holder.ReadDone(call.sentAt, ledger, revision, rows) }
	case usage.StepSend:
		m.receive(node, call)
	case usage.StepNone:
	}
}

func (m *model) storedRows() []usage.StoredRow {
	var rows []usage.StoredRow
	for _, row := range m.rows {
		rows = append(rows, row)
	}
	return rows
}

// receive is the platform's endpoint. It checks the rules of the reports.
func (m *model) receive(node *modelNode, call *modelCall) {
	if m.now.Before(m.endpointDownUntil) {
		return
	}
	report := call.step.Report
	if m.faults.mergeAgain {
		report.Counts = usage.Counts{}
		for _, row := range m.rows {
			report.Counts.Add(row.Row.Counts[report.Window])
		}
	}
	if known, repeated := m.first[report.Window]; repeated {
		m.repeats++
		if !maps.Equal(known, report.Counts) {
			m.fail("window %d was reported with %v and then %v", report.Window, known, report.Counts)
		}
	} else {
		m.first[report.Window] = report.Counts
	}
	if call.token < m.lastToken {
		m.fail("token %d was sent after %d", call.token, m.lastToken)
	}
	m.lastToken = call.token
	if holder, known := m.tokenHolders[call.token]; known && holder != node.name {
		m.fail("%s and %s reported with token %d", holder, node.name, call.token)
	}
	m.tokenHolders[call.token] = node.name
	if m.lastHolder != node.name {
		m.changes++
		if last, known := m.lastCalls[node.name]; known && m.now.Sub(last) < 3*time.Second {
			m.fail("%s, %s and again %s reported within %v", node.name, m.lastHolder, node.name, m.now.Sub(last))
		}
		m.lastHolder = node.name
	}
	m.lastCalls[node.name] = m.now
	call.applied = !m.chance(10)
}

// finishCall passes the result of a call to the holder, once it is known.
func (m *model) finishCall(node *modelNode) {
	call := node.call
	if m.now.Before(call.doneAt) {
		return
	}
	answered := call.took && !call.lost && (call.applied || call.conflict)
	switch call.step.Kind {
	case usage.StepFix:
		switch {
		case answered && call.applied, m.faults.assumeWritten && !answered, m.faults.ignoreConflict && call.conflict:
			// The revision is zero without a response or after a conflict.
			node.holder.FixDone(call.step, call.revision)
		default:
			node.holder.FixFailed(m.now)
		}
	case usage.StepRead:
		if answered && call.read != nil {
			call.read()
		} else {
			node.holder.ReadFailed(m.now)
		}
	case usage.StepSend:
		node.holder.SendDone(m.now, call.step.Report.Window, answered && call.applied)
	case usage.StepNone:
	}
	if call.took {
		node.call = nil
		return
	}
	if call.step.Kind == usage.StepFix {
		// The call was given up before it arrived, and may take effect much later.
		late := *call
		most := 3 * time.Second
		if m.chance(50) {
			most = 20 * time.Second
		}
		late.effectAt = m.now.Add(m.delay(most))
		m.lateCalls = append(m.lateCalls, &modelNode{call: &late, holder: node.holder, name: node.name})
	}
	node.call = nil
}

// TestHolderModel guards against two reports of one window with different counts, a report
// with an older token or by a holder that has just been replaced, and a window that is
// never reported. Holders pause, restart, are cut off and lose responses.
func TestHolderModel(t *testing.T) {
	changes, repeats := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), modelFaults{})
		if err := m.run(); err != nil {
			t.Fatal(err)
		}
		changes, repeats = changes+m.changes, repeats+m.repeats
	})
	if changes < 100 || repeats < 100 {
		t.Errorf("%d changes of holder and %d repeated reports in all runs", changes, repeats)
	}
}

// TestHolderModelFindsFaults guards against a model that can't fail.
func TestHolderModelFindsFaults(t *testing.T) {
	const seeds = 1000
	for name, faults := range map[string]modelFaults{
		"counts merged again":             {mergeAgain: true},
		"fixed reports forgotten":         {forgetPending: true},
		"leader without a valid lease":    {keepLeading: true},
		"ledger begun anew":               {restartLedger: true, overwrite: true},
		"ledger overwritten":              {overwrite: true},
		"lost write taken for applied":    {assumeWritten: true},
		"rejected write taken as applied": {ignoreConflict: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if err := newModel(seed, faults).run(); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("the model did not detect the fault in %d runs", seeds)
		})
	}
}
