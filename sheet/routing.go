package sheet

import (
	"crypto/sha256"
	"encoding/base64"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Routing answers which route a database has, which workspace a key belongs to
// and which limits hold, for instances that place requests by route. It is
// built once for each sheet and never changes.
type Routing struct {
	// Version is the version of the sheet.
	Version fleet.SheetVersion

	dataCentresOut  map[fleet.DataCentre]bool
	databases       map[fleet.GroupID]Database
	keys            map[[sha256.Size]byte]fleet.WorkspaceID
	limits          map[fleet.WorkspaceID]Limits
	routes          map[fleet.GroupID]Route
	transactionIdle time.Duration
}

// NewRouting returns the routing of a sheet. Keys without a digest are left
// out. Where two workspaces list the same key, it belongs to neither.
func NewRouting(version fleet.SheetVersion, s Sheet) *Routing {
	r := &Routing{
		Version:         version,
		dataCentresOut:  map[fleet.DataCentre]bool{},
		databases:       map[fleet.GroupID]Database{},
		keys:            map[[sha256.Size]byte]fleet.WorkspaceID{},
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
		digest, err := base64.StdEncoding.DecodeString(key.Digest)
		if err != nil || len(digest) != sha256.Size {
			continue
		}
		sum := [sha256.Size]byte(digest)
		if owner, known := r.keys[sum]; known && owner != w.Workspace {
			r.keys[sum] = ""
			continue
		}
		r.keys[sum] = w.Workspace
	}
}

// Database returns what the sheet says of a group. The zero value means that
// the settings apply.
func (r *Routing) Database(group fleet.GroupID) Database {
	return r.databases[group]
}

// Digest returns the digest of a random key as it stands in a sheet.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return base64.StdEncoding.EncodeToString(sum[:])
}

// Groups returns the groups that some route leads to.
func (r *Routing) Groups() map[fleet.GroupID]bool {
	groups := map[fleet.GroupID]bool{}
	for _, route := range r.routes {
		groups[route.Group] = true
	}
	return groups
}

// IsInService reports whether a data centre takes new work.
func (r *Routing) IsInService(dataCentre fleet.DataCentre) bool {
	return !r.dataCentresOut[dataCentre]
}

// Limits returns the limits of all workspaces. The map must not be changed.
func (r *Routing) Limits() map[fleet.WorkspaceID]Limits {
	return r.limits
}

// Owner returns the workspace that a key belongs to.
func (r *Routing) Owner(key [sha256.Size]byte) (fleet.WorkspaceID, bool) {
	owner := r.keys[key]
	return owner, owner != ""
}

// Route returns the route of a database.
func (r *Routing) Route(database fleet.GroupID) (Route, bool) {
	route, known := r.routes[database]
	return route, known
}

// TransactionIdle is the time after which an idle transaction is ended, or zero.
func (r *Routing) TransactionIdle() time.Duration {
	return r.transactionIdle
}
