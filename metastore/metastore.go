// Package metastore defines the services that the platform provides to a deployment,
// namely a transactional table, an object store and a list of instances, and
// implements a client for them.
package metastore

import (
	"context"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Revision counts the writes of one row, from one. Zero means that the row is absent.
type Revision uint64

// Row is one row of the table.
type Row struct {
	Key string
	// Revision is the revision of the row. A write ignores it.
	Revision Revision
	Value    []byte
}

// Condition is a precondition of a write: the row must have this revision.
type Condition struct {
	Key string
	// Revision is the expected revision. Zero means that the row must be absent.
	Revision Revision
}

// Table is the platform's transactional table. If Write returns an error, the write
// may or may not have taken effect.
type Table interface {
	// Read reads the rows with the given keys in one consistent read. The result
	// is in bytewise order of the keys and does not contain absent rows.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// ReadPrefix reads all rows whose key starts with the prefix, which must not
	// be empty.
	ReadPrefix(ctx context.Context, prefix string) ([]Row, error)
	// Write writes all rows if all conditions hold, and none otherwise. Applied
	// reports whether it wrote the rows. After holds the rows named in the
	// conditions and the write, as they are after the call. Absent rows have
	// revision zero.
	Write(ctx context.Context, conditions []Condition, rows []Row) (applied bool, after []Row, err error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Get returns the content of an object and whether the object exists.
	Get(ctx context.Context, name string) (content []byte, found bool, err error)
	// Put stores an object and replaces an existing one.
	Put(ctx context.Context, name string, content []byte) error
}

// InstanceState is the state of an instance according to the platform.
type InstanceState string

// States of an instance.
const (
	// InstanceLeaving is an instance that the platform is about to stop.
	InstanceLeaving InstanceState = "Leaving"
	// InstanceLive is an instance that the platform keeps running.
	InstanceLive InstanceState = "Live"
)

// Instance is one entry of the platform's list of instances.
type Instance struct {
	DataCentre fleet.DataCentre
	ID         fleet.InstanceID
	// PeerAddress is the address, as "ip:port", on which the instance accepts
	// connections from other instances.
	PeerAddress string
	State       InstanceState
}

// InstanceList is the platform's list of instances. It may lag behind the actual
// state.
type InstanceList interface {
	// Instances returns the listed instances, ordered by ID.
	Instances(ctx context.Context) ([]Instance, error)
}
