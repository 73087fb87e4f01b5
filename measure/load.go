package measure

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/caller"
)

// maxRequests bounds the requests of one stream in one run, and the pairs of statements
// in a measurement of the overhead.
const maxRequests = 1_000_000

// stream is an open-loop stream of requests. Each stream has its own sessions, so that
// slow answers in one stream do not delay the requests of another.
type stream struct {
	// rate is the mean number of requests per second.
	rate     float64
	sessions []*session
	stats    *stats
	// send runs one request and returns its error.
	send func(ctx context.Context, s *session, request request) error
}

// request is one request of a stream.
type request struct {
	// due is the scheduled time of the request.
	due time.Time
	// random is used only by the goroutine of the session.
	random *rand.Rand
}

// stats holds the results of the requests of a stream. Its method record is safe for
// concurrent use.
type stats struct {
	latency *LatencyHistogram

	mu              sync.Mutex
	errorsByCode    map[string]int64
	succeeded       int64
	errorsByOutcome map[caller.Outcome]int64
	sent            int64
}

func newStats() *stats {
	return &stats{errorsByCode: make(map[string]int64), latency: NewLatencyHistogram(), errorsByOutcome: make(map[caller.Outcome]int64)}
}

// record adds the result of one request. The latency of a successful request counts
// from its scheduled time, so that it includes the wait for a free session.
func (s *stats) record(due time.Time, err error) {
	if err == nil {
		s.latency.Record(time.Since(due))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if err == nil {
		s.succeeded++
		return
	}
	s.errorsByCode[codeOf(err)]++
	s.errorsByOutcome[outcomeOf(err)]++
}

// runLoad sends the open-loop requests of all streams for the given duration and waits
// for their answers. Requests that still wait for a session at the end of the duration
// are sent too, so that their latency is not omitted.
func runLoad(ctx context.Context, streams []*stream, duration time.Duration, seed uint64) {
	start := time.Now()
	var wg sync.WaitGroup
	for index, st := range streams {
		streamSeed := seed<<16 + uint64(index)
		queue := make(chan time.Time, queueCapacity(st.rate, duration))
		wg.Go(func() { st.scheduleRequests(ctx, queue, start, duration, streamSeed) })
		for i, s := range st.sessions {
			random := rand.New(rand.NewPCG(streamSeed, uint64(i)+1))
			wg.Go(func() { st.sendRequests(ctx, s, queue, random) })
		}
	}
	wg.Wait()
}

// queueCapacity returns the capacity of the queue of a stream, which is also the largest
// number of requests it schedules: twice the expected number and 100 more, but at most
// maxRequests. With room for all requests, scheduling never waits for the sessions.
func queueCapacity(rate float64, duration time.Duration) int {
	return min(int(2*rate*duration.Seconds())+100, maxRequests)
}

// scheduleRequests puts the scheduled time of each request into the queue at that time
// and closes the queue at the end.
func (st *stream) scheduleRequests(ctx context.Context, queue chan<- time.Time, start time.Time, duration time.Duration, seed uint64) {
	defer close(queue)
	arrivals := NewArrivals(st.rate, seed)
	for range cap(queue) {
		next := arrivals.Next()
		if next >= duration {
			return
		}
		due := start.Add(next)
		if wait := time.Until(due); wait > 0 && sleep(ctx, wait) != nil {
			return
		}
		queue <- due
	}
}

// sendRequests sends requests from the queue on one session until the queue is closed.
func (st *stream) sendRequests(ctx context.Context, s *session, queue <-chan time.Time, random *rand.Rand) {
	defer s.close()
	for due := range queue {
		err := st.send(ctx, s, request{due: due, random: random})
		if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
			return
		}
		st.stats.record(due, err)
	}
}
