package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/owner"
	"github.com/nutmegpier/nutmegpier/session"
)

const (
	// ownerResponseGrace is how much longer than its deadline a request to an owner
	// waits for the response, which says whether the request ran.
	ownerResponseGrace = 30 * time.Millisecond
	// ownerSilenceThreshold is how long a response may take before the owner is
	// probed: several times the longest usual execution.
	ownerSilenceThreshold = 300 * time.Millisecond
	// ownerProbeAttempts is the number of probes that an owner must leave unanswered
	// to count as silent.
	ownerProbeAttempts = 3
)

// OwnerClient runs batches at other instances. An error of kind owner.KindNotSent
// means that nothing ran.
type OwnerClient interface {
	Run(ctx context.Context, address string, secret []byte, request owner.Request) (owner.Response, error)
}

var _ session.Lease = &remoteLease{}

// remoteLease is a lease on a server connection of another instance. The first batch
// acquires it there. It isn't safe for concurrent use.
type remoteLease struct {
	// ended is true after the last batch, or once the lease was lost.
	ended bool
	// exclusive is the result of Exclusive at the other instance, as of the last
	// response.
	exclusive bool
	gateway   *Gateway
	id        owner.LeaseID
	// lost is true if the other instance did not respond to the last batch.
	lost         bool
	peer         relayPeer
	requirements session.Requirements
	server       fleet.ServerID
	started      bool
}

// remoteLease returns a lease at the instance to which requests for the group are
// forwarded. It reports false if this instance must use the servers itself.
func (g *Gateway) remoteLease(requirements session.Requirements) (*remoteLease, bool) {
	if g.config.OwnerClient == nil {
		return nil, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock()
	target, found := g.owners.Target(now, requirements.Route.Group, g.isForwardTarget)
	if !found || target == g.config.Instance || !g.storeClock.Calibrated() {
		return nil, false
	}
	row := g.members.members[target].row
	g.remoteLeaseCount++
	return &remoteLease{
		exclusive:    true,
		gateway:      g,
		id:           owner.LeaseID(fmt.Sprintf("%s-%x-%d", g.config.Instance, uint64(g.config.Epoch), g.remoteLeaseCount)),
		peer:         relayPeer{address: row.Address, instance: target, secret: row.Secret},
		requirements: requirements,
	}, true
}

// isForwardTarget reports whether requests may be sent to an owner: it is this
// instance, or its row is live. The caller holds g.mu.
func (g *Gateway) isForwardTarget(instance fleet.InstanceID) bool {
	m := g.members.members[instance]
	return instance == g.config.Instance || (m != nil && m.row.Address != "" && g.members.isLive(m))
}

// Exclusive reports whether the server was the only primary when the other instance
// received its last answer.
func (l *remoteLease) Exclusive(time.Time) bool {
	return l.exclusive
}

// Server returns the server that the other instance chose, or empty.
func (l *remoteLease) Server() fleet.ServerID {
	return l.server
}

// Release ends the lease. If no batch was final, the other instance rolls back its
// transaction.
func (l *remoteLease) Release() {
	if !l.started || l.ended {
		return
	}
	l.ended = true
	rollback := session.Batch{Commands: []session.Command{{Statement: session.Statement{Kind: session.StatementRollback}}}, Final: true}
	go func() {
		deadline := l.gateway.config.Clock().Add(ownerSilenceThreshold)
		_, _ = l.call(deadline, deadline, owner.Request{Batch: rollback, Lease: l.id})
	}()
}

// Run runs a batch at the other instance.
func (l *remoteLease) Run(deadline time.Time, batch session.Batch) (session.Reply, *session.RunError) {
	if l.ended {
		return session.Reply{}, &session.RunError{Kind: session.KindBusy, Text: "the lease has ended"}
	}
	request := owner.Request{Batch: batch, Lease: l.id}
	opens := !l.started
	if opens {
		request.Requirements = &l.requirements
		if batch.Final {
			request.Lease = ""
		}
	}
	l.started = true
	waitUntil := deadline
	if opens && l.requirements.Deadline.After(deadline) {
		// The wait for a connection doesn't count towards the deadline of an attempt.
		waitUntil = l.requirements.Deadline
		request.Call = owner.CallID(l.id)
	}
	response, err := l.call(deadline, waitUntil, request)
	l.lost = err != nil
	l.ended = batch.Final || err != nil || (opens && response.Failure != nil)
	if err != nil {
		return session.Reply{}, l.lostResponse(waitUntil, err)
	}
	l.exclusive = response.Exclusive
	if response.Server != "" {
		l.server = response.Server
	}
	if response.Unavailable {
		l.gateway.recordOwnerUnavailable(l.requirements.Route.Group, l.peer.instance, response.Failure)
	}
	return response.Reply, response.Failure
}

// call sends one request with a deadline, and waits for the response until waitUntil.
// While that takes long, the instance is probed, and the call fails if it doesn't answer,
// or if it no longer runs the batch after the deadline.
func (l *remoteLease) call(deadline, waitUntil time.Time, request owner.Request) (owner.Response, error) {
	g := l.gateway
	now := g.config.Clock()
	g.mu.Lock()
	request.Deadline = g.storeClock.StoreTime(deadline)
	request.RequirementsDeadline = g.storeClock.StoreTime(l.requirements.Deadline)
	if until := request.Batch.AuthorizedUntil; !until.IsZero() {
		request.AuthorizedUntil = g.storeClock.StoreTime(until)
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), waitUntil.Sub(now)+ownerResponseGrace)
	defer cancel()
	probing := time.AfterFunc(ownerSilenceThreshold, func() { l.probe(ctx, cancel, deadline, request.Call) })
	defer probing.Stop()
	response, err := g.config.OwnerClient.Run(ctx, l.peer.address, l.peer.secret, request)
	countOwnerCall(err)
	return response, err
}

