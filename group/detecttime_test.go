package group_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
)

const (
	trialStep      = 10 * time.Millisecond
	trialHeartbeat = 50 * time.Millisecond
)

// conditions are the faults of a detection trial.
type conditions struct {
	loss      float64
	meanPause time.Duration
	name      string
	// pauseEvery is the mean time between pauses of each process.
	pauseEvery time.Duration
}

// detectionTrial runs one instance's detector against three servers in steps
// of 10 ms. Process 3 is the instance.
type detectionTrial struct {
	conditions
	contact  [3]time.Time
	crashed  bool
	detector *group.Detector
	inFlight [3]time.Time
	nextPoll time.Time
	now      time.Time
	paused   [4]time.Time
	random   *rand.Rand
	settings group.Settings
	view     group.View
}

func newDetectionTrial(detect time.Duration, c conditions, seed uint64) *detectionTrial {
	settings := group.DefaultSettings()
	settings.DetectTime = detect
	now := time.Unix(1000, 0)
	t := &detectionTrial{
		conditions: c, contact: [3]time.Time{now, now, now}, detector: group.NewDetector(settings), now: now,
		random: rand.New(rand.NewPCG(seed, 9)), settings: settings,
		view: healthyView(now, map[fleet.ServerID]fleet.LogPosition{"a": 1, "b": 1, "c": 1}),
	}
	return t
}

func (t *detectionTrial) lost() bool { return t.random.Float64() < t.loss }

// step advances the trial and returns the judgement.
func (t *detectionTrial) step() group.Health {
	t.now = t.now.Add(trialStep)
	for i := range t.paused {
		if t.random.Float64() < float64(trialStep)/float64(t.pauseEvery) && !t.isPaused(i) {
			t.paused[i] = t.now.Add(time.Duration(t.random.ExpFloat64() * float64(t.meanPause)))
		}
	}
	t.heartbeat()
	if t.isPaused(3) {
		return group.Healthy
	}
	for i := range t.inFlight {
		t.answer(i)
	}
	detection := t.detector.Step(t.now, t.view, nil, 3)
	if t.nextPoll.After(detection.NextPoll) || !t.now.Before(t.nextPoll) {
		t.poll(detection)
	}
	return detection.Health
}

func (t *detectionTrial) isPaused(i int) bool { return t.now.Before(t.paused[i]) }

// poll asks all servers that have no request in flight.
func (t *detectionTrial) poll(detection group.Detection) {
	if t.now.Before(t.nextPoll) {
		t.nextPoll = detection.NextPoll
		return
	}
	t.nextPoll = detection.NextPoll
	for i := range t.inFlight {
		if t.inFlight[i].IsZero() {
			t.inFlight[i] = t.now
		}
	}
}

func (t *detectionTrial) heartbeat() {
	if t.now.UnixMilli()%trialHeartbeat.Milliseconds() != 0 || t.crashed || t.isPaused(0) {
		return
	}
	for i := 1; i < 3; i++ {
		if !t.isPaused(i) && !t.lost() {
			t.contact[i] = t.now
		}
	}
}

// answer ends the request in flight to a server. A paused server answers after
// its pause, before it reads the heartbeats that arrived meanwhile.
func (t *detectionTrial) answer(i int) {
	asked := t.inFlight[i]
	if asked.IsZero() || !asked.Before(t.now) {
		return
	}
	id := t.view.Servers[i].Server
	if t.now.Sub(asked) >= t.settings.PollTimeout {
		t.inFlight[i] = time.Time{}
		t.view = t.view.RecordFailure(id, asked)
		return
	}
	if t.isPaused(i) || (i == 0 && t.crashed) || (t.now.Sub(asked) == trialStep && t.lost()) {
		return
	}
	t.inFlight[i] = time.Time{}
	status := t.view.Servers[i].Status
	if i > 0 {
		status.PrimaryContact = t.now.Sub(t.contact[i])
	}
	t.view = t.view.Observe(group.Observation{RespondedAt: t.now, RequestedAt: asked, Server: id, Status: status})
}

// falseAlarms returns how often a healthy primary was judged failed.
func falseAlarms(detect time.Duration, c conditions, span time.Duration) int {
	t := newDetectionTrial(detect, c, 1)
	alarms, before := 0, group.Healthy
	for end := t.now.Add(span); t.now.Before(end); {
		health := t.step()
		if health == group.Failed && before != group.Failed {
			alarms++
		}
		before = health
	}
	return alarms
}

// detectionTimes returns the mean and largest time from a crash to Failed.
func detectionTimes(detect time.Duration, c conditions, trials int) (mean, largest time.Duration) {
	for n := range trials {
		t := newDetectionTrial(detect, c, uint64(100+n))
		for range 300 + n%25 {
			t.step()
		}
		t.crashed = true
		begun := t.now
		for t.step() != group.Failed && t.now.Sub(begun) < time.Minute {
		}
		mean += t.now.Sub(begun) / time.Duration(trials)
		largest = max(largest, t.now.Sub(begun))
	}
	return mean, largest
}

// BenchmarkDetectTime measures detection time against false alarms, with fixed
// seeds. It is meant for -benchtime=1x.
func BenchmarkDetectTime(b *testing.B) {
	for _, c := range []conditions{
		{loss: 0.01, meanPause: 50 * time.Millisecond, name: "Quiet", pauseEvery: 30 * time.Second},
		{loss: 0.05, meanPause: 150 * time.Millisecond, name: "Noisy", pauseEvery: 10 * time.Second},
		{loss: 0.20, meanPause: 300 * time.Millisecond, name: "Bad", pauseEvery: 10 * time.Second},
	} {
		for _, ms := range []int{300, 600, 900, 1200, 1500, 2000} {
			b.Run(fmt.Sprintf("%s/detect=%dms", c.name, ms), func(b *testing.B) {
				detect := time.Duration(ms) * time.Millisecond
				for b.Loop() {
					mean, largest := detectionTimes(detect, c, 200)
					b.ReportMetric(float64(falseAlarms(detect, c, 4*time.Hour))/4, "alarms/h")
					b.ReportMetric(float64(mean.Milliseconds()), "mean-ms")
					b.ReportMetric(float64(largest.Milliseconds()), "max-ms")
				}
			})
		}
	}
}

// TestDetectTimeTrial guards against an experiment that cannot tell settings
// apart, and against a default that alarms on ordinary pauses.
func TestDetectTimeTrial(t *testing.T) {
	quiet := conditions{loss: 0.01, meanPause: 50 * time.Millisecond, pauseEvery: 30 * time.Second}
	if got := falseAlarms(group.DefaultSettings().DetectTime, quiet, 10*time.Minute); got != 0 {
		t.Errorf("%d false alarms in 10 minutes with the default", got)
	}
	bad := conditions{loss: 0.2, meanPause: 300 * time.Millisecond, pauseEvery: 10 * time.Second}
	if got := falseAlarms(300*time.Millisecond, bad, 10*time.Minute); got == 0 {
		t.Error("no false alarm in 10 minutes with 300 ms under bad conditions")
	}
	if mean, _ := detectionTimes(900*time.Millisecond, quiet, 20); mean < 850*time.Millisecond || mean > 1100*time.Millisecond {
		t.Errorf("mean detection time %v, want 850ms to 1.1s", mean)
	}
}
