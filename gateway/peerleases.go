package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/owner"
	"github.com/nutmegpier/nutmegpier/session"
)

const (
	// peerLeaseIdleMargin is added to the idle timeout of transactions for the time
	// after which a lease of another instance is given up. That instance ends an idle
	// transaction itself, unless it has died.
	peerLeaseIdleMargin = time.Second
	// peerRollbackTimeout bounds the rollback of a transaction that was given up.
	peerRollbackTimeout = 500 * time.Millisecond
	// ownerStopDelay is how long an instance that is stopping accepts new leases of
	// other instances, which by then have chosen another owner.
	ownerStopDelay = 2 * time.Second
)

var _ owner.Runner = &Gateway{}

// Errors because of which another owner should be called.
var (
	errNoRecord           = errors.New("the primary is not known to this instance")
	errNotProved          = errors.New("this instance can't prove which server is primary")
	errPrimaryChanging    = errors.New("the primary is being replaced")
	errPrimaryUnreachable = errors.New("the primary does not answer this instance")
	errStopping           = errors.New("the instance is stopping")
)

// isOwnerUnavailable reports whether another owner may be able to serve the request.
func isOwnerUnavailable(err error) bool {
	return errors.Is(err, errNoRecord) || errors.Is(err, errNotProved) || errors.Is(err, errPrimaryUnreachable) || errors.Is(err, errStopping)
}

// peerLease is a lease that this instance holds for a session of another one.
type peerLease struct {
	// expiry ends the lease after it was idle for too long.
	expiry *time.Timer
	lease  session.Lease

	// mu is held while a batch runs.
	mu    sync.Mutex
	ended bool
}

// peerLeases are the leases of other instances. It is safe for concurrent use.
type peerLeases struct {
	mu sync.Mutex
	// calls are the calls with an ID whose batches are being run.
	calls  map[owner.CallID]bool
	leases map[owner.LeaseID]*peerLease
	// running counts the batches that are being run.
	running int
}

func newPeerLeases() *peerLeases {
	return &peerLeases{calls: map[owner.CallID]bool{}, leases: map[owner.LeaseID]*peerLease{}}
}

func (p *peerLeases) get(id owner.LeaseID) *peerLease {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leases[id]
}

// begin counts a batch that is being run. The call may be empty.
func (p *peerLeases) begin(call owner.CallID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	if call != "" {
		p.calls[call] = true
	}
}

// end counts the end of a batch.
func (p *peerLeases) end(call owner.CallID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	delete(p.calls, call)
}

// isRunning reports whether the batch of a call is being run.
func (p *peerLeases) isRunning(call owner.CallID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[call]
}

// count returns the number of leases and running batches.
func (p *peerLeases) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.leases) + p.running
}

// PeerWork returns the number of leases that other instances hold here and of their
// batches that are being run.
func (g *Gateway) PeerWork() int {
	return g.peerLeases.count()
}

// RunForPeer runs one batch for a session of another instance.
func (g *Gateway) RunForPeer(request owner.Request) owner.Response {
	g.peerLeases.begin(request.Call)
	defer g.peerLeases.end(request.Call)
	now := g.config.Clock()
	g.mu.Lock()
	deadline, calibrated := g.storeClock.DeadlineTime(request.Deadline)
	requirementsDeadline, _ := g.storeClock.DeadlineTime(request.RequirementsDeadline)
	request.Batch.Authorization = g.peerAuthorization(now, request)
	g.mu.Unlock()
	if !calibrated {
		return refusedBatch(errNotProved)
	}
	if !now.Before(deadline) {
		// The caller has given the request up, for example because this instance was
		// suspended.
		return owner.Response{Failure: &session.RunError{Kind: session.KindBusy, Text: "the deadline has passed"}}
	}
	if request.Requirements == nil {
		return g.continuePeerLease(deadline, request)
	}
	requirements := *request.Requirements
	requirements.Deadline = requirementsDeadline
	// A later start only requires a more recent log.
	requirements.StartedAt = now
	// A lease of one batch has no ID.
	requirements.Transaction = request.Lease != ""
	return g.openPeerLease(deadline, requirements, request)
}

// refusedBatch is the response to a batch that did not run because this instance
// can't use the servers.
func refusedBatch(err error) owner.Response {
	return owner.Response{Failure: &session.RunError{Kind: session.KindBusy, Text: err.Error()}, Unavailable: true}
}

