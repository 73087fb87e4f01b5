package sheet

import (
	"encoding/base64"
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Credentials holds the SCRAM parameters and the key verifiers of a workspace.
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

// Limits holds the rate limit and the weight of a workspace.
type Limits struct {
	// Burst is the burst size of the rate limit, in requests.
	Burst float64
	// Rate is in requests per second.
	Rate float64
	// Weight is the relative share of the workspace when requests wait for a
	// connection.
	Weight int
}

// AcceptsKey reports whether the workspace has a key with this ID that has not
// expired at the time now.
func (s Sheet) AcceptsKey(workspace fleet.WorkspaceID, keyID string, now time.Time) bool {
	w, known := s.workspace(workspace)
	return known && slices.ContainsFunc(w.Keys, func(key Key) bool { return key.KeyID == keyID && !key.expired(now) })
}

// Connections returns the connection budget that the sheet sets for a database. The
// result is false if the budget of the settings applies.
func (s Sheet) Connections(database fleet.GroupID) (int, bool) {
	for _, d := range s.Databases {
		if d.Database == database && d.Connections > 0 {
			return d.Connections, true
		}
	}
	return 0, false
}

// Credentials returns the SCRAM parameters of a workspace and the verifiers of its
// keys that have not expired. The result is false if the workspace is not in the
// sheet.
func (s Sheet) Credentials(workspace fleet.WorkspaceID, now time.Time) (Credentials, bool) {
	w, known := s.workspace(workspace)
	if !known {
		return Credentials{}, false
	}
	credentials := Credentials{Iterations: w.Iterations, Salt: decodeBase64(w.Salt)}
	for _, key := range w.Keys {
		if !key.expired(now) {
			credentials.Verifiers = append(credentials.Verifiers, Verifier{
				KeyID:     key.KeyID,
				ServerKey: decodeBase64(key.ServerKey),
				StoredKey: decodeBase64(key.StoredKey),
			})
		}
	}
	return credentials, true
}

// IsInService reports whether a data centre gets new work. Data centres that are
// not in the sheet do.
func (s Sheet) IsInService(dataCentre fleet.DataCentre) bool {
	for _, d := range s.DataCentres {
		if d.DataCentre == dataCentre {
			return d.State != StateOut
		}
	}
	return true
}

// IsLeaving reports whether a backend server is being drained and gets no new work.
func (s Sheet) IsLeaving(server fleet.ServerID) bool {
	for _, entry := range s.Servers {
		if entry.Server == server {
			return entry.State == StateLeaving
		}
	}
	return false
}

// IsOpenToAll reports whether every authenticated workspace may read a database.
func (s Sheet) IsOpenToAll(database fleet.GroupID) bool {
	return slices.ContainsFunc(s.Routes, func(route Route) bool { return route.Database == database && route.OpenToAll })
}

// Limits returns the limits of a workspace. The result is false if the workspace is
// not in the sheet.
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

// expired reports whether the key has expired. A key whose time cannot be parsed
// counts as expired.
func (k Key) expired(now time.Time) bool {
	if k.NotAfter == "" {
		return false
	}
	notAfter, err := time.Parse(time.RFC3339, k.NotAfter)
	return err != nil || !now.Before(notAfter)
}

// decodeBase64 returns the decoded text, or nil if it is not valid base64. Parse
// rejects sheets with such values.
func decodeBase64(text string) []byte {
	decoded, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil
	}
	return decoded
}
