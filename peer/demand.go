package peer

import (
	"math"
	"time"

	"github.com/nutmegpier/nutmegpier/workspace"
)

const (
	// demandMargin is how much more than the measured demand a share should
	// cover, because arrivals come in clumps.
	demandMargin = 1.2
	// demandReserve is the time of own demand that the level should cover.
	demandReserve = 200 * time.Millisecond
	// demandWindow is the time over which arrivals are averaged.
	demandWindow = time.Second
)

// demand is the recent arrival rate of one workspace at this instance.
type demand struct {
	at      time.Time
	starved bool
	weight  float64
}

// record counts one arrival.
func (d *demand) record(now time.Time, admitted bool) {
	d.decay(now)
	d.weight++
	d.starved = !admitted
}

// rate returns the recent arrivals a second.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return d.weight / demandWindow.Seconds()
}

func (d *demand) decay(now time.Time) {
	if now.After(d.at) {
		d.weight *= math.Exp(-now.Sub(d.at).Seconds() / demandWindow.Seconds())
		d.at = now
	}
}

// need returns the share that covers the recent demand. An instance that sees
// no requests needs nothing.
func (d *demand) need(now time.Time) workspace.Share {
	rate := d.rate(now) * demandMargin
	reserve := rate * demandReserve.Seconds()
	return workspace.Share{Capacity: reserve, Level: reserve, Rate: rate}
}

// wanted returns what is missing in the share. A share that cannot hold one
// whole request admits nothing, so at least that much is asked for.
func (d *demand) wanted(now time.Time, share workspace.Share) workspace.Share {
	need := d.need(now)
	reserve := math.Max(1, need.Level)
	return workspace.Share{
		Capacity: math.Max(0, reserve-share.Capacity),
		Level:    math.Max(0, reserve-share.Level),
		Rate:     math.Max(0, need.Rate-share.Rate),
	}
}

// spare returns the fraction of a share that is left over for a peer that
// wants these amounts.
func (d *demand) spare(now time.Time, share, wanted workspace.Share) float64 {
	need := d.need(now)
	asked := math.Max(part(wanted.Rate, share.Rate), math.Max(part(wanted.Capacity, share.Capacity), part(wanted.Level, share.Level)))
	kept := math.Max(part(need.Rate, share.Rate), part(need.Capacity, share.Capacity))
	return math.Max(0, math.Min(asked, 1-kept))
}

// part returns what fraction of whole the amount is, at most one.
func part(amount, whole float64) float64 {
	if amount <= 0 {
		return 0
	}
	if amount >= whole {
		return 1
	}
	return amount / whole
}
