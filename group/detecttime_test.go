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
	simulationStep      = 10 * time.Millisecond
	simulationHeartbeat = 50 * time.Millisecond
)

// faultConditions are the faults of a detection simulation.
type faultConditions struct {
	// loss is the probability that a message is lost.
	loss      float64
	meanPause time.Duration
	name      string
	// pauseEvery is the mean time between pauses of each process.
	pauseEvery time.Duration
}

// detectionSimulation runs one instance's detector against three servers in steps
// of simulationStep.
type detectionSimulation struct {
	faultConditions
	// lastContact is when each server last received a heartbeat.
	lastContact [3]time.Time
	// crashed reports whether server 0, the primary, has crashed.
	crashed  bool
	detector *group.Detector
	// requestedAt is when the request in flight to each server was sent.
	requestedAt [3]time.Time
	nextPoll    time.Time
	now         time.Time
	// pausedUntil is the end of the last pause of each process. Processes 0 to
	// 2 are the servers, process 3 is the instance.
	pausedUntil [4]time.Time
	random      *rand.Rand
	settings    group.Settings
	view        group.View
}

func newDetectionSimulation(detectTime time.Duration, faults faultConditions, seed uint64) *detectionSimulation {
	settings := group.DefaultSettings()
	settings.DetectTime = detectTime
	now := time.Unix(1000, 0)
	t := &detectionSimulation{
		faultConditions: faults, lastContact: [3]time.Time{now, now, now}, detector: group.NewDetector(settings), now: now,
		random: rand.New(rand.NewPCG(seed, 9)), settings: settings,
		view: healthyView(now, map[fleet.ServerID]fleet.LogPosition{"a": 1, "b": 1, "c": 1}),
	}
	return t
}

func (t *detectionSimulation) isMessageLost() bool { return t.random.Float64() < t.loss }

// step advances the simulation and returns the health that was detected.
func (t *detectionSimulation) step() group.Health {
	t.now = t.now.Add(simulationStep)
	for i := range t.pausedUntil {
		if t.random.Float64() < float64(simulationStep)/float64(t.pauseEvery) && !t.isPaused(i) {
			t.pausedUntil[i] = t.now.Add(time.Duration(t.random.ExpFloat64() * float64(t.meanPause)))
		}
	}
	t.heartbeat()
	if t.isPaused(3) {
		return group.Healthy
	}
	for i := range t.requestedAt {
		t.completeRequest(i)
	}
	detection := t.detector.Step(t.now, t.view, nil, 3)
	if t.nextPoll.After(detection.NextPoll) || !t.now.Before(t.nextPoll) {
		t.pollIfDue(detection)
	}
	return detection.Health
}

func (t *detectionSimulation) isPaused(i int) bool { return t.now.Before(t.pausedUntil[i]) }

// pollIfDue sends a request to each server that has none in flight, if a poll is
// due, and sets the time of the next poll.
func (t *detectionSimulation) pollIfDue(detection group.Detection) {
	if t.now.Before(t.nextPoll) {
		t.nextPoll = detection.NextPoll
		return
	}
	t.nextPoll = detection.NextPoll
	for i := range t.requestedAt {
		if t.requestedAt[i].IsZero() {
			t.requestedAt[i] = t.now
		}
	}
}

func (t *detectionSimulation) heartbeat() {
	if t.now.UnixMilli()%simulationHeartbeat.Milliseconds() != 0 || t.crashed || t.isPaused(0) {
		return
	}
	for i := 1; i < 3; i++ {
		if !t.isPaused(i) && !t.isMessageLost() {
			t.lastContact[i] = t.now
		}
	}
}

