package pool

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// speedPrior is the weight of the assumption that a server is as fast as the others. It
	// makes an estimate with few or old samples return to that.
	speedPrior = 3
	// minComparedSamples is the number of samples from which on a new server is compared.
	// With fewer, the first one may have been of a heavy tail.
	minComparedSamples = 12
	// minReferenceWeight is the weight of the samples from which on the others are compared
	// with a server.
	minReferenceWeight = 3
	// failureFactor is how many times the usual time a failed statement counts for.
	failureFactor = 8
	// ignoredFailures is the number of recent failures that count for nothing. Connections
	// are closed while they are idle, and a few in a row may be chance.
	ignoredFailures = 2
	// transitTime is added to each measured time before a ratio is taken, so that the time
	// on the way to a remote data centre, about 1 ms, makes no server seem slow.
	transitTime = 2 * time.Millisecond
	// slowThreshold is the relative service time above which a server counts as slow. Half
	// more than the others is above the noise of heavy tails.
	slowThreshold = 1.5
	// minInServicePerSlot bounds by how much a slow server gets fewer statements at a time.
	// Its slots stay in use even if the slowness is an error of the comparison.
	minInServicePerSlot = 1.5
	// slowProbe is the relative time from which on a statement that tries a slow server
	// counts as slow. Single times vary by half.
	slowProbe = 2
	// speedRefreshInterval is the minimum time between two computations of an estimate.
	speedRefreshInterval = 50 * time.Millisecond
	// speedRetention is how long others are compared with a server without samples.
	speedRetention = 20 * time.Second
	// maxSpeedClasses bounds the memory. A group has a few routes.
	maxSpeedClasses = 64
	// probeInterval and confirmInterval are the minimum times between two statements that
	// try a slow server: after one that was slow, and after one that was not, the latter
	// divided by how many were not. The former holds up to probeRelative and grows in
	// proportion to the relative service time from there on, because a statement that is
	// answered too late costs its caller more.
	probeInterval   = time.Second
	probeRelative   = 4
	confirmInterval = 100 * time.Millisecond
	// maxConfirmations bounds what earlier samples count for.
	maxConfirmations = 4
)

// StatementKind is the kind of a statement in the comparison of servers.
type StatementKind string

// Kinds of statements.
const (
	// StatementRead is a read.
	StatementRead StatementKind = "Read"
	// StatementTransaction begins or ends a transaction.
	StatementTransaction StatementKind = "Transaction"
	// StatementWrite is a write.
	StatementWrite StatementKind = "Write"
)

// RouteClass identifies a route by what an instance tells an owner of the group about it.
type RouteClass struct {
	Consistency string
	MaxAge      time.Duration
	Priority    int
}

// StatementClass is a class of statements that usually take the same time. Only times of
// the same class are compared.
type StatementClass struct {
	Kind  StatementKind
	Route RouteClass
}

// Sample is the outcome of a statement that a server ran.
type Sample struct {
	Class StatementClass
	End   time.Time
	// Failed means that the server refused the statement as busy, or closed the connection.
	Failed bool
	// InService is the number of statements and handshakes in service at the server when
	// the statement began, including it.
	InService int
	Start     time.Time
	// TimedOut means that the server did not answer in time. Statements of one class may do
	// so on all servers, so this is compared within the class.
	TimedOut bool
}

// SpeedEstimate is what is known about the speed of a server.
type SpeedEstimate struct {
	// Age is the time since the last sample that could be compared with another server. It
	// is negative if there was none.
	Age time.Duration
	// Concurrency is the number of statements and handshakes that should be in service, or
	// zero if nothing speaks against the usual number.
	Concurrency int
	// Relative is the service time divided by that of the fastest other server. It is 1
	// without samples.
	Relative float64
	// ServiceTime is the time of a statement, or zero if the server isn't slow.
	ServiceTime time.Duration
}

// Slow reports whether the server is certainly slower than another one of the group.
func (e SpeedEstimate) Slow() bool {
	return e.Relative > slowThreshold
}

// GroupSpeed compares the speed of the servers of one group by the times that statements
// of the same class take on them. It is safe for concurrent use. The pool calls it with
// its mutex held, so it calls nothing.
type GroupSpeed struct {
	mu      sync.Mutex
	servers []*ServerSpeed
}

// NewGroupSpeed returns a GroupSpeed without servers.
func NewGroupSpeed() *GroupSpeed {
	return &GroupSpeed{}
}

var _ Speed = &ServerSpeed{}

