package workspace_test

import (
	"testing"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// tokenFleet is an instance that takes tokens from two owners over a network with a
// delay of 1 ms in each direction. Its requests can wait for 100 ms.
type tokenFleet struct {
	admitter *workspace.Admitter
	calls    int
	// decided are the decisions on requests that waited.
	decided map[workspace.Ticket]workspace.Decision
	events  []fleetEvent
	now     time.Time
	owners  map[fleet.InstanceID]*workspace.DistributedLimiter
	// silent holds the owners that don't answer.
	silent map[fleet.InstanceID]bool
	wakeAt time.Time
}

// fleetEvent is something that happens at a time.
type fleetEvent struct {
	at time.Time
	do func()
}

func newTokenFleet(limits ...workspace.Limit) *tokenFleet {
	f := &tokenFleet{decided: map[workspace.Ticket]workspace.Decision{}, now: start, owners: map[fleet.InstanceID]*workspace.DistributedLimiter{}, silent: map[fleet.InstanceID]bool{}}
	members := []workspace.Member{{Instance: "a", Phase: workspace.PhaseHolding}, {Instance: "b", Phase: workspace.PhaseHolding}, {Age: -time.Hour, Instance: "taker", Phase: workspace.PhaseJoining}}
	for _, id := range []fleet.InstanceID{"a", "b", "taker"} {
		f.owners[id] = workspace.NewDistributedLimiter(id)
		f.owners[id].Renew(start, start.Add(time.Hour))
		f.owners[id].Divide(start, limits, members)
	}
	// The taker has started just now, and holds no shares.
	f.owners["taker"] = workspace.NewDistributedLimiter("taker")
	f.owners["taker"].LocatePools(limits, members)
	f.admitter = workspace.NewAdmitter("taker", f.owners["taker"], func() float64 { return 0.5 })
	return f
}

// perform carries out a step.
func (f *tokenFleet) perform(step workspace.Step) {
	f.wakeAt = step.WakeAt
	for _, outcome := range step.Decided {
		f.decided[outcome.Ticket] = outcome.Decision
	}
	for _, call := range step.Calls {
		f.calls++
		if f.silent[call.Owner] {
			f.after(150*time.Millisecond, func() { f.perform(f.admitter.Failed(f.now, call.ID)) })
			continue
		}
		f.after(time.Millisecond, func() {
			grants := f.owners[call.Owner].Grant(f.now, call.Takes)
			f.after(time.Millisecond, func() { f.perform(f.admitter.Answered(f.now, call.ID, grants)) })
		})
	}
}

func (f *tokenFleet) after(delay time.Duration, do func()) {
	f.events = append(f.events, fleetEvent{at: f.now.Add(delay), do: do})
}

// run passes time in steps of 1 ms.
func (f *tokenFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); {
		f.now = f.now.Add(time.Millisecond)
		due := f.events
		f.events = nil
		for _, event := range due {
			if f.now.Before(event.at) {
				f.events = append(f.events, event)
				continue
			}
			event.do()
		}
		if !f.wakeAt.IsZero() && !f.now.Before(f.wakeAt) {
			f.perform(f.admitter.Advance(f.now))
		}
	}
}

// request sends one request and returns the decision and how long it took.
func (f *tokenFleet) request(id fleet.WorkspaceID) (workspace.Decision, time.Duration) {
	sentAt := f.now
	decision, ticket, step := f.admitter.Admit(f.now, workspace.Request{WaitUntil: f.now.Add(100 * time.Millisecond), Workspace: id})
	f.perform(step)
	for ticket != 0 && f.now.Sub(sentAt) < time.Second {
		if decided, found := f.decided[ticket]; found {
			return decided, f.now.Sub(sentAt)
		}
		f.run(time.Millisecond)
	}
	return decision, f.now.Sub(sentAt)
}

// TestSilentOwnerDelaysNoRequestLong guards against requests that wait for the timeout of
// a call to an owner that does not answer, although the other pool has tokens.
func TestSilentOwnerDelaysNoRequestLong(t *testing.T) {
	f := newTokenFleet(workspace.Limit{Burst: 50, Rate: 50, Workspace: "w"})
	f.run(2 * time.Second)
	f.silent["a"] = true
	late := 0
	for range 100 {
		decision, took := f.request("w")
		if !decision.Admitted || took > 20*time.Millisecond {
			t.Errorf("at %v: decision %+v after %v", f.now.Sub(start), decision, took)
		}
		if took > 4*time.Millisecond {
			late++
		}
		f.run(100 * time.Millisecond)
	}
	if late > 2 {
		t.Errorf("%d of 100 requests waited longer than for an answer, want at most 2", late)
	}
	f.silent["a"], f.silent["b"] = false, true
	f.run(time.Second)
	for range 3 {
		if decision, took := f.request("w"); !decision.Admitted || took > 20*time.Millisecond {
			t.Errorf("after the silent owner is back and the other is silent: decision %+v after %v", decision, took)
		}
	}
}

