package gateway

import (
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/primacy"
	"github.com/nutmegpier/nutmegpier/usage"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// GroupLeft confirms that an instance has stopped using a group's primary, as of a
// generation of the primary record.
type GroupLeft struct {
	Generation primacy.Generation
	Group      fleet.GroupID
}

// MemberRow is the membership row that an instance writes periodically for the others
// to read.
type MemberRow struct {
	// At is the store's monotonic time at which the row was sent. The fields that
	// change with each write come first, because only the changed part is relayed. It is
	// rounded down to milliseconds, which shortens the relayed change and is well within
	// primacy.LeaseMargin.
	At time.Duration
	// Beat is a heartbeat counter that changes with each write.
	Beat uint64
	// Demand is the demand on the instance in requests per second.
	Demand float64
	// Address is where the instance serves requests of other instances.
	Address    string `json:",omitempty"`
	DataCentre fleet.DataCentre
	// Draining says that the instance is about to stop.
	Draining bool `json:",omitempty"`
	// Epoch identifies the run of the instance's process.
	Epoch fleet.Epoch
	// Left lists the primaries that the instance has stopped using.
	Left []GroupLeft `json:",omitempty"`
	// LinkMegabits is the speed of the instance's network link in Mbit/s, or zero if it is
	// not known.
	LinkMegabits float64 `json:",omitempty"`
	// Phase is whether the instance holds shares of the rate limits.
	Phase workspace.Phase
	// ProcessorShare is the processor time that the instance may use, in cores.
	ProcessorShare float64 `json:",omitempty"`
	// Since is the store's monotonic time since which the row has been valid
	// without interruption.
	Since time.Duration
	// Secret authenticates requests to the instance: only readers of this row
	// know it.
	Secret []byte `json:",omitempty"`
	// Undecided lists the primaries of which the instance can't say yet whether they can be
	// used, because it hasn't seen them registered.
	Undecided []fleet.ServerID `json:",omitempty"`
	// Unreachable lists the primaries that the instance can't use.
	Unreachable []fleet.ServerID `json:",omitempty"`
	// WallOffset is the offset of the instance's wall clock from the store's clock. It is
	// missing if usage is not reported.
	WallOffset usage.Offset `json:",omitempty"`
}

// isNews reports whether the row says something that other instances wait for, compared
// with an earlier row of the instance.
func (r MemberRow) isNews(earlier MemberRow) bool {
	return r.Draining != earlier.Draining || r.Phase != earlier.Phase || r.concernsLeader(earlier)
}

// concernsLeader reports whether the row says something new about a primary, compared
// with an earlier row of the instance.
func (r MemberRow) concernsLeader(earlier MemberRow) bool {
	return !slices.Equal(r.Left, earlier.Left) || !slices.Equal(r.Undecided, earlier.Undecided) || !slices.Equal(r.Unreachable, earlier.Unreachable)
}
