package peer

import (
	"context"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
)

const (
	// exchangePeriod is the interval between Exchange calls to the same peer.
	exchangePeriod = 500 * time.Millisecond
	// callTimeout is the default timeout of a call to the store or a peer. A later
	// response is of no use for a lease, which counts from the request.
	callTimeout = time.Second
	// storePeriod is the interval between two reads of the head row, and between
	// two reads of the list of instances.
	storePeriod = time.Second
	// DefaultValidityLease is how long a store read or a majority of lease grants
	// keeps an instance valid.
	DefaultValidityLease = 3 * time.Second
)

// Clock returns the current time, including a monotonic clock reading.
type Clock interface {
	Now() time.Time
}

// Condition is met if the row has this revision. Zero means that the row does
// not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Row is one row of the platform's table.
type Row struct {
	Key      string
	Revision uint64
	Value    []byte
}

// Table is the part of the platform's table service that this package uses as
// its store.
type Table interface {
	// Read returns those of the rows that exist, from one consistent snapshot.
	Read(ctx context.Context, keys []string) ([]Row, error)
	// Write writes all rows if all conditions are met, and none otherwise. It
	// reports whether it wrote them, and returns the rows named in the call as they
	// are after it. After an error it is unknown whether the write took effect.
	Write(ctx context.Context, conditions []Condition, rows []Row) (applied bool, after []Row, err error)
}

// InstanceList is the platform's list of instances.
type InstanceList interface {
	List(ctx context.Context) ([]Listed, error)
}

// LimitsParser parses the content of a sheet and returns its limits.
type LimitsParser func(content []byte) (Limits, error)

// Config holds the settings and dependencies of a controller. All fields are
// required except Events, ForwardCancel, Lease, ReleasePermits, Seeds,
// SheetChanged and Suspicions.
type Config struct {
	// Client returns the client for the peer at an address.
	Client func(address string) nutmegpierv1connect.PeerServiceClient
	Clock  Clock
	// Epoch identifies this run of the instance.
	Epoch fleet.Epoch
	// Events receives each change of state. It must not call the controller.
	Events func(event Event)
	// ForwardCancel passes a cancel request to a session of this instance and
	// reports whether the session exists.
	ForwardCancel func(processID uint32, secretKey []byte) bool
	Instances     InstanceList
	// Lease is the duration of the validity lease, by default
	// DefaultValidityLease.
	Lease time.Duration
	// Limits extracts the limits from the content of a sheet.
	Limits LimitsParser
	// Random returns a random number, which makes the ID of a roster proposal
	// unique.
	Random func() uint64
	// ReleasePermits makes the connection pool release up to the wanted number of
	// permits, as far as it does not need them, and returns how it uses the rest.
	// The connections of released permits are closed when it returns. It must not
	// call the controller.
	ReleasePermits func(server fleet.ServerID, wanted int) PermitUse
	// Seeds are peers that are contacted even if the platform's list of instances
	// does not contain them or is unavailable.
	Seeds []Listed
	// Self is the ID of this instance.
	Self fleet.InstanceID
	// SheetChanged is called with each newer sheet.
	SheetChanged func(version fleet.SheetVersion, content []byte)
	// Suspicions returns the primaries that this instance suspects to be down.
	Suspicions func() []Suspicion
	Table      Table
}

// Suspicion is the report of an instance that it cannot reach the primary of a
// group.
type Suspicion struct {
	// Reporter is the instance that cannot reach the primary.
	Reporter Member
	Group    fleet.GroupID
	// Silence is how long the primary has left the reporter's requests unanswered.
	Silence time.Duration
	// Term is the term of that primary.
	Term fleet.Term
}
