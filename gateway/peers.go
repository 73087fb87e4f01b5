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
	// lendSpan is the demand for which an instance takes requests at once. What
	// instances hold unused adds to the burst of a workspace, so it stays well
	// below the tenth by which a limit may be exceeded in 5 s.
	lendSpan = 250 * time.Millisecond
	// askBound bounds one question. A request waits for it; an answer takes two
	// to four milliseconds, and a lost datagram is sent again.
	askBound = 70 * time.Millisecond
	// lendEmpty is how long a pool that had nothing left is not asked again.
	lendEmpty = 200 * time.Millisecond
	// lendSilent is the same for an owner that did not answer.
	lendSilent = 500 * time.Millisecond
)

// PeerTransport carries questions between instances.
type PeerTransport interface {
	// Address is where this instance answers.
	Address() string
	// Ask returns the answer of the instance at an address. The secret is that
	// of the instance. The question may arrive more than once, and is answered
	// once.
	Call(ctx context.Context, address string, secret, question []byte) ([]byte, error)
	// Secret proves that a question comes from a reader of this instance's row.
	Secret() []byte
	// Serve answers questions until the context ends.
	Serve(ctx context.Context, answer func(question []byte) []byte) error
}

// PeerRequest is what one instance asks another.
type PeerRequest struct {
	// Look tells the leader that the asker's row says something about a primary.
	Look bool         `json:",omitempty"`
	Take *TakeRequest `json:",omitempty"`
}

// TakeRequest asks the owner of a pool for requests of a workspace.
type TakeRequest struct {
	Want      float64
	Workspace fleet.WorkspaceID
}

// PeerResponse is the answer to a question: for one that takes, what the owner gives.
// RetryAfter is set if it has nothing left.
type PeerResponse struct {
	RetryAfter time.Duration `json:",omitempty"`
	Taken      float64
}

// servePeers answers the questions of other instances.
func (g *Gateway) servePeers(ctx context.Context) error {
	if g.config.PeerTransport == nil {
		return nil
	}
	return g.config.PeerTransport.Serve(ctx, func(content []byte) []byte {
		var question PeerRequest
		if err := json.Unmarshal(content, &question); err != nil {
			g.config.Log.Record(event.EntryRefused, event.Fields{Text: "question of an instance: " + err.Error()})
			return nil
		}
		encoded, err := json.Marshal(g.answer(question))
		if err != nil {
			g.config.Log.Record(event.EntryRefused, event.Fields{Text: "answer to an instance: " + err.Error()})
			return nil
		}
		return encoded
	})
}

func (g *Gateway) answer(question PeerRequest) PeerResponse {
	var answer PeerResponse
	if question.Look {
		select {
		case g.lookNow <- struct{}{}:
		default:
		}
	}
	if take := question.Take; take != nil {
		answer.Taken, answer.RetryAfter = g.limits.TakeFromPool(g.config.Clock(), take.Workspace, take.Want)
	}
	return answer
}

// tellLeader has the leader look at the rows now. One that does not hear of it
// looks a little later.
func (g *Gateway) tellLeader() {
	g.mu.Lock()
	leader := g.members.leadership.Holder()
	g.mu.Unlock()
	if leader == g.config.Instance {
		return
	}
	if _, err := g.ask(leader, PeerRequest{Look: true}); err != nil {
		g.config.Log.Record(event.PeerSilent, event.Fields{Text: "leader " + string(leader) + ": " + err.Error()})
	}
}

// borrow takes requests from the pools of a workspace. It reports whether there
// is something to admit now, and otherwise when a caller may come back and why
// there is not.
func (g *Gateway) borrow(now time.Time, id fleet.WorkspaceID) (taken bool, retryAfter time.Duration, reason string) {
	owners := g.limits.PoolOwners(now, id)
	want := math.Max(1, g.limits.Demand(now, id)*lendSpan.Seconds())
	retryAfter, reason = notLeasedRetry, "its limits are not known to be in force"
	for i, owner := range owners {
		if wait := owner.SkipUntil.Sub(now); wait > 0 {
			retryAfter, reason = nearer(i, retryAfter, wait), "its pools were empty or silent a moment ago"
			continue
		}
		answer, err := g.takeFrom(owner.Instance, TakeRequest{Want: want, Workspace: id})
		now = g.config.Clock()
		if err != nil {
			g.limits.SkipOwner(id, owner.Instance, now.Add(lendSilent))
			retryAfter, reason = nearer(i, retryAfter, notLeasedRetry), fmt.Sprintf("no answer from its pool on %s: %v", owner.Instance, err)
			continue
		}
		if answer.Taken > 0 {
			g.limits.Add(now, id, answer.Taken)
			return true, 0, ""
		}
		g.limits.SkipOwner(id, owner.Instance, now.Add(min(lendEmpty, answer.RetryAfter)))
		retryAfter, reason = nearer(i, retryAfter, answer.RetryAfter), "its pool on "+string(owner.Instance)+" is empty"
	}
	return false, retryAfter, reason
}

// nearer returns the earlier of two times to come back; the first owner's
// replaces the default.
func nearer(i int, known, other time.Duration) time.Duration {
	if i == 0 {
		return other
	}
	return min(known, other)
}

// takeFrom asks an owner, which may be this instance.
func (g *Gateway) takeFrom(owner fleet.InstanceID, take TakeRequest) (PeerResponse, error) {
	question := PeerRequest{Take: &take}
	if owner == g.config.Instance {
		return g.answer(question), nil
	}
	return g.ask(owner, question)
}

// ask asks another instance.
func (g *Gateway) ask(instance fleet.InstanceID, question PeerRequest) (PeerResponse, error) {
	g.mu.Lock()
	m := g.members.members[instance]
	g.mu.Unlock()
	if m == nil || m.row.Address == "" || g.config.PeerTransport == nil {
		return PeerResponse{}, &Error{Err: errors.New("its address is not known"), Kind: KindNotDone, Op: "ask"}
	}
	content, err := json.Marshal(question)
	if err != nil {
		return PeerResponse{}, &Error{Err: err, Kind: KindInvalid, Op: "ask"}
	}
	ctx, cancel := context.WithTimeout(context.Background(), askBound)
	defer cancel()
	encoded, err := g.config.PeerTransport.Call(ctx, m.row.Address, m.row.Secret, content)
	var answer PeerResponse
	if err == nil {
		err = json.Unmarshal(encoded, &answer)
	}
	countPeerCall(err)
	if err != nil {
		// What was given is lost.
		return PeerResponse{}, &Error{Err: err, Kind: KindUnknown, Op: "ask"}
	}
	return answer, nil
}
