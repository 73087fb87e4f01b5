// Package settings reads the settings file of an instance: JSON with comments,
// with Pascal-case keys.
package settings

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Role is what a bearer token of the administration API permits. Each role
// includes the ones before it.
type Role string

// Roles in rising order.
const (
	// RoleRead permits to read status, sheets and timeline.
	RoleRead Role = "Read"
	// RoleOperate also permits to drain and restore.
	RoleOperate Role = "Operate"
	// RolePublish also permits to publish sheets.
	RolePublish Role = "Publish"
)

// Settings are all settings of an instance.
type Settings struct {
	Admin      Admin
	Backend    Backend
	DataCentre fleet.DataCentre
	Detection  Detection
	Groups     []Group
	Instance   fleet.InstanceID
	Limits     Limits
	Listen     Listen
	Log        Log
	Platform   Platform
	TLS        TLS
	Timeline   Timeline
	Timeouts   Timeouts
}

// Admin holds the settings of the administration API.
type Admin struct {
	Tokens []Token
}

// Token is a bearer token of the administration API, known by its sum only.
type Token struct {
	Role Role
	// TokenSHA256 is the SHA-256 sum of the token in hexadecimal.
	TokenSHA256 string
}

// Backend holds the settings for connections to backend servers.
type Backend struct {
	AnswerTimeout  time.Duration
	ConnectTimeout time.Duration
	// MaxOpenings bounds the connections that are being opened to one server.
	MaxOpenings  int
	PasswordFile string
	User         string
}

// Detection holds the settings of failure detection.
type Detection struct {
	DetectTime      time.Duration
	PollInterval    time.Duration
	SuspectInterval time.Duration
}

// Group is a database group with its servers.
type Group struct {
	// Connections is the connection budget of the database over all instances.
	Connections int
	Group       fleet.GroupID
	Servers     []Server
	// Slots is the number of statements that one server runs at a time.
	Slots int
}

// Server is a backend server.
type Server struct {
	Address    string
	DataCentre fleet.DataCentre
	Server     fleet.ServerID
}

// Limits holds the bounds on callers.
type Limits struct {
	MaxMessageBytes int
	MaxSessions     int
	QueueTimeout    time.Duration
}

// Listen holds the addresses on which the instance listens.
type Listen struct {
	Admin   string
	Callers string
	Peers   string
}

// Log holds the settings of the event log.
type Log struct {
	Format string
	Level  string
}

// Platform holds the settings of the platform's service.
type Platform struct {
	Timeout time.Duration
	URL     string
}

// TLS holds certificates. Files are read again when they change.
type TLS struct {
	// AllowCleartextKeys accepts keys in cleartext over TLS.
	AllowCleartextKeys bool
	Callers            CallerTLS
	Peers              PeerTLS
}

// CallerTLS holds the certificate shown to callers. Both empty means no TLS.
type CallerTLS struct {
	CertFile string
	KeyFile  string
}

// PeerTLS holds the certificates for mutual TLS between instances. All empty
// means no TLS.
type PeerTLS struct {
	CAFile   string
	CertFile string
	KeyFile  string
}

// Timeline holds the settings of the event timeline.
type Timeline struct {
	// Capacity is the number of events kept.
	Capacity int
}

// Timeouts holds the time bounds of an instance.
type Timeouts struct {
	CommitBound       time.Duration
	FreshWait         time.Duration
	Idle              time.Duration
	IdleInTransaction time.Duration
	Startup           time.Duration
	StopBound         time.Duration
	ValidityLease     time.Duration
}
