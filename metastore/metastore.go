// Package metastore speaks to the store of an installation: its transactional table, its
// object store and its list of instances.
package metastore

import (
	"context"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Revision counts the writes of one row, from one. Zero means that the row is absent.
type Revision uint64

// Row is one row of the table.
type Row struct {
	// Key names the row.
	Key string
	// Revision is the row's revision. It is ignored in a write.
	Revision Revision
	// Value is the content.
	Value []byte
}

// Condition holds when the row has this revision.
type Condition struct {
	// Key names the row.
	Key string
	// Revision is the expected revision. Zero means that the row is absent.
	Revision Revision
}

// Table is the platform's transactional table. An error of Write leaves open
// whether the write took effect.
type Table interface {
	// Read reads the rows with the keys in one consistent read. Absent rows
	// are left out. The order is that of the keys' bytes.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// ReadPrefix reads all rows whose key starts with the prefix, which is
	// not empty.
	ReadPrefix(ctx context.Context, prefix string) ([]Row, error)
	// Write writes all rows if all conditions hold, and none otherwise. It
	// returns whether it wrote, and the rows named in the call as they are
	// after it. Absent rows have revision zero.
	Write(ctx context.Context, conditions []Condition, rows []Row) (applied bool, after []Row, err error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Get returns an object, and whether it exists.
	Get(ctx context.Context, name string) (content []byte, found bool, err error)
	// Put stores an object.
	Put(ctx context.Context, name string, content []byte) error
}

// InstanceState says whether an instance is to stay.
type InstanceState string

// States of an instance.
const (
	// InstanceLeaving is an instance that the platform is about to stop.
	InstanceLeaving InstanceState = "Leaving"
	// InstanceLive is an instance that stays.
	InstanceLive InstanceState = "Live"
)

// Instance is one entry of the platform's list of instances.
type Instance struct {
	// DataCentre is where the instance runs.
	DataCentre fleet.DataCentre
	// ID is the id of the instance.
	ID fleet.InstanceID
	// PeerAddress is "ip:port" of the instance's peer listener.
	PeerAddress string
	// State says whether the instance is to stay.
	State InstanceState
}

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	// Instances returns the listed instances in the order of their ids.
	Instances(ctx context.Context) ([]Instance, error)
}
