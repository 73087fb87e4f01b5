package gateway

import (
	"time"

	"github.com/nutmegpier/nutmegpier/owner"
	"github.com/nutmegpier/nutmegpier/session"
)

// authorization is the proof that the keys of the sheet in force are valid. The caller
// holds g.mu.
func (g *Gateway) authorization() session.Authorization {
	return session.Authorization{AuthorizedUntil: g.sheetVerifiedAt.Add(g.config.Settings.KeyLease), SheetVersion: g.routing.Version}
}

// authorizes reports whether the proof of a key holds at time now. A proof that has
// ended holds as well if this instance can prove that the same version of the sheet is
// still the newest one, so that a wait does not fail a request whose key is valid.
func (g *Gateway) authorizes(now time.Time, authorization session.Authorization) bool {
	if authorization.AuthorizedUntil.IsZero() || now.Before(authorization.AuthorizedUntil) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.routing != nil && g.routing.Version == authorization.SheetVersion && g.keyLeaseValid(now)
}

// peerAuthorization returns the proof in a request of another instance on this
// instance's clock. No proof lasts longer than the key lease, whatever the clock of the
// store does. The caller holds g.mu.
func (g *Gateway) peerAuthorization(now time.Time, request owner.Request) session.Authorization {
	authorization := request.Batch.Authorization
	if request.AuthorizedUntil == 0 {
		return authorization
	}
	authorization.AuthorizedUntil, _ = g.storeClock.DeadlineTime(request.AuthorizedUntil)
	if latest := now.Add(g.config.Settings.KeyLease); authorization.AuthorizedUntil.After(latest) {
		authorization.AuthorizedUntil = latest
	}
	return authorization
}

// authorizedConn checks the key before each write of a batch to a connection.
type authorizedConn struct {
	authorization session.Authorization
	conn          session.Runner
	gateway       *Gateway
	// failure is the kind with which the connection failed the last commands, or empty. The
	// failure of the batch may be of another kind.
	failure session.Kind
	// sent is true if the last commands were handed to the connection.
	sent bool
}

var _ session.Runner = &authorizedConn{}

// Run runs the commands unless the proof of the key has ended.
func (c *authorizedConn) Run(deadline time.Time, commands []session.Command) (session.Reply, *session.RunError) {
	if !c.gateway.authorizes(c.gateway.config.Clock(), c.authorization) {
		countKeyProofExpired()
		c.sent = false
		return session.Reply{}, &session.RunError{Kind: session.KindBusy, Text: "the proof of the key ended before the statement was sent"}
	}
	reply, failure := c.conn.Run(deadline, commands)
	c.failure, c.sent = "", true
	if failure != nil {
		c.failure = failure.Kind
	}
	return reply, failure
}
