package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/owner"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// peerCallTimeout is the timeout of one call. A response takes two to four milliseconds,
// and a lost datagram is sent again.
const peerCallTimeout = 70 * time.Millisecond

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
	// Call is a call of the sender's, and asks whether the receiver is running its batch.
	Call owner.CallID `json:",omitempty"`
	// Look tells the leader to read the instances' rows now, because the sender's
	// row has new information about a primary.
	Look bool `json:",omitempty"`
	// Probe names a server that the sender can't reach and the receiver is to check.
	Probe fleet.ServerID `json:",omitempty"`
	// Take is the form of Takes for one workspace that earlier versions use. It is nil
	// if no tokens are requested.
	Take *workspace.TakeRequest `json:",omitempty"`
	// Takes requests tokens from the owner of rate limit pools.
	Takes []workspace.TakeRequest `json:",omitempty"`
}

// PeerResponse is the response to a PeerRequest.
type PeerResponse struct {
	// CallEnded is true if the batch of Call is not being run: it has ended, or was not
	// received.
	CallEnded bool `json:",omitempty"`
	// Grants answers Takes, in the same order.
	Grants []workspace.TakeGrant `json:",omitempty"`
	// RetryAfter is set if the pool for Take is empty.
	RetryAfter time.Duration `json:",omitempty"`
	// Taken is the number of tokens granted for Take.
	Taken float64 `json:",omitempty"`
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

// response processes a request of another instance and returns the response.
func (g *Gateway) response(request PeerRequest) PeerResponse {
	var response PeerResponse
	if request.Call != "" {
		response.CallEnded = !g.peerLeases.isRunning(request.Call)
	}
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
	if len(request.Takes) > 0 {
		response.Grants = g.rateLimits.Grant(g.config.Clock(), request.Takes)
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

// callPeer sends a request to another instance.
func (g *Gateway) callPeer(instance fleet.InstanceID, request PeerRequest) (PeerResponse, error) {
	return g.callPeerWithin(peerCallTimeout, instance, request)
}

// callPeerWithin sends a request to another instance and waits for the response until the
// timeout.
func (g *Gateway) callPeerWithin(timeout time.Duration, instance fleet.InstanceID, request PeerRequest) (PeerResponse, error) {
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
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
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
