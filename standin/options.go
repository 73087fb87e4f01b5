package standin

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Authentication is the way in which a server checks the password.
type Authentication string

// Ways of authentication.
const (
	// AuthenticationCleartext asks for the password itself.
	AuthenticationCleartext Authentication = "Cleartext"
	// AuthenticationSCRAM asks for SCRAM-SHA-256.
	AuthenticationSCRAM Authentication = "SCRAM"
	// AuthenticationTrust asks for nothing.
	AuthenticationTrust Authentication = "Trust"
)

// Default values of Options.
const (
	defaultConnectionCost  = 10 * time.Millisecond
	defaultConnectionLimit = 20
	defaultReceiveDelay    = time.Millisecond
	defaultServers         = 3
	defaultSlots           = 3
)

// Options are the settings of a group.
type Options struct {
	// ApplyLag is the time between receipt and application of an entry on a replica.
	ApplyLag time.Duration
	// Authentication is Trust when empty.
	Authentication Authentication
	// ConnectDelay is the time that each start-up of a connection takes.
	ConnectDelay time.Duration
	// ConnectionLimit is the largest number of session connections of one
	// server. Zero means 20.
	ConnectionLimit int
	// ID names the group. It is "orders" when empty.
	ID fleet.GroupID
	// Listeners are used instead of new loopback listeners, one a server.
	Listeners []net.Listener
	// Password is the password for Cleartext and SCRAM.
	Password string
	// ReceiveDelay is the time between a commit and its receipt by a replica.
	ReceiveDelay time.Duration
	// Servers is the number of servers. Zero means 3.
	Servers int
	// Slots is the number of statements that one server runs at once. Zero means 3.
	Slots int
	// User is the accepted user name for Cleartext and SCRAM.
	User string
}

// DefaultOptions returns options with the usual delays of the deployments:
// 10 ms to open a connection and 1 ms from server to server.
func DefaultOptions() Options {
	return Options{ConnectDelay: defaultConnectionCost, ReceiveDelay: defaultReceiveDelay}
}

// check fills in defaults and reports values that cannot be used.
func (o *Options) check() error {
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
		return fmt.Errorf("unknown authentication %q", o.Authentication)
	}
	if o.Servers < 0 || o.Slots < 0 || o.ConnectionLimit < 0 {
		return errors.New("a count is negative")
	}
	if len(o.Listeners) != 0 && len(o.Listeners) != o.Servers {
		return fmt.Errorf("%d listeners for %d servers", len(o.Listeners), o.Servers)
	}
	return nil
}
