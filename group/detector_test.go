package group_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

// detectorRun steps a detector over statuses with given times since contact with
// the primary.
type detectorRun struct {
	detector *group.Detector
	now      time.Time
	view     group.View
}

func newDetectorRun() *detectorRun {
	now := time.Unix(1000, 0)
	return &detectorRun{
		detector: group.NewDetector(group.DefaultSettings()), now: now,
		view: healthyView(now, map[fleet.ServerID]fleet.LogPosition{"a": 1, "b": 1, "c": 1}),
	}
}

// step advances the time, observes the servers and steps the detector. The
// durations b and c are the times since the replicas b and c were in contact with
// the primary; a negative one means that the replica does not respond.
func (r *detectorRun) step(after time.Duration, primaryResponds bool, b, c time.Duration, reports ...group.SuspicionReport) group.Detection {
	r.now = r.now.Add(after)
	for id, contact := range map[fleet.ServerID]time.Duration{"b": b, "c": c} {
		r.observe(id, contact >= 0, contact)
	}
	r.observe("a", primaryResponds, 0)
	return r.detector.Step(r.now, r.view, reports, 3)
}

func (r *detectorRun) observe(id fleet.ServerID, responds bool, contact time.Duration) {
	if !responds {
		r.view = r.view.RecordFailure(id, r.now)
		return
	}
	server, _ := r.view.Server(id)
	server.Status.PrimaryContact = contact
	r.view = r.view.Observe(group.Observation{RespondedAt: r.now, RequestedAt: r.now, Server: id, Status: server.Status})
}

// run steps every 50 ms for a duration and returns the last detection.
func (r *detectorRun) run(d time.Duration, primaryResponds bool, contact func(time.Duration) (b, c time.Duration), reports ...group.SuspicionReport) group.Detection {
	var last group.Detection
	for elapsed := time.Duration(0); elapsed <= d; elapsed += 50 * time.Millisecond {
		b, c := contact(elapsed)
		for i := range reports {
			reports[i].ReceivedAt = r.now
		}
		last = r.step(50*time.Millisecond, primaryResponds, b, c, reports...)
	}
	return last
}

func contactRecent(time.Duration) (b, c time.Duration)      { return 0, 0 }
func contactLost(d time.Duration) (b, c time.Duration)      { return d, d }
func contactLostByOne(d time.Duration) (b, c time.Duration) { return 0, d }
func contactOverdue(time.Duration) (b, c time.Duration) {
	return 400 * time.Millisecond, 400 * time.Millisecond
}
func noResponses(time.Duration) (b, c time.Duration) { return -1, -1 }

// TestDetectorHealth guards against undetected failures and false alarms.
func TestDetectorHealth(t *testing.T) {
	const short, long = 1200 * time.Millisecond, 1500 * time.Millisecond
	report := func(instance fleet.InstanceID, term fleet.Term) group.SuspicionReport {
		return group.SuspicionReport{Instance: instance, Silence: 2 * time.Second, Term: term}
	}
	for _, tc := range []struct {
		name    string
		after   time.Duration
		primary bool
		contact func(time.Duration) (b, c time.Duration)
		reports []group.SuspicionReport
		health  group.Health
		reason  group.Reason
	}{
		{"Healthy", short, true, contactRecent, nil, group.Healthy, group.ReasonNone},
		{"Crash", short, false, contactLost, nil, group.Failed, group.ReasonReplicasSilent},
		{"CutOffPrimary", short, true, contactLost, nil, group.Failed, group.ReasonReplicasSilent},
		{"OneReplicaSilent", short, true, contactLostByOne, nil, group.Suspected, group.ReasonReplicasSilent},
		{"OnlyThisInstance", short, false, contactRecent, nil, group.Suspected, group.ReasonInstancesSilent},
		{"MostInstances", long, false, contactRecent, []group.SuspicionReport{report("2", 1)}, group.Failed, group.ReasonInstancesSilent},
		{"MostInstancesOneInContact", long, false, contactLostByOne, []group.SuspicionReport{report("2", 1)}, group.Failed, group.ReasonInstancesSilent},
		{"MostInstancesWithoutContact", short, false, contactOverdue, []group.SuspicionReport{report("2", 1)}, group.Failed, group.ReasonInstancesSilent},
		{"MostInstancesTooEarly", short, false, contactRecent, []group.SuspicionReport{report("2", 1)}, group.Suspected, group.ReasonInstancesSilent},
		{"ReportsOfOlderTerm", short, false, contactRecent, []group.SuspicionReport{report("2", 0)}, group.Suspected, group.ReasonInstancesSilent},
		{"PrimaryAnswers", short, true, contactRecent, []group.SuspicionReport{report("2", 1), report("3", 1)}, group.Healthy, group.ReasonNone},
		{"NoMajority", short, false, noResponses, []group.SuspicionReport{report("2", 1), report("3", 1)}, group.Suspected, group.ReasonNoMajority},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := newDetectorRun().run(tc.after, tc.primary, tc.contact, tc.reports...)
			if diff := cmp.Diff([]string{string(tc.health), string(tc.reason)}, []string{string(got.Health), string(got.Reason)}); diff != "" {
				t.Errorf("health and reason (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDetectorAfterPause guards against an instance that was paused and then
// decides by observations from before the pause.
func TestDetectorAfterPause(t *testing.T) {
	r := newDetectorRun()
	r.run(800*time.Millisecond, false, contactLost)
	r.now = r.now.Add(5 * time.Second)
	if got := r.detector.Step(r.now, r.view, nil, 3); got.Health == group.Failed {
		t.Errorf("detection %+v right after a pause, want no failure", got)
	}
	if got := r.run(200*time.Millisecond, true, contactRecent); got.Health != group.Healthy {
		t.Errorf("detection %+v, want %s", got, group.Healthy)
	}
}

// TestDetectorPausedReplicas guards against a false alarm when replicas that were
// paused at the same time each report once that they lost contact with the
// primary.
func TestDetectorPausedReplicas(t *testing.T) {
	r := newDetectorRun()
	r.run(200*time.Millisecond, true, contactRecent)
	if got := r.step(50*time.Millisecond, true, 3*time.Second, 3*time.Second); got.Health != group.Suspected {
		t.Errorf("detection %+v, want %s", got, group.Suspected)
	}
	if got := r.step(50*time.Millisecond, true, 0, 0); got.Health != group.Healthy {
		t.Errorf("detection %+v, want %s", got, group.Healthy)
	}
}
