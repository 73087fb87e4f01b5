package sheet

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Index answers the look-ups that each request makes, without a search or
// parsing. It is built once for each sheet and never changes.
type Index struct {
	dataCentresOut map[fleet.DataCentre]bool
	leaving        map[fleet.ServerID]bool
	openToAll      map[fleet.GroupID]bool
	routes         map[fleet.GroupID]Route
	workspaces     map[fleet.WorkspaceID]*indexedWorkspace
}

// indexedKey says how long a key is accepted. A zero notAfter means that it
// does not expire. Verifiers are not part of the index: authentication is rare
// and uses Sheet.Credentials.
type indexedKey struct {
	notAfter time.Time
	refused  bool
}

type indexedWorkspace struct {
	databases map[fleet.GroupID]bool
	keys      map[string]indexedKey
	limits    Limits
}

// NewIndex returns the index of a sheet that Parse accepted.
func NewIndex(s Sheet) *Index {
	index := &Index{
		dataCentresOut: map[fleet.DataCentre]bool{},
		leaving:        map[fleet.ServerID]bool{},
		openToAll:      map[fleet.GroupID]bool{},
		routes:         map[fleet.GroupID]Route{},
		workspaces:     make(map[fleet.WorkspaceID]*indexedWorkspace, len(s.Workspaces)),
	}
	for _, d := range s.DataCentres {
		index.dataCentresOut[d.DataCentre] = d.State == StateOut
	}
	for _, server := range s.Servers {
		index.leaving[server.Server] = server.State == StateLeaving
	}
	for _, route := range s.Routes {
		index.openToAll[route.Database] = route.OpenToAll
		index.routes[route.Database] = route
	}
	for _, w := range s.Workspaces {
		index.workspaces[w.Workspace] = indexWorkspace(w)
	}
	return index
}

// AcceptsKey reports whether a key id of the workspace is accepted at a time.
func (i *Index) AcceptsKey(workspace fleet.WorkspaceID, keyID string, now time.Time) bool {
	w, known := i.workspaces[workspace]
	if !known {
		return false
	}
	key, known := w.keys[keyID]
	return known && key.accepted(now)
}

// IsInService reports whether a data centre takes new work.
func (i *Index) IsInService(dataCentre fleet.DataCentre) bool {
	return !i.dataCentresOut[dataCentre]
}

// IsLeaving reports whether a backend server gets no new work.
func (i *Index) IsLeaving(server fleet.ServerID) bool {
	return i.leaving[server]
}

// IsOpenToAll reports whether each authenticated workspace may read a database.
func (i *Index) IsOpenToAll(database fleet.GroupID) bool {
	return i.openToAll[database]
}

// Limits returns the limits of a workspace. It reports false for an unknown one.
func (i *Index) Limits(workspace fleet.WorkspaceID) (Limits, bool) {
	w, known := i.workspaces[workspace]
	if !known {
		return Limits{}, false
	}
	return w.limits, true
}

// MayUse reports whether a workspace may read and write a database.
func (i *Index) MayUse(workspace fleet.WorkspaceID, database fleet.GroupID) bool {
	w, known := i.workspaces[workspace]
	return known && w.databases[database]
}

// Route returns the route of a database.
func (i *Index) Route(database fleet.GroupID) (Route, bool) {
	route, known := i.routes[database]
	return route, known
}

func (k indexedKey) accepted(now time.Time) bool {
	return !k.refused && (k.notAfter.IsZero() || now.Before(k.notAfter))
}

// indexKey parses the time of a key. A time that cannot be read refuses the key.
func indexKey(key Key) indexedKey {
	if key.NotAfter == "" {
		return indexedKey{}
	}
	notAfter, err := time.Parse(time.RFC3339, key.NotAfter)
	return indexedKey{notAfter: notAfter, refused: err != nil || notAfter.IsZero()}
}

func indexWorkspace(w Workspace) *indexedWorkspace {
	indexed := &indexedWorkspace{
		databases: make(map[fleet.GroupID]bool, len(w.Databases)),
		keys:      make(map[string]indexedKey, len(w.Keys)),
		limits:    Limits{Burst: w.Burst, Rate: w.Rate, Weight: w.Weight},
	}
	for _, database := range w.Databases {
		indexed.databases[database] = true
	}
	for _, key := range w.Keys {
		indexed.keys[key.KeyID] = indexKey(key)
	}
	return indexed
}
