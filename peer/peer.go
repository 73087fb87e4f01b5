// Package peer implements the protocol between the instances: membership,
// validity leases, the distribution of sheets and rosters, and the division of
// rate limits and connection budgets into one share for each instance.
//
// A sheet is one published version of the configuration. A roster is one agreed
// set of instances, and its generation counts up with each change. The store is
// the platform's table service; its head row names the newest roster generation
// and sheet version. An instance may serve only while it is valid, that is,
// while it can prove that it holds the newest versions; see Validity.
package peer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// maxClockDrift is the largest assumed deviation of a clock's rate from real
// time, as a fraction.
const maxClockDrift = 0.1

// Error is the error type of this package.
type Error struct {
	Err  error
	Kind ErrorKind
	// Op is the operation that failed.
	Op string
}

// ErrorKind classifies the errors of this package.
type ErrorKind string

// Kinds of errors.
const (
	// KindConfig is an invalid setting, file or sheet.
	KindConfig ErrorKind = "Config"
	// KindNotHeld is a roster generation or sheet version whose row is missing.
	KindNotHeld ErrorKind = "NotHeld"
	// KindStore is a failed call to the store, or a row that cannot be decoded.
	KindStore ErrorKind = "Store"
	// KindUnavailable is a peer that could not be reached or verified, or a wait
	// that ended before its condition was met.
	KindUnavailable ErrorKind = "Unavailable"
)

// Error returns the text of the error.
func (e *Error) Error() string {
	return fmt.Sprintf("peer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error {
	return e.Err
}

// Member identifies one run of an instance: each start has a new epoch.
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

// Roster is one agreed set of members, among which the limits are divided. It
// is stored as JSON.
type Roster struct {
	Generation fleet.RosterGeneration
	Members    []Member
	// Previous holds the members of the previous generation.
	Previous []Member
	// Proposal is a unique ID of the attempt to write the roster. It identifies
	// the attempt that took effect when the response to a write is lost.
	Proposal string
}

// Has reports whether the member is part of the roster.
func (r Roster) Has(member Member) bool {
	return slices.Contains(r.Members, member)
}

// PermitLimit is the number of connections that all instances together may
// open to one backend server.
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

// Versions is the pair of roster generation and sheet version that an instance
// holds or that the head row names.
type Versions struct {
	Generation fleet.RosterGeneration
	Sheet      fleet.SheetVersion
}

// Covers reports whether both parts of v are at least as new as those of other.
func (v Versions) Covers(other Versions) bool {
	return v.Generation >= other.Generation && v.Sheet >= other.Sheet
}

// isMajority reports whether count is more than half of the members.
func isMajority(count int, members []Member) bool {
	return 2*count > len(members)
}

// expiryWait returns the time to wait by the local clock until a lease that
// another instance measures by its own clock has expired, whichever of the two
// clocks runs fast.
func expiryWait(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 + maxClockDrift) / (1 - maxClockDrift))
}
