// Package primacy decides which server of a group is its primary. It defines
// the record that all instances agree on, the lease under which an instance
// uses the primary, and the steps of a promotion. It does no I/O and doesn't
// read the clock.
package primacy

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// LeaseTime is how long an instance may use a primary after the time at which
// the record was last verified to be current. It bounds the wait for an
// instance that does not confirm a change; a shorter lease stops writes sooner
// when the store is down. It stays below the 5 s in which a withdrawn key must
// stop working, because both depend on recent answers of the store.
const LeaseTime = 4500 * time.Millisecond

// LeaseMargin is added to LeaseTime when waiting for the leases of other
// instances to expire. Within LeaseTime, the monotonic clocks of two machines
// drift apart by far less.
const LeaseMargin = 200 * time.Millisecond

// Phase says whether the primary of a record may be used.
type Phase string

// Phases of a record.
const (
	// PhaseChanging means that the primary is being replaced, and that
	// instances must stop using it.
	PhaseChanging Phase = "Changing"
	// PhaseServing means that the primary may be used.
	PhaseServing Phase = "Serving"
)

// Reason says why a primary is replaced.
type Reason string

// Reasons of a change.
const (
	// ReasonFailure means that the primary is unreachable.
	ReasonFailure Reason = "Failure"
	// ReasonHandover means that a healthy primary is to be taken out of
	// service. Its running transactions may end first.
	ReasonHandover Reason = "Handover"
	// ReasonReplaced means that another server is already primary in a later
	// term.
	ReasonReplaced Reason = "Replaced"
)

// Generation numbers the phases of a group's record. It increases when a change
// of primary starts, ends or gives up its target, and never decreases.
type Generation uint64

// Record is the agreed state of one group. It is written only on condition that
// nobody else has written it since it was read.
type Record struct {
	Generation Generation
	Group      fleet.GroupID
	// History lists the latest terms of the primary's log, up to Term. A server whose
	// log ends elsewhere has commits that were never part of it.
	History fleet.History `json:",omitempty"`
	// Orders is the number of promotion orders that may have been given in the
	// last change. Each order is counted here before it is given.
	Orders  int `json:",omitempty"`
	Phase   Phase
	Primary fleet.ServerID
	// Reason is why the primary is being replaced. While it serves, ReasonHandover says
	// that a handover has ended without a target.
	Reason Reason `json:",omitempty"`
	// Servers are the servers that may hold acknowledged commits, in the order of their
	// IDs. They are recorded for groups with synchronous replicas.
	Servers []GroupServer `json:",omitempty"`
	// Target is the server that is being promoted. It is recorded before the
	// order is given, because an order whose answer was lost may still take
	// effect later, and would then roll back the promotion of a different
	// target.
	Target fleet.ServerID `json:",omitempty"`
	Term   fleet.Term
}

// Equal reports whether the records are the same.
func (r Record) Equal(other Record) bool {
	return reflect.DeepEqual(r, other)
}

// Encode returns the JSON form of the record.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// Decode parses the JSON form of a record and checks that it has a group and a
// known phase.
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
