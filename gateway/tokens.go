package gateway

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/session"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// tokenCallTimeout is the timeout of a call for tokens of pools. Requests don't wait for
// it: the other pool is asked sooner. An owner with a small processor share may pause
// for a scheduling period of 100 ms, and its late tokens are still useful.
const tokenCallTimeout = 150 * time.Millisecond

// tokenExchange carries out what an Admitter decides: it calls the owners of pools and
// wakes the requests that wait.
type tokenExchange struct {
	clock session.Clock
	// take calls the owner of pools.
	take func(owner fleet.InstanceID, takes []workspace.TakeRequest) ([]workspace.TakeGrant, error)

	// mu guards the fields below.
	mu       sync.Mutex
	admitter *workspace.Admitter
	timer    *time.Timer
	// waiting holds the channels of the requests that wait.
	waiting map[workspace.Ticket]chan workspace.Decision
	// wakeAt is when the timer fires, or zero.
	wakeAt time.Time
}

func newTokenExchange(clock session.Clock, instance fleet.InstanceID, limiter *workspace.DistributedLimiter, take func(fleet.InstanceID, []workspace.TakeRequest) ([]workspace.TakeGrant, error)) *tokenExchange {
	return &tokenExchange{
		admitter: workspace.NewAdmitter(instance, limiter, rand.Float64),
		clock:    clock,
		take:     take,
		waiting:  map[workspace.Ticket]chan workspace.Decision{},
	}
}

// admit decides on a request, and waits for a token if necessary. It reads the clock, because
// the process may have been suspended since the request arrived, and tokens have expired.
func (e *tokenExchange) admit(request workspace.Request) workspace.Decision {
	e.mu.Lock()
	now := e.clock()
	decision, ticket, step := e.admitter.Admit(now, request)
	var decided chan workspace.Decision
	if ticket != 0 {
		decided = make(chan workspace.Decision, 1)
		e.waiting[ticket] = decided
	}
	e.perform(now, step)
	e.mu.Unlock()
	if ticket == 0 {
		return decision
	}
	return <-decided
}

// perform carries out a step. The caller holds e.mu.
func (e *tokenExchange) perform(now time.Time, step workspace.Step) {
	for _, outcome := range step.Decided {
		e.waiting[outcome.Ticket] <- outcome.Decision
		delete(e.waiting, outcome.Ticket)
	}
	for _, call := range step.Calls {
		go e.call(call)
	}
	if step.WakeAt.IsZero() || step.WakeAt.Equal(e.wakeAt) {
		return
	}
	e.wakeAt = step.WakeAt
	if e.timer == nil {
		e.timer = time.AfterFunc(step.WakeAt.Sub(now), e.advance)
		return
	}
	e.timer.Reset(step.WakeAt.Sub(now))
}

// advance is called by the timer.
func (e *tokenExchange) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	e.wakeAt = time.Time{}
	e.perform(now, e.admitter.Advance(now))
}

// call calls the owner of pools and processes the answer.
func (e *tokenExchange) call(call workspace.TokenCall) {
	grants, err := e.take(call.Owner, call.Takes)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	if err != nil {
		e.perform(now, e.admitter.Failed(now, call.ID))
		return
	}
	e.perform(now, e.admitter.Answered(now, call.ID, grants))
}

// takeTokens requests tokens from the owner of pools.
func (g *Gateway) takeTokens(owner fleet.InstanceID, takes []workspace.TakeRequest) ([]workspace.TakeGrant, error) {
	response, err := g.callPeerWithin(tokenCallTimeout, owner, PeerRequest{Takes: takes})
	if err == nil && len(response.Grants) != len(takes) {
		err = &Error{Err: errors.New("the answer has no grants"), Kind: KindInvalid, Op: "take tokens"}
	}
	return response.Grants, err
}
