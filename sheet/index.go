package sheet

import (
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Index provides the values of a sheet that instances look up for each request. It
// stores them in maps and in parsed form, so that a lookup neither searches a list
// nor parses. It is built once for each sheet and is immutable.
type Index struct {
	dataCentresOut map[fleet.DataCentre]bool
	leaving        map[fleet.ServerID]bool
	openToAll      map[fleet.GroupID]bool
	routes         map[fleet.GroupID]Route
	workspaces     map[fleet.WorkspaceID]*indexedWorkspace
}

// indexedKey is the expiry of a key. The verifier of the key is not part of the
// index, because authentication is rare and uses Sheet.Credentials.
type indexedKey struct {
	// notAfter is the time from which the key is refused. Zero means that it does
	// not expire.
	notAfter time.Time
	// invalid is true if the time of the key cannot be parsed. The key is then
	// refused.
	invalid bool
}

type indexedWorkspace struct {
	databases map[fleet.GroupID]bool
	keys      map[string]indexedKey
	limits    Limits
}

// NewIndex returns the index of a sheet that was returned by Parse.
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

// AcceptsKey reports whether the workspace has a key with this ID that has not
// expired at the time now. Instances use it to check open sessions again after each
// change of the sheet.
func (i *Index) AcceptsKey(workspace fleet.WorkspaceID, keyID string, now time.Time) bool {
	w, known := i.workspaces[workspace]
	if !known {
		return false
	}
	key, known := w.keys[keyID]
	return known && key.isAccepted(now)
}

// IsInService reports whether a data centre gets new work. Data centres that are
// not in the sheet do.
func (i *Index) IsInService(dataCentre fleet.DataCentre) bool {
	return !i.dataCentresOut[dataCentre]
}

// IsLeaving reports whether a backend server is being drained and gets no new work.
func (i *Index) IsLeaving(server fleet.ServerID) bool {
	return i.leaving[server]
}

// IsOpenToAll reports whether every authenticated workspace may read a database.
func (i *Index) IsOpenToAll(database fleet.GroupID) bool {
	return i.openToAll[database]
}

// Limits returns the limits of a workspace. The result is false if the workspace is
// not in the sheet.
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

// Route returns the route of a database. The result is false if the sheet has none.
func (i *Index) Route(database fleet.GroupID) (Route, bool) {
	route, known := i.routes[database]
	return route, known
}

func (k indexedKey) isAccepted(now time.Time) bool {
	return !k.invalid && (k.notAfter.IsZero() || now.Before(k.notAfter))
}

// indexKey parses the expiry of a key. A key whose time cannot be parsed is refused.
func indexKey(key Key) indexedKey {
	if key.NotAfter == "" {
		return indexedKey{}
	}
	notAfter, err := time.Parse(time.RFC3339, key.NotAfter)
	return indexedKey{notAfter: notAfter, invalid: err != nil || notAfter.IsZero()}
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