// TestTokensBeforeShares guards against an instance that refuses requests while it has
// just started, and against delays and messages for requests for which tokens can be
// requested in advance.
func TestTokensBeforeShares(t *testing.T) {
	f := newTokenFleet(workspace.Limit{Burst: 100, Rate: 100, Workspace: "busy"}, workspace.Limit{Burst: 100, Rate: 100, Workspace: "idle"})
	waited := 0
	for range 500 {
		decision, took := f.request("busy")
		if !decision.Admitted {
			t.Fatalf("refused at %v", f.now.Sub(start))
		}
		if took > 0 {
			waited++
		}
		f.run(20*time.Millisecond - took)
	}
	if waited > 30 {
		t.Errorf("%d of 500 requests waited, want at most 30", waited)
	}
	if f.calls > 125 {
		t.Errorf("%d calls for 500 requests, want at most 125", f.calls)
	}
	before := f.calls
	f.run(5 * time.Second)
	if f.calls != before || !f.wakeAt.IsZero() {
		t.Errorf("%d calls and next wake-up at %v while there are no requests", f.calls-before, f.wakeAt)
	}
}

// TestRefusalsCostFewMessages guards against calls for requests that can only be refused,
// and against callers that are told to return together or too early.
func TestRefusalsCostFewMessages(t *testing.T) {
	f := newTokenFleet(workspace.Limit{Burst: 10, Rate: 10, Workspace: "w"})
	admitted := 0
	for range 1000 {
		if decision, took := f.request("w"); decision.Admitted {
			admitted++
		} else if decision.RetryAfter <= 0 || decision.RetryAfter > 4500*time.Millisecond {
			t.Fatalf("refusal %+v after %v", decision, took)
		}
		f.run(10 * time.Millisecond)
	}
	if elapsed := f.now.Sub(start).Seconds(); float64(admitted) < 0.9*10*elapsed || float64(admitted) > 10*elapsed+10 {
		t.Errorf("%d admitted in %.1f s with a rate of 10", admitted, elapsed)
	}
	if f.calls > 500 {
		t.Errorf("%d calls for 1000 requests, want at most 500", f.calls)
	}
}

// TestWaitWithinTargetLatency guards against refusing requests that would get a token
// within half of the target latency of their route, and against holding others.
func TestWaitWithinTargetLatency(t *testing.T) {
	for _, test := range []struct {
		name     string
		target   time.Duration
		admitted bool
		maxTook  time.Duration
	}{
		{name: "short target", target: 40 * time.Millisecond, maxTook: 10 * time.Millisecond},
		{name: "long target", target: 400 * time.Millisecond, admitted: true, maxTook: 200 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			// Each pool gets one token in 100 ms, and both are empty.
			f := newTokenFleet(workspace.Limit{Burst: 20, Rate: 20, Workspace: "w"})
			for _, owner := range []fleet.InstanceID{"a", "b"} {
				f.owners[owner].Grant(f.now, []workspace.TakeRequest{{Want: 100, Workspace: "w"}})
				for {
					if taken, _ := f.owners[owner].TakeFromPool(f.now, "w", 10); taken == 0 {
						break
					}
				}
			}
			decision, ticket, step := f.admitter.Admit(f.now, workspace.Request{WaitUntil: workspace.TokenDeadline(f.now, test.target, f.now.Add(time.Second)), Workspace: "w"})
			f.perform(step)
			sentAt := f.now
			for decided := false; ticket != 0 && !decided && f.now.Sub(sentAt) < time.Second; decision, decided = f.decided[ticket] {
				f.run(time.Millisecond)
			}
			if took := f.now.Sub(sentAt); decision.Admitted != test.admitted || took > test.maxTook {
				t.Errorf("decision %+v after %v, want admitted %t within %v", decision, took, test.admitted, test.maxTook)
			}
		})
	}
}

