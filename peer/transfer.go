package peer

import (
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// RateAmount is a part of one workspace's limit.
type RateAmount struct {
	Share     workspace.Share
	Workspace fleet.WorkspaceID
}

// PermitAmount is a number of connection permits for a backend server.
type PermitAmount struct {
	Permits int
	Server  fleet.ServerID
}

// TransferID numbers the transfers of one giver's epoch from one.
type TransferID uint64

// Transfer is shares on the way from one member to another. The giver no
// longer holds them. The receiver takes them at most once.
type Transfer struct {
	Donor    Member
	ID       TransferID
	Permits  []PermitAmount
	Rates    []RateAmount
	Receiver Member
	Versions Versions
}

// IsEmpty reports whether nothing was given.
func (t Transfer) IsEmpty() bool {
	return t.ID == 0
}

// Wanted is a request for shares of the receiver of the request.
type Wanted struct {
	Permits  []PermitAmount
	Rates    []RateAmount
	Receiver Member
	Versions Versions
}

// IsEmpty reports whether nothing is wanted.
func (w Wanted) IsEmpty() bool {
	return len(w.Permits) == 0 && len(w.Rates) == 0
}

// transferKey is unique over all transfers.
type transferKey struct {
	giver Member
	id    TransferID
}
