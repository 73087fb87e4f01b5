package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
)

const (
	// tokenBatchDuration determines how many tokens an instance takes from a pool in
	// one call: those for its expected demand in this time. Unused tokens on the
	// instances add to the burst of a workspace, so they must stay well below the
	// 10 % by which a limit may be exceeded in 5 s.
	tokenBatchDuration = 250 * time.Millisecond
	// peerCallTimeout is the timeout of one call, which delays a caller's request. A
	// response takes two to four milliseconds, and a lost datagram is sent again.
	peerCallTimeout = 70 * time.Millisecond
	// emptyPoolBackoff is the maximum time for which a pool that was empty is not
	// asked again.
	emptyPoolBackoff = 200 * time.Millisecond
	// failedOwnerBackoff is the time for which the owner of a pool is not asked
	// again after a failed call.
	failedOwnerBackoff = 500 * time.Millisecond
)

// PeerTransport carries requests and responses between instances.
type PeerTransport interface {
	// Address returns the address at which this instance serves requests.
	Address() string
	// Call sends a request to the instance at an address and returns its response.
	// The secret is that of the called instance. The request may arrive more than
	// once, but is processed once.
	Call(ctx context.Context, address string, secret, request []byte) ([]byte, error)
	// Secret returns the secret that a request to this instance must be
	// authenticated with. The other instances read it from this instance's row.
	Secret() []byte
	// Serve serves requests until the context is cancelled.
	Serve(ctx context.Context, handle func(request []byte) []byte) error
}

// PeerRequest is a request from one instance to another.
type PeerRequest struct {
	// Look tells the leader to read the instances' rows now, because the sender's
	// row has new information about a primary.
	Look bool `json:",omitempty"`
	// Probe names a server that the sender can't reach and the receiver is to check.
	Probe fleet.ServerID `json:",omitempty"`
	// Take is nil if no tokens are requested.
	Take *TakeRequest `json:",omitempty"`
}

// TakeRequest requests tokens from the owner of a rate limit pool.
type TakeRequest struct {
	// Want is the number of tokens.
	Want      float64
	Workspace fleet.WorkspaceID
}

// PeerResponse is the response to a PeerRequest.
type PeerResponse struct {
	// RetryAfter is set if the pool is empty.
	RetryAfter time.Duration `json:",omitempty"`
	// Taken is the number of tokens granted.
	Taken float64
}

// servePeers serves the requests of other instances.
func (g *Gateway) servePeers(ctx context.Context) error {
	if g.config.PeerTransport == nil {
		return nil
	}
	return g.config.PeerTransport.Serve(ctx, func(payload []byte) []byte {
		var request PeerRequest
		if err := json.Unmarshal(payload, &request); err != nil {
			g.config.Log.Record(event.EntryRefused, event.Fields{Text: "decode a request of another instance: " + err.Error()})
			return nil
		}
		encoded, err := json.Marshal(g.response(request))
		if err != nil {
			g.config.Log.Record(event.EntryRefused, event.Fields{Text: "encode the response to another instance: " + err.Error()})
			return nil
		}
		return encoded
	})
}

// response processes a request of another instance, or of this one to its own pool,
// and returns the response.
func (g *Gateway) response(request PeerRequest) PeerResponse {
	var response PeerResponse
	if request.Look {
		select {
		case g.memberPollRequests <- struct{}{}:
		default:
		}
	}
	if request.Probe != "" {
		g.reportFailure(request.Probe)
	}
	if take := request.Take; take != nil {
		response.Taken, response.RetryAfter = g.rateLimits.TakeFromPool(g.config.Clock(), take.Workspace, take.Want)
	}
	return response
}

// notifyLeader tells the leader to read the instances' rows now. If the call fails,
// the leader reads them at its next regular poll.
func (g *Gateway) notifyLeader() {
	g.mu.Lock()
	leader := g.members.leadership.Holder()
	g.mu.Unlock()
	if leader == g.config.Instance {
		return
	}
	if _, err := g.callPeer(leader, PeerRequest{Look: true}); err != nil {
		g.config.Log.Record(event.PeerSilent, event.Fields{Text: "notify leader " + string(leader) + ": " + err.Error()})
	}
}

// takeFromPools takes tokens from the pools of a workspace's rate limit. If none
// were taken, it returns when a caller may retry, and the reason.
func (g *Gateway) takeFromPools(now time.Time, id fleet.WorkspaceID) (taken bool, retryAfter time.Duration, reason string) {
	owners := g.rateLimits.PoolOwners(now, id)
	want := math.Max(1, g.rateLimits.Demand(now, id)*tokenBatchDuration.Seconds())
	retryAfter, reason = storeRetryAfter, "its limits are not known to be in force"
	for i, owner := range owners {
		if wait := owner.SkipUntil.Sub(now); wait > 0 {
			retryAfter, reason = earlierRetry(i, retryAfter, wait), "its pools were empty or silent a moment ago"
			continue
		}
		response, err := g.takeFromOwner(owner.Instance, TakeRequest{Want: want, Workspace: id})
		now = g.config.Clock()
		if err != nil {
			g.rateLimits.SkipOwner(id, owner.Instance, now.Add(failedOwnerBackoff))
			retryAfter, reason = earlierRetry(i, retryAfter, storeRetryAfter), fmt.Sprintf("no answer from its pool on %s: %v", owner.Instance, err)
			continue
		}
		if response.Taken > 0 {
			g.rateLimits.Add(now, id, response.Taken)
			return true, 0, ""
		}
		g.rateLimits.SkipOwner(id, owner.Instance, now.Add(min(emptyPoolBackoff, response.RetryAfter)))
		retryAfter, reason = earlierRetry(i, retryAfter, response.RetryAfter), "its pool on "+string(owner.Instance)+" is empty"
	}
	return false, retryAfter, reason
}

// earlierRetry returns the shorter of two retry delays. The delay of the first owner
// replaces the default.
func earlierRetry(ownerIndex int, current, candidate time.Duration) time.Duration {
	if ownerIndex == 0 {
		return candidate
	}
	return min(current, candidate)
}

// takeFromOwner takes tokens from the pool of an owner, which may be this instance.
func (g *Gateway) takeFromOwner(owner fleet.InstanceID, take TakeRequest) (PeerResponse, error) {
	request := PeerRequest{Take: &take}
	if owner == g.config.Instance {
		return g.response(request), nil
	}
	return g.callPeer(owner, request)
}

// callPeer sends a request to another instance.
func (g *Gateway) callPeer(instance fleet.InstanceID, request PeerRequest) (PeerResponse, error) {
	g.mu.Lock()
	peer := g.members.members[instance]
	g.mu.Unlock()
	if peer == nil || peer.row.Address == "" || g.config.PeerTransport == nil {
		return PeerResponse{}, &Error{Err: errors.New("its address is not known"), Kind: KindNotDone, Op: "ask"}
	}
	payload, err := json.Marshal(request)
	if err != nil {
		return PeerResponse{}, &Error{Err: err, Kind: KindInvalid, Op: "ask"}
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	encoded, err := g.config.PeerTransport.Call(ctx, peer.row.Address, peer.row.Secret, payload)
	var response PeerResponse
	if err == nil {
		err = json.Unmarshal(encoded, &response)
	}
	countPeerCall(err)
	if err != nil {
		// If the owner granted tokens, they are lost.
		return PeerResponse{}, &Error{Err: err, Kind: KindUnknown, Op: "ask"}
	}
	return response, nil
}
