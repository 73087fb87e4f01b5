// Package sheet holds the operators' sheet: its format, checks, differences,
// key verifiers and the decisions on publishing it.
package sheet

import "github.com/nutmegpier/nutmegpier/fleet"

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

// Sheet is the configuration that operators publish.
type Sheet struct {
	DataCentres []DataCentre `json:",omitempty"`
	Databases   []Database   `json:",omitempty"`
	Format      int
	Routes      []Route     `json:",omitempty"`
	Servers     []Server    `json:",omitempty"`
	Workspaces  []Workspace `json:",omitempty"`
}

// DataCentre says whether a data centre is in service. Data centres that are
// not listed are in service.
type DataCentre struct {
	DataCentre fleet.DataCentre
	State      State
}

// Database overrides settings of a database.
type Database struct {
	// Connections is the connection budget over all instances; zero means the
	// budget of the settings.
	Connections int
	Database    fleet.GroupID
}

// Route says who may use a database besides the workspaces that list it.
type Route struct {
	Database fleet.GroupID
	// OpenToAll lets each authenticated workspace read the database.
	OpenToAll bool
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
	KeyID string
	// NotAfter is the time in RFC 3339 form from which the key is refused;
	// empty means never.
	NotAfter string `json:",omitempty"`
	// ServerKey is in base64.
	ServerKey string
	// StoredKey is in base64.
	StoredKey string
}
