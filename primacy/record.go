// Package primacy decides which server of a group is its primary: the record
// that all instances agree on, the lease under which an instance uses it, and
// the steps of a promotion. It does no I/O and reads no clock.
package primacy

import (
	"encoding/json"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// LeaseTime is how long an instance may use a primary after it has last proved
// that the record is the newest one. It bounds the wait for an instance that
// does not confirm a change; a shorter one stops writes sooner when the store
// is down. It stays below the 5 s in which a withdrawn key must stop working,
// because both rest on the same proof.
const LeaseTime = 4500 * time.Millisecond

// LeaseMargin is added to the wait for leases of other instances. Steady
// clocks of two machines differ by far less in LeaseTime.
const LeaseMargin = 200 * time.Millisecond

// Phase says whether the primary of a record may be used.
type Phase string

// Phases of a record.
const (
	// PhaseChanging means that instances leave the primary.
	PhaseChanging Phase = "Changing"
	// PhaseServing means that the primary serves.
	PhaseServing Phase = "Serving"
)

// Reason says why a primary is replaced.
type Reason string

// Reasons of a change.
const (
	// ReasonFailure means that the primary can't be reached.
	ReasonFailure Reason = "Failure"
	// ReasonHandover means that a healthy primary is to leave. Its running
	// transactions may end first.
	ReasonHandover Reason = "Handover"
	// ReasonReplaced means that another server leads a later term already.
	ReasonReplaced Reason = "Replaced"
)

// Generation counts the changes of a group's record. It only grows.
type Generation uint64

// Record is the agreed state of one group. It is written only under the
// condition that nobody else wrote it before.
type Record struct {
	Generation Generation
	Group      fleet.GroupID
	// Orders is the number of promotion orders that may have been given in the
	// last change. Each is recorded before it is given.
	Orders  int `json:",omitempty"`
	Phase   Phase
	Primary fleet.ServerID
	Reason  Reason `json:",omitempty"`
	// Target is the server that is being promoted. It is recorded before the
	// order is given, because an order whose answer was lost may take effect
	// later: another target would then be rolled back.
	Target fleet.ServerID `json:",omitempty"`
	Term   fleet.Term
}

// Encode returns the text form of the record.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// Decode parses the text form.
func Decode(content []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(content, &record); err != nil {
		return Record{}, &Error{Err: err, Kind: KindMalformed, Op: "decode record"}
	}
	if record.Group == "" || (record.Phase != PhaseServing && record.Phase != PhaseChanging) {
		return Record{}, &Error{Kind: KindMalformed, Op: "decode record"}
	}
	return record, nil
}
