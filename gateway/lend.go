package gateway

import (
	"context"
	"encoding/json"
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
	// lendBound bounds one question. The request waits for it; an answer takes
	// two to four milliseconds, and a lost datagram is sent again.
	lendBound = 70 * time.Millisecond
	// lendEmpty is how long a pool that had nothing left is not asked again.
	lendEmpty = 200 * time.Millisecond
	// lendSilent is the same for an owner that did not answer.
	lendSilent = 500 * time.Millisecond
)

// Peers carries questions between instances.
type Peers interface {
	// Address is where this instance answers.
	Address() string
	// Ask returns the answer of the instance at an address. The secret is that
	// of the instance. The question may arrive more than once, and is answered
	// once.
	Ask(ctx context.Context, address string, secret, question []byte) ([]byte, error)
	// Secret proves that a question comes from a reader of this instance's row.
	Secret() []byte
	// Serve answers questions until the context ends.
	Serve(ctx context.Context, answer func(question []byte) []byte) error
}

// TakeQuestion asks the owner of a pool for requests of a workspace.
type TakeQuestion struct {
	Want      float64
	Workspace fleet.WorkspaceID
}

// TakeAnswer is what the owner gives. RetryAfter is set if it has nothing left.
type TakeAnswer struct {
	RetryAfter time.Duration `json:",omitempty"`
	Taken      float64
}

// servePeers answers the questions of other instances.
func (g *Gateway) servePeers(ctx context.Context) error {
	if g.config.Peers == nil {
		return nil
	}
	return g.config.Peers.Serve(ctx, func(content []byte) []byte {
		var question TakeQuestion
		if err := json.Unmarshal(content, &question); err != nil {
			g.config.Log.Record(event.EntryRefused, event.Fields{Text: "question of an instance: " + err.Error()})
			return nil
		}
		var answer TakeAnswer
		answer.Taken, answer.RetryAfter = g.limits.Give(g.config.Clock(), question.Workspace, question.Want)
		encoded, err := json.Marshal(answer)
		if err != nil {
			g.config.Log.Record(event.EntryRefused, event.Fields{Text: "answer to an instance: " + err.Error()})
			return nil
		}
		return encoded
	})
}

// borrow takes requests from the pools of a workspace. It reports whether there
// is something to admit now, and otherwise when a caller may come back and why
// there is not.
func (g *Gateway) borrow(now time.Time, id fleet.WorkspaceID) (taken bool, retryAfter time.Duration, reason string) {
	owners := g.limits.Owners(now, id)
	want := math.Max(1, g.limits.Demand(now, id)*lendSpan.Seconds())
	retryAfter, reason = notLeasedRetry, "its limits are not known to be in force"
	for i, owner := range owners {
		if wait := owner.Until.Sub(now); wait > 0 {
			retryAfter, reason = nearer(i, retryAfter, wait), "its pools were empty or silent a moment ago"
			continue
		}
		answer, err := g.takeFrom(now, owner.Instance, TakeQuestion{Want: want, Workspace: id})
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
func (g *Gateway) takeFrom(now time.Time, owner fleet.InstanceID, question TakeQuestion) (TakeAnswer, error) {
	var answer TakeAnswer
	if owner == g.members.self {
		answer.Taken, answer.RetryAfter = g.limits.Give(now, question.Workspace, question.Want)
		return answer, nil
	}
	g.mu.Lock()
	m := g.members.members[owner]
	g.mu.Unlock()
	if m == nil || m.row.Address == "" || g.config.Peers == nil {
		return answer, &Error{Kind: KindNotDone, Op: "take from pool"}
	}
	content, err := json.Marshal(question)
	if err != nil {
		return answer, &Error{Err: err, Kind: KindInvalid, Op: "take from pool"}
	}
	ctx, cancel := context.WithTimeout(context.Background(), lendBound)
	defer cancel()
	encoded, err := g.config.Peers.Ask(ctx, m.row.Address, m.row.Secret, content)
	if err == nil {
		err = json.Unmarshal(encoded, &answer)
	}
	countPeerCall(err)
	if err != nil {
		// What the owner may have given is lost.
		return TakeAnswer{}, &Error{Err: err, Kind: KindUnknown, Op: "take from pool"}
	}
	return answer, nil
}
