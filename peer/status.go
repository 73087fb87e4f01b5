package peer

import (
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// PeerStatus is what is known of another instance.
type PeerStatus struct {
	// Address is "ip:port" of the peer listener, or empty when it is not listed.
	Address string
	// Held is what the instance said last that it holds.
	Held   Versions
	Member Member
	// Silence is the time since the instance was last heard.
	Silence time.Duration
	State   State
}

// Peers returns the other instances that were heard, in the order of their ids.
// Runs that were replaced are left out.
func (c *Controller) Peers(now time.Time) []PeerStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	var peers []PeerStatus
	for member, contact := range c.membership.heard {
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

// recordHeld notes what a member said that it holds.
func (m *Membership) recordHeld(member Member, held Versions) {
	if contact := m.heard[member]; contact != nil {
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
