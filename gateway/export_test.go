package gateway

import "github.com/nutmegpier/nutmegpier/fleet"

// CountUsage counts a statement of a workspace that a server begins now.
func (g *Gateway) CountUsage(workspace fleet.WorkspaceID) {
	g.usage.count(g.config.Clock(), workspace, 1, true)
}

// Leads reports whether this instance is the leader.
func (g *Gateway) Leads() bool {
	_, leading := g.leaderToken(g.config.Clock())
	return leading
}
