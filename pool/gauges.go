package pool

import (
	"maps"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// RefusalReason says why a request did not get a connection.
type RefusalReason string

// Reasons of refusals.
const (
	// RefusedOnArrival means that the expected wait exceeded the time that the request
	// had.
	RefusedOnArrival RefusalReason = "OnArrival"
	// RefusedInQueue means that the expected wait came to exceed the time that was left.
	RefusedInQueue RefusalReason = "InQueue"
	// RefusedAtDeadline means that the request waited until its deadline.
	RefusedAtDeadline RefusalReason = "AtDeadline"
	// RefusedTransaction means that transactions hold all connections that they may, and
	// none is expected to end in time.
	RefusedTransaction RefusalReason = "Transactions"
)

// refusalTexts are the texts of the reasons for callers and the log.
var refusalTexts = map[RefusalReason]string{
	RefusedOnArrival:   "the server has too many requests to serve this one in time",
	RefusedInQueue:     "the server can no longer serve this request in time",
	RefusedAtDeadline:  "all connections to the server are in use",
	RefusedTransaction: "the server has too many open transactions to begin this one in time",
}

// Gauges describe the load of one server as this instance sees it.
type Gauges struct {
	// ExpectedWaitMilliseconds is the expected wait of the next request.
	ExpectedWaitMilliseconds int64
	// HandshakeMilliseconds and ServiceMilliseconds are the mean times of a handshake and
	// a statement.
	HandshakeMilliseconds float64
	Idle                  int
	InService             int
	InTransactions        int
	// Limit is the limit in force, which a server that refuses connections lowers.
	Limit                  int
	OldestWaitMilliseconds int64
	Open                   int
	Refusals               map[RefusalReason]int64
	ServiceMilliseconds    float64
	// Speed is nil without a comparison with the other servers of the group.
	Speed   *SpeedGauges `json:",omitempty"`
	Waiting int
}

// SpeedGauges say how fast a server is in comparison with the others of its group.
type SpeedGauges struct {
	// AgeMilliseconds is the age of the last statement that could be compared, or negative.
	AgeMilliseconds int64
	// Concurrency is the bound of InService, or zero for the usual one.
	Concurrency int
	// Relative is the service time divided by that of the fastest other server.
	Relative float64
}

// Gauges returns the gauges of all servers.
func (p *Pool) Gauges(now time.Time) map[fleet.ServerID]Gauges {
	p.mu.Lock()
	defer p.mu.Unlock()
	gauges := make(map[fleet.ServerID]Gauges, len(p.servers))
	for id, s := range p.servers {
		gauges[id] = s.gauges(now)
	}
	return gauges
}

func (s *serverState) gauges(now time.Time) Gauges {
	g := Gauges{
		HandshakeMilliseconds: s.handshake.get().Seconds() * 1000, Idle: len(s.idle), InService: s.inService, InTransactions: s.transactions,
		Limit: s.limit, Open: s.open, Refusals: maps.Clone(s.refusals), ServiceMilliseconds: s.serviceTime.Seconds() * 1000, Waiting: s.waiting(),
	}
	if speed, ok := s.server.Speed.(*ServerSpeed); ok {
		e := speed.Estimate(now)
		g.Speed = &SpeedGauges{AgeMilliseconds: max(-1, e.Age.Milliseconds()), Concurrency: e.Concurrency, Relative: e.Relative}
	}
	if s.queue.size > 0 {
		g.ExpectedWaitMilliseconds = (time.Duration(s.queue.size+1) * s.interval.get()).Milliseconds()
		g.OldestWaitMilliseconds = now.Sub(s.queue.oldest()).Milliseconds()
	}
	return g
}
