package instance

import (
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/group"
	"github.com/nutmegpier/nutmegpier/peer"
)

// groupPeers implements group.Peers with what the peer controller knows of the
// other instances.
type groupPeers struct {
	now   func() time.Time
	peers *peer.Controller
	self  fleet.InstanceID
}

var _ group.Peers = &groupPeers{}

// Live returns the instances that are considered live, including this one.
func (g *groupPeers) Live() []fleet.InstanceID {
	live := []fleet.InstanceID{g.self}
	for _, member := range g.peers.LiveInstances() {
		if member.Instance != g.self {
			live = append(live, member.Instance)
		}
	}
	slices.Sort(live)
	return live
}

// Suspicions returns the latest reports of instances that cannot reach the
// primary of a group.
func (g *groupPeers) Suspicions(id fleet.GroupID) []group.SuspicionReport {
	var reports []group.SuspicionReport
	for _, suspicion := range g.peers.Suspicions() {
		if suspicion.Group != id {
			continue
		}
		reports = append(reports, group.SuspicionReport{
			Instance:   suspicion.Reporter.Instance,
			ReceivedAt: g.now(),
			Silence:    suspicion.Silence,
			Term:       suspicion.Term,
		})
	}
	return reports
}
