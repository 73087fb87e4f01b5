package event

import "github.com/nutmegpier/nutmegpier/fleet"

// Filter selects events. Empty fields match all.
type Filter struct {
	Database fleet.GroupID
	// Limit keeps the latest events; zero means no limit.
	Limit     int
	Number    Number
	Session   string
	Workspace fleet.WorkspaceID
}

// Select returns the events that match, in their order.
func (f Filter) Select(events []Event) []Event {
	var selected []Event
	for _, e := range events {
		if f.matches(e) {
			selected = append(selected, e)
		}
	}
	return f.limit(selected)
}

func (f Filter) limit(events []Event) []Event {
	if f.Limit > 0 && len(events) > f.Limit {
		return events[len(events)-f.Limit:]
	}
	return events
}

func (f Filter) matches(e Event) bool {
	return (f.Database == "" || f.Database == e.Database) &&
		(f.Number == 0 || f.Number == e.Number) &&
		(f.Session == "" || f.Session == e.Session) &&
		(f.Workspace == "" || f.Workspace == e.Workspace)
}
