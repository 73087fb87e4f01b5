package event

import "github.com/nutmegpier/nutmegpier/fleet"

// Filter selects events. A field with its zero value matches all events.
type Filter struct {
	Database fleet.GroupID
	// Limit is the maximum number of events, the latest ones; zero means no limit.
	Limit     int
	Number    Number
	Session   string
	Workspace fleet.WorkspaceID
}

// Select returns the matching events in their original order.
func (f Filter) Select(events []Event) []Event {
	var selected []Event
	for _, e := range events {
		if f.matches(e) {
			selected = append(selected, e)
		}
	}
	return f.limit(selected)
}

// limit returns the latest events within the limit of the filter.
func (f Filter) limit(events []Event) []Event {
	if f.Limit > 0 && len(events) > f.Limit {
		return events[len(events)-f.Limit:]
	}
	return events
}

// matches reports whether the filter selects an event, apart from its limit.
func (f Filter) matches(e Event) bool {
	return (f.Database == "" || f.Database == e.Database) &&
		(f.Number == 0 || f.Number == e.Number) &&
		(f.Session == "" || f.Session == e.Session) &&
		(f.Workspace == "" || f.Workspace == e.Workspace)
}
