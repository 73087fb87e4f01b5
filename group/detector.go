package group

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// contactMargin is the percentage of DetectTime for which instances must
	// get no answer while a majority of servers hears from the primary. The
	// primary then runs, so the requests may have been lost. With 900 ms and
	// 150 ms a call that takes nine lost calls in a row instead of six.
	contactMargin = 150
	// suspectFraction is the part of DetectTime after which silence makes a
	// primary suspected. It leaves time for confirming polls before DetectTime.
	suspectFraction = 3
)

// Health is the detector's judgement of a group's primary.
type Health string

// Judgements of a primary.
const (
	// Failed means that a promotion is due.
	Failed Health = "Failed"
	// Healthy means that nothing speaks against the primary.
	Healthy Health = "Healthy"
	// Suspected means that the group is polled more often.
	Suspected Health = "Suspected"
)

// Reason says what a judgement rests on.
type Reason string

// Reasons of judgements.
const (
	// ReasonInstancesSilent means that a majority of live instances gets no answer.
	ReasonInstancesSilent Reason = "InstancesSilent"
	// ReasonNone means that the primary is healthy.
	ReasonNone Reason = "None"
	// ReasonNoPrimary means that no server leads the newest promised term.
	ReasonNoPrimary Reason = "NoPrimary"
	// ReasonNoMajority means that too few servers answer this instance.
	ReasonNoMajority Reason = "NoMajority"
	// ReasonPromiseAhead means that a server promised a later term to a promoter
	// that gave up. It takes no entry of the present primary any more.
	ReasonPromiseAhead Reason = "PromiseAhead"
	// ReasonReplicasSilent means that a majority of servers lost the primary.
	ReasonReplicasSilent Reason = "ReplicasSilent"
)

// SuspicionReport says that an instance gets no answer from a primary.
type SuspicionReport struct {
	Instance fleet.InstanceID
	// Received is the time at which the report arrived.
	ReceivedAt time.Time
	// Silence is the time for which the primary left requests unanswered.
	Silence time.Duration
	Term    fleet.Term
}

// Detection is the outcome of one step of a Detector.
type Detection struct {
	Health Health
	// NextPoll is the time at which all servers are to be asked again.
	NextPoll time.Time
	Reason   Reason
	// Silence is the time for which the primary has left requests unanswered.
	Silence time.Duration
	// Suspected is the time at which the present suspicion began.
	SuspectedAt time.Time
	// Term is the term of the primary that is judged.
	Term fleet.Term
}

// Detector judges whether the primary of a group has failed. It is not safe
// for concurrent use.
type Detector struct {
	confirmed    []confirmation
	lastStep     time.Time
	leaderless   time.Time
	promised     fleet.Term
	settings     Settings
	suspected    time.Time
	term         fleet.Term
	termSince    time.Time
	trustedSince time.Time
}

// confirmation is the first request in which a replica reported a silence.
type confirmation struct {
	asked  time.Time
	server fleet.ServerID
}

// NewDetector returns a detector that has seen nothing yet.
func NewDetector(settings Settings) *Detector {
	return &Detector{settings: settings}
}

// Step judges the primary. Peers' reports and the number of live instances,
// this one included, are those known at the time now. Steps must not be
// further apart than PollInterval; a longer gap counts as a pause of this
// instance, and what was observed before it is not used.
func (d *Detector) Step(now time.Time, view View, reports []SuspicionReport, live int) Detection {
	d.resume(now)
	d.follow(now, view)
	detection := Detection{Health: Healthy, Reason: ReasonNone, Silence: d.silence(now, view), Term: view.Term}
	d.judge(now, view, reports, live, &detection)
	if detection.Health == Healthy {
		d.suspected = time.Time{}
	} else if d.suspected.IsZero() {
		d.suspected = now
	}
	detection.SuspectedAt = d.suspected
	detection.NextPoll = now.Add(d.settings.PollInterval)
	if detection.Health != Healthy {
		detection.NextPoll = now.Add(d.settings.SuspectInterval)
	}
	return detection
}

// resume discards older observations after a pause of this instance.
func (d *Detector) resume(now time.Time) {
	limit := 2 * d.settings.PollInterval
	if d.lastStep.IsZero() || now.Sub(d.lastStep) > limit {
		d.trustedSince = now
		d.leaderless = time.Time{}
		d.confirmed = nil
	}
	d.lastStep = now
}

// follow notes since when the term and the lack of a primary are known.
func (d *Detector) follow(now time.Time, view View) {
	if d.termSince.IsZero() || view.Term != d.term {
		d.term, d.termSince, d.confirmed = view.Term, now, nil
	}
	if view.Primary != "" {
		d.leaderless = time.Time{}
		return
	}
	// A growing promise shows a promoter at work.
	if promised := view.HighestPromisedTerm(); d.leaderless.IsZero() || promised > d.promised {
		d.leaderless, d.promised = now, promised
	}
}

