package peer

import (
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// PeerStatus is the status of another instance, as seen by this instance.
type PeerStatus struct {
	// Address is "ip:port" of the peer listener, or empty if the platform does not
	// list the instance.
	Address string
	// Held are the versions that the instance last reported to hold.
	Held   Versions
	Member Member
	// Silence is the time since the last message from the instance.
	Silence time.Duration
	State   State
}

// Peers returns the status of the other known instances, sorted by ID, without
// runs that were replaced.
func (c *Controller) Peers(now time.Time) []PeerStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	var peers []PeerStatus
	for member, contact := range c.membership.contacts {
		state := c.membership.State(now, member)
		if member == c.self || state == StateReplaced {
			continue
		}
		peers = append(peers, PeerStatus{
			Address: c.membership.address(member.Instance),
			Held:    contact.held,
			Member:  member,
			Silence: now.Sub(contact.at),
			State:   state,
		})
	}
	slices.SortFunc(peers, func(a, b PeerStatus) int { return compareMembers(a.Member, b.Member) })
	return peers
}

// recordHeld records the versions that a member reported to hold.
func (m *Membership) recordHeld(member Member, held Versions) {
	if contact := m.contacts[member]; contact != nil {
		contact.held = held
	}
}

// address returns the listed address of an instance, or the empty string.
func (m *Membership) address(id fleet.InstanceID) string {
	for _, listed := range m.listed {
		if listed.Instance == id {
			return listed.Address
		}
	}
	return ""
}
