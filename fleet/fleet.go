// Package fleet defines the identifiers and log positions that all other
// packages share.
package fleet

// DataCentre is the name of a data centre, for example "gt-1".
type DataCentre string

// Epoch identifies one run of an instance. It is drawn at random when the
// process starts, so that a restarted instance is never taken for its earlier
// run.
type Epoch uint64

// GroupID is the name of a group of backend servers. It is also the type of the
// database names to which callers connect. The route of a database names the
// group that serves it, which by default has the name of the database.
type GroupID string

// InstanceID is the name of an instance of nutmegpier.
type InstanceID string

// RosterGeneration numbers the sets of instances that were agreed on. It only
// increases.
type RosterGeneration uint64

// ServerID is the name of a backend server. It is unique over all groups.
type ServerID string

// SheetVersion numbers the published sheets. It only increases; zero means that
// none is published.
type SheetVersion uint64

// WorkspaceID is the name of a workspace. It is also the user name of its
// callers.
type WorkspaceID string
