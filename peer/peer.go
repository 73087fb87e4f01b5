// Package peer speaks to the other instances: membership, validity leases,
// the spread of sheets and rosters, and the shares of limits.
package peer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// clockDrift is the largest assumed difference in rate between two clocks.
const clockDrift = 0.1

// Error is the error type of this package.
type Error struct {
	Err  error
	Kind ErrorKind
	// Op is the operation that failed.
	Op string
}

// ErrorKind tells the errors of this package apart.
type ErrorKind string

// Kinds of errors.
const (
	// KindConfig is an unusable setting or file.
	KindConfig ErrorKind = "Config"
	// KindNotHeld is a version or generation that this instance does not hold.
	KindNotHeld ErrorKind = "NotHeld"
	// KindStore is a failed call to the table.
	KindStore ErrorKind = "Store"
	// KindUnavailable is a peer that did not answer as the expected member.
	KindUnavailable ErrorKind = "Unavailable"
)

// Error returns the text of the error.
func (e *Error) Error() string {
	return fmt.Sprintf("peer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Member is one run of an instance.
type Member struct {
	Epoch    fleet.Epoch
	Instance fleet.InstanceID
}

// compareMembers orders members by instance, then epoch.
func compareMembers(a, b Member) int {
	if c := cmp.Compare(a.Instance, b.Instance); c != 0 {
		return c
	}
	return cmp.Compare(a.Epoch, b.Epoch)
}

// Roster is one agreed set of members. Their shares add up to the limits.
type Roster struct {
	Generation fleet.RosterGeneration
	Members    []Member
	// Previous is the members of the generation before.
	Previous []Member
	// Proposal is unique for each attempt to write a roster. It tells whether
	// a write with a lost answer took effect.
	Proposal string
}

// Has reports whether the member belongs to the roster.
func (r Roster) Has(member Member) bool {
	return slices.Contains(r.Members, member)
}

// PermitLimit is the budget of connections to one backend server.
type PermitLimit struct {
	Budget int
	Server fleet.ServerID
}

// Limits are the limits of one sheet version.
type Limits struct {
	Permits []PermitLimit
	Rates   []workspace.Limit
	Version fleet.SheetVersion
}

// Versions is what an instance holds or what the head row names.
type Versions struct {
	Generation fleet.RosterGeneration
	Sheet      fleet.SheetVersion
}

// Covers reports whether v is as new as other in both parts.
func (v Versions) Covers(other Versions) bool {
	return v.Generation >= other.Generation && v.Sheet >= other.Sheet
}

// isMajority reports whether count is more than half of the members.
func isMajority(count int, members []Member) bool {
	return 2*count > len(members)
}

// expiryWait is the time by the own clock after which a lease that began by
// another clock has ended for certain, whichever of the two is fast.
func expiryWait(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 + clockDrift) / (1 - clockDrift))
}
