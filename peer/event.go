package peer

import "fmt"

// EventKind identifies the kind of an event.
type EventKind string

// Kinds of events.
const (
	// EventMemberHeard means that a member answers for the first time, or again
	// after it was silent.
	EventMemberHeard EventKind = "MemberHeard"
	// EventMemberSilent means that a member is no longer live: it stopped
	// answering, announced its stop, or was replaced by a new run.
	EventMemberSilent EventKind = "MemberSilent"
	// EventRosterInForce means that this instance adopted a newer roster.
	EventRosterInForce EventKind = "RosterInForce"
	// EventSharesTransferred means that this instance received shares from a peer.
	EventSharesTransferred EventKind = "SharesMoved"
	// EventStoreAvailable is the end of an outage of the store.
	EventStoreAvailable EventKind = "StoreAvailable"
	// EventStoreUnavailable is the start of an outage of the store.
	EventStoreUnavailable EventKind = "StoreUnavailable"
	// EventUnusable is a row or a sheet that cannot be read, is missing, or has
	// invalid content.
	EventUnusable EventKind = "Unusable"
)

// Event is a state change that is recorded for operators.
type Event struct {
	Kind EventKind
	Text string
}

func (c *Controller) emitEvent(kind EventKind, text string) {
	if c.config.Events != nil {
		c.config.Events(Event{Kind: kind, Text: text})
	}
}

// reportStoreState emits an event if an outage of the store started or ended.
// The error is the result of the latest read.
func (c *Controller) reportStoreState(err error) {
	c.mu.Lock()
	changed := c.storeUnavailable != (err != nil)
	c.storeUnavailable = err != nil
	c.mu.Unlock()
	switch {
	case changed && err != nil:
		c.emitEvent(EventStoreUnavailable, err.Error())
	case changed:
		c.emitEvent(EventStoreAvailable, "")
	}
}

// reportMemberChanges emits an event for each peer that became live or ceased to
// be live since the last call.
func (c *Controller) reportMemberChanges() {
	c.mu.Lock()
	live := make(map[Member]bool)
	for _, member := range c.membership.Live(c.config.Clock.Now()) {
		if member != c.self {
			live[member] = true
		}
	}
	previouslyLive := c.reportedLive
	c.reportedLive = live
	c.mu.Unlock()
	for member := range live {
		if !previouslyLive[member] {
			c.emitEvent(EventMemberHeard, formatMember(member))
		}
	}
	for member := range previouslyLive {
		if !live[member] {
			c.emitEvent(EventMemberSilent, formatMember(member))
		}
	}
}

func formatMember(member Member) string {
	return fmt.Sprintf("instance %s, epoch %d", member.Instance, member.Epoch)
}
