package standin

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Authentication is the password authentication method of the servers.
type Authentication string

// Authentication methods.
const (
	// AuthenticationCleartext requests the password in clear text.
	AuthenticationCleartext Authentication = "Cleartext"
	// AuthenticationSCRAM uses SCRAM-SHA-256.
	AuthenticationSCRAM Authentication = "SCRAM"
	// AuthenticationTrust accepts each user without a password.
	AuthenticationTrust Authentication = "Trust"
)

// Default values of Options.
const (
	defaultConnectDelay    = 10 * time.Millisecond
	defaultConnectionLimit = 20
	defaultReceiveDelay    = time.Millisecond
	defaultServers         = 3
	defaultSlots           = 3
)

// Options are the settings of a group.
type Options struct {
	// ApplyLag is the time between the receipt of a log entry by a replica and its
	// application.
	ApplyLag time.Duration
	// Authentication is the authentication method. The default is Trust.
	Authentication Authentication
	// ConnectDelay is a delay that is added to the start-up of each connection.
	ConnectDelay time.Duration
	// ConnectionLimit is the largest number of connections to one server. Control
	// connections are not counted. The default is 20.
	ConnectionLimit int
	// ID is the id of the group. The default is "orders".
	ID fleet.GroupID
	// Listeners are the listeners of the servers, one per server. If there are
	// none, each server opens a loopback listener.
	Listeners []net.Listener
	// Password is the accepted password for Cleartext and SCRAM.
	Password string
	// ReceiveDelay is the time between a commit and the receipt of its log entry by
	// a replica.
	ReceiveDelay time.Duration
	// Servers is the number of servers. The default is 3.
	Servers int
	// Slots is the largest number of statements that one server runs at the same
	// time. Control connections take no slot. The default is 3.
	Slots int
	// User is the accepted user name for Cleartext and SCRAM.
	User string
}

// DefaultOptions returns options with delays that are typical of a deployment:
// 10 ms to open a connection and 1 ms for replication to another server.
func DefaultOptions() Options {
	return Options{ConnectDelay: defaultConnectDelay, ReceiveDelay: defaultReceiveDelay}
}

// setDefaultsAndValidate sets defaults and returns an error for invalid values.
func (o *Options) setDefaultsAndValidate() error {
	if o.Authentication == "" {
		o.Authentication = AuthenticationTrust
	}
	if o.ConnectionLimit == 0 {
		o.ConnectionLimit = defaultConnectionLimit
	}
	if o.ID == "" {
		o.ID = "orders"
	}
	if o.Servers == 0 {
		o.Servers = defaultServers
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	switch o.Authentication {
	case AuthenticationCleartext, AuthenticationSCRAM, AuthenticationTrust:
	default:
		return fmt.Errorf("unknown authentication method %q", o.Authentication)
	}
	if o.Servers < 0 || o.Slots < 0 || o.ConnectionLimit < 0 {
		return errors.New("the numbers of servers and slots and the connection limit must not be negative")
	}
	if len(o.Listeners) != 0 && len(o.Listeners) != o.Servers {
		return fmt.Errorf("got %d listeners for %d servers, want one per server", len(o.Listeners), o.Servers)
	}
	return nil
}
