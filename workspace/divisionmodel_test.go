package workspace_test

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// The times of package gateway and primacy, by which instances see each other.
const (
	modelBeat    = 2100 * time.Millisecond
	modelLook    = 1500 * time.Millisecond
	modelLease   = 4500 * time.Millisecond
	modelSilence = 4700 * time.Millisecond
	modelTick    = 50 * time.Millisecond
	modelWindow  = 5 * time.Second
)

// modelRow is what the store holds of an instance.
type modelRow struct {
	at, since time.Time
	phase     workspace.Phase
}

// modelInstance is one instance. It acts only while it is neither dead nor
// paused, and reaches the store only while it is not cut off.
type modelInstance struct {
	division      *workspace.DistributedLimiter
	participation *workspace.Participation
	id            fleet.InstanceID

	cutUntil, deadUntil, deafUntil, pausedUntil time.Time

	nextBeat, nextLook time.Time
	presence, readAt   time.Time
	// since is from when the own row has been there without a gap.
	since time.Time
}

// divisionModel is a store, instances, and callers that ask each of them for
// more than a limit allows.
type divisionModel struct {
	admitted  []time.Time
	instances []*modelInstance
	limit     workspace.Limit
	rows      map[fleet.InstanceID]modelRow

	// Deliberate faults: parts of limits at once after joining, and admission
	// without a recent look at the rows.
	joinAtOnce, stale bool
}

func (i *modelInstance) acts(now time.Time) bool {
	return now.After(i.deadUntil) && now.After(i.pausedUntil)
}

// restart begins a new run that knows only its own row.
func (m *divisionModel) restart(i *modelInstance, now time.Time) {
	i.division, i.participation = workspace.NewDistributedLimiter(i.id), workspace.NewParticipation()
	i.nextBeat, i.nextLook = now, now
	i.presence, i.readAt, i.since = time.Time{}, time.Time{}, time.Time{}
	if row, found := m.rows[i.id]; found && now.Sub(row.at) < modelLease {
		i.presence, i.since = row.at, row.since
		i.participation.Resume(row.phase)
	}
}

// beat writes the own row.
func (m *divisionModel) beat(i *modelInstance, now time.Time) {
	if !i.presence.IsZero() && now.Sub(i.presence) >= modelLease {
		i.participation.Reset()
		i.readAt = time.Time{}
	}
	i.since = i.ownSince(now)
	phase, changed := i.participation.NextPhase()
	m.rows[i.id] = modelRow{at: now, since: i.since, phase: phase}
	i.participation.PhaseWritten(phase)
	i.presence = now
	if changed {
		i.nextLook = now.Add(modelTick)
	}
}

// ownSince returns since when the own row is there if it is written now.
func (i *modelInstance) ownSince(now time.Time) time.Time {
	if now.Sub(i.presence) < modelLease {
		return i.since
	}
	return now
}

func (m *divisionModel) step(i *modelInstance, now time.Time) {
	if now.After(i.cutUntil) {
		if !now.Before(i.nextLook) && now.After(i.deafUntil) {
			m.look(i, now)
		}
		if !now.Before(i.nextBeat) {
			i.nextBeat = now.Add(modelBeat)
			m.beat(i, now)
		}
	}
	until := i.presence
	if i.readAt.Before(until) && !m.stale {
		until = i.readAt
	}
	i.division.Renew(now, until.Add(modelLease))
}

func (m *divisionModel) look(i *modelInstance, now time.Time) {
	i.nextLook, i.readAt = now.Add(modelLook), now
	var others []workspace.Member
	for _, other := range m.instances {
		row, found := m.rows[other.id]
		if found && other != i && now.Sub(row.at) < modelSilence {
			others = append(others, workspace.Member{Age: now.Sub(row.since), Instance: other.id, Phase: row.phase})
		}
	}
	age := now.Sub(i.ownSince(now))
	i.participation.ObserveMembers(age, others)
	if _, changed := i.participation.NextPhase(); changed {
		i.nextBeat = now
	}
	own := workspace.Member{Age: age, Instance: i.id, Phase: i.participation.EffectivePhase()}
	if m.joinAtOnce {
		own.Phase = workspace.PhaseHolding
	}
	i.division.Divide(now, []workspace.Limit{m.limit}, append(others, own))
}

// ask has an instance admit one operation, from the pools if need be.
func (m *divisionModel) ask(i *modelInstance, now time.Time) {
	i.division.RecordDemand(now, m.limit.Workspace)
	if i.division.Admit(now, m.limit.Workspace).Admitted {
		m.admitted = append(m.admitted, now)
		return
	}
	for _, owner := range i.division.PoolOwners(now, m.limit.Workspace) {
		for _, other := range m.instances {
			if other.id != owner.Instance || !other.acts(now) {
				continue
			}
			if given, _ := other.division.TakeFromPool(now, m.limit.Workspace, 1); given > 0 {
				i.division.Add(now, m.limit.Workspace, given)
				if i.division.Admit(now, m.limit.Workspace).Admitted {
					m.admitted = append(m.admitted, now)
				}
				return
			}
		}
	}
}