// ServerSpeed is the speed of one server. A server that was restarted gets a new one. It
// is safe for concurrent use.
type ServerSpeed struct {
	group *GroupSpeed
	slots int

	classes []*classTimes
	// failures is the fraction of statements that failed, without those that timed out.
	failures decayingMean
	// compared is the number of samples of classes that other servers run as well, and
	// comparedAt is when the last of them ended.
	compared   int
	comparedAt time.Time
	estimate   SpeedEstimate
	// estimatedAt is when estimate was computed.
	estimatedAt time.Time
	// probedAt is when the server was last tried, or failed or ended a statement that can be
	// compared, and confirmations says how many samples were not slow since the last slow
	// one, up to maxConfirmations.
	confirmations int
	probedAt      time.Time
	sampledAt     time.Time
}

// NewServer returns the speed of a new server with a number of slots, or zero if that is
// unknown.
func (g *GroupSpeed) NewServer(slots int) *ServerSpeed {
	return &ServerSpeed{estimate: SpeedEstimate{Age: -1, Relative: 1}, group: g, slots: slots}
}

// SetSlots sets the number of slots.
func (s *ServerSpeed) SetSlots(slots int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.slots = slots
}

// Remove ends the comparison of the other servers with this one, which is gone.
func (s *ServerSpeed) Remove() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.servers = slices.DeleteFunc(s.group.servers, func(other *ServerSpeed) bool { return other == s })
}

// Record adds a sample.
func (s *ServerSpeed) Record(sample Sample) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	now := sample.End
	s.group.retain(now, s)
	s.sampledAt = now
	if sample.Failed {
		s.probedAt = now
		s.failures.add(now, 1, failureMemory)
		s.confirm(false)
		return
	}
	s.failures.add(now, 0, failureMemory)
	times := s.addClass(sample.Class)
	if sample.TimedOut {
		times.timeouts.add(now, 1, failureMemory)
		s.probedAt = now
		s.confirm(false)
		return
	}
	times.timeouts.add(now, 0, failureMemory)
	logTime := math.Log((s.slotTime(sample) + transitTime).Seconds())
	times.mean.add(now, logTime, recentMemory)
	if _, reference, found := s.reference(now, sample.Class); found {
		s.comparedAt, s.probedAt = now, now
		s.compared++
		s.confirm(logTime-reference < math.Log(slowProbe))
	}
}

// confirm counts a sample that was slow or not.
func (s *ServerSpeed) confirm(usual bool) {
	if usual {
		s.confirmations = min(maxConfirmations, s.confirmations+1)
	} else {
		s.confirmations = 0
	}
}

// slotTime returns the time for which a statement used a slot of the server. A statement
// that began when all slots were in use has waited for one, on average as long as the
// number in service says.
func (s *ServerSpeed) slotTime(sample Sample) time.Duration {
	elapsed := max(0, sample.End.Sub(sample.Start))
	transit := min(elapsed, transitTime)
	return transit + time.Duration(float64(elapsed-transit)/max(1, s.load(sample.InService)))
}

// class returns the times of a class, or nil.
func (s *ServerSpeed) class(class StatementClass) *classTimes {
	for _, times := range s.classes {
		if times.class == class {
			return times
		}
	}
	return nil
}

// addClass returns the times of a class. A new one replaces the one that was not used for
// the longest time if there are too many.
func (s *ServerSpeed) addClass(class StatementClass) *classTimes {
	times := s.class(class)
	switch {
	case times != nil:
	case len(s.classes) < maxSpeedClasses:
		times = &classTimes{class: class}
		s.classes = append(s.classes, times)
	default:
		times = slices.MinFunc(s.classes, func(a, b *classTimes) int { return a.timeouts.at.Compare(b.timeouts.at) })
		*times = classTimes{class: class}
	}
	return times
}

// load returns the number of statements in service for each slot, or zero if the slots
// are unknown.
func (s *ServerSpeed) load(inService int) float64 {
	if s.slots <= 0 {
		return 0
	}
	return float64(inService) / float64(s.slots)
}

// retain adds a server to those that are compared, and removes those without recent
// samples.
func (g *GroupSpeed) retain(now time.Time, server *ServerSpeed) {
	kept, found := g.servers[:0], false
	for _, s := range g.servers {
		if s == server || now.Sub(s.sampledAt) <= speedRetention {
			kept = append(kept, s)
			found = found || s == server
		}
	}
	clear(g.servers[len(kept):])
	g.servers = kept
	if !found {
		g.servers = append(g.servers, server)
	}
}

// reference returns the least mean of a class over the other servers, and its weight. It
// reports false if no other server has run enough statements of the class recently.
func (s *ServerSpeed) reference(now time.Time, class StatementClass) (weight, value float64, found bool) {
	for _, other := range s.group.servers {
		if other == s {
			continue
		}
		times := other.class(class)
		if times == nil {
			continue
		}
		if w := times.mean.weightAt(now, recentMemory); w >= minReferenceWeight && (!found || times.mean.value < value) {
			weight, value, found = w, times.mean.value, true
		}
	}
	return weight, value, found
}

