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

// Parameters of the simulation of replica selection.
const (
	choiceDataCentres  = 4
	choiceLocalDelay   = 100 * time.Microsecond
	choicePollInterval = 250 * time.Millisecond
	choiceRemoteDelay  = time.Millisecond
	choiceServiceTime  = 5 * time.Millisecond
	choiceServerSlots  = 3
	choiceMeanTokenAge = 500 * time.Millisecond
	choiceTokenShare   = 0.25
)

// choiceScenario is a deployment in which the strategies are compared. Instances
// know only their own outstanding requests.
type choiceScenario struct {
	name      string
	instances int
	lag       time.Duration
	replicas  int
	// skewed draws 5% of the service times from a distribution whose mean is 21
	// times that of the rest.
	skewed bool
	// slowFactor multiplies the service times of the first replica.
	slowFactor float64
	// multiDataCentre puts servers and instances into different data centres.
	multiDataCentre bool
}

var choiceScenarios = []choiceScenario{
	{name: "OneInstance", instances: 1, replicas: 2, slowFactor: 1},
	{name: "Exponential", instances: 8, replicas: 2, slowFactor: 1},
	{name: "Skewed", instances: 8, replicas: 2, skewed: true, slowFactor: 1},
	{name: "DataCentres", instances: 8, replicas: 2, slowFactor: 1, multiDataCentre: true},
	{name: "SlowReplica", instances: 8, replicas: 2, slowFactor: 3, multiDataCentre: true},
	{name: "Lag", instances: 8, lag: 200 * time.Millisecond, replicas: 2, slowFactor: 1, multiDataCentre: true},
	{name: "EightReplicas", instances: 8, replicas: 8, slowFactor: 1},
	{name: "EightReplicasOneInstance", instances: 1, replicas: 8, slowFactor: 1},
	{name: "EightReplicasSkewed", instances: 8, replicas: 8, skewed: true, slowFactor: 1},
}