// completeRequest completes the request in flight to a server if the response has
// arrived or the request has timed out. A paused server responds after its pause,
// before it reads the heartbeats that arrived meanwhile.
func (t *detectionSimulation) completeRequest(i int) {
	sentAt := t.requestedAt[i]
	if sentAt.IsZero() || !sentAt.Before(t.now) {
		return
	}
	id := t.view.Servers[i].Server
	if t.now.Sub(sentAt) >= t.settings.PollTimeout {
		t.requestedAt[i] = time.Time{}
		t.view = t.view.RecordFailure(id, sentAt)
		return
	}
	if t.isPaused(i) || (i == 0 && t.crashed) || (t.now.Sub(sentAt) == simulationStep && t.isMessageLost()) {
		return
	}
	t.requestedAt[i] = time.Time{}
	status := t.view.Servers[i].Status
	if i > 0 {
		status.PrimaryContact = t.now.Sub(t.lastContact[i])
	}
	t.view = t.view.Observe(group.Observation{RespondedAt: t.now, RequestedAt: sentAt, Server: id, Status: status})
}

// falseAlarms returns how often a healthy primary was detected as failed.
func falseAlarms(detectTime time.Duration, faults faultConditions, duration time.Duration) int {
	t := newDetectionSimulation(detectTime, faults, 1)
	alarms, previous := 0, group.Healthy
	for end := t.now.Add(duration); t.now.Before(end); {
		health := t.step()
		if health == group.Failed && previous != group.Failed {
			alarms++
		}
		previous = health
	}
	return alarms
}

// detectionTimes returns the mean and the maximum time from a crash to its
// detection.
func detectionTimes(detectTime time.Duration, faults faultConditions, trials int) (mean, longest time.Duration) {
	for n := range trials {
		t := newDetectionSimulation(detectTime, faults, uint64(100+n))
		for range 300 + n%25 {
			t.step()
		}
		t.crashed = true
		crashedAt := t.now
		for t.step() != group.Failed && t.now.Sub(crashedAt) < time.Minute {
		}
		mean += t.now.Sub(crashedAt) / time.Duration(trials)
		longest = max(longest, t.now.Sub(crashedAt))
	}
	return mean, longest
}

// BenchmarkDetectTime measures the detection time and the false alarms for several
// values of DetectTime, with fixed seeds. Run it with -benchtime=1x.
func BenchmarkDetectTime(b *testing.B) {
	for _, faults := range []faultConditions{
		{loss: 0.01, meanPause: 50 * time.Millisecond, name: "Quiet", pauseEvery: 30 * time.Second},
		{loss: 0.05, meanPause: 150 * time.Millisecond, name: "Noisy", pauseEvery: 10 * time.Second},
		{loss: 0.20, meanPause: 300 * time.Millisecond, name: "Bad", pauseEvery: 10 * time.Second},
	} {
		for _, ms := range []int{300, 600, 900, 1200, 1500, 2000} {
			b.Run(fmt.Sprintf("%s/detect=%dms", faults.name, ms), func(b *testing.B) {
				detectTime := time.Duration(ms) * time.Millisecond
				for b.Loop() {
					mean, longest := detectionTimes(detectTime, faults, 200)
					b.ReportMetric(float64(falseAlarms(detectTime, faults, 4*time.Hour))/4, "alarms/h")
					b.ReportMetric(float64(mean.Milliseconds()), "mean-ms")
					b.ReportMetric(float64(longest.Milliseconds()), "max-ms")
				}
			})
		}
	}
}

// TestDetectTimeTrial guards against a simulation that cannot tell settings
// apart, and against a default DetectTime with false alarms on ordinary pauses.
func TestDetectTimeTrial(t *testing.T) {
	quiet := faultConditions{loss: 0.01, meanPause: 50 * time.Millisecond, pauseEvery: 30 * time.Second}
	if got := falseAlarms(group.DefaultSettings().DetectTime, quiet, 10*time.Minute); got != 0 {
		t.Errorf("%d false alarms in 10 minutes with the default detection time", got)
	}
	bad := faultConditions{loss: 0.2, meanPause: 300 * time.Millisecond, pauseEvery: 10 * time.Second}
	if got := falseAlarms(300*time.Millisecond, bad, 10*time.Minute); got == 0 {
		t.Error("no false alarm in 10 minutes with a detection time of 300 ms and many faults")
	}
	if mean, _ := detectionTimes(900*time.Millisecond, quiet, 20); mean < 850*time.Millisecond || mean > 1100*time.Millisecond {
		t.Errorf("mean detection time %v, want 850ms to 1.1s", mean)
	}
}
