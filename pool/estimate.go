package pool

import (
	"math"
	"time"

	"github.com/nutmegpier/nutmegpier/session"
)

const (
	// minEstimateSamples is the number of measured intervals from which on requests are
	// refused by an estimate.
	minEstimateSamples = 16
	// minBacklogTime is the sum of these intervals from which on requests are refused by an
	// estimate. The first statements after a start mostly wait for handshakes.
	minBacklogTime = 300 * time.Millisecond
	// maxSilence is how long a server with statements in service may end none while
	// requests are refused by an estimate. A server that ends nothing for longer may be
	// frozen, and then nothing is known about the time after it continues.
	maxSilence = 500 * time.Millisecond
	// maxEstimateAge is how long after the last measured interval requests are refused by an
	// estimate.
	maxEstimateAge = 5 * time.Second
	// arrivalConfidence and queuedConfidence are the parts of the estimated wait that must
	// exceed the available time for a refusal on arrival and in the queue. A wrongful
	// refusal costs a caller as much as a late answer, so none is made on arrival while the
	// request would be served in time on average. In the queue the request would lose the
	// time it has waited, and service times have a heavy tail.
	arrivalConfidence = 1.0
	queuedConfidence  = 0.75
	// smallLimitConfidence multiplies these for a limit below minSharedLimit: with two
	// connections, the wait depends on single transactions and long statements.
	smallLimitConfidence = 0.7
	// shedInterval is the minimum time between two checks of the queued requests.
	shedInterval = 10 * time.Millisecond
	// arrivalTimeConstant is the time constant of the rate of arrivals. It is longer than
	// requests wait, so that a burst counts for little.
	arrivalTimeConstant = 2 * time.Second
	// maxRetryAfter bounds the time after which a refused request is told to return.
	maxRetryAfter = 2 * time.Second
)

// ahead returns the number of queued requests that are served before a queued one, except
// those that may not begin now, and for each workspace how many more would be if it had
// as many requests as the fair share allows.
func (q *queue) ahead(w *waiter, service time.Duration, mayBegin func(*waiter, *flow) bool) (queued int, more []int) {
	own := q.flows[w.workspace]
	tag := own.charged
	for _, other := range own.waiters {
		if other == w {
			break
		}
		if mayBegin(other, own) {
			queued++
			tag += service / time.Duration(w.weight)
		}
	}
	for _, f := range q.flows {
		if f == own || len(f.waiters) == 0 {
			continue
		}
		charged, cost := f.charged, service
		for _, other := range f.waiters {
			if other.priority > w.priority || (other.priority == w.priority && charged > tag) {
				break
			}
			if mayBegin(other, f) {
				queued++
				cost = service / time.Duration(other.weight)
				charged += cost
			}
		}
		if charged < tag {
			more = append(more, int((tag-charged)/max(cost, 1)))
		}
	}
	return queued, more
}

// recordArrival updates the rate of arrivals.
func (s *serverState) recordArrival(now time.Time) {
	remaining := math.Exp(-now.Sub(s.lastArrival).Seconds() / arrivalTimeConstant.Seconds())
	s.arrivalRate = remaining*s.arrivalRate + 1/arrivalTimeConstant.Seconds()
	s.lastArrival = now
}

// recordGrant measures the interval between two grants while requests wait, which is the
// time that the server needs for one: the slots, the connections, handshakes and the
// statements of transactions determine it together.
func (s *serverState) recordGrant(now time.Time) {
	if s.backlogged {
		s.interval.add(now.Sub(s.lastGrant))
		s.intervalAt = now
		s.backlogTime = min(minBacklogTime, s.backlogTime+now.Sub(s.lastGrant))
	}
	s.lastGrant = now
}

// expectedWait estimates how long a queued request still waits.
func (s *serverState) expectedWait(w *waiter) time.Duration {
	return max(s.queueWait(w), s.transactionWait(w))
}

// queueWait estimates how long a queued request waits for those that go before it: those
// that are queued, and of those that will arrive meanwhile the ones of workspaces with
// less service.
func (s *serverState) queueWait(w *waiter) time.Duration {
	queued, more := s.queue.ahead(w, s.serviceTime, s.mayBegin)
	wait := time.Duration(queued+1) * s.interval.get()
	arrivals := s.arrivalRate * wait.Seconds() / float64(len(s.queue.flows))
	later := 0.0
	for _, n := range more {
		later += min(float64(n), arrivals)
	}
	return wait + time.Duration(later*float64(s.interval.get()))
}

