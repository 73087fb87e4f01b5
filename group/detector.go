package group

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// contactMarginPercent is the percentage of DetectTime after which a primary
	// that does not respond to instances counts as failed, although a majority of
	// the servers is in contact with it. The primary is then running, and the
	// requests may just have been lost. With a DetectTime of 900 ms and a
	// PollTimeout of 150 ms, nine calls in a row must be lost instead of six.
	contactMarginPercent = 150
	// suspectDivisor divides DetectTime to give the time without contact after
	// which a primary is suspected. It leaves time for confirming polls before
	// DetectTime.
	suspectDivisor = 3
)

// Health is the health of a group's primary as the detector sees it.
type Health string

// Health states of a primary.
const (
	// Failed means that the primary must be replaced by a promotion.
	Failed Health = "Failed"
	// Healthy means that there is no sign of a failure.
	Healthy Health = "Healthy"
	// Suspected means that the primary may have failed. The group is polled more
	// often.
	Suspected Health = "Suspected"
)

// Reason is why a primary is in its health state.
type Reason string

// Reasons for a health state.
const (
	// ReasonInstancesSilent means that the primary does not respond to this
	// instance, and, if it is Failed, to a majority of the live instances.
	ReasonInstancesSilent Reason = "InstancesSilent"
	// ReasonNone means that the primary is healthy.
	ReasonNone Reason = "None"
	// ReasonNoPrimary means that no primary of the newest term is known.
	ReasonNoPrimary Reason = "NoPrimary"
	// ReasonNoMajority means that fewer than a majority of the servers respond
	// to this instance.
	ReasonNoMajority Reason = "NoMajority"
	// ReasonPromiseAhead means that a server promised a later term than the
	// primary's, for example to a promoter that gave up. The server accepts no
	// more entries from the current primary.
	ReasonPromiseAhead Reason = "PromiseAhead"
	// ReasonReplicasSilent means that a replica has lost contact with the
	// primary, and, if the primary is Failed, that a majority of the servers has.
	ReasonReplicasSilent Reason = "ReplicasSilent"
)

// SuspicionReport reports that a primary does not respond to an instance.
type SuspicionReport struct {
	Instance fleet.InstanceID
	// ReceivedAt is the time at which the report arrived.
	ReceivedAt time.Time
	// Silence is how long the primary has left the instance's requests
	// unanswered.
	Silence time.Duration
	Term    fleet.Term
}

// Detection is the result of one step of a Detector.
type Detection struct {
	Health Health
	// NextPoll is the time at which all servers are to be polled again.
	NextPoll time.Time
	Reason   Reason
	// Silence is how long the primary has left requests of this instance
	// unanswered.
	Silence time.Duration
	// SuspectedAt is the time since which the primary has not been Healthy.
	// It is zero if it is Healthy.
	SuspectedAt time.Time
	// Term is the term of the primary.
	Term fleet.Term
}

// Detector detects whether the primary of a group has failed. It is not safe
// for concurrent use.
type Detector struct {
	silentReplicas []silenceReport
	lastStep       time.Time
	// noPrimarySince is the time since which no primary has been known and
	// highestPromised has not risen.
	noPrimarySince  time.Time
	highestPromised fleet.Term
	settings        Settings
	suspectedAt     time.Time
	term            fleet.Term
	// termSince is the time at which term became known.
	termSince time.Time
	// validSince is the time since which observations are used. It is the end
	// of the last pause of this instance.
	validSince time.Time
}

// silenceReport is the first status request to which a replica responded that it
// has lost contact with the primary.
type silenceReport struct {
	requestedAt time.Time
	server      fleet.ServerID
}

// NewDetector returns a detector without observations.
func NewDetector(settings Settings) *Detector {
	return &Detector{settings: settings}
}

// Step determines the health of the primary. The reports of the other instances
// and the number of live instances, including this one, are those known at the
// time now. Steps must not be further apart than PollInterval. A gap of more
// than twice that counts as a pause of this instance, and earlier observations
// are then not used.
func (d *Detector) Step(now time.Time, view View, reports []SuspicionReport, liveInstances int) Detection {
	d.discardAfterPause(now)
	d.trackPrimary(now, view)
	detection := Detection{Health: Healthy, Reason: ReasonNone, Silence: d.unansweredTime(now, view), Term: view.Term}
	d.evaluate(now, view, reports, liveInstances, &detection)
	if detection.Health == Healthy {
		d.suspectedAt = time.Time{}
	} else if d.suspectedAt.IsZero() {
		d.suspectedAt = now
	}
	detection.SuspectedAt = d.suspectedAt
	detection.NextPoll = now.Add(d.settings.PollInterval)
	if detection.Health != Healthy {
		detection.NextPoll = now.Add(d.settings.SuspectInterval)
	}
	return detection
}

// discardAfterPause discards earlier observations after a pause of this instance.
func (d *Detector) discardAfterPause(now time.Time) {
	limit := 2 * d.settings.PollInterval
	if d.lastStep.IsZero() || now.Sub(d.lastStep) > limit {
		d.validSince = now
		d.noPrimarySince = time.Time{}
		d.silentReplicas = nil
	}
	d.lastStep = now
}

// trackPrimary tracks since when the term has been known, and since when no
// primary has been known.
func (d *Detector) trackPrimary(now time.Time, view View) {
	if d.termSince.IsZero() || view.Term != d.term {
		d.term, d.termSince, d.silentReplicas = view.Term, now, nil
	}
	if view.Primary != "" {
		d.noPrimarySince = time.Time{}
		return
	}
	// A rising promised term shows that a promotion is in progress, so the
	// detection time starts again.
	if highestPromised := view.HighestPromisedTerm(); d.noPrimarySince.IsZero() || highestPromised > d.highestPromised {
		d.noPrimarySince, d.highestPromised = now, highestPromised
	}
}

