package sheet

import (
	"fmt"
	"slices"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// RiskKind classifies the risks of a sheet.
type RiskKind string

// Kinds of risks.
const (
	// RiskAllDataCentresOut means that all data centres are out of service.
	RiskAllDataCentresOut RiskKind = "AllDataCentresOut"
	// RiskBusyWorkspaceStopped means that a workspace with traffic has a rate limit
	// of zero.
	RiskBusyWorkspaceStopped RiskKind = "BusyWorkspaceStopped"
	// RiskKeysWithdrawn means that none of the previous keys of a workspace is
	// valid any more.
	RiskKeysWithdrawn RiskKind = "KeysWithdrawn"
	// RiskNoServerLeft means that no server of a group is in service.
	RiskNoServerLeft RiskKind = "NoServerLeft"
	// RiskUnknownDataCentre means that the data centre that is out of service has
	// no known instance or server. Its name may be misspelled.
	RiskUnknownDataCentre RiskKind = "UnknownDataCentre"
	// RiskUnknownServer means that the server being drained is in no group. Its name
	// may be misspelled.
	RiskUnknownServer RiskKind = "UnknownServer"
	// RiskWorkspaceRemoved means that a workspace was removed from the sheet.
	RiskWorkspaceRemoved RiskKind = "WorkspaceRemoved"
)

// Risk is an effect of a sheet that may interrupt service. Publishing a sheet with
// a new risk needs PublishRequest.Force.
type Risk struct {
	Kind RiskKind
	// Subject is the ID of the workspace, group, server or data centre. It is empty
	// for RiskAllDataCentresOut.
	Subject string
}

// String returns a description of the risk for the operator.
func (r Risk) String() string {
	switch r.Kind {
	case RiskAllDataCentresOut:
		return "all data centres are out of service"
	case RiskBusyWorkspaceStopped:
		return fmt.Sprintf("workspace %s has traffic and a rate of 0", r.Subject)
	case RiskKeysWithdrawn:
		return fmt.Sprintf("all keys of workspace %s are withdrawn", r.Subject)
	case RiskNoServerLeft:
		return fmt.Sprintf("no server of group %s is left in service", r.Subject)
	case RiskUnknownDataCentre:
		return fmt.Sprintf("data centre %s is out of service, but has no known instance or server", r.Subject)
	case RiskUnknownServer:
		return fmt.Sprintf("server %s is leaving, but is in no group", r.Subject)
	default:
		return fmt.Sprintf("workspace %s is removed", r.Subject)
	}
}

// Deployment describes the instances, servers and traffic of the deployment, as far
// as the instance that checks a sheet knows them.
type Deployment struct {
	// BusyWorkspaces lists the workspaces that have sent requests.
	BusyWorkspaces []fleet.WorkspaceID
	// DataCentres lists the data centres that have instances.
	DataCentres []fleet.DataCentre
	// Servers lists all backend servers.
	Servers []ServerLocation
}

// ServerLocation is a backend server with its group and data centre.
type ServerLocation struct {
	DataCentre fleet.DataCentre
	Group      fleet.GroupID
	Server     fleet.ServerID
}

// NewRisks returns the risks of the new sheet that the old sheet does not have.
// Risks that the old sheet already has are left out, so that operators can correct
// such a sheet step by step.
func NewRisks(before, after Sheet, deployment Deployment) []Risk {
	oldRisks := sheetRisks(before, deployment)
	var risks []Risk
	for _, risk := range sheetRisks(after, deployment) {
		if !slices.Contains(oldRisks, risk) {
			risks = append(risks, risk)
		}
	}
	return append(risks, removalRisks(before, after)...)
}

// sheetRisks returns the risks of a sheet that do not depend on the previous sheet.
func sheetRisks(s Sheet, deployment Deployment) []Risk {
	var risks []Risk
	if allDataCentresOut(s, deployment) {
		risks = append(risks, Risk{Kind: RiskAllDataCentresOut})
	}
	for _, group := range knownGroups(deployment) {
		if !hasServerInService(s, group, deployment) {
			risks = append(risks, Risk{Kind: RiskNoServerLeft, Subject: string(group)})
		}
	}
	for _, workspace := range deployment.BusyWorkspaces {
		if limits, known := s.Limits(workspace); known && limits.Rate == 0 {
			risks = append(risks, Risk{Kind: RiskBusyWorkspaceStopped, Subject: string(workspace)})
		}
	}
	return append(risks, unknownNameRisks(s, deployment)...)
}

// unknownNameRisks returns the risks for data centres and servers that are taken
// out of service and are not in the deployment. It returns none if no servers are
// known, because the names cannot be checked then.
func unknownNameRisks(s Sheet, deployment Deployment) []Risk {
	if len(deployment.Servers) == 0 {
		return nil
	}
	var risks []Risk
	known := knownDataCentres(deployment)
	for _, d := range s.DataCentres {
		if d.State == StateOut && !slices.Contains(known, d.DataCentre) {
			risks = append(risks, Risk{Kind: RiskUnknownDataCentre, Subject: string(d.DataCentre)})
		}
	}
	for _, server := range s.Servers {
		isKnown := slices.ContainsFunc(deployment.Servers, func(location ServerLocation) bool { return location.Server == server.Server })
		if server.State == StateLeaving && !isKnown {
			risks = append(risks, Risk{Kind: RiskUnknownServer, Subject: string(server.Server)})
		}
	}
	return risks
}

// allDataCentresOut reports whether no known data centre is in service. If none is
// known, it uses the data centres in the sheet, provided that the sheet lists at
// least two. A single entry is no evidence, because data centres that are not listed
// are in service.
func allDataCentresOut(s Sheet, deployment Deployment) bool {
	known := knownDataCentres(deployment)
	if len(known) == 0 && len(s.DataCentres) > 1 {
		for _, d := range s.DataCentres {
			known = append(known, d.DataCentre)
		}
	}
	return len(known) > 0 && !slices.ContainsFunc(known, s.IsInService)
}

// knownDataCentres returns the data centres of all instances and servers.
func knownDataCentres(deployment Deployment) []fleet.DataCentre {
	known := slices.Clone(deployment.DataCentres)
	for _, location := range deployment.Servers {
		known = append(known, location.DataCentre)
	}
	return known
}

// knownGroups returns the groups of all servers, sorted.
func knownGroups(deployment Deployment) []fleet.GroupID {
	var groups []fleet.GroupID
	for _, location := range deployment.Servers {
		groups = append(groups, location.Group)
	}
	slices.Sort(groups)
	return slices.Compact(groups)
}

// hasServerInService reports whether at least one server of a group gets new work.
func hasServerInService(s Sheet, group fleet.GroupID, deployment Deployment) bool {
	return slices.ContainsFunc(deployment.Servers, func(location ServerLocation) bool {
		return location.Group == group && s.IsInService(location.DataCentre) && !s.IsLeaving(location.Server)
	})
}

// removalRisks returns the risks for workspaces that were removed or have none of
// their previous keys left.
func removalRisks(before, after Sheet) []Risk {
	var risks []Risk
	for _, w := range before.Workspaces {
		current, known := after.workspace(w.Workspace)
		switch {
		case !known:
			risks = append(risks, Risk{Kind: RiskWorkspaceRemoved, Subject: string(w.Workspace)})
		case len(w.Keys) > 0 && !keepsKey(w, current):
			risks = append(risks, Risk{Kind: RiskKeysWithdrawn, Subject: string(w.Workspace)})
		}
	}
	return risks
}

// keepsKey reports whether at least one key of the old workspace is still valid. If
// none is, all callers of the workspace lose access at once, although they need
// time to change to a new key.
func keepsKey(before, after Workspace) bool {
	if before.Salt != after.Salt || before.Iterations != after.Iterations {
		return false
	}
	return slices.ContainsFunc(after.Keys, func(key Key) bool {
		return slices.ContainsFunc(before.Keys, func(old Key) bool { return old.StoredKey == key.StoredKey })
	})
}
