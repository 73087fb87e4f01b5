package peer

import "fmt"

// EventKind says what happened.
type EventKind string

// Kinds of events.
const (
	// EventMemberHeard is a silent member that answers again, or a new one.
	EventMemberHeard EventKind = "MemberHeard"
	// EventMemberSilent is a member that no longer answers.
	EventMemberSilent EventKind = "MemberSilent"
	// EventRosterInForce is a newer roster that this instance took in.
	EventRosterInForce EventKind = "RosterInForce"
	// EventSharesMoved is a transfer of shares to this instance.
	EventSharesMoved EventKind = "SharesMoved"
	// EventStoreAvailable is the end of an outage of the table.
	EventStoreAvailable EventKind = "StoreAvailable"
	// EventStoreUnavailable is the begin of an outage of the table.
	EventStoreUnavailable EventKind = "StoreUnavailable"
	// EventUnusable is a row or a sheet that cannot be used.
	EventUnusable EventKind = "Unusable"
)

// Event is a change that operators may want to know of.
type Event struct {
	Kind EventKind
	Text string
}

func (c *Controller) event(kind EventKind, text string) {
	if c.config.Events != nil {
		c.config.Events(Event{Kind: kind, Text: text})
	}
}

// noteStore records the begin and the end of an outage of the table.
func (c *Controller) noteStore(err error) {
	c.mu.Lock()
	changed := c.storeDown != (err != nil)
	c.storeDown = err != nil
	c.mu.Unlock()
	switch {
	case changed && err != nil:
		c.event(EventStoreUnavailable, err.Error())
	case changed:
		c.event(EventStoreAvailable, "")
	}
}

// noteMembers records the peers that were lost and found since the last call.
func (c *Controller) noteMembers() {
	c.mu.Lock()
	live := make(map[Member]bool)
	for _, member := range c.membership.Live(c.config.Clock.Now()) {
		if member != c.self {
			live[member] = true
		}
	}
	earlier := c.noted
	c.noted = live
	c.mu.Unlock()
	for member := range live {
		if !earlier[member] {
			c.event(EventMemberHeard, memberText(member))
		}
	}
	for member := range earlier {
		if !live[member] {
			c.event(EventMemberSilent, memberText(member))
		}
	}
}

func memberText(member Member) string {
	return fmt.Sprintf("%s, epoch %d", member.Instance, member.Epoch)
}