// refresh computes the estimate if it is older than speedRefreshInterval. The caller holds
// the group's mutex.
func (s *ServerSpeed) refresh(now time.Time) SpeedEstimate {
	if !s.estimatedAt.IsZero() && now.Sub(s.estimatedAt) < speedRefreshInterval {
		return s.estimate
	}
	s.estimatedAt = now
	difference, serviceLog := s.difference(now)
	e := SpeedEstimate{Age: -1, Relative: math.Exp(difference) * (1 + (failureFactor-1)*s.excessFailures(now))}
	if !s.comparedAt.IsZero() {
		e.Age = now.Sub(s.comparedAt)
	}
	if e.Slow() {
		e.ServiceTime = time.Duration(math.Exp(serviceLog)*e.Relative*float64(time.Second)) - transitTime
		// The time on the way, for which more statements than slots are in service, is a
		// lesser part of a longer time.
		perSlot := max(minInServicePerSlot, 1+(inServicePerSlot-1)*slowThreshold/e.Relative)
		e.Concurrency = int(math.Ceil(perSlot * float64(s.slots)))
	}
	s.estimate = e
	return e
}

// difference returns the difference between the logarithms of the times of this server and
// of the fastest other one, and that of the time of a statement on the latter. The classes
// are weighted by how certain both sides are. The prior draws the difference to zero.
func (s *ServerSpeed) difference(now time.Time) (difference, serviceLog float64) {
	sum, total, times := 0.0, 0.0, 0.0
	for _, class := range s.classes {
		weight, value, found := s.reference(now, class.class)
		own := class.mean.weightAt(now, recentMemory)
		if !found || own <= 0 {
			continue
		}
		w := own * weight / (own + weight)
		sum += w * (class.mean.value - value)
		times += w * value
		total += w
	}
	if total == 0 || s.compared < minComparedSamples {
		return 0, math.Log(initialService.Seconds())
	}
	return sum / (total + speedPrior), times / total
}

// excessFailures returns by how much the fraction of failed statements exceeds that of the
// best other server, and that of statements that timed out exceeds that of the best other
// server for the same class. It is zero without recent statements on another one. The first
// failures count for nothing.
func (s *ServerSpeed) excessFailures(now time.Time) float64 {
	excess := s.excess(now, &s.failures, func(other *ServerSpeed) *decayingMean { return &other.failures })
	for _, class := range s.classes {
		excess += s.excess(now, &class.timeouts, func(other *ServerSpeed) *decayingMean {
			if times := other.class(class.class); times != nil {
				return &times.timeouts
			}
			return nil
		})
	}
	return max(0, (excess-ignoredFailures)/(s.failures.weightAt(now, failureMemory)+speedPrior))
}

// excess returns the weight of the failures in a fraction of this server beyond the least
// one of the others, or zero if no other one has enough samples.
func (s *ServerSpeed) excess(now time.Time, own *decayingMean, fraction func(*ServerSpeed) *decayingMean) float64 {
	least, found := 0.0, false
	for _, other := range s.group.servers {
		if other == s {
			continue
		}
		failures := fraction(other)
		if failures == nil || failures.weightAt(now, failureMemory) < minReferenceWeight {
			continue
		}
		if !found || failures.value < least {
			least, found = failures.value, true
		}
	}
	if !found {
		return 0
	}
	return max(0, (own.value-least)*own.weightAt(now, failureMemory))
}

// Estimate returns what is known about the speed of the server.
func (s *ServerSpeed) Estimate(now time.Time) SpeedEstimate {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.refresh(now)
}

// Concurrency returns how many statements and handshakes should be in service, or zero if
// nothing speaks against the usual number.
func (s *ServerSpeed) Concurrency(now time.Time) int {
	return s.Estimate(now).Concurrency
}

// ServiceTime returns the time of a statement, or zero if the server isn't slow.
func (s *ServerSpeed) ServiceTime(now time.Time) time.Duration {
	return s.Estimate(now).ServiceTime
}

// TakeProbe reports whether a statement should try whether the server is still slow. The
// next one follows only after an interval.
func (s *ServerSpeed) TakeProbe(now time.Time) bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	interval := confirmInterval / time.Duration(max(1, s.confirmations))
	if s.confirmations == 0 {
		interval = time.Duration(max(1, s.refresh(now).Relative/probeRelative) * float64(probeInterval))
	}
	if !s.refresh(now).Slow() || now.Sub(s.probedAt) < interval {
		return false
	}
	s.probedAt = now
	return true
}
