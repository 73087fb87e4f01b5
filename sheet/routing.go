package sheet

import (
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Routing provides the values of a sheet that the gateway package looks up: routes
// by database, workspaces by the digest of their keys, and limits by workspace. It
// is built once for each sheet and is immutable. Index is the counterpart for
// instances that serve PostgreSQL callers.
type Routing struct {
	// Version is the version of the sheet.
	Version fleet.SheetVersion

	dataCentresOut map[fleet.DataCentre]bool
	databases      map[fleet.GroupID]Database
	// ownerByDigest holds the workspace of each key. It is empty for a key that
	// several workspaces list.
	ownerByDigest   map[[sha256.Size]byte]fleet.WorkspaceID
	limits          map[fleet.WorkspaceID]Limits
	routes          map[fleet.GroupID]Route
	transactionIdle time.Duration
}

// NewRouting returns the routing of a sheet. It ignores keys without a valid digest.
// A key that two workspaces list belongs to neither of them.
func NewRouting(version fleet.SheetVersion, s Sheet) *Routing {
	r := &Routing{
		Version:         version,
		dataCentresOut:  map[fleet.DataCentre]bool{},
		databases:       map[fleet.GroupID]Database{},
		ownerByDigest:   map[[sha256.Size]byte]fleet.WorkspaceID{},
		limits:          make(map[fleet.WorkspaceID]Limits, len(s.Workspaces)),
		routes:          make(map[fleet.GroupID]Route, len(s.Routes)),
		transactionIdle: s.TransactionIdle.Duration(),
	}
	for _, d := range s.DataCentres {
		r.dataCentresOut[d.DataCentre] = d.State == StateOut
	}
	for _, d := range s.Databases {
		r.databases[d.Database] = d
	}
	for _, route := range s.Routes {
		if route.Group == "" {
			route.Group = route.Database
		}
		r.routes[route.Database] = route
	}
	for _, w := range s.Workspaces {
		r.addWorkspace(w)
	}
	return r
}

func (r *Routing) addWorkspace(w Workspace) {
	r.limits[w.Workspace] = Limits{Burst: w.Burst, Rate: w.Rate, Weight: w.Weight}
	for _, key := range w.Keys {
		decoded, err := base64.StdEncoding.DecodeString(key.Digest)
		if err != nil || len(decoded) != sha256.Size {
			continue
		}
		digest := [sha256.Size]byte(decoded)
		if owner, known := r.ownerByDigest[digest]; known && owner != w.Workspace {
			r.ownerByDigest[digest] = ""
			continue
		}
		r.ownerByDigest[digest] = w.Workspace
	}
}

// Database returns the values that the sheet sets for a group. A zero value means
// that the sheet sets none.
func (r *Routing) Database(group fleet.GroupID) Database {
	return r.databases[group]
}

// Digest returns the digest of a key for Key.Digest.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return base64.StdEncoding.EncodeToString(sum[:])
}

// Groups returns the groups that serve at least one route.
func (r *Routing) Groups() map[fleet.GroupID]bool {
	groups := map[fleet.GroupID]bool{}
	for _, route := range r.routes {
		groups[route.Group] = true
	}
	return groups
}

// IsInService reports whether a data centre gets new work. Data centres that are
// not in the sheet do.
func (r *Routing) IsInService(dataCentre fleet.DataCentre) bool {
	return !r.dataCentresOut[dataCentre]
}

// Limits returns the limits of all workspaces. The caller must not modify the map.
func (r *Routing) Limits() map[fleet.WorkspaceID]Limits {
	return r.limits
}

// OutOfService returns the data centres that get no new work.
func (r *Routing) OutOfService() []fleet.DataCentre {
	var out []fleet.DataCentre
	for dataCentre, isOut := range r.dataCentresOut {
		if isOut {
			out = append(out, dataCentre)
		}
	}
	slices.Sort(out)
	return out
}

// Owner returns the workspace of the key with the SHA-256 digest. The result is
// false if the key is unknown or several workspaces list it.
func (r *Routing) Owner(digest [sha256.Size]byte) (fleet.WorkspaceID, bool) {
	owner := r.ownerByDigest[digest]
	return owner, owner != ""
}

// Route returns the route of a database. The result is false if the sheet has none.
func (r *Routing) Route(database fleet.GroupID) (Route, bool) {
	route, known := r.routes[database]
	return route, known
}

// TransactionIdle returns the time after which an idle transaction is ended, or
// zero if the sheet does not set it.
func (r *Routing) TransactionIdle() time.Duration {
	return r.transactionIdle
}
