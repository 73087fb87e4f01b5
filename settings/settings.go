// Package settings defines, parses and compares the settings of an instance. The
// settings file is JSON with comments. Its keys are the names of the Go fields. The
// function Table describes each setting.
package settings

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Role defines which calls of the administration API a bearer token permits. Each
// role includes the previous ones.
type Role string

// Roles, in order of increasing permissions.
const (
	// RoleRead permits reading the status, the sheets and the timeline.
	RoleRead Role = "Read"
	// RoleOperate also permits draining and restoring data centres and backend
	// servers.
	RoleOperate Role = "Operate"
	// RolePublish also permits publishing sheets.
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

// Token is a bearer token of the administration API. Only the digest of the token is
// stored.
type Token struct {
	Role Role
	// TokenSHA256 is the SHA-256 digest of the token in hexadecimal.
	TokenSHA256 string
}

// Backend holds the settings for connections to backend servers.
type Backend struct {
	AnswerTimeout  time.Duration
	ConnectTimeout time.Duration
	// MaxOpenings is the maximum number of connections that are being opened to one
	// server at the same time.
	MaxOpenings  int
	PasswordFile string
	User         string
}

// Detection holds the settings for the detection of failed primaries.
type Detection struct {
	DetectTime      time.Duration
	PollInterval    time.Duration
	SuspectInterval time.Duration
}

// Group is a database group, that is, a primary and its replicas.
type Group struct {
	// Connections is the connection budget of the group over all instances.
	Connections int
	Group       fleet.GroupID
	Servers     []Server
	// Slots is the maximum number of connections to one server that this instance
	// uses at the same time, each for one statement at a time. Zero means all
	// connections that it may open.
	Slots int
}

// Server is a backend server.
type Server struct {
	Address    string
	DataCentre fleet.DataCentre
	Server     fleet.ServerID
}

// Limits holds the limits for callers.
type Limits struct {
	// CallerBytes limits the bytes of the large or incomplete messages of all callers.
	// Zero means the larger of 32 MiB and twice MaxMessageBytes.
	CallerBytes     int
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

// Platform holds the settings for calls to the platform's service.
type Platform struct {
	Timeout time.Duration
	URL     string
}

// TLS holds the TLS settings. Certificate and key files are reloaded when they
// change.
type TLS struct {
	// AllowCleartextKeys makes callers that connect with TLS send their key in
	// cleartext, in place of SCRAM authentication.
	AllowCleartextKeys bool
	Callers            CallerTLS
	Peers              PeerTLS
}

// CallerTLS holds the certificate that is presented to callers. If both fields are
// empty, TLS is disabled.
type CallerTLS struct {
	CertFile string
	KeyFile  string
}

// PeerTLS holds the certificates for mutual TLS between instances. If all fields are
// empty, TLS is disabled.
type PeerTLS struct {
	CAFile   string
	CertFile string
	KeyFile  string
}

// Timeline holds the settings of the event timeline.
type Timeline struct {
	// Capacity is the number of events that are kept in memory.
	Capacity int
}

// Timeouts holds the time limits of an instance.
type Timeouts struct {
	CommitBound time.Duration
	FreshWait   time.Duration
	Idle        time.Duration
	// IdleInTransaction has no effect yet: instances do not set TransactionTimeout
	// of caller.Config.
	IdleInTransaction time.Duration
	Startup           time.Duration
	StopBound         time.Duration
	ValidityLease     time.Duration
}
