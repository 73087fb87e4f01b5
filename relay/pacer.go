package relay

import "time"

const (
	// defaultLinkMegabits is the assumed link of an instance whose settings name none.
	defaultLinkMegabits = 50
	// copyLinkShare is the part of the link that whole tables may use, so that a
	// simultaneous start of all readers does not delay changes, statements and tokens.
	copyLinkShare = 0.5
	// maxCopyBacklog is the time for which the admitted copies may occupy that part of
	// the link. A reader waits for its copy for 2 s.
	maxCopyBacklog = 300 * time.Millisecond
)

// Pacer bounds the whole tables that a relay sends, by the time that they take on its
// link. It isn't safe for concurrent use.
type Pacer struct {
	bytesPerSecond float64
	// busyUntil is when the admitted copies have been sent.
	busyUntil time.Time
	// refused counts the refusals since the last admitted copy, each of which returns
	// later.
	refused int
}

// NewPacer returns a Pacer for a link. Zero means that the link is not known.
func NewPacer(linkMegabits float64) *Pacer {
	if linkMegabits <= 0 {
		linkMegabits = defaultLinkMegabits
	}
	const bytesPerMegabit = 1e6 / 8
	return &Pacer{bytesPerSecond: linkMegabits * copyLinkShare * bytesPerMegabit}
}

// Admit reports whether a copy may be sent now, and otherwise when to ask again. Refused
// readers get different times, so that they do not return together.
func (p *Pacer) Admit(now time.Time, bytes int) (retryAfter time.Duration, admitted bool) {
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	duration := time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second))
	if backlog := p.busyUntil.Sub(now); backlog > maxCopyBacklog {
		p.refused++
		return backlog - maxCopyBacklog + time.Duration(p.refused)*duration, false
	}
	p.refused = 0
	p.busyUntil = p.busyUntil.Add(duration)
	return 0, true
}
