package primacy

import (
	"encoding/json"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Token is the fencing token that promotion orders carry. It increases each
// time an instance takes the leader row.
type Token uint64

const (
	// leaderRenewInterval is how often the leader renews its row. It is short
	// enough that one lost answer does not cost the leadership.
	leaderRenewInterval = 1200 * time.Millisecond
	// leaderLeaseDuration is how long the row must stay unchanged before
	// another instance takes it: about three renewal intervals.
	leaderLeaseDuration = 4000 * time.Millisecond
	// leaderRenewDeadline is how long after a successful renewal the leader may
	// give orders. The difference to leaderLeaseDuration covers an order that
	// is still in flight.
	leaderRenewDeadline = 3000 * time.Millisecond
)

// Leader is the row that names the instance which gives promotion orders.
type Leader struct {
	// Beat increases with each write of the row, so that other instances see
	// that the leader is alive.
	Beat     uint64
	Epoch    fleet.Epoch
	Instance fleet.InstanceID
	Token    Token
}

// EncodeLeader returns the JSON form of the row.
func (l Leader) EncodeLeader() ([]byte, error) {
	return json.Marshal(l)
}

// DecodeLeader parses the JSON form of a leader row.
func DecodeLeader(content []byte) (Leader, error) {
	var leader Leader
	if err := json.Unmarshal(content, &leader); err != nil {
		return Leader{}, &Error{Err: err, Kind: KindMalformed, Op: "decode leader"}
	}
	return leader, nil
}

// Leadership decides when an instance takes or renews the leader row, and
// whether it may give promotion orders. It isn't safe for concurrent use.
type Leadership struct {
	epoch    fleet.Epoch
	instance fleet.InstanceID
	// renewedAt is when the last successful write of the row was sent.
	renewedAt time.Time
	row       Leader
	// observed is true once the row was read, and rowChangedAt is when it was
	// last seen to change.
	observed     bool
	rowChangedAt time.Time
}

// NewLeadership returns the state of an instance that is not the leader.
func NewLeadership(instance fleet.InstanceID, epoch fleet.Epoch) *Leadership {
	return &Leadership{epoch: epoch, instance: instance}
}

// Observe processes a read of the row. A missing row is passed as the zero
// Leader.
func (l *Leadership) Observe(now time.Time, row Leader) {
	if !l.observed || row != l.row {
		l.rowChangedAt = now
	}
	l.observed = true
	l.row = row
}

// Next returns the row to write now, if a write is due. The write must be
// conditional on the row being unchanged since it was read.
func (l *Leadership) Next(now time.Time) (Leader, bool) {
	if !l.observed {
		return Leader{}, false
	}
	next := l.row
	next.Beat++
	switch {
	case l.isHolder():
		return next, now.Sub(l.renewedAt) >= leaderRenewInterval
	case l.row.Instance == "" || l.row.Instance == l.instance || now.Sub(l.rowChangedAt) >= leaderLeaseDuration:
		// If the row names another epoch of this instance, that process has
		// certainly ended, so its lease need not expire first.
		next.Epoch, next.Instance = l.epoch, l.instance
		next.Token++
		return next, true
	default:
		return Leader{}, false
	}
}

// WriteSucceeded records that the row was written by a call sent at the given
// time.
func (l *Leadership) WriteSucceeded(sent time.Time, row Leader) {
	l.row = row
	l.rowChangedAt = sent
	l.renewedAt = sent
}

// Token returns the fencing token, and whether the instance may give orders
// now.
func (l *Leadership) Token(now time.Time) (Token, bool) {
	return l.row.Token, l.isHolder() && now.Sub(l.renewedAt) < leaderRenewDeadline
}

// Holder returns the instance that the row names.
func (l *Leadership) Holder() fleet.InstanceID {
	return l.row.Instance
}

// isHolder reports whether the row names this run of the instance.
func (l *Leadership) isHolder() bool {
	return l.row.Instance == l.instance && l.row.Epoch == l.epoch
}
