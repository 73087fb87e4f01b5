package pool_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/pool"
)

// slowness returns by how much a statement takes longer on a server, at a time since the
// begin.
type slowness func(server int, kind pool.StatementKind, at time.Duration) float64

// speedTrial feeds reads of 15 ms and writes of 3 ms, some of them much longer, to a
// GroupSpeed of three servers, the first of which is the primary.
type speedTrial struct {
	began, now time.Time
	// failing is the fraction of the statements that fail on a server.
	failing  map[int]float64
	random   *rand.Rand
	ran      [3]int
	servers  []*pool.ServerSpeed
	slowness slowness
}

func newSpeedTrial(seed uint64, slowness slowness) *speedTrial {
	s := &speedTrial{began: time.Unix(1000, 0), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(3, seed)), slowness: slowness}
	group := pool.NewGroupSpeed()
	for range 3 {
		s.servers = append(s.servers, group.NewServer(4))
	}
	return s
}

// constantly returns the slowness of servers that doesn't change.
func constantly(factors ...float64) slowness {
	return func(server int, _ pool.StatementKind, _ time.Duration) float64 { return factors[server] }
}

// statement feeds one statement.
func (s *speedTrial) statement(server int, kind pool.StatementKind) {
	work := map[pool.StatementKind]float64{pool.StatementRead: 15, pool.StatementWrite: 3}[kind] * (0.5 + s.random.Float64())
	if s.random.Float64() < 0.03 {
		work *= 7
	}
	s.ran[server]++
	work *= s.slowness(server, kind, s.now.Sub(s.began))
	s.servers[server].Record(pool.Sample{
		Class: pool.StatementClass{Kind: kind}, End: s.now, Failed: s.random.Float64() < s.failing[server], InService: 1 + s.random.IntN(4),
		Start: s.now.Add(-time.Duration((work + 1) * float64(time.Millisecond))),
	})
}

// run feeds statements until a time since the begin. A slow server gets only the reads that
// try it. After each step, check is called.
func (s *speedTrial) run(until time.Duration, perSecond float64, check func()) {
	for s.now.Sub(s.began) < until {
		s.now = s.now.Add(time.Duration(float64(time.Second) / perSecond))
		s.statement(0, pool.StatementWrite)
		for server, speed := range s.servers {
			if !speed.Estimate(s.now).Slow() || speed.TakeProbe(s.now) {
				s.statement(server, pool.StatementRead)
			}
		}
		check()
	}
}

// slow returns which servers count as slow.
func (s *speedTrial) slow() (slow [3]bool) {
	for i, server := range s.servers {
		slow[i] = server.Estimate(s.now).Slow()
	}
	return slow
}

// phase is a part of a trial, in seconds, in which certain servers must count as slow.
type phase struct {
	from, to time.Duration
	slow     [3]bool
}

// stepped returns the slowness of servers that changes from 10 s to 20 s. It must be
// recognised from 1 s after the change, and its end from 3 s after it.
func stepped(factors ...float64) (slowness, []phase) {
	slow := [3]bool{factors[0] > 1, factors[1] > 1, factors[2] > 1}
	return func(server int, _ pool.StatementKind, at time.Duration) float64 {
		if at < 10*time.Second || at >= 20*time.Second {
			return 1
		}
		return factors[server]
	}, []phase{{to: 10}, {from: 11, slow: slow, to: 20}, {from: 23, to: 30}}
}