// evaluate sets the health and its reason. The first condition that holds decides.
func (d *Detector) evaluate(now time.Time, view View, reports []SuspicionReport, liveInstances int, out *Detection) {
	silent, failed := d.countSilentReplicas(now, view)
	switch {
	case view.RespondedSince(d.evidenceSince(now)) < view.Majority():
		out.Health, out.Reason = Suspected, ReasonNoMajority
	case view.Primary == "":
		out.Health, out.Reason = Suspected, ReasonNoPrimary
		if now.Sub(d.noPrimarySince) >= d.settings.DetectTime {
			out.Health = Failed
		}
	case failed >= view.Majority():
		out.Health, out.Reason = Failed, ReasonReplicasSilent
	case d.hasSilentInstances(now, view, reports, liveInstances, out.Silence):
		out.Health, out.Reason = Failed, ReasonInstancesSilent
	case silent > 0:
		out.Health, out.Reason = Suspected, ReasonReplicasSilent
	case out.Silence >= d.suspectTime():
		out.Health, out.Reason = Suspected, ReasonInstancesSilent
	case d.hasPromiseAhead(now, view):
		out.Health, out.Reason = Suspected, ReasonPromiseAhead
	}
}

// hasSilentInstances reports whether the primary has not responded for the
// detection time to a majority of the live instances, including this one.
func (d *Detector) hasSilentInstances(now time.Time, view View, reports []SuspicionReport, liveInstances int, ownSilence time.Duration) bool {
	limit := d.settings.DetectTime
	if d.hasPrimaryContact(now, view) {
		limit = limit * contactMarginPercent / 100
	}
	if ownSilence < limit {
		return false
	}
	silentInstances := 1
	for i, report := range reports {
		if report.Term != view.Term || report.Silence < limit || report.ReceivedAt.Before(d.validSince) {
			continue
		}
		if !reportedBefore(reports[:i], report.Instance) {
			silentInstances++
		}
	}
	return silentInstances > liveInstances/2
}

// hasPrimaryContact reports whether a majority of the servers, including the
// primary, is known to have been in contact with the primary recently.
func (d *Detector) hasPrimaryContact(now time.Time, view View) bool {
	inContact := 1
	for _, server := range view.Servers {
		if server.Server != view.Primary && server.RespondedSince(d.evidenceSince(now)) &&
			server.Status.Term == view.Term && server.Status.PrimaryContact < d.suspectTime() {
			inContact++
		}
	}
	return inContact >= view.Majority()
}

// hasPromiseAhead reports whether a server that responds has promised a later
// term than the primary's.
func (d *Detector) hasPromiseAhead(now time.Time, view View) bool {
	for _, server := range view.Servers {
		if server.RespondedSince(d.evidenceSince(now)) && server.Status.PromisedTerm > view.Term {
			return true
		}
	}
	return false
}

// evidenceSince returns the earliest send time of a request whose response is
// recent enough to be used as evidence.
func (d *Detector) evidenceSince(now time.Time) time.Time {
	since := now.Add(-2 * d.settings.PollInterval)
	if since.Before(d.validSince) {
		return d.validSince
	}
	return since
}

// countSilentReplicas counts the replicas that report that they have lost contact
// with the primary, and those that reported it for at least DetectTime and in
// response to at least two requests. A replica that was itself paused reports it
// once, and is in contact with the primary again before the second request.
func (d *Detector) countSilentReplicas(now time.Time, view View) (silent, failed int) {
	var silentReplicas []silenceReport
	for _, server := range view.Servers {
		if server.Server == view.Primary || !server.RespondedSince(d.evidenceSince(now)) || d.primarySilence(server, view) < d.suspectTime() {
			continue
		}
		silent++
		first := d.firstSilenceReport(server)
		silentReplicas = append(silentReplicas, first)
		if d.primarySilence(server, view) >= d.settings.DetectTime && server.RequestedAt.After(first.requestedAt) {
			failed++
		}
	}
	d.silentReplicas = silentReplicas
	return silent, failed
}

// primarySilence returns for how long a replica has had no contact with the
// primary. A replica that does not follow the newest term yet reports the time
// since its contact with an older primary, so only the time since the newest
// term became known counts.
func (d *Detector) primarySilence(server ServerView, view View) time.Duration {
	if server.Status.Term == view.Term {
		return server.Status.PrimaryContact
	}
	return min(server.Status.PrimaryContact, server.RequestedAt.Sub(d.termSince))
}

// firstSilenceReport returns the first report of a replica's current loss of
// contact, which is its latest response if none is known.
func (d *Detector) firstSilenceReport(server ServerView) silenceReport {
	for _, report := range d.silentReplicas {
		if report.server == server.Server {
			return report
		}
	}
	return silenceReport{requestedAt: server.RequestedAt, server: server.Server}
}

// unansweredTime returns the time since the first request that the primary left
// unanswered. The time before that request is not counted, because it does not
// show that the primary was unresponsive.
func (d *Detector) unansweredTime(now time.Time, view View) time.Duration {
	primary, found := view.Server(view.Primary)
	if !found || primary.Failures == 0 {
		return 0
	}
	since := primary.FailingSince
	if since.Before(d.validSince) {
		since = d.validSince
	}
	return now.Sub(since)
}

func (d *Detector) suspectTime() time.Duration {
	return d.settings.DetectTime / suspectDivisor
}

// reportedBefore reports whether one of the reports is from the instance, so that
// an instance is counted only once.
func reportedBefore(reports []SuspicionReport, instance fleet.InstanceID) bool {
	for _, report := range reports {
		if report.Instance == instance {
			return true
		}
	}
	return false
}
