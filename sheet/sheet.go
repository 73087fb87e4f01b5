// Package sheet holds the operators' sheet: its format, checks, differences,
// key verifiers and the decisions on publishing it.
package sheet

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// FormatVersion is the version of the sheet format that this package reads.
const FormatVersion = 1

// State says whether a data centre or backend server takes new work.
type State string

// States of data centres and backend servers.
const (
	// StateInService takes new work.
	StateInService State = "InService"
	// StateLeaving is a backend server that gets no new work.
	StateLeaving State = "Leaving"
	// StateOut is a data centre that gets no new work.
	StateOut State = "Out"
)

// Consistency says how recent the log must be that a read of a route runs on.
type Consistency string

// Kinds of consistency.
const (
	// ConsistencyBoundedAge lets a read miss commits younger than the route's
	// MaxAge.
	ConsistencyBoundedAge Consistency = "BoundedAge"
	// ConsistencyPrimary lets a read miss no commit.
	ConsistencyPrimary Consistency = "Primary"
	// ConsistencyReadYourWrites lets a read miss commits of other sessions
	// that are younger than the route's MaxAge, and none of its own session.
	ConsistencyReadYourWrites Consistency = "ReadYourWrites"
)

// Milliseconds is a span of time on a sheet.
type Milliseconds int64

// Duration returns the span.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Sheet is the configuration that operators publish.
type Sheet struct {
	DataCentres []DataCentre `json:",omitempty"`
	Databases   []Database   `json:",omitempty"`
	Format      int
	Routes      []Route  `json:",omitempty"`
	Servers     []Server `json:",omitempty"`
	// TransactionIdle ends a transaction that its caller leaves idle for
	// longer; zero means the bound of the settings.
	TransactionIdle Milliseconds `json:",omitempty"`
	Workspaces      []Workspace  `json:",omitempty"`
}

// DataCentre says whether a data centre is in service. Data centres that are
// not listed are in service.
type DataCentre struct {
	DataCentre fleet.DataCentre
	State      State
}

// Database overrides settings of a database.
type Database struct {
	// ColdRate is the number of requests a second that a backend server gets
	// over all instances until it is warm; zero means no bound.
	ColdRate float64 `json:",omitempty"`
	// Connections is the connection budget over all instances; zero means the
	// budget of the settings.
	Connections int
	Database    fleet.GroupID
	// SyncReplicas is the number of replicas that hold each acknowledged
	// commit, by the group's own replication.
	SyncReplicas int `json:",omitempty"`
}

// Route says which group serves a database, how recent its reads are, and who
// may use it besides the workspaces that list it.
type Route struct {
	// Consistency is that of the reads; empty means ReadYourWrites.
	Consistency Consistency `json:",omitempty"`
	Database    fleet.GroupID
	// Group serves the database; empty means the group of the same name.
	Group fleet.GroupID `json:",omitempty"`
	// MaxAge is the age from which on a read misses no commit of others.
	MaxAge Milliseconds `json:",omitempty"`
	// OpenToAll lets each authenticated workspace read the database.
	OpenToAll bool
	// Priority orders waiting requests; zero is the highest.
	Priority int `json:",omitempty"`
	// StatementTimeout bounds one statement; zero means no bound.
	StatementTimeout Milliseconds `json:",omitempty"`
	// TargetLatency is the time in which a request should be answered.
	TargetLatency Milliseconds `json:",omitempty"`
}

// Server says whether a backend server takes new work. Servers that are not
// listed are in service.
type Server struct {
	Server fleet.ServerID
	State  State
}

// Workspace is one workspace with its limits and keys.
type Workspace struct {
	// Burst is the number of requests above the rate that are admitted at once.
	Burst float64
	// Databases lists the databases that the workspace may use.
	Databases []fleet.GroupID `json:",omitempty"`
	// Iterations is the SCRAM iteration count of all keys.
	Iterations int
	Keys       []Key `json:",omitempty"`
	// Rate is in requests a second.
	Rate float64
	// Salt is the SCRAM salt of all keys, in base64.
	Salt string
	// Weight is the workspace's part of a scarce connection, relative to others.
	Weight    int
	Workspace fleet.WorkspaceID
}

// Key is the SCRAM-SHA-256 verifier of a key. The key cannot be derived from it.
type Key struct {
	// Digest is the SHA-256 sum of a random key in base64, for callers that
	// send the key itself; empty means that only the verifier is known.
	Digest string `json:",omitempty"`
	KeyID  string
	// NotAfter is the time in RFC 3339 form from which the key is refused;
	// empty means never.
	NotAfter string `json:",omitempty"`
	// ServerKey is in base64.
	ServerKey string
	// StoredKey is in base64.
	StoredKey string
}