// isEstimateUsable reports whether requests may be refused by the estimated wait.
func (s *serverState) isEstimateUsable(now time.Time) bool {
	if s.interval.samples < minEstimateSamples || s.backlogTime < minBacklogTime || now.Sub(s.intervalAt) > maxEstimateAge {
		return false
	}
	return now.Sub(s.lastServiceEnd) <= maxSilence || now.Sub(s.busySince) <= maxSilence
}

// cannotServe reports whether a queued request can't be served in time, with the
// confidence that its estimated wait must have.
func (s *serverState) cannotServe(now time.Time, w *waiter, confidence float64) bool {
	available := w.deadline.Sub(now)
	if float64(s.transactionWait(w))*transactionConfidence > float64(available) {
		return true
	}
	return float64(s.queueWait(w))*s.confidence(confidence) > float64(available)
}

// confidence returns a confidence for the limit in force.
func (s *serverState) confidence(confidence float64) float64 {
	if s.limit < minSharedLimit {
		return confidence * smallLimitConfidence
	}
	return confidence
}

// refuseArrival removes a request that was just queued and can't be served in time, and
// returns its failure, or nil.
func (s *serverState) refuseArrival(now time.Time, w *waiter) *session.RunError {
	if len(w.granted) > 0 {
		return nil
	}
	if !s.isEstimateUsable(now) || !s.cannotServe(now, w, arrivalConfidence) {
		return nil
	}
	excess := s.expectedWait(w) - w.deadline.Sub(now)
	s.leave(w)
	return s.saturated(now, excess, s.reason(w, RefusedOnArrival))
}

// shed refuses queued requests that can no longer be served in time. In one check, a
// refused request still counts for those behind it: without that, twice as many requests
// of an overloaded server were held to their deadlines.
func (s *serverState) shed(now time.Time) {
	if s.queue.size == 0 || now.Sub(s.shedAt) < shedInterval || !s.isEstimateUsable(now) {
		return
	}
	s.shedAt = now
	order := newServiceOrder(s.queue, s.serviceTime)
	for order.Len() > 0 {
		w, f := order.first()
		mayBegin := s.mayBegin(w, f)
		available := w.deadline.Sub(now)
		expected, inTime := s.waitIn(order, available)
		if !mayBegin {
			blocked := s.transactionWait(w)
			inTime = inTime && float64(blocked)*transactionConfidence <= float64(available)
			expected = max(expected, blocked)
		}
		switch {
		case !inTime:
			s.queue.remove(w)
			order.removed()
			w.granted <- grant{failure: s.saturated(now, expected-available, s.reason(w, RefusedInQueue))}
		case mayBegin:
			order.pass(s.serviceTime / time.Duration(w.weight))
		default:
			order.pass(0)
		}
	}
}

// waitIn estimates as queueWait how long the first waiter of an order still waits, and
// reports whether it can be served in the available time. The requests that will arrive
// are counted only if the result depends on them.
func (s *serverState) waitIn(order *serviceOrder, available time.Duration) (wait time.Duration, inTime bool) {
	confidence := s.confidence(queuedConfidence)
	interval := s.interval.get()
	wait = time.Duration(order.ahead+1) * interval
	if longest := float64(wait) * (1 + s.arrivalRate*interval.Seconds()); longest*confidence <= float64(available) {
		return wait, true
	}
	arrivals := s.arrivalRate * wait.Seconds() / float64(len(s.queue.flows))
	wait += time.Duration(order.arriving(arrivals) * float64(interval))
	return wait, float64(wait)*confidence <= float64(available)
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
	returnAt := now.Add(max(excess, s.interval.get()))
	if s.nextReturn.After(returnAt) {
		returnAt = s.nextReturn
	}
	if latest := now.Add(maxRetryAfter); returnAt.After(latest) {
		returnAt = latest
	}
	s.nextReturn = returnAt.Add(s.interval.get())
	return &session.RunError{Kind: session.KindBusy, RetryAfter: returnAt.Sub(now), Saturated: true, Text: refusalTexts[reason]}
}