// TestUrgentRequestsFirst guards against refusing urgent requests of a workspace over its
// rate in favour of others, and against refusing all others.
func TestUrgentRequestsFirst(t *testing.T) {
	for _, test := range []struct {
		name string
		// urgentEvery and otherEvery are the times between two requests.
		urgentEvery, otherEvery time.Duration
		// minUrgent and minOther are fractions of what the pools get. The first case
		// asks for 0.71 of it in urgent requests.
		minUrgent, minOther float64
		// urgentWait is how long urgent requests wait. The others wait for 50 ms.
		urgentWait time.Duration
	}{
		{name: "urgent within the rate", urgentEvery: 40 * time.Millisecond, otherEvery: 5 * time.Millisecond, minUrgent: 0.68, minOther: 0.1, urgentWait: 50 * time.Millisecond},
		{name: "urgent over the rate", urgentEvery: 5 * time.Millisecond, otherEvery: 5 * time.Millisecond, minUrgent: 0.85, minOther: 0.1, urgentWait: 50 * time.Millisecond},
		{name: "urgent over the rate and more patient", urgentEvery: 5 * time.Millisecond, otherEvery: 5 * time.Millisecond, minUrgent: 0.85, minOther: 0.1, urgentWait: 300 * time.Millisecond},
		{name: "no urgent ones", otherEvery: 5 * time.Millisecond, minOther: 0.95},
	} {
		t.Run(test.name, func(t *testing.T) {
			const rate, pooled, seconds = 50, 0.7 * 50, 20
			f := newTokenFleet(workspace.Limit{Burst: rate, Rate: rate, Workspace: "w"})
			classes := map[workspace.Ticket]int{}
			var admitted [2]float64
			waits := [2]time.Duration{test.urgentWait, 50 * time.Millisecond}
			send := func(priority int) {
				decision, ticket, step := f.admitter.Admit(f.now, workspace.Request{Priority: priority, WaitUntil: f.now.Add(waits[priority]), Workspace: "w"})
				f.perform(step)
				if ticket != 0 {
					classes[ticket] = priority
				} else if decision.Admitted {
					admitted[priority]++
				}
			}
			for n := range seconds * 1000 {
				for priority, every := range []time.Duration{test.urgentEvery, test.otherEvery} {
					if every > 0 && time.Duration(n)*time.Millisecond%every == 0 {
						send(priority)
					}
				}
				f.run(time.Millisecond)
			}
			for ticket, decision := range f.decided {
				if decision.Admitted {
					admitted[classes[ticket]]++
				}
			}
			urgent, other := admitted[0]/pooled/seconds, admitted[1]/pooled/seconds
			if urgent < test.minUrgent || other < test.minOther {
				t.Errorf("urgent requests got %.2f and others %.2f of the pools, want at least %.2f and %.2f", urgent, other, test.minUrgent, test.minOther)
			}
		})
	}
}

// TestOwnPoolCountsEachRequestOnce guards against retry times that grow with the square of a
// burst at the owner of a pool, because each arrival counts all waiting requests again.
func TestOwnPoolCountsEachRequestOnce(t *testing.T) {
	limit := workspace.Limit{Burst: 20, Rate: 20, Workspace: "w"}
	owner := workspace.NewDistributedLimiter("a")
	owner.Renew(start, start.Add(time.Hour))
	owner.Divide(start, []workspace.Limit{limit}, []workspace.Member{{Instance: "a", Phase: workspace.PhaseHolding}, {Instance: "b", Phase: workspace.PhaseHolding}})
	admitter := workspace.NewAdmitter("a", owner, func() float64 { return 0 })
	now, requests := start.Add(3*time.Second), 30
	for range requests {
		// They wait for an answer of the other owner.
		admitter.Admit(now, workspace.Request{WaitUntil: now.Add(50 * time.Millisecond), Workspace: "w"})
	}
	// The demand is less than five times the rate of the pool, which has a token in 150 ms.
	grant := owner.Grant(now, []workspace.TakeRequest{{Want: 1, Workspace: "w"}})[0]
	if grant.RetryAfter <= 0 || grant.RetryAfter > 750*time.Millisecond {
		t.Errorf("%d requests at once: refused until %v later, want at most 750ms", requests, grant.RetryAfter)
	}
}

// TestOldRefusalsAreNotReported guards against an owner of a pool that takes all refusals of
// the time in which no owner was known for demand of the last second, and then refuses
// requests with a long retry time.
func TestOldRefusalsAreNotReported(t *testing.T) {
	limits := []workspace.Limit{{Burst: 50, Rate: 50, Workspace: "w"}}
	f := newTokenFleet(limits...)
	f.owners["taker"].LocatePools(limits, nil)
	for range 200 {
		f.request("w")
		f.run(20 * time.Millisecond)
	}
	f.run(3 * time.Second)
	f.owners["taker"].LocatePools(limits, []workspace.Member{{Instance: "a", Phase: workspace.PhaseHolding}, {Instance: "b", Phase: workspace.PhaseHolding}})
	_, _, step := f.admitter.Admit(f.now, workspace.Request{WaitUntil: f.now.Add(100 * time.Millisecond), Workspace: "w"})
	if len(step.Calls) != 1 || step.Calls[0].Takes[0].Missed != 0 {
		t.Errorf("calls %+v, want one that reports no refusals, which were 3 s ago", step.Calls)
	}
}
