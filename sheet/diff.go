package sheet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Change is one value that differs between two sheets. Both values are in text
// form.
type Change struct {
	// New is empty when the value was removed.
	New string
	// Old is empty when the value was added.
	Old string
	// Path is the key path with entries identified by their IDs, for example
	// "Workspaces[die-room].Rate".
	Path string
}

// String returns the change as one line in the style of a diff.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return "+ " + c.Path + ": " + c.New
	case c.New == "":
		return "- " + c.Path + ": " + c.Old
	default:
		return "~ " + c.Path + ": " + c.Old + " -> " + c.New
	}
}

// Diff returns the differences between two sheets, ordered by path. It ignores
// the order of the entries. It does not compare Sheet.TransactionIdle,
// Database.ColdRate, Database.SyncReplicas, Key.Digest, and of a route all fields
// but OpenToAll.
func Diff(before, after Sheet) []Change {
	oldValues, newValues := flatten(before), flatten(after)
	var changes []Change
	for _, path := range mergePaths(oldValues, newValues) {
		if oldValues[path] != newValues[path] {
			changes = append(changes, Change{New: newValues[path], Old: oldValues[path], Path: path})
		}
	}
	return changes
}

// DiffLines returns the differences between two sheets as text, one line for each.
func DiffLines(before, after Sheet) []string {
	var lines []string
	for _, change := range Diff(before, after) {
		lines = append(lines, change.String())
	}
	return lines
}

// flatten returns the compared values of a sheet, keyed by path.
func flatten(s Sheet) map[string]string {
	values := map[string]string{}
	for _, d := range s.DataCentres {
		values[fmt.Sprintf("DataCentres[%s].State", d.DataCentre)] = string(d.State)
	}
	for _, d := range s.Databases {
		values[fmt.Sprintf("Databases[%s].Connections", d.Database)] = fmt.Sprint(d.Connections)
	}
	for _, r := range s.Routes {
		values[fmt.Sprintf("Routes[%s].OpenToAll", r.Database)] = fmt.Sprint(r.OpenToAll)
	}
	for _, server := range s.Servers {
		values[fmt.Sprintf("Servers[%s].State", server.Server)] = string(server.State)
	}
	for _, w := range s.Workspaces {
		flattenWorkspace(values, w)
	}
	return values
}

func flattenWorkspace(values map[string]string, w Workspace) {
	path := fmt.Sprintf("Workspaces[%s].", w.Workspace)
	values[path+"Burst"] = fmt.Sprint(w.Burst)
	values[path+"Databases"] = joinSorted(w.Databases)
	values[path+"Iterations"] = fmt.Sprint(w.Iterations)
	values[path+"Rate"] = fmt.Sprint(w.Rate)
	values[path+"Salt"] = w.Salt
	values[path+"Weight"] = fmt.Sprint(w.Weight)
	for _, key := range w.Keys {
		keyPath := fmt.Sprintf("%sKeys[%s].", path, key.KeyID)
		values[keyPath+"NotAfter"] = cmp.Or(key.NotAfter, "never")
		values[keyPath+"StoredKey"] = key.StoredKey
		values[keyPath+"ServerKey"] = key.ServerKey
	}
}

// joinSorted returns the IDs in sorted order, separated by spaces.
func joinSorted(ids []fleet.GroupID) string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// mergePaths returns the keys of both maps, sorted and without duplicates.
func mergePaths(before, after map[string]string) []string {
	var all []string
	for path := range before {
		all = append(all, path)
	}
	for path := range after {
		all = append(all, path)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
