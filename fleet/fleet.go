// Package fleet defines the named ids and units that all other packages share.
package fleet

// DataCentre names a data centre, for example "gt-1".
type DataCentre string

// Epoch tells the runs of one instance apart. It is drawn at random when the
// process starts, so that a restarted instance never acts for its earlier run.
type Epoch uint64

// GroupID names a database group. One database is served by one group, so it
// is also the database name that a caller connects to.
type GroupID string

// InstanceID names an instance of nutmegpier.
type InstanceID string

// RosterGeneration counts the agreed sets of instances. It only grows.
type RosterGeneration uint64

// ServerID names a backend server, unique over all groups.
type ServerID string

// SheetVersion counts the published sheets. It only grows; zero means none.
type SheetVersion uint64

// WorkspaceID names a workspace. It is also the user name of its callers.
type WorkspaceID string
