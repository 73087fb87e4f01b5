package instance

import (
	"time"

	"github.com/nutmegpier/nutmegpier/blackboard"
	"github.com/nutmegpier/nutmegpier/caller"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/sheet"
)

// credentials implements caller.Credentials with the keys of the sheet in force.
type credentials struct {
	now   func() time.Time
	sheet *blackboard.Section[SheetInForce]
}

var _ caller.Credentials = &credentials{}

// KeyValid reports whether the sheet in force accepts the key at this time.
func (c *credentials) KeyValid(workspace fleet.WorkspaceID, key caller.KeyID) bool {
	return c.sheet.Load().Index.AcceptsKey(workspace, string(key), c.now())
}

// Verifiers returns the SCRAM verifiers of the workspace in the sheet in force.
func (c *credentials) Verifiers(workspace fleet.WorkspaceID) (caller.Verifiers, bool) {
	found, ok := c.sheet.Load().Sheet.Credentials(workspace, c.now())
	if !ok {
		return caller.Verifiers{}, false
	}
	verifiers := caller.Verifiers{Iterations: found.Iterations, Salt: found.Salt}
	for _, verifier := range found.Verifiers {
		verifiers.Credentials = append(verifiers.Credentials, caller.Credential{
			KeyID:     caller.KeyID(verifier.KeyID),
			ServerKey: verifier.ServerKey,
			StoredKey: verifier.StoredKey,
		})
	}
	return verifiers, true
}

// routes implements caller.Routes with the routes of the sheet in force.
type routes struct {
	sheet *blackboard.Section[SheetInForce]
}

var _ caller.Routes = &routes{}

// Route returns the route of a database, and false if the sheet in force has none.
func (r *routes) Route(database fleet.GroupID) (sheet.Route, bool) {
	return r.sheet.Load().Index.Route(database)
}
