package event

// ring is a ring buffer of the latest events.
type ring struct {
	events []Event
	// next is the index that the next event overwrites when the ring is full.
	next int
	// size is the maximum number of events.
	size int
}

// add adds an event. When the ring is full, it replaces the oldest one.
func (r *ring) add(e Event) {
	if len(r.events) < r.size {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % r.size
}

// matching returns the events that match the filter, oldest first.
func (r *ring) matching(filter Filter) []Event {
	var matching []Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if filter.matches(e) {
			matching = append(matching, e)
		}
	}
	return matching
}
