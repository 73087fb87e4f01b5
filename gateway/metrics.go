package gateway

import (
	"expvar"
	"fmt"
	"strings"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/session"
)

// latencyBounds are the upper bounds of the latency histogram in
// milliseconds, around the target latencies of the routes in use.
var latencyBounds = []float64{5, 10, 20, 40, 80, 150, 250, 500, 1000, 2000}

// Counters and histograms of the process, in the form of expvar.
var (
	requestsByOutcome = expvar.NewMap("RequestsByOutcome")
	requestLatency    = expvar.NewMap("RequestLatencyMilliseconds")
	peerCalls         = expvar.NewMap("PeerCalls")
	relayCalls        = expvar.NewMap("RelayCalls")
	storeCalls        = expvar.NewMap("StoreCalls")
)

// observeRequest counts a request under its database and outcome.
func observeRequest(database fleet.GroupID, latency time.Duration, err *session.Error) {
	outcome := "Served"
	if err != nil {
		outcome = string(err.Kind)
	}
	requestsByOutcome.Add(string(database)+" "+outcome, 1)
	requestLatency.Add(latencyBucket(latency), 1)
}

func latencyBucket(latency time.Duration) string {
	milliseconds := float64(latency) / float64(time.Millisecond)
	for _, bound := range latencyBounds {
		if milliseconds <= bound {
			return fmt.Sprintf("le %g", bound)
		}
	}
	return "more"
}

// CountStoreCall counts a call to the store by its outcome.
func CountStoreCall(call string, err error) {
	if err != nil {
		call += " failed"
	}
	storeCalls.Add(call, 1)
}

// countPeerCall counts a question to another instance by its outcome.
func countPeerCall(err error) {
	peerCalls.Add(callOutcome(err), 1)
}

// countRelayCall counts a request for what another instance has read.
func countRelayCall(err error) {
	relayCalls.Add(callOutcome(err), 1)
}

func callOutcome(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}

// endText says how a statement ended.
func endText(ended session.Completion) string {
	outcome := "served"
	if ended.Err != nil {
		outcome = fmt.Sprintf("%s: %v", ended.Err.Kind, ended.Err.Err)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s; attempts %d, after %d ms", ended.Statement.Kind, outcome, ended.Attempts, ended.Latency.Milliseconds())
	if ended.Err != nil && ended.Err.RetryAfter > 0 {
		fmt.Fprintf(&text, ", retry after %d ms", ended.Err.RetryAfter.Milliseconds())
	}
	if !ended.Requirements.LastWrite.IsZero() {
		text.WriteString(", own position " + ended.Requirements.LastWrite.String())
	}
	return text.String()
}
