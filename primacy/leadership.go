package primacy

import (
	"encoding/json"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Token is the fencing token of promotion orders. It grows with each holder.
type Token uint64

const (
	// leaderRenewal is the age at which the leader renews its row: often
	// enough that a lost answer costs nothing.
	leaderRenewal = 1200 * time.Millisecond
	// leaderSilence is how long the row stands still before another instance
	// takes it: three renewals.
	leaderSilence = 4000 * time.Millisecond
	// leaderValid is how long a renewal lets the leader act. The rest up to
	// leaderSilence covers an order that is on its way.
	leaderValid = 3000 * time.Millisecond
)

// Leader is the row that names the instance which orders promotions.
type Leader struct {
	// Beat changes with each renewal.
	Beat     uint64
	Epoch    fleet.Epoch
	Instance fleet.InstanceID
	Token    Token
}

// EncodeLeader returns the text form of the row.
func (l Leader) EncodeLeader() ([]byte, error) {
	return json.Marshal(l)
}

// DecodeLeader parses the text form.
func DecodeLeader(content []byte) (Leader, error) {
	var leader Leader
	if err := json.Unmarshal(content, &leader); err != nil {
		return Leader{}, &Error{Err: err, Kind: KindMalformed, Op: "decode leader"}
	}
	return leader, nil
}

// Leadership decides when an instance takes, renews and may use the leader's
// row. It isn't safe for concurrent use.
type Leadership struct {
	epoch    fleet.Epoch
	instance fleet.InstanceID
	// renewed is when the last renewal that succeeded was sent.
	renewed time.Time
	row     Leader
	// seen is when the row was last seen to change, and known whether there
	// was a look at the table at all.
	known bool
	seen  time.Time
}

// NewLeadership returns the state of an instance that does not lead.
func NewLeadership(instance fleet.InstanceID, epoch fleet.Epoch) *Leadership {
	return &Leadership{epoch: epoch, instance: instance}
}

// Observe takes in the row as it was read. A missing row is the zero Leader.
func (l *Leadership) Observe(now time.Time, row Leader) {
	if !l.known || row != l.row {
		l.seen = now
	}
	l.known = true
	l.row = row
}

// Next returns the row to write now under the condition that nobody wrote it
// since it was read, if there is one to write.
func (l *Leadership) Next(now time.Time) (Leader, bool) {
	if !l.known {
		return Leader{}, false
	}
	next := l.row
	next.Beat++
	switch {
	case l.holds():
		return next, now.Sub(l.renewed) >= leaderRenewal
	case l.row.Instance == "" || l.row.Instance == l.instance || now.Sub(l.seen) >= leaderSilence:
		// An earlier run of this instance has certainly ended.
		next.Epoch, next.Instance = l.epoch, l.instance
		next.Token++
		return next, true
	default:
		return Leader{}, false
	}
}

// Written says that the row was written by a call that was sent at a time.
func (l *Leadership) WriteSucceeded(sent time.Time, row Leader) {
	l.row = row
	l.seen = sent
	l.renewed = sent
}

// Token returns the fencing token while the instance may give orders.
func (l *Leadership) Token(now time.Time) (Token, bool) {
	return l.row.Token, l.holds() && now.Sub(l.renewed) < leaderValid
}

// Holder is the instance that the row names.
func (l *Leadership) Holder() fleet.InstanceID {
	return l.row.Instance
}

func (l *Leadership) holds() bool {
	return l.row.Instance == l.instance && l.row.Epoch == l.epoch
}