func (d *Detector) judge(now time.Time, view View, reports []SuspicionReport, live int, out *Detection) {
	silent, failed := d.replicas(now, view)
	switch {
	case view.RespondedSince(d.recent(now)) < view.Majority():
		out.Health, out.Reason = Suspected, ReasonNoMajority
	case view.Primary == "":
		out.Health, out.Reason = Suspected, ReasonNoPrimary
		if now.Sub(d.leaderless) >= d.settings.DetectTime {
			out.Health = Failed
		}
	case failed >= view.Majority():
		out.Health, out.Reason = Failed, ReasonReplicasSilent
	case d.instancesSilent(now, view, reports, live, out.Silence):
		out.Health, out.Reason = Failed, ReasonInstancesSilent
	case silent > 0:
		out.Health, out.Reason = Suspected, ReasonReplicasSilent
	case out.Silence >= d.suspectTime():
		out.Health, out.Reason = Suspected, ReasonInstancesSilent
	case d.promiseAhead(now, view):
		out.Health, out.Reason = Suspected, ReasonPromiseAhead
	}
}

// instancesSilent reports whether this and a majority of live instances get no
// answer from the primary.
func (d *Detector) instancesSilent(now time.Time, view View, reports []SuspicionReport, live int, own time.Duration) bool {
	limit := d.settings.DetectTime
	if d.inContact(now, view) {
		limit = limit * contactMargin / 100
	}
	if own < limit {
		return false
	}
	n := 1
	for i, report := range reports {
		if report.Term != view.Term || report.Silence < limit || report.ReceivedAt.Before(d.trustedSince) {
			continue
		}
		if !reportedBefore(reports[:i], report.Instance) {
			n++
		}
	}
	return n > live/2
}

// inContact reports whether a majority of the servers, the primary included,
// is known to have heard from the primary recently.
func (d *Detector) inContact(now time.Time, view View) bool {
	n := 1
	for _, server := range view.Servers {
		if server.Server != view.Primary && server.RespondedSince(d.recent(now)) &&
			server.Status.Term == view.Term && server.Status.PrimaryContact < d.suspectTime() {
			n++
		}
	}
	return n >= view.Majority()
}

// promiseAhead reports whether a server that answers promised a term above
// that of the primary.
func (d *Detector) promiseAhead(now time.Time, view View) bool {
	for _, server := range view.Servers {
		if server.RespondedSince(d.recent(now)) && server.Status.PromisedTerm > view.Term {
			return true
		}
	}
	return false
}

// recent returns the time since which an answer must have been asked for to
// be used as evidence.
func (d *Detector) recent(now time.Time) time.Time {
	since := now.Add(-2 * d.settings.PollInterval)
	if since.Before(d.trustedSince) {
		return d.trustedSince
	}
	return since
}

// replicas counts the replicas that report silence of the primary, and those
// whose silence reached DetectTime and was reported at least twice. A replica
// that was itself paused reports silence once and hears from the primary
// before the second request.
func (d *Detector) replicas(now time.Time, view View) (silent, failed int) {
	var confirmed []confirmation
	for _, server := range view.Servers {
		if server.Server == view.Primary || !server.RespondedSince(d.recent(now)) || d.contact(server, view) < d.suspectTime() {
			continue
		}
		silent++
		first := d.firstSilence(server)
		confirmed = append(confirmed, first)
		if d.contact(server, view) >= d.settings.DetectTime && server.RequestedAt.After(first.asked) {
			failed++
		}
	}
	d.confirmed = confirmed
	return silent, failed
}

// contact returns the silence that a replica reports. A replica that does not
// follow the newest term yet reports the silence of an older primary, so only
// the time since the newest term became known counts.
func (d *Detector) contact(server ServerView, view View) time.Duration {
	if server.Status.Term == view.Term {
		return server.Status.PrimaryContact
	}
	return min(server.Status.PrimaryContact, server.RequestedAt.Sub(d.termSince))
}

func (d *Detector) firstSilence(server ServerView) confirmation {
	for _, known := range d.confirmed {
		if known.server == server.Server {
			return known
		}
	}
	return confirmation{asked: server.RequestedAt, server: server.Server}
}

// silence returns the time since the first request that the primary left
// unanswered. The time without requests before it says nothing.
func (d *Detector) silence(now time.Time, view View) time.Duration {
	primary, found := view.Server(view.Primary)
	if !found || primary.Failures == 0 {
		return 0
	}
	since := primary.FailingSince
	if since.Before(d.trustedSince) {
		since = d.trustedSince
	}
	return now.Sub(since)
}

func (d *Detector) suspectTime() time.Duration {
	return d.settings.DetectTime / suspectFraction
}

func reportedBefore(reports []SuspicionReport, instance fleet.InstanceID) bool {
	for _, report := range reports {
		if report.Instance == instance {
			return true
		}
	}
	return false
}
