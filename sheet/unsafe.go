package sheet

import (
	"fmt"
	"slices"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// RiskKind classifies what is unsafe about a sheet.
type RiskKind string

// Kinds of risks.
const (
	// RiskAllDataCentresOut means that no data centre takes new work.
	RiskAllDataCentresOut RiskKind = "AllDataCentresOut"
	// RiskBusyWorkspaceStopped means that a workspace with traffic has a rate of zero.
	RiskBusyWorkspaceStopped RiskKind = "BusyWorkspaceStopped"
	// RiskKeysWithdrawn means that a workspace has lost all its keys.
	RiskKeysWithdrawn RiskKind = "KeysWithdrawn"
	// RiskNoServerLeft means that no server of a group takes new work.
	RiskNoServerLeft RiskKind = "NoServerLeft"
	// RiskUnknownDataCentre means that a data centre is out that has no known
	// instance or server, as after a typing error.
	RiskUnknownDataCentre RiskKind = "UnknownDataCentre"
	// RiskUnknownServer means that a server is leaving that no group has.
	RiskUnknownServer RiskKind = "UnknownServer"
	// RiskWorkspaceRemoved means that a workspace is no longer listed.
	RiskWorkspaceRemoved RiskKind = "WorkspaceRemoved"
)

// Risk is one unsafe effect of a sheet.
type Risk struct {
	Kind RiskKind
	// Subject is the id of the workspace, group, server or data centre; empty
	// for all data centres.
	Subject string
}

// String returns the risk as a sentence.
func (r Risk) String() string {
	switch r.Kind {
	case RiskAllDataCentresOut:
		return "all data centres are out"
	case RiskBusyWorkspaceStopped:
		return fmt.Sprintf("workspace %s has traffic and a rate of 0", r.Subject)
	case RiskKeysWithdrawn:
		return fmt.Sprintf("all keys of workspace %s are withdrawn", r.Subject)
	case RiskNoServerLeft:
		return fmt.Sprintf("no server of group %s is left in service", r.Subject)
	case RiskUnknownDataCentre:
		return fmt.Sprintf("data centre %s is out, but no known instance or server is there", r.Subject)
	case RiskUnknownServer:
		return fmt.Sprintf("server %s is leaving, but no group has it", r.Subject)
	default:
		return fmt.Sprintf("workspace %s is removed", r.Subject)
	}
}

// Deployment is what is known of the deployment when a sheet is checked.
type Deployment struct {
	// Busy lists the workspaces with traffic.
	BusyWorkspaces []fleet.WorkspaceID
	// DataCentres lists the data centres that have instances.
	DataCentres []fleet.DataCentre
	Servers     []ServerLocation
}

// ServerLocation says where a backend server stands.
type ServerLocation struct {
	DataCentre fleet.DataCentre
	Group      fleet.GroupID
	Server     fleet.ServerID
}

// NewRisks returns the unsafe effects that the newer sheet has and the older one
// had not, so that a sheet can be repaired in steps.
func NewRisks(before, after Sheet, usage Deployment) []Risk {
	earlier := standingRisks(before, usage)
	var risks []Risk
	for _, risk := range standingRisks(after, usage) {
		if !slices.Contains(earlier, risk) {
			risks = append(risks, risk)
		}
	}
	return append(risks, withdrawals(before, after)...)
}

// standingRisks returns the risks that a sheet has by itself.
func standingRisks(s Sheet, usage Deployment) []Risk {
	var risks []Risk
	if allOut(s, usage) {
		risks = append(risks, Risk{Kind: RiskAllDataCentresOut})
	}
	for _, group := range groupsOf(usage) {
		if !hasServer(s, group, usage) {
			risks = append(risks, Risk{Kind: RiskNoServerLeft, Subject: string(group)})
		}
	}
	for _, workspace := range usage.BusyWorkspaces {
		if limits, known := s.Limits(workspace); known && limits.Rate == 0 {
			risks = append(risks, Risk{Kind: RiskBusyWorkspaceStopped, Subject: string(workspace)})
		}
	}
	return append(risks, unknownPlaces(s, usage)...)
}

// unknownPlaces returns the places out of service that nothing is known of.
// Without known servers nothing can be said.
func unknownPlaces(s Sheet, usage Deployment) []Risk {
	if len(usage.Servers) == 0 {
		return nil
	}
	var risks []Risk
	known := dataCentresOf(usage)
	for _, d := range s.DataCentres {
		if d.State == StateOut && !slices.Contains(known, d.DataCentre) {
			risks = append(risks, Risk{Kind: RiskUnknownDataCentre, Subject: string(d.DataCentre)})
		}
	}
	for _, server := range s.Servers {
		isKnown := slices.ContainsFunc(usage.Servers, func(place ServerLocation) bool { return place.Server == server.Server })
		if server.State == StateLeaving && !isKnown {
			risks = append(risks, Risk{Kind: RiskUnknownServer, Subject: string(server.Server)})
		}
	}
	return risks
}

// allOut reports whether no known data centre is in service. Without any known
// one the sheet's own list decides, if it has at least two: a list of one says
// little, because data centres that are not listed are in service.
func allOut(s Sheet, usage Deployment) bool {
	known := dataCentresOf(usage)
	if len(known) == 0 && len(s.DataCentres) > 1 {
		for _, d := range s.DataCentres {
			known = append(known, d.DataCentre)
		}
	}
	return len(known) > 0 && !slices.ContainsFunc(known, s.IsInService)
}

func dataCentresOf(usage Deployment) []fleet.DataCentre {
	known := slices.Clone(usage.DataCentres)
	for _, place := range usage.Servers {
		known = append(known, place.DataCentre)
	}
	return known
}

func groupsOf(usage Deployment) []fleet.GroupID {
	var groups []fleet.GroupID
	for _, place := range usage.Servers {
		groups = append(groups, place.Group)
	}
	slices.Sort(groups)
	return slices.Compact(groups)
}

func hasServer(s Sheet, group fleet.GroupID, usage Deployment) bool {
	return slices.ContainsFunc(usage.Servers, func(place ServerLocation) bool {
		return place.Group == group && s.IsInService(place.DataCentre) && !s.IsLeaving(place.Server)
	})
}

// withdrawals returns the workspaces that lost all keys or are gone.
func withdrawals(before, after Sheet) []Risk {
	var risks []Risk
	for _, w := range before.Workspaces {
		now, known := after.workspace(w.Workspace)
		switch {
		case !known:
			risks = append(risks, Risk{Kind: RiskWorkspaceRemoved, Subject: string(w.Workspace)})
		case len(w.Keys) > 0 && !keepsKey(w, now):
			risks = append(risks, Risk{Kind: RiskKeysWithdrawn, Subject: string(w.Workspace)})
		}
	}
	return risks
}

// keepsKey reports whether a key of the older workspace is still accepted, so
// that not all its callers are cut off at once. Callers need time to change to
// a new key.
func keepsKey(before, after Workspace) bool {
	if before.Salt != after.Salt || before.Iterations != after.Iterations {
		return false
	}
	return slices.ContainsFunc(after.Keys, func(key Key) bool {
		return slices.ContainsFunc(before.Keys, func(old Key) bool { return old.StoredKey == key.StoredKey })
	})
}
