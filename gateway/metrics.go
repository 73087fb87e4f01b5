package gateway

import (
	"expvar"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/session"
)

// latencyBucketBounds are the upper bounds of the latency histogram's buckets in
// milliseconds. They lie around the target latencies of the routes in use.
var latencyBucketBounds = []float64{5, 10, 20, 40, 80, 150, 250, 500, 1000, 2000}

// Counters and histograms of the process, published through expvar.
var (
	requestsByOutcome = expvar.NewMap("RequestsByOutcome")
	requestLatency    = expvar.NewMap("RequestLatencyMilliseconds")
	keyProofsExpired  = expvar.NewInt("KeyProofsExpired")
	ownerCalls        = expvar.NewMap("OwnerCalls")
	peerCalls         = expvar.NewMap("PeerCalls")
	refusalsByReason  = expvar.NewMap("Refusals")
	relayCalls        = expvar.NewMap("RelayCalls")
	storeCalls        = expvar.NewMap("StoreCalls")
)

// PublishState publishes what the instance depends on through expvar. It may be called
// once in a process.
func (g *Gateway) PublishState() {
	expvar.Publish("LimitPhase", expvar.Func(func() any { return g.limitPhase() }))
	expvar.Publish("Owners", expvar.Func(func() any { return g.allOwners() }))
	expvar.Publish("Relay", expvar.Func(func() any { return g.relayState() }))
	expvar.Publish("Servers", expvar.Func(func() any { return g.pool.Gauges(g.config.Clock()) }))
	if g.usage != nil {
		expvar.Publish("Usage", expvar.Func(func() any { return g.usage.metrics() }))
	}
}

// RelayState says from where an instance reads the tables.
type RelayState struct {
	// AgeMilliseconds is the age of the last proof that the copy of a table is up to
	// date.
	AgeMilliseconds map[Table]int64
	// Instance is the relay, or this instance if it reads the store.
	Instance fleet.InstanceID
}

// relayState returns the current relay and the ages of the tables.
func (g *Gateway) relayState() RelayState {
	now := g.config.Clock()
	state := RelayState{AgeMilliseconds: map[Table]int64{}, Instance: g.config.Instance}
	if peer, found := g.currentRelay(now); found {
		state.Instance = peer.instance
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for table, f := range g.followers {
		f.mu.Lock()
		state.AgeMilliseconds[table] = now.Sub(f.mirror.VerifiedAt()).Milliseconds()
		f.mu.Unlock()
	}
	return state
}

// allOwners returns the owners of all groups that have some.
func (g *Gateway) allOwners() map[fleet.GroupID][]fleet.InstanceID {
	owners := map[fleet.GroupID][]fleet.InstanceID{}
	for _, group := range g.routedGroups() {
		if of := g.Owners(group); len(of) > 0 {
			owners[group] = of
		}
	}
	return owners
}

// limitPhase returns the phase in this instance's row. A phase that no read has
// confirmed yet is marked.
func (g *Gateway) limitPhase() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	phase, _ := g.members.participation.NextPhase()
	if effective := g.members.participation.EffectivePhase(); effective != phase {
		return string(phase) + ", not confirmed"
	}
	return string(phase)
}

// observeRequest counts a request by database and outcome, and by latency.
func observeRequest(database fleet.GroupID, latency time.Duration, err *session.Error) {
	outcome := "Served"
	if err != nil {
		outcome = string(err.Kind)
	}
	requestsByOutcome.Add(string(database)+" "+outcome, 1)
	requestLatency.Add(latencyBucket(latency), 1)
}

// refusalGroupCount is the number of groups of workspaces by which refusals are counted,
// so that the metric stays small with any number of workspaces.
const refusalGroupCount = 16

// countRefusal counts a request that was refused without effect, by reason, database and
// group of workspaces. Without a reason, the kind of the error counts as one.
func countRefusal(database fleet.GroupID, id fleet.WorkspaceID, err *session.Error) {
	if err == nil || !err.Kind.NotRun() {
		return
	}
	reason := string(err.Reason)
	if reason == "" {
		reason = string(err.Kind)
	}
	refusalsByReason.Add(fmt.Sprintf("%s %s %d", reason, database, xxhash.Sum64String(string(id))%refusalGroupCount), 1)
}

// latencyBucket returns the name of the histogram bucket for a latency.
func latencyBucket(latency time.Duration) string {
	milliseconds := float64(latency) / float64(time.Millisecond)
	for _, bound := range latencyBucketBounds {
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

// countKeyProofExpired counts a batch that was not sent to a server because the proof of
// its key had ended.
func countKeyProofExpired() {
	keyProofsExpired.Add(1)
}

// countPeerCall counts a request to another instance by its outcome.
func countPeerCall(err error) {
	peerCalls.Add(callOutcome(err), 1)
}

// countOwnerCall counts a request to an owner of a group by its outcome.
func countOwnerCall(err error) {
	ownerCalls.Add(callOutcome(err), 1)
}

// countRelayCall counts a request to a relay by its outcome.
func countRelayCall(err error) {
	relayCalls.Add(callOutcome(err), 1)
}

func callOutcome(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}

// outcomeText describes the outcome of a statement for the log.
func outcomeText(completion session.Completion) string {
	outcome := "served"
	if completion.Err != nil {
		outcome = fmt.Sprintf("%s: %v", completion.Err.Kind, completion.Err.Err)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s; %d attempts, took %d ms", completion.Statement.Kind, outcome, completion.Attempts, completion.Latency.Milliseconds())
	if completion.Err != nil && completion.Err.Reason != "" {
		fmt.Fprintf(&text, ", reason %s", completion.Err.Reason)
	}
	if completion.Err != nil && completion.Err.RetryAfter > 0 {
		fmt.Fprintf(&text, ", retry after %d ms", completion.Err.RetryAfter.Milliseconds())
	}
	if !completion.Requirements.LastWrite.IsZero() {
		text.WriteString(", last commit of the session at log position " + completion.Requirements.LastWrite.String())
	}
	return text.String()
}