// probe probes the other instance at intervals until the context ends, and cancels the
// call once it is silent. From the deadline on, it also asks whether the call is still
// running, unless that has no ID, and cancels it if its response was lost.
func (l *remoteLease) probe(ctx context.Context, cancel context.CancelFunc, deadline time.Time, call owner.CallID) {
	for ctx.Err() == nil {
		answered, ended := false, false
		for attempt := 0; attempt < ownerProbeAttempts && !answered && ctx.Err() == nil; attempt++ {
			request := PeerRequest{}
			if !l.gateway.config.Clock().Before(deadline) {
				request.Call = call
			}
			response, err := l.gateway.callPeer(l.peer.instance, request)
			answered, ended = err == nil, response.CallEnded
		}
		if !answered && ctx.Err() == nil {
			l.gateway.recordOwnerSilent(l.peer.instance, errors.New("it does not answer probes"))
			cancel()
			return
		}
		if ended && sleep(ctx, ownerResponseGrace) {
			l.gateway.recordOwnerSilent(l.peer.instance, errors.New("its response was lost"))
			cancel()
			return
		}
		sleep(ctx, ownerSilenceThreshold)
	}
}

// lostResponse returns the error of a call without a response, for which the lease would
// have waited until waitUntil.
func (l *remoteLease) lostResponse(waitUntil time.Time, err error) *session.RunError {
	g := l.gateway
	text := fmt.Sprintf("no response from instance %s: %v", l.peer.instance, err)
	var ownerErr *owner.Error
	if errors.As(err, &ownerErr) && ownerErr.Kind == owner.KindNotSent {
		g.recordOwnerSilent(l.peer.instance, err)
		return &session.RunError{Kind: session.KindBusy, Text: text}
	}
	if !g.config.Clock().Before(waitUntil) {
		return &session.RunError{Kind: session.KindTimeout, Text: text}
	}
	g.recordOwnerSilent(l.peer.instance, err)
	return &session.RunError{Kind: session.KindUnknown, Text: text}
}

// recordOwnerSilent makes requests avoid an instance for a while because a call to it
// failed.
func (g *Gateway) recordOwnerSilent(instance fleet.InstanceID, err error) {
	g.mu.Lock()
	g.owners.RecordSilence(g.config.Clock(), instance)
	g.mu.Unlock()
	g.config.Log.Record(event.PeerSilent, event.Fields{Text: "forward to " + string(instance) + ": " + err.Error()})
}

// recordOwnerUnavailable makes requests for a group avoid an instance for a while
// because it can't use the group's servers.
func (g *Gateway) recordOwnerUnavailable(group fleet.GroupID, instance fleet.InstanceID, failure *session.RunError) {
	g.mu.Lock()
	g.owners.RecordUnavailable(g.config.Clock(), group, instance)
	g.mu.Unlock()
	text := "forward to " + string(instance) + ": it can't use the servers"
	if failure != nil {
		text += ": " + failure.Text
	}
	g.config.Log.Record(event.PeerSilent, event.Fields{Database: group, Text: text})
}