// choiceEvent is the arrival of a request at a server, or of its response at the
// instance.
type choiceEvent struct {
	isResponse  bool
	at          time.Duration
	startedAt   time.Duration
	instance    int
	server      int
	serviceTime time.Duration
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

// choiceSimulation is a discrete-event simulation of one strategy in one
// scenario. The arrivals and service times are the same for all strategies.
type choiceSimulation struct {
	choiceScenario
	workloadRandom *rand.Rand
	choiceRandom   *rand.Rand
	responseTimes  []time.Duration
	events         choiceEvents
	slotFreeAt     [][choiceServerSlots]time.Duration
	loads          [][]group.Load
	now            time.Duration
	replicaReads   int
	lastPoll       time.Duration
	rate           float64
	strategy       group.Strategy
	views          []group.View
	queueTimes     []time.Duration
}

func newChoiceSimulation(scenario choiceScenario, load float64, strategy group.Strategy) *choiceSimulation {
	t := &choiceSimulation{
		workloadRandom: rand.New(rand.NewPCG(1, 1)), choiceScenario: scenario, choiceRandom: rand.New(rand.NewPCG(2, 2)),
		slotFreeAt: make([][choiceServerSlots]time.Duration, scenario.replicas+1), strategy: strategy,
	}
	capacity := choiceServerSlots * (float64(scenario.replicas-1) + 1/scenario.slowFactor) / float64(choiceServiceTime)
	t.rate = load * capacity
	var members []group.Member
	var loads []group.Load
	for s := range scenario.replicas + 1 {
		id := fleet.ServerID(rune('a' + s))
		member := group.Member{Server: id}
		if scenario.multiDataCentre {
			member.DataCentre = choiceDataCentre(s)
		}
		members = append(members, member)
		loads = append(loads, group.Load{Server: id})
	}
	for range scenario.instances {
		t.loads = append(t.loads, slices.Clone(loads))
		t.views = append(t.views, group.NewView("g", members))
	}
	return t
}

func choiceDataCentre(n int) fleet.DataCentre {
	return fleet.DataCentre(rune('1' + n%choiceDataCentres))
}

func (t *choiceSimulation) oneWay(instance, server int) time.Duration {
	if t.multiDataCentre && instance%choiceDataCentres != server%choiceDataCentres {
		return choiceRemoteDelay
	}
	return choiceLocalDelay
}

// run simulates a number of reads.
func (t *choiceSimulation) run(reads int) *choiceSimulation {
	t.poll()
	for range reads {
		t.advance(t.now + time.Duration(t.workloadRandom.ExpFloat64()/t.rate))
		t.startRead(t.workloadRandom.IntN(t.instances), t.drawRequirement(), t.drawServiceTime())
	}
	t.advance(1 << 62)
	slices.Sort(t.responseTimes)
	slices.Sort(t.queueTimes)
	return t
}

// advance processes all events up to a time.
func (t *choiceSimulation) advance(until time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= until {
		event := heap.Pop(&t.events).(choiceEvent)
		if event.isResponse {
			t.loads[event.instance][event.server].Outstanding--
			continue
		}
		slots := &t.slotFreeAt[event.server]
		slot := slices.Index(slots[:], slices.Min(slots[:]))
		start := max(event.at, slots[slot])
		slots[slot] = start + event.serviceTime
		t.queueTimes = append(t.queueTimes, start-event.at)
		delay := t.oneWay(event.instance, event.server)
		t.responseTimes = append(t.responseTimes, slots[slot]+delay-event.startedAt)
		event.isResponse, event.at = true, slots[slot]+delay
		heap.Push(&t.events, event)
	}
	t.now = until
	if t.now-t.lastPoll >= choicePollInterval {
		t.poll()
	}
}

// position returns the end of a log that grows by one entry each millisecond.
func (t *choiceSimulation) position(at time.Duration) fleet.Position {
	return fleet.Position{Log: fleet.LogPosition(max(1, at.Milliseconds()+1)), Term: 1}
}

func (t *choiceSimulation) poll() {
	t.lastPoll = t.now
	for i := range t.views {
		for s, load := range t.loads[i] {
			roundTrip := 2 * t.oneWay(i, s)
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
			t.views[i] = t.views[i].Observe(group.Observation{RespondedAt: at, RequestedAt: at.Add(-roundTrip), Server: load.Server, Status: status})
		}
	}
}

// drawRequirement draws the position that a read must see.
func (t *choiceSimulation) drawRequirement() group.ReadRequirement {
	age := time.Duration(t.workloadRandom.ExpFloat64() * float64(choiceMeanTokenAge))
	if t.workloadRandom.Float64() >= choiceTokenShare || t.lag == 0 {
		return group.ReadRequirement{}
	}
	return group.ReadRequirement{Written: t.position(t.now - age)}
}

func (t *choiceSimulation) drawServiceTime() time.Duration {
	mean := float64(choiceServiceTime)
	if isLong := t.workloadRandom.Float64() < 0.05; t.skewed && isLong {
		mean *= 10.5
	} else if t.skewed {
		mean *= 0.5
	}
	return time.Duration(t.workloadRandom.ExpFloat64() * mean)
}

func (t *choiceSimulation) startRead(instance int, requirement group.ReadRequirement, serviceTime time.Duration) {
	selection := group.ReplicaSelection{Loads: t.loads[instance], Random: t.choiceRandom, Strategy: t.strategy}
	if t.multiDataCentre {
		selection.Placement.Local = choiceDataCentre(instance)
	}
	ids := group.ReadCandidates(time.Unix(1000, 0).Add(t.now), t.views[instance], requirement, selection)
	server := int(ids[0][0] - 'a')
	if server != 0 {
		t.replicaReads++
	}
	if server == 1 {
		serviceTime = time.Duration(float64(serviceTime) * t.slowFactor)
	}
	t.loads[instance][server].Outstanding++
	heap.Push(&t.events, choiceEvent{
		at: t.now + t.oneWay(instance, server), startedAt: t.now, instance: instance, server: server, serviceTime: serviceTime,
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

// BenchmarkReplicaChoice compares the strategies by the time that reads wait for
// a server slot, the time to the response, and the share of reads on replicas.
func BenchmarkReplicaChoice(b *testing.B) {
	for _, scenario := range choiceScenarios {
		for _, load := range []int{60, 85, 95} {
			for _, strategy := range strategies {
				b.Run(fmt.Sprintf("%s/load=%d/%s", scenario.name, load, strategy), func(b *testing.B) {
					var simulation *choiceSimulation
					for b.Loop() {
						simulation = newChoiceSimulation(scenario, float64(load)/100, strategy).run(200_000)
					}
					b.ReportMetric(choiceMean(simulation.queueTimes), "wait-ms")
					b.ReportMetric(choiceP99(simulation.queueTimes), "wait-p99-ms")
					b.ReportMetric(choiceMean(simulation.responseTimes), "answer-ms")
					b.ReportMetric(choiceP99(simulation.responseTimes), "answer-p99-ms")
					b.ReportMetric(100*float64(simulation.replicaReads)/float64(len(simulation.queueTimes)), "replicas-%")
				})
			}
		}
	}
}

// TestReplicaChoiceBalances guards against a default strategy whose mean response
// time is longer than that of random choice, or that moves reads to the primary.
func TestReplicaChoiceBalances(t *testing.T) {
	for _, scenario := range choiceScenarios {
		for _, load := range []float64{0.6, 0.85} {
			chosen := newChoiceSimulation(scenario, load, group.FreshnessDistance).run(4_000)
			random := newChoiceSimulation(scenario, load, group.Random).run(4_000)
			if got, limit := choiceMean(chosen.responseTimes), choiceMean(random.responseTimes); got > limit {
				t.Errorf("%s at %.0f%%: mean response time %.2f ms, with random choice %.2f ms", scenario.name, 100*load, got, limit)
			}
			if chosen.replicaReads != random.replicaReads {
				t.Errorf("%s at %.0f%%: %d reads on replicas, with random choice %d", scenario.name, 100*load, chosen.replicaReads, random.replicaReads)
			}
		}
	}
}
