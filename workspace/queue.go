package workspace

import (
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Entry is one request that waits in a Queue.
type Entry[T any] struct {
	// Deadline is when the request is to be refused. It counts from the
	// caller's arrival, so waiting elsewhere before has used a part of it.
	Deadline time.Time
	// Priority orders the requests of a workspace; zero goes first.
	Priority int
	// Value is what the queue's user attached.
	Value T
	// Weight is the share of the workspace. Less than one counts as one.
	Weight int
	// Workspace is the workspace that the request belongs to.
	Workspace fleet.WorkspaceID
}

// lane holds the waiting requests of one workspace by priority, and by arrival
// within it.
type lane[T any] struct {
	deficit int
	entries []Entry[T]
}

// Queue is a fair queue by deficit round robin over workspaces. In one round
// each workspace that has requests waiting gets as many as its weight. It isn't
// safe for concurrent use.
type Queue[T any] struct {
	lanes map[fleet.WorkspaceID]*lane[T]
	limit int
	ring  []fleet.WorkspaceID
	size  int
}

// NewQueue returns an empty queue that holds at most limit entries of each
// workspace, so that one workspace can't use up the room of the others.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{lanes: make(map[fleet.WorkspaceID]*lane[T]), limit: limit}
}

// Expire removes and returns the entries whose deadline has come.
func (q *Queue[T]) Expire(now time.Time) []Entry[T] {
	return q.remove(func(e Entry[T]) bool { return !now.Before(e.Deadline) })
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int {
	return q.size
}

// Pop removes and returns the entry whose turn it is. Entries whose deadline
// has come are removed on the way and returned as expired.
func (q *Queue[T]) Pop(now time.Time) (entry Entry[T], found bool, expired []Entry[T]) {
	for q.size > 0 {
		name := q.ring[0]
		current := q.lanes[name]
		head := current.entries[0]
		if !now.Before(head.Deadline) {
			q.drop(name, current)
			expired = append(expired, head)
			continue
		}
		if current.deficit < 1 {
			current.deficit = max(1, head.Weight)
		}
		current.deficit--
		q.drop(name, current)
		return head, true, expired
	}
	return entry, false, expired
}

// Push adds an entry. It reports false if the workspace has too many waiting.
func (q *Queue[T]) Push(entry Entry[T]) bool {
	current := q.lanes[entry.Workspace]
	if current == nil {
		current = &lane[T]{}
		q.lanes[entry.Workspace] = current
		q.ring = append(q.ring, entry.Workspace)
	}
	if len(current.entries) >= q.limit {
		return false
	}
	place := len(current.entries)
	for place > 0 && current.entries[place-1].Priority > entry.Priority {
		place--
	}
	current.entries = slices.Insert(current.entries, place, entry)
	q.size++
	return true
}

// Remove removes the entries whose value matches and returns how many there were.
func (q *Queue[T]) Remove(matches func(value T) bool) int {
	return len(q.remove(func(e Entry[T]) bool { return matches(e.Value) }))
}

// drop removes the head of the lane at the front of the ring, and ends the
// lane's turn when its deficit is used up.
func (q *Queue[T]) drop(name fleet.WorkspaceID, current *lane[T]) {
	current.entries = current.entries[1:]
	q.size--
	switch {
	case len(current.entries) == 0:
		delete(q.lanes, name)
		q.ring = q.ring[1:]
	case current.deficit < 1:
		q.ring = append(q.ring[1:], name)
	}
}

func (q *Queue[T]) remove(matches func(Entry[T]) bool) []Entry[T] {
	var removed []Entry[T]
	var ring []fleet.WorkspaceID
	for _, name := range q.ring {
		current := q.lanes[name]
		var kept []Entry[T]
		for _, entry := range current.entries {
			if matches(entry) {
				removed = append(removed, entry)
				continue
			}
			kept = append(kept, entry)
		}
		current.entries = kept
		if len(kept) == 0 {
			delete(q.lanes, name)
			continue
		}
		ring = append(ring, name)
	}
	q.ring = ring
	q.size -= len(removed)
	return removed
}
