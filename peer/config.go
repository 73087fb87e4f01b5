package peer

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
)

const (
	// exchangePeriod is the time between two exchanges with the same peer.
	exchangePeriod = 500 * time.Millisecond
	// callTimeout bounds each call. A late answer is of no use for a lease.
	callTimeout = time.Second
	// storePeriod is the time between two reads of the head row.
	storePeriod = time.Second
	// DefaultValidityLease is the time for which evidence of validity counts.
	DefaultValidityLease = 3 * time.Second
)

// Clock tells the time with its monotonic reading.
type Clock interface {
	Now() time.Time
}

// Condition holds when the row has this revision. Zero means that it is absent.
type Condition struct {
	Key      string
	Revision uint64
}

// Row is one row of the table.
type Row struct {
	Key      string
	Revision uint64
	Value    []byte
}

// Table is the part of the platform's table service that the peers need.
type Table interface {
	// Read returns the rows that exist, in one consistent read.
	Read(ctx context.Context, keys []string) ([]Row, error)
	// Write writes all rows if all conditions hold, and none otherwise. An
	// error says nothing about whether the write took effect.
	Write(ctx context.Context, conditions []Condition, rows []Row) (applied bool, after []Row, err error)
}

// InstanceList is the platform's list of instances.
type InstanceList interface {
	List(ctx context.Context) ([]Listed, error)
}

// LimitsParser reads the limits out of the content of a sheet.
type LimitsParser func(content []byte) (Limits, error)

// Config is what a controller depends on. All fields are required, but for
// Events, ForwardCancel, Lease, ReleasePermits, Seeds, SheetChanged and Suspicions.
type Config struct {
	// Client returns the client for the peer at an address.
	Client func(address string) nutmegpierv1connect.PeerServiceClient
	Clock  Clock
	Epoch  fleet.Epoch
	// Events receives each change of state. It must not call the controller.
	Events func(event Event)
	// ForwardCancel passes a cancel request to a session of this instance.
	ForwardCancel func(processID uint32, secretKey []byte) bool
	Instances     InstanceList
	Lease         time.Duration
	Limits        LimitsParser
	// Random returns a number that is unique for each proposal.
	Random func() uint64
	// ReleasePermits lets the pool give up as many of the wanted permits as it
	// does not need, and returns how it uses the rest. The connections of the
	// permits given up are closed when it returns. It must not call the
	// controller.
	ReleasePermits func(server fleet.ServerID, wanted int) PermitUse
	// Seeds are peers from the settings, used while the list is not available.
	Seeds []Listed
	Self  fleet.InstanceID
	// SheetChanged receives each newer sheet.
	SheetChanged func(version fleet.SheetVersion, content []byte)
	// Suspicions returns what this instance suspects of primaries.
	Suspicions func() []Suspicion
	Table      Table
}

// Suspicion says that an instance cannot reach the primary of a group.
type Suspicion struct {
	Reporter Member
	Group    fleet.GroupID
	Silence  time.Duration
	Term     fleet.Term
}
