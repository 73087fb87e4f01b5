package sheet

import (
	"encoding/base64"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Credentials are what authentication needs of a workspace.
type Credentials struct {
	Iterations int
	Salt       []byte
	Verifiers  []Verifier
}

// Verifier is the decoded verifier of one key.
type Verifier struct {
	KeyID     string
	ServerKey []byte
	StoredKey []byte
}

// Limits are the rate limits and weight of a workspace.
type Limits struct {
	// Burst is in requests.
	Burst float64
	// Rate is in requests a second.
	Rate   float64
	Weight int
}

// AcceptsKey reports whether a key id of the workspace is still accepted at a
// time. Open sessions are checked with it after each change of the sheet.
func (s Sheet) AcceptsKey(workspace fleet.WorkspaceID, keyID string, now time.Time) bool {
	w, known := s.workspace(workspace)
	return known && slices.ContainsFunc(w.Keys, func(key Key) bool { return key.KeyID == keyID && !key.expired(now) })
}

// Connections returns the overriding connection budget of a database, and
// whether there is one.
func (s Sheet) Connections(database fleet.GroupID) (int, bool) {
	for _, d := range s.Databases {
		if d.Database == database && d.Connections > 0 {
			return d.Connections, true
		}
	}
	return 0, false
}

// Credentials returns the verifiers of a workspace that are not expired. It
// reports false for an unknown workspace.
func (s Sheet) Credentials(workspace fleet.WorkspaceID, now time.Time) (Credentials, bool) {
	w, known := s.workspace(workspace)
	if !known {
		return Credentials{}, false
	}
	credentials := Credentials{Iterations: w.Iterations, Salt: decode(w.Salt)}
	for _, key := range w.Keys {
		if !key.expired(now) {
			credentials.Verifiers = append(credentials.Verifiers, Verifier{
				KeyID:     key.KeyID,
				ServerKey: decode(key.ServerKey),
				StoredKey: decode(key.StoredKey),
			})
		}
	}
	return credentials, true
}

// IsInService reports whether a data centre takes new work.
func (s Sheet) IsInService(dataCentre fleet.DataCentre) bool {
	for _, d := range s.DataCentres {
		if d.DataCentre == dataCentre {
			return d.State != StateOut
		}
	}
	return true
}

// IsLeaving reports whether a backend server gets no new work.
func (s Sheet) IsLeaving(server fleet.ServerID) bool {
	for _, entry := range s.Servers {
		if entry.Server == server {
			return entry.State == StateLeaving
		}
	}
	return false
}

// IsOpenToAll reports whether each authenticated workspace may read a database.
func (s Sheet) IsOpenToAll(database fleet.GroupID) bool {
	return slices.ContainsFunc(s.Routes, func(route Route) bool { return route.Database == database && route.OpenToAll })
}

// Limits returns the limits of a workspace. It reports false for an unknown one.
func (s Sheet) Limits(workspace fleet.WorkspaceID) (Limits, bool) {
	w, known := s.workspace(workspace)
	return Limits{Burst: w.Burst, Rate: w.Rate, Weight: w.Weight}, known
}

// MayUse reports whether a workspace may read and write a database.
func (s Sheet) MayUse(workspace fleet.WorkspaceID, database fleet.GroupID) bool {
	w, _ := s.workspace(workspace)
	return slices.Contains(w.Databases, database)
}

func (s Sheet) workspace(id fleet.WorkspaceID) (Workspace, bool) {
	for _, w := range s.Workspaces {
		if w.Workspace == id {
			return w, true
		}
	}
	return Workspace{}, false
}

// expired reports whether the key is past its time. A time that cannot be read
// counts as past.
func (k Key) expired(now time.Time) bool {
	if k.NotAfter == "" {
		return false
	}
	notAfter, err := time.Parse(time.RFC3339, k.NotAfter)
	return err != nil || !now.Before(notAfter)
}

// decode returns nil for text that is not base64. Parse refuses such sheets.
func decode(text string) []byte {
	decoded, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil
	}
	return decoded
}
