package peer

import (
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// RateAmount is a part of the rate limit of one workspace.
type RateAmount struct {
	Share     workspace.Share
	Workspace fleet.WorkspaceID
}

// PermitAmount is a number of connection permits for one backend server.
type PermitAmount struct {
	Permits int
	Server  fleet.ServerID
}

// TransferID is the number of a transfer. Each donor counts from one in each
// epoch.
type TransferID uint64

// Transfer is a set of shares in transit from a donor to a receiver. The donor
// no longer holds them, and the receiver adds them at most once. Versions are
// those of the donor when the transfer started.
type Transfer struct {
	Donor    Member
	ID       TransferID
	Permits  []PermitAmount
	Rates    []RateAmount
	Receiver Member
	Versions Versions
}

// IsEmpty reports whether the donor gave nothing.
func (t Transfer) IsEmpty() bool {
	return t.ID == 0
}

// Wanted is a request for shares. Receiver is the instance that would receive
// them. The donor may give less.
type Wanted struct {
	Permits  []PermitAmount
	Rates    []RateAmount
	Receiver Member
	Versions Versions
}

// IsEmpty reports whether nothing is requested.
func (w Wanted) IsEmpty() bool {
	return len(w.Permits) == 0 && len(w.Rates) == 0
}

// transferKey identifies a transfer among those of all donors.
type transferKey struct {
	donor Member
	id    TransferID
}
