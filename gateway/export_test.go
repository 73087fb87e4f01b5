package gateway

import "github.com/nutmegpier/nutmegpier/fleet"

// CountUsage counts a statement of a workspace that a server begins now.
func (g *Gateway) CountUsage(workspace fleet.WorkspaceID) {
	g.usage.count(g.config.Clock(), workspace, 1, true)
}
