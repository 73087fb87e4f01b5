package measure

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/caller"
)

// maxArrivals bounds the requests of one lane.
const maxArrivals = 1_000_000

// lane is a stream of requests with its own sessions, so that a stream that
// waits does not hold up another one.
type lane struct {
	// rate is in requests a second.
	rate     float64
	sessions []*session
	tally    *tally
	// work runs one request. It returns the error of the request.
	work func(ctx context.Context, s *session, arrival arrival) error
}

// arrival is one request.
type arrival struct {
	// due is the time at which the request is to be sent.
	due time.Time
	// random belongs to the session's goroutine.
	random *rand.Rand
}

// tally is what a lane saw. It is safe for concurrent use.
type tally struct {
	latency *LatencyHistogram

	mu       sync.Mutex
	codes    map[string]int64
	done     int64
	outcomes map[caller.Outcome]int64
	sent     int64
}

func newTally() *tally {
	return &tally{codes: make(map[string]int64), latency: NewLatencyHistogram(), outcomes: make(map[caller.Outcome]int64)}
}

// record adds one request. Its latency counts from the time it was due.
func (t *tally) record(due time.Time, err error) {
	if err == nil {
		t.latency.Record(time.Since(due))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if err == nil {
		t.done++
		return
	}
	t.codes[codeOf(err)]++
	t.outcomes[outcomeOf(err)]++
}

// runLoad sends open-loop requests on all lanes for a time and waits for their
// answers. Requests that wait for a session when the time ends are still sent,
// so their latency is not left out.
func runLoad(ctx context.Context, lanes []*lane, duration time.Duration, seed uint64) {
	start := time.Now()
	var group sync.WaitGroup
	for number, l := range lanes {
		laneSeed := seed<<16 + uint64(number)
		queue := make(chan time.Time, maxQueue(l.rate, duration))
		group.Go(func() { l.generate(ctx, queue, start, duration, laneSeed) })
		for i, s := range l.sessions {
			random := rand.New(rand.NewPCG(laneSeed, uint64(i)+1))
			group.Go(func() { l.serve(ctx, s, queue, random) })
		}
	}
	group.Wait()
}

// maxQueue is twice the expected number of arrivals.
func maxQueue(rate float64, duration time.Duration) int {
	return min(int(2*rate*duration.Seconds())+100, maxArrivals)
}

func (l *lane) generate(ctx context.Context, queue chan<- time.Time, start time.Time, duration time.Duration, seed uint64) {
	defer close(queue)
	arrivals := NewArrivals(l.rate, seed)
	for range cap(queue) {
		next := arrivals.Next()
		if next >= duration {
			return
		}
		due := start.Add(next)
		if wait := time.Until(due); wait > 0 && pause(ctx, wait) != nil {
			return
		}
		queue <- due
	}
}

func (l *lane) serve(ctx context.Context, s *session, queue <-chan time.Time, random *rand.Rand) {
	defer s.close()
	for due := range queue {
		err := l.work(ctx, s, arrival{due: due, random: random})
		if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
			return
		}
		l.tally.record(due, err)
	}
}
