package workspace

import (
	"slices"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
)

// Entry is one request that waits in a Queue.
type Entry[T any] struct {
	// Deadline is when the request is refused. It is based on the request's
	// arrival, so earlier waits reduce the time in the queue.
	Deadline time.Time
	// Priority orders the requests of a workspace; lower values go first.
	Priority int
	// Value is arbitrary data of the queue's user.
	Value T
	// Weight is the number of requests of the workspace in each round. Values
	// below one count as one.
	Weight int
	// Workspace is the workspace that the request belongs to.
	Workspace fleet.WorkspaceID
}

// workspaceQueue holds the waiting requests of one workspace, ordered by priority and
// then by arrival.
type workspaceQueue[T any] struct {
	// deficit is the number of requests left in the current turn.
	deficit int
	entries []Entry[T]
}

// Queue is a fair queue that schedules workspaces by deficit round robin. In each
// round, every workspace with waiting requests gets as many as its weight. It isn't
// safe for concurrent use.
type Queue[T any] struct {
	queues          map[fleet.WorkspaceID]*workspaceQueue[T]
	maxPerWorkspace int
	// ring holds the workspaces with waiting requests in the order of their turns.
	ring []fleet.WorkspaceID
	size int
}

// NewQueue returns an empty queue that holds at most maxPerWorkspace entries of each
// workspace, so that one workspace can't take the space of the others.
func NewQueue[T any](maxPerWorkspace int) *Queue[T] {
	return &Queue[T]{queues: make(map[fleet.WorkspaceID]*workspaceQueue[T]), maxPerWorkspace: maxPerWorkspace}
}

// Expire removes and returns the entries whose deadline has passed.
func (q *Queue[T]) Expire(now time.Time) []Entry[T] {
	return q.remove(func(e Entry[T]) bool { return !now.Before(e.Deadline) })
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int {
	return q.size
}

// Pop removes and returns the next entry. Entries before it whose deadline has passed
// are removed and returned as expired.
func (q *Queue[T]) Pop(now time.Time) (entry Entry[T], found bool, expired []Entry[T]) {
	for q.size > 0 {
		name := q.ring[0]
		current := q.queues[name]
		head := current.entries[0]
		if !now.Before(head.Deadline) {
			q.removeHead(name, current)
			expired = append(expired, head)
			continue
		}
		if current.deficit < 1 {
			current.deficit = max(1, head.Weight)
		}
		current.deficit--
		q.removeHead(name, current)
		return head, true, expired
	}
	return entry, false, expired
}

// Push adds an entry. It reports false if the workspace already has the maximum number
// of entries waiting.
func (q *Queue[T]) Push(entry Entry[T]) bool {
	current := q.queues[entry.Workspace]
	if current == nil {
		current = &workspaceQueue[T]{}
		q.queues[entry.Workspace] = current
		q.ring = append(q.ring, entry.Workspace)
	}
	if len(current.entries) >= q.maxPerWorkspace {
		return false
	}
	index := len(current.entries)
	for index > 0 && current.entries[index-1].Priority > entry.Priority {
		index--
	}
	current.entries = slices.Insert(current.entries, index, entry)
	q.size++
	return true
}

// Remove removes the entries whose value matches and returns their number.
func (q *Queue[T]) Remove(matches func(value T) bool) int {
	return len(q.remove(func(e Entry[T]) bool { return matches(e.Value) }))
}

// removeHead removes the first entry of the workspace at the front of the ring, and
// ends the workspace's turn when its deficit is used up.
func (q *Queue[T]) removeHead(name fleet.WorkspaceID, current *workspaceQueue[T]) {
	current.entries = current.entries[1:]
	q.size--
	switch {
	case len(current.entries) == 0:
		delete(q.queues, name)
		q.ring = q.ring[1:]
	case current.deficit < 1:
		q.ring = append(q.ring[1:], name)
	}
}

// remove removes and returns the entries for which matches returns true.
func (q *Queue[T]) remove(matches func(Entry[T]) bool) []Entry[T] {
	var removed []Entry[T]
	var ring []fleet.WorkspaceID
	for _, name := range q.ring {
		current := q.queues[name]
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
			delete(q.queues, name)
			continue
		}
		ring = append(ring, name)
	}
	q.ring = ring
	q.size -= len(removed)
	return removed
}