// most returns the most operations that were admitted in a window.
func (m *divisionModel) most() int {
	most, first := 0, 0
	for last, at := range m.admitted {
		for at.Sub(m.admitted[first]) > modelWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// bound is the rule of the users' platform: a tenth more, and a slack of 20.
func (m *divisionModel) bound() float64 {
	return (m.limit.Rate*modelWindow.Seconds()+m.limit.Burst)*1.1 + 20
}

// modelFault begins at a time and lasts for a span.
type modelFault struct {
	at       time.Duration
	instance int
	kind     string
	lasts    time.Duration
}

const (
	modelSpan = 40 * time.Second
	// modelAsked is how often each instance is asked for in a tick: more than
	// the largest limit over two instances.
	modelAsked = 6
)

// run plays faults, which are in the order of their times.
func (m *divisionModel) run(instances int, faults []modelFault) {
	now := begin
	m.rows = map[fleet.InstanceID]modelRow{}
	for n := range instances {
		i := &modelInstance{id: fleet.InstanceID("i" + strconv.Itoa(n))}
		m.instances = append(m.instances, i)
		m.restart(i, now)
		i.nextLook = now.Add(time.Duration(n) * 100 * time.Millisecond)
	}
	for now.Before(begin.Add(modelSpan)) {
		now = now.Add(modelTick)
		for len(faults) > 0 && !now.Before(begin.Add(faults[0].at)) {
			m.begin(faults[0], now)
			faults = faults[1:]
		}
		for _, i := range m.instances {
			if !i.acts(now) {
				continue
			}
			if !i.deadUntil.IsZero() {
				i.deadUntil = time.Time{}
				m.restart(i, now)
			}
			m.step(i, now)
			for range modelAsked {
				m.ask(i, now)
			}
		}
	}
}

func (m *divisionModel) begin(fault modelFault, now time.Time) {
	i := m.instances[fault.instance%len(m.instances)]
	if !i.acts(now) {
		return
	}
	until := now.Add(fault.lasts)
	switch fault.kind {
	case "cut":
		i.cutUntil = until
	case "deaf":
		// The store refuses reads and takes writes.
		i.deafUntil = until
	case "kill":
		i.deadUntil = until
	case "leave":
		delete(m.rows, i.id)
		i.deadUntil = until
	case "pause":
		i.pausedUntil = until
	}
}

func drawFaults(t *rapid.T) []modelFault {
	var faults []modelFault
	at := 0
	for range rapid.IntRange(0, 60).Draw(t, "faults") {
		at += rapid.IntRange(0, 2000).Draw(t, "pause")
		faults = append(faults, modelFault{
			at:       time.Duration(at) * time.Millisecond,
			instance: rapid.IntRange(0, 8).Draw(t, "instance"),
			kind:     rapid.SampledFrom([]string{"cut", "deaf", "kill", "leave", "pause"}).Draw(t, "kind"),
			lasts:    time.Duration(rapid.IntRange(300, 9000).Draw(t, "milliseconds")) * time.Millisecond,
		})
	}
	return faults
}

func drawLimit(t *rapid.T) workspace.Limit {
	rate := rapid.Float64Range(2, 120).Draw(t, "rate")
	return workspace.Limit{Burst: rate * rapid.Float64Range(0.5, 2).Draw(t, "burst"), Rate: rate, Workspace: "w"}
}

// TestDivisionModel guards against a workspace that gets more than its limit
// while instances die, restart, leave, thaw and are cut off from the store,
// wholly or for reads.
func TestDivisionModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &divisionModel{limit: drawLimit(t)}
		m.run(rapid.IntRange(2, 9).Draw(t, "instances"), drawFaults(t))
		if got := m.most(); float64(got) > m.bound() {
			t.Fatalf("%d operations in %v, want at most %.0f of %+v", got, modelWindow, m.bound(), m.limit)
		}
	})
}

// TestDivisionModelFindsFaults guards against a model that can't fail.
func TestDivisionModelFindsFaults(t *testing.T) {
	// Eight instances join one that has been alone, which is deaf in the second
	// schedule.
	var joining, joiningDeaf []modelFault
	for n := range 8 {
		joining = append(joining, modelFault{instance: n + 1, kind: "leave", lasts: 15 * time.Second})
	}
	joiningDeaf = append(joiningDeaf, joining...)
	joiningDeaf = append(joiningDeaf, modelFault{at: 14 * time.Second, instance: 0, kind: "deaf", lasts: 20 * time.Second})
	for _, test := range []struct {
		name   string
		model  divisionModel
		faults []modelFault
		found  bool
	}{
		{name: "no fault", faults: joining},
		{name: "no fault, one deaf", faults: joiningDeaf},
		{name: "joins at once", model: divisionModel{joinAtOnce: true}, faults: joining, found: true},
		{name: "admits without a look", model: divisionModel{stale: true}, faults: joiningDeaf, found: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := test.model
			m.limit = workspace.Limit{Burst: 100, Rate: 100, Workspace: "w"}
			m.run(9, test.faults)
			if got := float64(m.most()) > m.bound(); got != test.found {
				t.Errorf("%d operations in %v of at most %.0f: exceeded %t, want %t", m.most(), modelWindow, m.bound(), got, test.found)
			}
		})
	}
}