// openPeerLease acquires a connection and runs the first batch on it.
func (g *Gateway) openPeerLease(deadline time.Time, requirements session.Requirements, request owner.Request) owner.Response {
	if g.stoppedOwning(g.config.Clock()) {
		return refusedBatch(errStopping)
	}
	began := g.config.Clock()
	acquired, err := g.acquire(requirements, true)
	// The wait for a connection doesn't count towards the deadline of an attempt, which
	// detects lost answers.
	deadline = deadline.Add(g.config.Clock().Sub(began))
	if deadline.After(requirements.Deadline) {
		deadline = requirements.Deadline
	}
	if err != nil {
		return owner.Response{
			Failure:     &session.RunError{Kind: err.Kind, RetryAfter: err.RetryAfter, Saturated: err.Saturated, Text: err.Err.Error()},
			Unavailable: isOwnerUnavailable(err.Err),
		}
	}
	held := &peerLease{lease: acquired}
	response := g.runPeerBatch(held, deadline, session.KindReadOnly, request.Batch)
	switch {
	case request.Batch.Final || request.Lease == "":
		acquired.Release()
	case response.Failure != nil:
		rollBack(g.config.Clock(), acquired)
	default:
		held.expiry = time.AfterFunc(g.TransactionIdle()+peerLeaseIdleMargin, func() { g.expirePeerLease(request.Lease) })
		g.peerLeases.mu.Lock()
		g.peerLeases.leases[request.Lease] = held
		g.peerLeases.mu.Unlock()
	}
	return response
}

// continuePeerLease runs a later batch of a lease.
func (g *Gateway) continuePeerLease(deadline time.Time, request owner.Request) owner.Response {
	lost := owner.Response{Failure: &session.RunError{Kind: session.KindAborted, Text: "the transaction has ended"}}
	held := g.peerLeases.get(request.Lease)
	if held == nil {
		return lost
	}
	held.mu.Lock()
	defer held.mu.Unlock()
	if held.ended {
		return lost
	}
	held.expiry.Reset(g.TransactionIdle() + peerLeaseIdleMargin)
	response := g.runPeerBatch(held, deadline, session.KindAborted, request.Batch)
	if !request.Batch.Final {
		return response
	}
	g.endPeerLease(request.Lease, held)
	if response.Failure != nil {
		// A commit that was refused leaves the transaction open.
		rollBack(g.config.Clock(), held.lease)
		return response
	}
	held.lease.Release()
	return response
}

// runPeerBatch runs a batch unless the server may no longer be the only primary. Then
// it returns an error of kind refusal.
func (g *Gateway) runPeerBatch(held *peerLease, deadline time.Time, refusal session.Kind, batch session.Batch) owner.Response {
	response := owner.Response{Server: held.lease.Server()}
	isRollback := len(batch.Commands) == 1 && batch.Commands[0].Kind == session.StatementRollback
	if !isRollback && !held.lease.Exclusive(g.config.Clock()) {
		response.Failure = &session.RunError{Kind: refusal, Text: "the primary may have been replaced"}
		return response
	}
	response.Reply, response.Failure = held.lease.Run(deadline, batch)
	response.Exclusive = held.lease.Exclusive(g.config.Clock())
	return response
}

// expirePeerLease gives up a lease whose holder has not used it for too long.
func (g *Gateway) expirePeerLease(id owner.LeaseID) {
	held := g.peerLeases.get(id)
	if held == nil {
		return
	}
	held.mu.Lock()
	defer held.mu.Unlock()
	if !held.ended {
		g.endPeerLease(id, held)
		rollBack(g.config.Clock(), held.lease)
	}
}

// endPeerLease removes a lease. The caller holds held.mu.
func (g *Gateway) endPeerLease(id owner.LeaseID, held *peerLease) {
	held.ended = true
	held.expiry.Stop()
	g.peerLeases.mu.Lock()
	defer g.peerLeases.mu.Unlock()
	delete(g.peerLeases.leases, id)
}

// rollBack rolls back the transaction of a lease and releases it. If that fails, the
// connection is closed, which rolls back as well.
func rollBack(now time.Time, lease session.Lease) {
	_, _ = lease.Run(now.Add(peerRollbackTimeout), session.Batch{
		Commands: []session.Command{{Statement: session.Statement{Kind: session.StatementRollback}}}, Final: true,
	})
	lease.Release()
}

// stoppedOwning reports whether this instance is stopping and no longer accepts
// leases of other instances.
func (g *Gateway) stoppedOwning(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining && now.Sub(g.drainingSince) >= ownerStopDelay
}
