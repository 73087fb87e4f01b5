package group_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

const (
	choiceCentres   = 4
	choiceLocal     = 100 * time.Microsecond
	choicePoll      = 250 * time.Millisecond
	choiceRemote    = time.Millisecond
	choiceService   = 5 * time.Millisecond
	choiceSlots     = 3
	choiceTokenAge  = 500 * time.Millisecond
	choiceTokenPart = 0.25
)

// choiceSetting is one deployment in which the strategies are compared.
// Instances see only their own outstanding requests.
type choiceSetting struct {
	name      string
	instances int
	lag       time.Duration
	replicas  int
	// skewed draws 5% of the service times from a mean 21 times that of the rest.
	skewed bool
	// slow multiplies the service times of the first replica.
	slow float64
	// spread puts servers and instances into different data centres.
	spread bool
}

var choiceSettings = []choiceSetting{
	{name: "OneInstance", instances: 1, replicas: 2, slow: 1},
	{name: "Exponential", instances: 8, replicas: 2, slow: 1},
	{name: "Skewed", instances: 8, replicas: 2, skewed: true, slow: 1},
	{name: "DataCentres", instances: 8, replicas: 2, slow: 1, spread: true},
	{name: "SlowReplica", instances: 8, replicas: 2, slow: 3, spread: true},
	{name: "Lag", instances: 8, lag: 200 * time.Millisecond, replicas: 2, slow: 1, spread: true},
	{name: "EightReplicas", instances: 8, replicas: 8, slow: 1},
	{name: "EightReplicasOneInstance", instances: 1, replicas: 8, slow: 1},
	{name: "EightReplicasSkewed", instances: 8, replicas: 8, skewed: true, slow: 1},
}

// choiceEvent is the arrival of a request at a server or of its answer.
type choiceEvent struct {
	answer   bool
	at       time.Duration
	begun    time.Duration
	instance int
	server   int
	service  time.Duration
}

type choiceEvents []choiceEvent

