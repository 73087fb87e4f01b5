package workspace

import (
	"math"
	"time"
)

const (
	// demandMargin is how much more than the measured demand a share should
	// cover, because arrivals come in clumps.
	demandMargin = 1.2
	// demandReserve is the time of own demand that the level should cover.
	demandReserve = 100 * time.Millisecond
	// demandWindow is the time over which arrivals are averaged.
	demandWindow = time.Second
)

// Demand is the recent arrival rate of one workspace at this instance.
type Demand struct {
	at      time.Time
	starved bool
	weight  float64
}

// NewDemand returns a demand without arrivals.
func NewDemand(now time.Time) *Demand {
	return &Demand{at: now}
}

// Record counts one arrival.
func (d *Demand) Record(now time.Time, admitted bool) {
	d.decay(now)
	d.weight++
	d.starved = !admitted
}

// Rate returns the recent arrivals a second.
func (d *Demand) Rate(now time.Time) float64 {
	d.decay(now)
	return d.weight / demandWindow.Seconds()
}

func (d *Demand) decay(now time.Time) {
	if now.After(d.at) {
		d.weight *= math.Exp(-now.Sub(d.at).Seconds() / demandWindow.Seconds())
		d.at = now
	}
}

// Need returns the share that covers the recent demand. An instance that sees
// no requests needs nothing.
func (d *Demand) RequiredShare(now time.Time) Share {
	rate := d.Rate(now) * demandMargin
	reserve := rate * demandReserve.Seconds()
	return Share{Capacity: reserve, Level: reserve, Rate: rate}
}

// Wanted returns what is missing in the share. A share that cannot hold one
// whole request admits nothing, so at least that much is asked for.
func (d *Demand) Shortfall(now time.Time, share Share) Share {
	need := d.RequiredShare(now)
	reserve := math.Max(1, need.Level)
	return Share{
		Capacity: math.Max(0, reserve-share.Capacity),
		Level:    math.Max(0, reserve-share.Level),
		Rate:     math.Max(0, need.Rate-share.Rate),
	}
}

// Starved reports whether the last arrival was refused.
func (d *Demand) LastRefused() bool {
	return d.starved
}

// Spare divides a share for a peer that wants these amounts. The instance
// keeps what its own demand needs. Level moves only with as much capacity, so
// that it fits at the peer. What could not hold one whole request is of no use
// to this instance and is given as well.
func (d *Demand) SplitForPeer(now time.Time, share, wanted Share) (given, kept Share) {
	need := d.RequiredShare(now)
	given.Rate = spare(share.Rate, wanted.Rate, need.Rate)
	given.Level = spare(share.Level, wanted.Level, need.Level)
	given.Capacity = math.Max(given.Level, spare(share.Capacity, wanted.Capacity, need.Capacity))
	kept = Share{Capacity: share.Capacity - given.Capacity, Level: share.Level - given.Level, Rate: share.Rate - given.Rate}
	if given != (Share{}) && kept.Capacity < 1 {
		return share, Share{}
	}
	return given, kept.clamped()
}

// spare returns how much of what is held can be given.
func spare(held, wanted, need float64) float64 {
	return math.Max(0, math.Min(wanted, held-need))
}