// TestSpeed guards against a slow server that is not recognised or keeps counting as slow
// after it has recovered, and against a healthy one that counts as slow because of a heavy
// tail, a kind of statement that becomes slow, the writes that only the primary runs, or
// few samples.
func TestSpeed(t *testing.T) {
	alike := []phase{{to: 60}}
	one, onePhases := stepped(1, 5, 1)
	two, twoPhases := stepped(5, 5, 1)
	primary, primaryPhases := stepped(3, 1, 1)
	kindSlow := func(kind pool.StatementKind, servers int) slowness {
		return func(server int, k pool.StatementKind, at time.Duration) float64 {
			if k == kind && server < servers && at >= 10*time.Second {
				return 6
			}
			return 1
		}
	}
	var oscillation []phase
	for at := time.Duration(0); at < 50; at += 5 {
		oscillation = append(oscillation, phase{from: at + 3, slow: [3]bool{1: at/5%2 == 1}, to: at + 5})
	}
	for _, test := range []struct {
		name      string
		failing   map[int]float64
		perSecond float64
		phases    []phase
		slowness  slowness
	}{
		{name: "alike", perSecond: 100, phases: alike, slowness: constantly(1, 1, 1)},
		{name: "alike with few statements", perSecond: 3, phases: alike, slowness: constantly(1, 1, 1)},
		{name: "a tenth slower", perSecond: 50, phases: alike, slowness: constantly(1.1, 1, 1.1)},
		{name: "a hundredth fails", perSecond: 50, failing: map[int]float64{1: 0.01}, phases: alike, slowness: constantly(1, 1, 1)},
		{name: "one of few statements hangs", perSecond: 2, phases: alike, slowness: func(server int, _ pool.StatementKind, at time.Duration) float64 {
			if (at+time.Duration(server)*3*time.Second)%(10*time.Second) < 500*time.Millisecond {
				return 100
			}
			return 1
		}},
		{name: "writes become slow", perSecond: 50, phases: alike, slowness: kindSlow(pool.StatementWrite, 3)},
		{name: "reads become slow", perSecond: 50, phases: alike, slowness: kindSlow(pool.StatementRead, 3)},
		{name: "all become slow", perSecond: 50, phases: alike, slowness: func(_ int, _ pool.StatementKind, at time.Duration) float64 { return 1 + min(7, at.Seconds()/4) }},
		{name: "one slow of three", perSecond: 60, phases: onePhases, slowness: one},
		{name: "one slow of three with few statements", perSecond: 15, phases: onePhases, slowness: one},
		{name: "two slow of three", perSecond: 60, phases: twoPhases, slowness: two},
		{name: "slow primary", perSecond: 60, phases: primaryPhases, slowness: primary},
		{name: "slow for reads only", perSecond: 60, phases: []phase{{to: 10}, {from: 11, slow: [3]bool{0: true}, to: 30}}, slowness: kindSlow(pool.StatementRead, 1)},
		{name: "a third fails", perSecond: 60, failing: map[int]float64{2: 0.33}, phases: []phase{{from: 1, slow: [3]bool{2: true}, to: 20}}, slowness: constantly(1, 1, 1)},
		{
			name: "ramp", perSecond: 60, phases: []phase{{to: 4}, {from: 15, slow: [3]bool{1: true}, to: 30}},
			slowness: func(server int, _ pool.StatementKind, at time.Duration) float64 {
				return 1 + float64(server%2)*at.Seconds()/10
			},
		},
		{name: "oscillation", perSecond: 60, phases: oscillation, slowness: func(server int, _ pool.StatementKind, at time.Duration) float64 {
			return 1 + 5*float64(server%2)*float64(at/(5*time.Second)%2)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10 * len(test.phases)) {
				phase := test.phases[seed%uint64(len(test.phases))]
				s := newSpeedTrial(seed, test.slowness)
				s.failing = test.failing
				s.run(phase.from*time.Second, test.perSecond, func() {})
				steps, wrong := 0, 0
				s.run(phase.to*time.Second, test.perSecond, func() {
					steps++
					if s.slow() != phase.slow {
						wrong++
					}
				})
				// A slow server that is tried may count as alike for some statements.
				if wrong > steps/20 || (wrong > 0 && phase.slow == [3]bool{}) {
					t.Errorf("seed %d: from %d s: %d of %d estimates are wrong, want slow servers %v", seed, phase.from, wrong, steps, phase.slow)
				}
			}
		})
	}
}

// TestSpeedExpires guards against a verdict without end on a server that gets no
// statements, against one that stops all work, and against an instance that takes long to
// learn the speeds of servers that another one has used before.
func TestSpeedExpires(t *testing.T) {
	s := newSpeedTrial(5, constantly(1, 8, 1))
	s.run(500*time.Millisecond, 60, func() {})
	if want := [3]bool{1: true}; s.slow() != want {
		t.Errorf("slow servers %v after 0.5 s, want %v", s.slow(), want)
	}
	before := s.ran[1]
	s.run(10*time.Second, 60, func() {})
	if probes := s.ran[1] - before; probes > 10 {
		t.Errorf("a server that takes 8 times as long was tried %d times in 9.5 s, want at most once per second", probes)
	}
	if e := s.servers[1].Estimate(s.now); e.Concurrency < 6 || e.Concurrency >= 12 || e.ServiceTime < 30*time.Millisecond {
		t.Errorf("estimate of a server that takes 8 times as long: %+v, want a concurrency of 6 to 11", e)
	}
	for i, server := range s.servers {
		if e := server.Estimate(s.now.Add(30 * time.Second)); math.Abs(e.Relative-1) > 0.01 || e.Concurrency != 0 || e.Age < 29*time.Second {
			t.Errorf("server %d after 30 s without statements: %+v, want a relative service time of 1", i, e)
		}
	}
}

