package group_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

// detectorRun steps a detector every 50 ms over statuses with given contacts.
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

// step advances the time and the contacts of the replicas b and c; a negative
// contact means that the server does not answer.
func (r *detectorRun) step(after time.Duration, primary bool, b, c time.Duration, reports ...group.SuspicionReport) group.Detection {
	r.now = r.now.Add(after)
	for id, contact := range map[fleet.ServerID]time.Duration{"b": b, "c": c} {
		r.observe(id, contact >= 0, contact)
	}
	r.observe("a", primary, 0)
	return r.detector.Step(r.now, r.view, reports, 3)
}

func (r *detectorRun) observe(id fleet.ServerID, answers bool, contact time.Duration) {
	if !answers {
		r.view = r.view.RecordFailure(id, r.now)
		return
	}
	server, _ := r.view.Server(id)
	server.Status.PrimaryContact = contact
	r.view = r.view.Observe(group.Observation{RespondedAt: r.now, RequestedAt: r.now, Server: id, Status: server.Status})
}

// run steps until the end and returns the last judgement.
func (r *detectorRun) run(d time.Duration, primary bool, contact func(time.Duration) (b, c time.Duration), reports ...group.SuspicionReport) group.Detection {
	var last group.Detection
	for past := time.Duration(0); past <= d; past += 50 * time.Millisecond {
		b, c := contact(past)
		for i := range reports {
			reports[i].ReceivedAt = r.now
		}
		last = r.step(50*time.Millisecond, primary, b, c, reports...)
	}
	return last
}

func heard(time.Duration) (b, c time.Duration)       { return 0, 0 }
func silent(d time.Duration) (b, c time.Duration)    { return d, d }
func oneSilent(d time.Duration) (b, c time.Duration) { return 0, d }
func unconnected(time.Duration) (b, c time.Duration) {
	return 400 * time.Millisecond, 400 * time.Millisecond
}
func unheard(time.Duration) (b, c time.Duration) { return -1, -1 }

// TestDetectorJudges guards against missed failures and false alarms.
func TestDetectorJudges(t *testing.T) {
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
		{"Healthy", short, true, heard, nil, group.Healthy, group.ReasonNone},
		{"Crash", short, false, silent, nil, group.Failed, group.ReasonReplicasSilent},
		{"CutOffPrimary", short, true, silent, nil, group.Failed, group.ReasonReplicasSilent},
		{"OneReplicaSilent", short, true, oneSilent, nil, group.Suspected, group.ReasonReplicasSilent},
		{"OnlyThisInstance", short, false, heard, nil, group.Suspected, group.ReasonInstancesSilent},
		{"MostInstances", long, false, heard, []group.SuspicionReport{report("2", 1)}, group.Failed, group.ReasonInstancesSilent},
		{"MostInstancesOneInContact", long, false, oneSilent, []group.SuspicionReport{report("2", 1)}, group.Failed, group.ReasonInstancesSilent},
		{"MostInstancesWithoutContact", short, false, unconnected, []group.SuspicionReport{report("2", 1)}, group.Failed, group.ReasonInstancesSilent},
		{"MostInstancesTooEarly", short, false, heard, []group.SuspicionReport{report("2", 1)}, group.Suspected, group.ReasonInstancesSilent},
		{"ReportsOfOlderTerm", short, false, heard, []group.SuspicionReport{report("2", 0)}, group.Suspected, group.ReasonInstancesSilent},
		{"PrimaryAnswers", short, true, heard, []group.SuspicionReport{report("2", 1), report("3", 1)}, group.Healthy, group.ReasonNone},
		{"NoMajority", short, false, unheard, []group.SuspicionReport{report("2", 1), report("3", 1)}, group.Suspected, group.ReasonNoMajority},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := newDetectorRun().run(tc.after, tc.primary, tc.contact, tc.reports...)
			if diff := cmp.Diff([]string{string(tc.health), string(tc.reason)}, []string{string(got.Health), string(got.Reason)}); diff != "" {
				t.Errorf("judgement (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDetectorAfterPause guards against an instance that was paused and
// decides on what it saw before.
func TestDetectorAfterPause(t *testing.T) {
	r := newDetectorRun()
	r.run(800*time.Millisecond, false, silent)
	r.now = r.now.Add(5 * time.Second)
	if got := r.detector.Step(r.now, r.view, nil, 3); got.Health == group.Failed {
		t.Errorf("judgement %+v right after a pause", got)
	}
	if got := r.run(200*time.Millisecond, true, heard); got.Health != group.Healthy {
		t.Errorf("judgement %+v, want %s", got, group.Healthy)
	}
}

// TestDetectorPausedReplicas guards against replicas that were paused together
// and report one long silence.
func TestDetectorPausedReplicas(t *testing.T) {
	r := newDetectorRun()
	r.run(200*time.Millisecond, true, heard)
	if got := r.step(50*time.Millisecond, true, 3*time.Second, 3*time.Second); got.Health != group.Suspected {
		t.Errorf("judgement %+v, want %s", got, group.Suspected)
	}
	if got := r.step(50*time.Millisecond, true, 0, 0); got.Health != group.Healthy {
		t.Errorf("judgement %+v, want %s", got, group.Healthy)
	}
}
