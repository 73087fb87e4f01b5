package event

// ring keeps the latest events up to its size.
type ring struct {
	events []Event
	// next is the index that is overwritten next.
	next int
	size int
}

// add puts in an event; the oldest one gives way when the ring is full.
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