func (e choiceEvents) Len() int           { return len(e) }
func (e choiceEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e choiceEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *choiceEvents) Push(x any)        { *e = append(*e, x.(choiceEvent)) }
func (e *choiceEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// choiceTrial runs one strategy in one setting. The arrivals and service times
// of a seed are the same for all strategies.
type choiceTrial struct {
	choiceSetting
	arrivals *rand.Rand
	chosen   *rand.Rand
	delays   []time.Duration
	events   choiceEvents
	free     [][choiceSlots]time.Duration
	loads    [][]group.Load
	now      time.Duration
	onReads  int
	polled   time.Duration
	rate     float64
	strategy group.Strategy
	views    []group.View
	waits    []time.Duration
}

func newChoiceTrial(setting choiceSetting, load float64, strategy group.Strategy) *choiceTrial {
	t := &choiceTrial{
		arrivals: rand.New(rand.NewPCG(1, 1)), choiceSetting: setting, chosen: rand.New(rand.NewPCG(2, 2)),
		free: make([][choiceSlots]time.Duration, setting.replicas+1), strategy: strategy,
	}
	capacity := choiceSlots * (float64(setting.replicas-1) + 1/setting.slow) / float64(choiceService)
	t.rate = load * capacity
	var members []group.Member
	var loads []group.Load
	for s := range setting.replicas + 1 {
		id := fleet.ServerID(rune('a' + s))
		member := group.Member{Server: id}
		if setting.spread {
			member.DataCentre = choiceCentre(s)
		}
		members = append(members, member)
		loads = append(loads, group.Load{Server: id})
	}
	for range setting.instances {
		t.loads = append(t.loads, slices.Clone(loads))
		t.views = append(t.views, group.NewView("g", members))
	}
	return t
}

func choiceCentre(n int) fleet.DataCentre { return fleet.DataCentre(rune('1' + n%choiceCentres)) }

func (t *choiceTrial) oneWay(instance, server int) time.Duration {
	if t.spread && instance%choiceCentres != server%choiceCentres {
		return choiceRemote
	}
	return choiceLocal
}

// run serves a number of reads.
func (t *choiceTrial) run(reads int) *choiceTrial {
	t.poll()
	for range reads {
		t.advance(t.now + time.Duration(t.arrivals.ExpFloat64()/t.rate))
		t.read(t.arrivals.IntN(t.instances), t.need(), t.service())
	}
	t.advance(1 << 62)
	slices.Sort(t.delays)
	slices.Sort(t.waits)
	return t
}

// advance carries out all events up to a time.
func (t *choiceTrial) advance(until time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= until {
		e := heap.Pop(&t.events).(choiceEvent)
		if e.answer {
			t.loads[e.instance][e.server].Outstanding--
			continue
		}
		slots := &t.free[e.server]
		slot := slices.Index(slots[:], slices.Min(slots[:]))
		start := max(e.at, slots[slot])
		slots[slot] = start + e.service
		t.waits = append(t.waits, start-e.at)
		back := t.oneWay(e.instance, e.server)
		t.delays = append(t.delays, slots[slot]+back-e.begun)
		e.answer, e.at = true, slots[slot]+back
		heap.Push(&t.events, e)
	}
	t.now = until
	if t.now-t.polled >= choicePoll {
		t.poll()
	}
}

// position is the end of a log that grows by one entry each millisecond.
func (t *choiceTrial) position(at time.Duration) fleet.Position {
	return fleet.Position{Log: fleet.LogPosition(max(1, at.Milliseconds()+1)), Term: 1}
}

func (t *choiceTrial) poll() {
	t.polled = t.now
	for i := range t.views {
		for s, load := range t.loads[i] {
			trip := 2 * t.oneWay(i, s)
			status := group.ServerStatus{
				Applied: t.position(t.now), History: fleet.History{{First: 1, Term: 1}}, Log: t.position(t.now),
				PromisedTerm: 1, Role: group.RoleReplica, Server: load.Server, Term: 1,
			}
			if s == 0 {
				status.Role = group.RolePrimary
			} else if s == 1 {
				status.Applied = t.position(t.now - t.lag)
			}
			at := time.Unix(1000, 0).Add(t.now)
			t.views[i] = t.views[i].Observe(group.Observation{RespondedAt: at, RequestedAt: at.Add(-trip), Server: load.Server, Status: status})
		}
	}
}

// need draws the position that a read must see.
func (t *choiceTrial) need() group.ReadRequirement {
	age := time.Duration(t.arrivals.ExpFloat64() * float64(choiceTokenAge))
	if t.arrivals.Float64() >= choiceTokenPart || t.lag == 0 {
		return group.ReadRequirement{}
	}
	return group.ReadRequirement{Written: t.position(t.now - age)}
}

func (t *choiceTrial) service() time.Duration {
	mean := float64(choiceService)
	if long := t.arrivals.Float64() < 0.05; t.skewed && long {
		mean *= 10.5
	} else if t.skewed {
		mean *= 0.5
	}
	return time.Duration(t.arrivals.ExpFloat64() * mean)
}

func (t *choiceTrial) read(instance int, need group.ReadRequirement, service time.Duration) {
	choice := group.ReplicaSelection{Loads: t.loads[instance], Random: t.chosen, Strategy: t.strategy}
	if t.spread {
		choice.Placement.Local = choiceCentre(instance)
	}
	ids := group.ReadCandidates(time.Unix(1000, 0).Add(t.now), t.views[instance], need, choice)
	server := int(ids[0][0] - 'a')
	if server != 0 {
		t.onReads++
	}
	if server == 1 {
		service = time.Duration(float64(service) * t.slow)
	}
	t.loads[instance][server].Outstanding++
	heap.Push(&t.events, choiceEvent{
		at: t.now + t.oneWay(instance, server), begun: t.now, instance: instance, server: server, service: service,
	})
}

func choiceMean(times []time.Duration) float64 {
	sum := 0.0
	for _, d := range times {
		sum += float64(d)
	}
	return sum / float64(max(1, len(times))) / float64(time.Millisecond)
}

func choiceP99(times []time.Duration) float64 {
	return float64(times[len(times)*99/100]) / float64(time.Millisecond)
}

// BenchmarkReplicaChoice compares the strategies by the time that reads wait
// for a slot, the time until the answer, and the share of reads on replicas.
func BenchmarkReplicaChoice(b *testing.B) {
	for _, setting := range choiceSettings {
		for _, load := range []int{60, 85, 95} {
			for _, strategy := range strategies {
				b.Run(fmt.Sprintf("%s/load=%d/%s", setting.name, load, strategy), func(b *testing.B) {
					var trial *choiceTrial
					for b.Loop() {
						trial = newChoiceTrial(setting, float64(load)/100, strategy).run(200_000)
					}
					b.ReportMetric(choiceMean(trial.waits), "wait-ms")
					b.ReportMetric(choiceP99(trial.waits), "wait-p99-ms")
					b.ReportMetric(choiceMean(trial.delays), "answer-ms")
					b.ReportMetric(choiceP99(trial.delays), "answer-p99-ms")
					b.ReportMetric(100*float64(trial.onReads)/float64(len(trial.waits)), "replicas-%")
				})
			}
		}
	}
}

// TestReplicaChoiceBalances guards against a default strategy that lets reads
// wait longer than random choice does, or that moves reads to the primary.
func TestReplicaChoiceBalances(t *testing.T) {
	for _, setting := range choiceSettings {
		for _, load := range []float64{0.6, 0.85} {
			chosen := newChoiceTrial(setting, load, group.FreshnessDistance).run(4_000)
			random := newChoiceTrial(setting, load, group.Random).run(4_000)
			if got, limit := choiceMean(chosen.delays), choiceMean(random.delays); got > limit {
				t.Errorf("%s at %.0f%%: mean answer time %.2f ms, with random choice %.2f ms", setting.name, 100*load, got, limit)
			}
			if chosen.onReads != random.onReads {
				t.Errorf("%s at %.0f%%: %d reads on replicas, with random choice %d", setting.name, 100*load, chosen.onReads, random.onReads)
			}
		}
	}
}
