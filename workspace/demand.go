package workspace

import (
	"math"
	"time"
)

const (
	// demandMargin is the factor by which a share should exceed the measured
	// demand, because arrivals come in bursts.
	demandMargin = 1.2
	// demandReserveTime is how long the tokens in the bucket should last at the
	// instance's own demand.
	demandReserveTime = 100 * time.Millisecond
	// demandWindow is the time constant of the average of the arrival rate.
	demandWindow = time.Second
)

// Demand measures the recent arrival rate of one workspace at this instance.
type Demand struct {
	updatedAt    time.Time
	lastRefused  bool
	decayedCount float64
}

// NewDemand returns a Demand without arrivals.
func NewDemand(now time.Time) *Demand {
	return &Demand{updatedAt: now}
}

// Record counts one arrival.
func (d *Demand) Record(now time.Time, admitted bool) {
	d.decay(now)
	d.decayedCount++
	d.lastRefused = !admitted
}

// Rate returns the recent arrivals per second.
func (d *Demand) Rate(now time.Time) float64 {
	d.decay(now)
	return d.decayedCount / demandWindow.Seconds()
}

// decay ages the count of arrivals up to now.
func (d *Demand) decay(now time.Time) {
	if now.After(d.updatedAt) {
		d.decayedCount *= math.Exp(-now.Sub(d.updatedAt).Seconds() / demandWindow.Seconds())
		d.updatedAt = now
	}
}

// RequiredShare returns the share that covers the recent demand. It is zero for an
// instance without requests.
func (d *Demand) RequiredShare(now time.Time) Share {
	rate := d.Rate(now) * demandMargin
	reserve := rate * demandReserveTime.Seconds()
	return Share{Capacity: reserve, Level: reserve, Rate: rate}
}

// Shortfall returns by how much the share falls short of the demand. A share with a
// capacity below one request admits nothing, so the result makes up for at least one
// request.
func (d *Demand) Shortfall(now time.Time, share Share) Share {
	need := d.RequiredShare(now)
	reserve := math.Max(1, need.Level)
	return Share{
		Capacity: math.Max(0, reserve-share.Capacity),
		Level:    math.Max(0, reserve-share.Level),
		Rate:     math.Max(0, need.Rate-share.Rate),
	}
}

// LastRefused reports whether the last arrival was refused.
func (d *Demand) LastRefused() bool {
	return d.lastRefused
}

// SplitForPeer splits off up to the wanted amounts of a share for a peer. The instance
// keeps what its own demand requires. The level that is given comes with as much
// capacity, so that it fits into the peer's bucket. If the rest has a capacity below
// one request, it is useless to this instance and is given as well.
func (d *Demand) SplitForPeer(now time.Time, share, wanted Share) (given, kept Share) {
	need := d.RequiredShare(now)
	given.Rate = surplus(share.Rate, wanted.Rate, need.Rate)
	given.Level = surplus(share.Level, wanted.Level, need.Level)
	given.Capacity = math.Max(given.Level, surplus(share.Capacity, wanted.Capacity, need.Capacity))
	kept = Share{Capacity: share.Capacity - given.Capacity, Level: share.Level - given.Level, Rate: share.Rate - given.Rate}
	if given != (Share{}) && kept.Capacity < 1 {
		return share, Share{}
	}
	return given, kept.clamped()
}

// surplus returns how much of the held amount can be given away.
func surplus(held, wanted, need float64) float64 {
	return math.Max(0, math.Min(wanted, held-need))
}
