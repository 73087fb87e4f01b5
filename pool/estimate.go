package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/session"
)

const (
	// minEstimateSamples is the number of measured services from which on requests are
	// refused by an estimate.
	minEstimateSamples = 30
	// maxEstimateAge is how long after the last measured service requests are refused by an
	// estimate. A server that ended nothing for longer may be frozen, and then nothing is
	// known about the time after it continues.
	maxEstimateAge = 500 * time.Millisecond
	// arrivalConfidence and queuedConfidence are the parts of the estimated wait that must
	// exceed the available time for a refusal on arrival and in the queue. A wrongful
	// refusal costs a caller as much as a late answer, so none is made on arrival while the
	// request would be served in time on average. In the queue the request would lose the
	// time it has waited, and service times have a heavy tail.
	arrivalConfidence = 1.0
	queuedConfidence  = 0.75
	// shedInterval is the minimum time between two checks of the queued requests.
	shedInterval = 10 * time.Millisecond
	// minComparedEstimate is the least estimate that is compared with the actual wait, and
	// maxWaitRatio bounds the ratio of the actual wait to the estimated one. The unit of
	// the ratio is waitRatioUnit.
	minComparedEstimate = 50 * time.Millisecond
	maxWaitRatio        = 3 * waitRatioUnit
	waitRatioUnit       = 1000
	// maxRetryAfter bounds the time after which a refused request is told to return.
	maxRetryAfter = 2 * time.Second
)

// ahead returns the number of queued requests that are served before a queued one, except
// those that may not begin now.
func (q *queue) ahead(w *waiter, service time.Duration, mayBegin func(*waiter, *flow) bool) int {
	own := q.flows[w.workspace]
	n, tag := 0, own.charged
	for _, queued := range own.waiters {
		if queued == w {
			break
		}
		if !mayBegin(queued, own) {
			continue
		}
		n++
		tag += service / time.Duration(w.weight)
	}
	for _, f := range q.flows {
		if f == own {
			continue
		}
		charged := f.charged
		for _, queued := range f.waiters {
			if queued.priority > w.priority || (queued.priority == w.priority && charged > tag) {
				break
			}
			if !mayBegin(queued, f) {
				continue
			}
			n++
			charged += service / time.Duration(queued.weight)
		}
	}
	return n
}

// concurrency returns the number of requests that are served at the same time while
// requests wait.
func (s *serverState) concurrency() int {
	n := s.limit
	if s.limit >= minSharedLimit {
		// Connections that are neither idle nor in service are held by transactions that
		// run nothing now. Those of a small limit mostly end before a request would be
		// refused because of them.
		n -= s.open - len(s.idle) - s.inService
	}
	if s.bound > 0 {
		n = min(n, s.bound)
	}
	return max(1, n)
}

// perRequest returns the mean time between two grants while requests wait.
func (s *serverState) perRequest() time.Duration {
	return s.occupation.get() / time.Duration(s.concurrency())
}

// expectedWait estimates how long a queued request still waits.
func (s *serverState) expectedWait(w *waiter) time.Duration {
	return max(s.queueWait(w), s.transactionWait(w))
}

// queueWait estimates how long a queued request waits for those that go before it.
func (s *serverState) queueWait(w *waiter) time.Duration {
	return time.Duration(s.queue.ahead(w, s.serviceTime, s.mayBegin)+1) * s.perRequest()
}

// isEstimateUsable reports whether requests may be refused by the estimated wait.
func (s *serverState) isEstimateUsable(now time.Time) bool {
	return s.occupation.samples >= minEstimateSamples && now.Sub(s.lastServiceEnd) <= maxEstimateAge
}

// cannotServe reports whether a queued request can't be served in time, with the
// confidence that its estimated wait must have.
func (s *serverState) cannotServe(now time.Time, w *waiter, confidence float64) bool {
	available := w.deadline.Sub(now)
	if float64(s.transactionWait(w))*transactionConfidence > float64(available) {
		return true
	}
	longest := time.Duration(s.queue.size) * s.perRequest()
	return float64(longest)*confidence > float64(available) && float64(s.queueWait(w))*confidence > float64(available)
}

// recordWait compares the wait that was estimated for a request on arrival with the actual
// one, or with the estimate at which the request was refused in the queue. Requests that
// arrive later may go before it.
func (s *serverState) recordWait(w *waiter, actual time.Duration) {
	if !w.transaction && w.estimate >= minComparedEstimate {
		s.waitRatio.add(min(time.Duration(float64(actual)/float64(w.estimate)*waitRatioUnit), maxWaitRatio))
	}
}

// refuseArrival removes a request that was just queued and can't be served in time, and
// returns its failure, or nil.
func (s *serverState) refuseArrival(now time.Time, w *waiter) *session.RunError {
	if len(w.granted) > 0 {
		return nil
	}
	w.estimate = s.queueWait(w)
	ratio := float64(s.waitRatio.get()) / waitRatioUnit
	if !s.isEstimateUsable(now) || !s.cannotServe(now, w, arrivalConfidence*ratio) {
		return nil
	}
	excess := max(time.Duration(ratio*float64(w.estimate)), s.transactionWait(w)) - w.deadline.Sub(now)
	s.queue.remove(w)
	return s.saturated(now, excess, s.reason(w, RefusedOnArrival))
}

// shed refuses queued requests that can no longer be served in time.
func (s *serverState) shed(now time.Time) {
	if now.Sub(s.shedAt) < shedInterval || !s.isEstimateUsable(now) {
		return
	}
	s.shedAt = now
	// The order is that of the names so that the same requests are refused in each run.
	for _, workspace := range slices.Sorted(maps.Keys(s.queue.flows)) {
		f := s.queue.flows[workspace]
		for i := len(f.waiters) - 1; i >= 0; i-- {
			w := f.waiters[i]
			if !s.cannotServe(now, w, queuedConfidence) {
				continue
			}
			expected := s.expectedWait(w)
			excess := expected - w.deadline.Sub(now)
			s.recordWait(w, now.Sub(w.enqueuedAt)+expected)
			s.queue.remove(w)
			w.granted <- grant{failure: s.saturated(now, excess, s.reason(w, RefusedInQueue))}
		}
	}
}

// reason returns RefusedTransaction for a transaction that was removed from the queue and
// that other transactions kept from beginning, and the given reason for all others.
func (s *serverState) reason(w *waiter, reason RefusalReason) RefusalReason {
	if !s.mayBegin(w, s.queue.flow(w.workspace)) {
		return RefusedTransaction
	}
	return reason
}

// saturated returns the failure of a request that can't be served in time. It may return
// after the excess of its wait over the time it had, and each refused request later than
// the one before by the time that the server needs for it, so that they don't return all
// at once.
func (s *serverState) saturated(now time.Time, excess time.Duration, reason RefusalReason) *session.RunError {
	s.refusals[reason]++
	returnAt := now.Add(max(excess, s.perRequest()))
	if s.nextReturn.After(returnAt) {
		returnAt = s.nextReturn
	}
	if latest := now.Add(maxRetryAfter); returnAt.After(latest) {
		returnAt = latest
	}
	s.nextReturn = returnAt.Add(s.perRequest())
	return &session.RunError{Kind: session.KindBusy, RetryAfter: returnAt.Sub(now), Saturated: true, Text: refusalTexts[reason]}
}