// TestSpeedOfRemovedServer guards against servers that count as slow because they are
// compared with a faster one that is gone.
func TestSpeedOfRemovedServer(t *testing.T) {
	s := newSpeedTrial(5, constantly(5, 5, 1))
	s.run(5*time.Second, 60, func() {})
	if want := [3]bool{true, true, false}; s.slow() != want {
		t.Fatalf("slow servers %v before the fast one is removed, want %v", s.slow(), want)
	}
	s.servers[2].Remove()
	s.now = s.now.Add(100 * time.Millisecond)
	if slow := s.slow(); slow[0] || slow[1] {
		t.Errorf("slow servers %v after the fast one was removed, want none", slow)
	}
}

// TestSpeedOfTimeouts guards against replicas that count as slow because statements of a
// kind that the primary does not run time out on them, and against a server that counts as
// alike although only its statements time out.
func TestSpeedOfTimeouts(t *testing.T) {
	for _, test := range []struct {
		name string
		// timingOut are the servers on which a third of the reads time out.
		timingOut []int
		slow      [3]bool
	}{
		{name: "on all replicas", timingOut: []int{1, 2}},
		{name: "on one replica", timingOut: []int{1}, slow: [3]bool{1: true}},
	} {
		for seed := range uint64(10) {
			s := newSpeedTrial(seed, constantly(1, 1, 1))
			for step := range 300 {
				s.now = s.now.Add(10 * time.Millisecond)
				s.statement(0, pool.StatementWrite)
				s.statement(1, pool.StatementRead)
				s.statement(2, pool.StatementRead)
				for _, server := range test.timingOut {
					if step%2 == 0 {
						s.servers[server].Record(pool.Sample{Class: pool.StatementClass{Kind: pool.StatementRead}, End: s.now, Start: s.now.Add(-500 * time.Millisecond), TimedOut: true})
					}
				}
			}
			if s.slow() != test.slow {
				t.Errorf("%s, seed %d: slow servers %v, want %v", test.name, seed, s.slow(), test.slow)
			}
		}
	}
}

// TestSpeedUnderLoad guards against a server that counts as slow, or as fast, because more
// statements are in service there than at the others, and against one that slows down long
// before its slots are in use and gets as many statements as the others.
func TestSpeedUnderLoad(t *testing.T) {
	for _, test := range []struct {
		name string
		slow bool
		// work is the time of a statement in milliseconds by the number in service.
		work func(inService float64) float64
	}{
		{name: "slots", work: func(n float64) float64 { return 15 * max(1, n/4) }},
		{name: "slots and a long way", work: func(n float64) float64 { return 3 + 3*max(1, n/4) }},
		{name: "slower below its slots", slow: true, work: func(n float64) float64 { return 15 * max(1, n*n/4) }},
		{name: "slower beyond its slots", slow: true, work: func(n float64) float64 { return 15 * max(1, n*n*n/64) }},
	} {
		for idle := range 2 {
			s := newSpeedTrial(5, nil)
			for range 500 {
				s.now = s.now.Add(5 * time.Millisecond)
				for i, server := range s.servers[:2] {
					n := 8 + s.random.IntN(5)
					if i == idle {
						n = 1
					}
					work := time.Duration(test.work(float64(n)) * (0.5 + s.random.Float64()) * float64(time.Millisecond))
					server.Record(pool.Sample{End: s.now, InService: n, Start: s.now.Add(-work)})
				}
			}
			if want := [3]bool{test.slow && idle == 1, test.slow && idle == 0}; s.slow() != want {
				t.Errorf("%s: slow servers %v when server %d has little load, want %v", test.name, s.slow(), idle, want)
			}
		}
	}
}
