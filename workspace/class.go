package workspace

import (
	"math"
	"time"
)

// Class is the urgency of a request, by which it competes for the tokens of a workspace
// over its rate. Zero is the most urgent one.
type Class int

// classCount is the number of classes. Lower priorities than the last class count as it.
const classCount = 4

const (
	// urgentReserveTime is how long the tokens that a workspace over its rate keeps
	// for more urgent requests last at their demand.
	urgentReserveTime = 150 * time.Millisecond
	// lessUrgentReservation replaces maxReservation for requests of a class if there
	// are more urgent ones, which may not be able to wait as long.
	lessUrgentReservation = 30 * time.Millisecond
	// minUrgentDemand is the demand of more urgent requests below which a class is
	// not restricted, as a fraction of the rate.
	minUrgentDemand = 0.02
	// classFloor is the fraction of a rate that less urgent requests get although
	// more urgent ones would use all of it.
	classFloor = 0.1
)

// ClassOf returns the class of a priority.
func ClassOf(priority int) Class {
	return Class(max(0, min(priority, classCount-1)))
}

// poolDemand measures the demand on one pool by class, to keep tokens for urgent requests
// while the workspace is over its rate.
type poolDemand struct {
	classes [classCount]float64
	// floor is the number of tokens that less urgent requests may still take.
	floor     float64
	updatedAt time.Time
}

func newPoolDemand(now time.Time) *poolDemand {
	return &poolDemand{floor: 1, updatedAt: now}
}

// record counts the tokens that are wanted by a request. The rate is that of the pool.
func (p *poolDemand) record(now time.Time, take TakeRequest, rate float64) {
	if elapsed := now.Sub(p.updatedAt); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		for class := range p.classes {
			p.classes[class] *= decay
		}
		p.floor = math.Min(math.Max(1, classFloor*rate), p.floor+classFloor*rate*elapsed.Seconds())
		p.updatedAt = now
	}
	p.classes[ClassOf(int(take.Class))] += math.Max(0, take.Want-take.Repeated) + take.Missed
}

// pressure returns the demand as a multiple of the rate.
func (p *poolDemand) pressure(rate float64) float64 {
	total := 0.0
	for _, demand := range p.classes {
		total += demand
	}
	return total / demandWindow.Seconds() / rate
}

// restriction returns the number of tokens to keep for requests that are more urgent than
// a class, and whether there are such requests.
func (p *poolDemand) restriction(class Class, rate float64) (keep float64, urgent bool) {
	demand := 0.0
	for _, more := range p.classes[:ClassOf(int(class))] {
		demand += more / demandWindow.Seconds()
	}
	if demand < minUrgentDemand*rate {
		return 0, false
	}
	if p.pressure(rate) > 1 {
		keep = math.Min(demand, rate) * urgentReserveTime.Seconds()
	}
	return keep, true
}

// owesFloor reports whether less urgent requests than those of a class may still take a
// token of their floor and want it, while the workspace is over its rate.
func (p *poolDemand) owesFloor(class Class, rate float64) bool {
	if p.floor < 1 || p.pressure(rate) <= 1 {
		return false
	}
	demand := 0.0
	for _, less := range p.classes[ClassOf(int(class))+1:] {
		demand += less / demandWindow.Seconds()
	}
	return demand >= classFloor*rate
}
