// Package sheet defines the sheet, which is the configuration of the whole
// deployment that operators publish at runtime: workspaces with their limits and
// keys, routes, and the data centres and servers out of service. The package parses,
// validates, compares and edits sheets, generates keys, and decides whether a sheet
// may be published.
package sheet

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// FormatVersion is the version of the sheet format that this package reads.
const FormatVersion = 1

// State is the service state of a data centre or a backend server.
type State string

// States of data centres and backend servers.
const (
	// StateInService means that the data centre or server gets new work.
	StateInService State = "InService"
	// StateLeaving means that the backend server is being drained and gets no new
	// work.
	StateLeaving State = "Leaving"
	// StateOut means that the data centre is out of service and gets no new work.
	StateOut State = "Out"
)

// Consistency defines which commits a read on a route may miss.
type Consistency string

// Consistency levels of a route.
const (
	// ConsistencyBoundedAge means that a read may miss commits that are younger
	// than the route's MaxAge.
	ConsistencyBoundedAge Consistency = "BoundedAge"
	// ConsistencyPrimary means that a read misses no commit. It runs on the
	// primary.
	ConsistencyPrimary Consistency = "Primary"
	// ConsistencyReadYourWrites means that a read may miss commits of other
	// sessions that are younger than the route's MaxAge, but no commit of its own
	// session.
	ConsistencyReadYourWrites Consistency = "ReadYourWrites"
)

// Milliseconds is a duration in a sheet, which is written as a number of
// milliseconds.
type Milliseconds int64

// Duration converts the value to a time.Duration.
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
	// TransactionIdle is the time after which a transaction is ended if its caller
	// sends no request. Zero means that the value in the settings applies.
	TransactionIdle Milliseconds `json:",omitempty"`
	Workspaces      []Workspace  `json:",omitempty"`
}

// DataCentre is the service state of a data centre. Data centres that are not
// listed are in service.
type DataCentre struct {
	DataCentre fleet.DataCentre
	State      State
}

// Database overrides the settings of a database.
type Database struct {
	// ColdRate is the maximum number of requests per second, over all instances,
	// that a backend server gets while it is cold, that is, slow after its start.
	// Zero means no limit.
	ColdRate float64 `json:",omitempty"`
	// Connections is the connection budget over all instances. Zero means that the
	// budget in the settings applies.
	Connections int
	Database    fleet.GroupID
	// SyncReplicas is the number of replicas that must hold a commit before it is
	// acknowledged. The replication of the group guarantees this, not the proxy.
	SyncReplicas int `json:",omitempty"`
}

// Route defines which group serves a database, the consistency, priority and
// timeouts of its requests, and whether all workspaces may read it.
type Route struct {
	// Consistency is the consistency of reads. Empty means ReadYourWrites.
	Consistency Consistency `json:",omitempty"`
	Database    fleet.GroupID
	// Group is the group that serves the database. Empty means the group with the
	// name of the database.
	Group fleet.GroupID `json:",omitempty"`
	// MaxAge is the age from which on a commit of another session must be visible
	// to a read.
	MaxAge Milliseconds `json:",omitempty"`
	// OpenToAll lets every authenticated workspace read the database, in addition
	// to the workspaces that list it.
	OpenToAll bool
	// Priority is the priority of waiting requests. Zero is the highest.
	Priority int `json:",omitempty"`
	// StatementTimeout limits the time of one statement. Zero means no limit.
	StatementTimeout Milliseconds `json:",omitempty"`
	// TargetLatency is the latency that a request should not exceed.
	TargetLatency Milliseconds `json:",omitempty"`
}

// Server is the service state of a backend server. Servers that are not listed are
// in service.
type Server struct {
	Server fleet.ServerID
	State  State
}

// Workspace is one workspace with its limits and keys.
type Workspace struct {
	// Burst is the burst size of the rate limit: the number of requests above the
	// rate that are admitted at once.
	Burst float64
	// Databases lists the databases that the workspace may read and write.
	Databases []fleet.GroupID `json:",omitempty"`
	// Iterations is the SCRAM iteration count of all keys of the workspace.
	Iterations int
	Keys       []Key `json:",omitempty"`
	// Rate is the rate limit over all instances, in requests per second.
	Rate float64
	// Salt is the SCRAM salt of all keys of the workspace, in base64.
	Salt string
	// Weight is the relative share of the workspace when requests of several
	// workspaces wait for a connection.
	Weight    int
	Workspace fleet.WorkspaceID
}

// Key is the SCRAM-SHA-256 verifier of a key. The key itself cannot be derived from
// it.
type Key struct {
	// Digest is the SHA-256 digest of the key in base64. It authenticates callers
	// that send the key itself. It is empty if only the verifier is known.
	Digest string `json:",omitempty"`
	KeyID  string
	// NotAfter is the expiry time of the key in RFC 3339 format. From this time on
	// the key is refused. Empty means that it does not expire.
	NotAfter string `json:",omitempty"`
	// ServerKey is the SCRAM server key in base64.
	ServerKey string
	// StoredKey is the SCRAM stored key in base64.
	StoredKey string
}
