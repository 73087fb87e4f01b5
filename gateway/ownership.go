package gateway

import (
	"slices"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/owner"
	"github.com/nutmegpier/nutmegpier/pool"
	"github.com/nutmegpier/nutmegpier/workspace"
)

// Owners returns the instances that own the servers of a group, in order of rank, as far
// as this instance knows. It returns none if each instance uses the servers itself.
func (g *Gateway) Owners(group fleet.GroupID) []fleet.InstanceID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.owners.Owners(group))
}

// ownerCandidates returns the instances that may own groups: those that hold shares of
// the rate limits, because the others have just started, or all if none does. The
// caller holds g.mu.
func (g *Gateway) ownerCandidates() []owner.Candidate {
	var holding, all []owner.Candidate
	for id, m := range g.members.members {
		row := m.row
		if id == g.members.self {
			row = g.members.lastWritten
			row.Draining = g.draining
		}
		if (id != g.members.self && !g.members.isLive(m)) || row.Address == "" || row.Draining {
			continue
		}
		candidate := owner.Candidate{DataCentre: row.DataCentre, Instance: id, LinkMegabits: row.LinkMegabits, ProcessorShare: row.ProcessorShare}
		all = append(all, candidate)
		if row.Phase == workspace.PhaseHolding {
			holding = append(holding, candidate)
		}
	}
	if len(holding) == 0 {
		return all
	}
	return holding
}

// isWitness reports whether an instance decides on the failure of the group's primary.
// Without owners, all instances do. The caller holds g.mu.
func (g *Gateway) isWitness(group fleet.GroupID, instance fleet.InstanceID) bool {
	return len(g.owners.Owners(group)) == 0 || slices.Contains(g.witnesses[group], instance)
}

// notifyWitnesses makes the witnesses of a group check a server of it, if the server is
// its primary and the group is used through owners. The others, which have no traffic
// with the server, would learn of the failure only from the rows of the instances.
func (g *Gateway) notifyWitnesses(server pool.Server) {
	g.mu.Lock()
	var witnesses []fleet.InstanceID
	if len(g.owners.Owners(server.Group)) > 0 && g.group(server.Group).primaryLease.Record().Primary == server.ID {
		witnesses = slices.Clone(g.witnesses[server.Group])
	}
	g.mu.Unlock()
	for _, witness := range witnesses {
		if witness == g.config.Instance {
			continue
		}
		go func() {
			if _, err := g.callPeer(witness, PeerRequest{Probe: server.ID}); err != nil {
				g.config.Log.Record(event.PeerSilent, event.Fields{Server: server.ID, Text: "ask " + string(witness) + " to check the server: " + err.Error()})
			}
		}()
	}
}

// updateOwners chooses the owners of the groups whose servers accept too few
// connections for all live instances. The caller holds g.mu.
func (g *Gateway) updateOwners() {
	owners, witnesses := map[fleet.GroupID][]fleet.InstanceID{}, map[fleet.GroupID][]fleet.InstanceID{}
	if g.routing != nil && g.config.OwnerClient != nil {
		candidates := g.ownerCandidates()
		live := g.members.liveInstances()
		for group := range g.routing.Groups() {
			if g.isOwned(group, len(live)) {
				owners[group] = owner.Choose(group, candidates)
				witnesses[group] = owner.Witnesses(group, owners[group], live)
			}
		}
	}
	g.owners.Set(owners)
	g.witnesses = witnesses
	g.owners.Prune(g.config.Clock())
}

// connectionLimits returns how many connections to a server this instance may open, and
// how many of them it may keep idle. The caller holds g.mu.
func (g *Gateway) connectionLimits(demandShare float64, live []fleet.InstanceID, server *backendServer) (limit, idle int) {
	budget := g.connectionBudget(server.Group)
	if len(g.owners.Owners(server.Group)) == 0 {
		return pool.ConnectionLimits(budget, demandShare, g.config.Instance, live, server.ID)
	}
	if rank, found := g.owners.Rank(server.Group, g.config.Instance); found {
		return pool.OwnerLimits(budget, rank)
	}
	return pool.DirectLimits()
}

// isOwned reports whether the servers of a group accept too few connections for the
// given number of instances, so that they are used through owners. The caller holds
// g.mu.
func (g *Gateway) isOwned(group fleet.GroupID, live int) bool {
	return pool.NeedsOwner(g.connectionBudget(group), live)
}
